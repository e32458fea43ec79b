#pragma once

#include "soak/call_facts.h"
#include "soak/fault_history.h"

#include <functional>
#include <string>
#include <vector>

namespace boragepath::soak {

/** Time that callers give a call; the routes of the soak give the same. */
inline constexpr Milliseconds CallDeadline{3'000};
/** The configuration keeps a turn that was answered whole for this long (keepS). */
inline constexpr Seconds TurnKeepTime{60};
/** A final fault may take effect this long after all VMs are back (bounds.recoveryS). */
inline constexpr Seconds RecoveryBound{12};
/** Turns that ended longer ago than this are settled, and count with the tokens that they used. */
inline constexpr Milliseconds SettlementTime{1'000};

/** A call, or a turn with all its tries, that was accepted and is lost. */
struct LostCall
{
    std::string kind;
    std::string id;
    std::string detail;
};

/**
 * The VM ended the connection without a whole answer, after it had read the whole request: a
 * replica ran it, or the VM had taken it in (it closed in order, which a system does only if
 * nothing was left unread) and closed later than a close that crosses the request would arrive.
 */
bool isCut(const CallFacts &call);
/**
 * The cut has no other cause than the VM's planned work: the last replica did not break off, the
 * caller's time was not over, and neither the VM, the store, its link nor the replica was
 * disrupted.
 */
bool hasNoOtherCause(const CallFacts &call, const FaultHistory &history);
/** Cut around a SIGTERM of its VM. */
bool isCutByStop(const CallFacts &call, const FaultHistory &history);
/** Cut after a SIGHUP of its VM, and sent not much later. */
bool isCutByReload(const CallFacts &call, const FaultHistory &history);
/** Sent on a kept connection, run by a sound replica, and left without an answer by a VM in touch.
 */
bool isCutOnKeptConnection(const CallFacts &call, const FaultHistory &history);
/** Most tokens that the turns of @p program can have used at a time. */
std::int64_t tokensAtMost(const std::vector<CallFacts> &calls, const std::string &program,
                          SteadyTime time);

/** All that was lost in a run; @p calls in the order in which they were sent. */
std::vector<LostCall> lostCalls(const std::vector<CallFacts> &calls, const FaultHistory &history);

} // namespace boragepath::soak
