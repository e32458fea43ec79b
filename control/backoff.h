#pragma once

#include "core/clock.h"

#include <random>

namespace boragepath {

/**
 * Pause before a request to the store is retried after @p failures consecutive failures.
 * Grows exponentially and is drawn at random, so that VMs do not retry at the same time.
 */
Duration jitteredBackoff(int failures, std::mt19937_64 &random);

} // namespace boragepath
