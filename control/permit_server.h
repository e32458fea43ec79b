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

/** Who asked for a permit. */
struct PermitHolder
{
    VmId vm;
    FenceNumber fence;
    PermitId permit;

    friend auto operator<=>(const PermitHolder &, const PermitHolder &) = default;
};

/** An answer and whom it goes to. */
struct PermitNotice
{
    PermitHolder holder;
    peers::PermitAnswer answer;
};

/**
 * Decides who may use one replica next, and how many at once.
 *
 * It is soft state: a new gatekeeper learns the permits in use from their
 * owners' refreshes. Two gatekeepers at once let too many calls through for a
 * while, which costs time and nothing else.
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

    /** Takes a request or refresh; the answer is for its sender. */
    peers::PermitAnswer request(const PermitHolder &holder, const peers::PermitRequest &request);
    /** Ends a permit or withdraws a request; repeats are harmless. */
    void release(const PermitHolder &holder);
    /** Drops all that an incarnation holds, after it was fenced or left. */
    void dropVm(const VmId &vm, FenceNumber newestGone);
    /** Drops permits that nobody has refreshed. */
    void tick();
    /** Permits granted since the last call, to be sent to their holders. */
    std::vector<PermitNotice> takeNotices();

    /** Load statement for gossip. */
    peers::ReplicaLoad load() const;
    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    /** The replica leaves: nothing more is granted, waiting calls are turned away. */
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
    WaitingCall describe(const Waiting &waiting) const;
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
constexpr Milliseconds PermitExpiry{35'000};
/** Owners refresh what they hold this often. */
constexpr Milliseconds PermitRefresh{10'000};

} // namespace boragepath
