#pragma once

#include "core/clock.h"

#include <random>

namespace boragepath {

/**
 * How long to wait before a call to the store is made again.
 *
 * Serves the load pattern of a store that comes back: waits grow with the
 * failures in a row and are spread, so that VMs do not come back all at once.
 */
Duration storeRetryPause(int failuresInRow, std::mt19937_64 &random);

} // namespace boragepath
