#pragma once

#include "control/placement/completion_estimate.h"
#include "core/ids.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace boragepath {

/** A replica that a request may be sent to. */
struct PacedCandidate
{
    ReplicaId id;
    CompletionInputs completion;
    /** It can take another request at once. */
    bool hasRoom = true;
    /** It has the request's prompt or object in memory. */
    bool isWarm = false;
    /** It gets requests only if no other replica has room, or if it is warm. */
    bool isAvoided = false;
};

/**
 * Raises the extra work of all candidates by what it costs the requests behind it, which is more
 * the fuller the replicas are.
 *
 * For a service with more work than its replicas can do, where each prompt that is read again
 * lowers the throughput.
 */
void addExtraWorkPrice(std::vector<PacedCandidate> &candidates);

/**
 * Chooses a replica by the time at which the request would be done there; returns its index, or
 * none if there are no candidates.
 *
 * Compares two replicas that rendezvous hashing draws for @p key, and the warm one, instead of
 * all: for many VMs that would otherwise all choose the one replica that has just reported the
 * best pace. The warm one is kept unless another one is done clearly earlier.
 */
std::optional<std::size_t> choosePaced(const std::vector<PacedCandidate> &candidates,
                                       std::string_view key);

} // namespace boragepath
