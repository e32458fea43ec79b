#pragma once

#include "core/clock.h"

#include <random>

namespace boragepath {

/** Pause before a request to the store is repeated after @p failures failures in a row. */
Duration jitteredBackoff(int failures, std::mt19937_64 &random);

} // namespace boragepath
