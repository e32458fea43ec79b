#pragma once

#include "control/catalogue.h"
#include "control/members.h"
#include "control/outbox.h"
#include "control/permit_server.h"
#include "core/clock.h"
#include "core/ids.h"

#include <functional>
#include <map>
#include <vector>

namespace boragepath {

/** The answer to a permit request, from the permit server or from the local fallback. */
struct PermitReply
{
    peers::PermitOutcome::type outcome = peers::PermitOutcome::REFUSED;
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    Milliseconds retryAfter{0};
};

/** The permit servers of the replicas that rendezvous hashing assigns to this VM. */
class PermitServers
{
public:
    PermitServers(const Settings &settings, const Clock &clock);

    /** Returns the permit server of a replica and creates it on first use; null if the replica is
     * not in the settings. */
    PermitServer *forReplica(const ReplicaId &replica);
    /** Drops the permit servers of replicas that are now assigned to another VM. */
    void keepOnly(const std::function<bool(const ReplicaId &)> &isLocal);
    void dropVm(const VmId &vm, FenceNumber lastGoneFence);
    void tick();
    std::map<ReplicaId, PermitServer> &all() { return m_permitServers; }
    const std::map<ReplicaId, PermitServer> &all() const { return m_permitServers; }

private:
    const Settings &m_settings;
    const Clock &m_clock;
    std::map<ReplicaId, PermitServer> m_permitServers;
};

/**
 * Requests, refreshes and releases permits for the programs that this VM owns.
 *
 * If the permit server does not answer, this VM grants permits itself, up to its share of the
 * replica's batch, until the membership assigns the replica to another permit server.
 */
class PermitClient
{
public:
    /**
     * Called with QUEUED any number of times, then once with GRANTED or
     * REFUSED. The first call may happen before acquire() returns.
     */
    using Callback = std::function<void(PermitId, const PermitReply &)>;

    PermitClient(const Settings &settings, const Clock &clock, const Members &members,
                 Outbox &outbox, PermitServers &permitServers);

    /** Requests a permit for the replica that @p request names; fills in the permit id. */
    PermitId acquire(peers::PermitRequest request, std::uint32_t maxBatchSize, Callback callback);
    /** Releases a permit or withdraws its request. The callback is not called any more. */
    void release(PermitId id);
    /** Handles an answer of a permit server. */
    void onAnswer(const peers::PermitAnswer &answer);
    /** Handles the confirmation of a release. */
    void onReleased(const peers::PermitReleased &released);
    /** Sends due retries, polls and refreshes, and falls back to local grants. */
    void tick();
    /** Forgets all permits without releasing them. */
    void reset();
    /** Permits granted locally because the permit server did not answer. */
    std::size_t localGrants() const { return m_localGrants; }

private:
    enum class State {
        Requesting,
        Queued,
        Granted,
        Releasing,
    };
    struct Permit
    {
        peers::PermitRequest request;
        std::uint32_t maxBatchSize = 1;
        Callback callback;
        State state = State::Requesting;
        /** Granted locally; the permit server does not know of it yet. */
        bool local = false;
        SteadyTime requestedAt;
        SteadyTime lastSentAt;
        SteadyTime lastAnswerAt;
        int releaseAttempts = 0;
    };

    void send(PermitId id, Permit &permit);
    void sendRelease(PermitId id, Permit &permit);
    void tryLocalGrant(PermitId id, Permit &permit);
    PermitHolder ownHolder(PermitId id) const;

    const Settings &m_settings;
    const Clock &m_clock;
    const Members &m_members;
    Outbox &m_outbox;
    PermitServers &m_permitServers;
    std::map<PermitId, Permit> m_permits;
    std::uint64_t m_nextId = 1;
    std::map<std::string, int> m_localRunning;
    std::size_t m_localGrants = 0;
};

} // namespace boragepath
