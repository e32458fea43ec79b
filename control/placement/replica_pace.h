#pragma once

#include "core/strong_type.h"

#include <cstdint>

namespace boragepath {

/**
 * Duration of work on a replica at the moment, in hundredths of its usual duration: 100 as usual,
 * more if the machine is shared with other work that slows it down.
 */
using ReplicaPace = StrongType<std::int64_t, struct ReplicaPaceTag>;

} // namespace boragepath
