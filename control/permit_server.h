#pragma once

#include "control/policy.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"
#include "peers/gen/messages_types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragepath {

/** Identifies a permit and the incarnation of the VM that requested it. */
struct PermitHolder
{
    VmId vm;
    FenceNumber fence;
    PermitId permit;

    friend auto operator<=>(const PermitHolder &, const PermitHolder &) = default;
};

/** A permit answer and the holder that it is addressed to. */
struct PermitNotice
{
    PermitHolder holder;
    peers::PermitAnswer answer;
};

/**
 * Limits the concurrent calls at one replica and decides which waiting call is admitted next.
 *
 * All state is soft: a new permit server learns the permits in use from the
 * refreshes that their holders send. If two VMs act as the permit server of a
 * replica at once, too many calls are admitted for a while. This only costs
 * time; no correctness guarantee depends on it.
 */
class PermitServer
{
public:
    struct Config
    {
        ReplicaId replica;
        std::uint32_t maxBatchSize = 1;
        PolicyKind policy = PolicyKind::Program;
        Milliseconds queueTimeout{20'000};
    };

    PermitServer(Config config, const Clock &clock);

    /** Handles a new request, a repeat or a refresh, and returns the answer for its sender. */
    peers::PermitAnswer request(const PermitHolder &holder, const peers::PermitRequest &request);
    /** Ends a permit or withdraws a waiting request. Idempotent. */
    void release(const PermitHolder &holder);
    /**
     * Drops all permits and requests of the incarnations of @p vm up to @p lastGoneFence, which
     * have been fenced or have left.
     */
    void dropVm(const VmId &vm, FenceNumber lastGoneFence);
    /** Drops permits and requests that have not been refreshed for PermitTimeout. */
    void tick();
    /** Returns the unsent grants and refusals of waiting requests, to be sent to the holders. */
    std::vector<PermitNotice> takeNotices();

    /** Load report for gossip. */
    peers::ReplicaLoad load() const;
    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    /** While the replica is leaving, nothing is granted and waiting requests are refused. */
    void setLeaving(bool leaving);
    bool leaving() const { return m_leaving; }

private:
    struct Running
    {
        SteadyTime since;
        SteadyTime refreshed;
    };
    struct Waiting
    {
        peers::PermitRequest request;
        SteadyTime arrived;
        SteadyTime refreshed;
    };

    void grantNext();
    WaitingCall toWaitingCall(const Waiting &waiting) const;
    Milliseconds expectedWait() const;
    peers::PermitAnswer answerFor(const PermitHolder &holder, peers::PermitOutcome::type outcome);

    Config m_config;
    const Clock &m_clock;
    std::map<PermitHolder, Running> m_running;
    std::map<PermitHolder, Waiting> m_waiting;
    std::vector<PermitNotice> m_notices;
    double m_meanServiceMillis = 1'000;
    bool m_leaving = false;
    std::int64_t m_version = 0;
};

/** A permit or request that is not refreshed for this long is dropped. */
constexpr Milliseconds PermitTimeout{35'000};
/** Interval at which permit clients refresh their granted permits. */
constexpr Milliseconds PermitRefreshInterval{10'000};

} // namespace boragepath
