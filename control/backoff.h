#pragma once

#include "core/clock.h"

#include <random>

namespace boragepath {

/** Pause before a request to the table service is repeated after @p failures failures. */
Duration jitteredBackoff(int failures, std::mt19937_64 &random);

} // namespace boragepath
