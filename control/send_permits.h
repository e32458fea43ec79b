#pragma once

#include "control/replica_limits.h"
#include "control/row_store.h"
#include "control/send_permit_issuer.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "core/endpoint.h"
#include "core/lru_map.h"
#include "peers/gen/messages_types.h"

#include <cstdint>
#include <functional>

namespace boragepath {

/** When this VM may send a request to a replica. */
struct SendOutlook
{
    enum class Kind {
        /** At any time: the replica names no limit. */
        Free,
        /** Now, with a permit that this VM holds. */
        Permitted,
        /** A permit must be asked for. */
        Askable,
        /** A permit has been asked for, or may be used from @c at. */
        Awaited,
        /** Asking for a permit is no use before @c at. */
        Closed,
    };
    Kind kind = Kind::Free;
    SteadyTime at;
};

/**
 * Permits for this VM to send requests to replicas that have named a limit.
 *
 * A limit holds for all VMs together, and a VM sees its own requests only. The VM that rendezvous
 * hashing names for the replica issues the permits; the others ask it. Whoever can't ask, or gets
 * no answer, sends nothing there. A permit is for one request, and expires soon, so that a VM that
 * was paused does not act on an old one.
 *
 * VMs that can't see each other, each side taking the other for dead, issue permits by the share
 * of the VMs in sight, so that all sides together stay within the limit's tolerance.
 */
class SendPermits
{
public:
    using Send = std::function<void(const Endpoint &to, const peers::SendPermitNote &note)>;

    SendPermits(const Clock &clock, Timers &timers, ReplicaLimits &limits, const VmDirectory &vms,
                Send send, std::uint64_t seed);

    /** @p task runs whenever a permit may be used, or was not granted. */
    void onChange(std::function<void()> task) { m_onChange = std::move(task); }
    SendOutlook outlook(const ReplicaFingerprint &replica) const;
    /** Asks for a permit that may be used within @p maxDelay, if the outlook is Askable. */
    void ask(const ReplicaFingerprint &replica, Duration maxDelay);
    /** Uses the permit for a request that must be sent before the time that is returned. */
    SteadyTime use(const ReplicaFingerprint &replica);
    /** Handles a message from the VM at @p from. */
    void receive(const Endpoint &from, const peers::SendPermitNote &note);

private:
    /** What this VM knows about its next permit for one replica. */
    struct Prospect
    {
        /** Id of the question that has not been answered; 0 for none. */
        std::int64_t question = 0;
        SteadyTime askedAt;
        /** The permit that this VM holds; both are in the past if there is none. */
        SteadyTime opensAt;
        SteadyTime expiresAt;
        SteadyTime askAgainAt;
    };

    SendPermitDecision issue(const ReplicaFingerprint &replica, RequestRate limit,
                             Duration maxDelay);
    void answerQuestion(const Endpoint &from, const peers::SendPermitNote &question);
    void handleAnswer(const peers::SendPermitNote &note);
    void apply(const ReplicaFingerprint &replica, const SendPermitDecision &decision);

    const Clock &m_clock;
    Timers &m_timers;
    ReplicaLimits &m_limits;
    const VmDirectory &m_vms;
    Send m_send;
    std::function<void()> m_onChange;
    SendPermitIssuer m_issuer;
    LruMap<ReplicaFingerprint, Prospect> m_prospects;
    std::int64_t m_nextQuestion = 1;
};

} // namespace boragepath
