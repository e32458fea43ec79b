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

/** What a gatekeeper, or the local share, said to a request. */
struct PermitReply
{
    peers::PermitOutcome::type outcome = peers::PermitOutcome::REFUSED;
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    Milliseconds retryAfter{0};
};

/** The gatekeepers of the replicas that rendezvous hashing gives to this VM. */
class PermitServers
{
public:
    PermitServers(const Settings &settings, const Clock &clock);

    /** The gatekeeper of a replica; it is made when first needed. Null if the replica is unknown.
     */
    PermitServer *forReplica(const ReplicaId &replica);
    /** Drops gatekeepers of replicas that now belong to another VM. */
    void keepOnly(const std::function<bool(const ReplicaId &)> &mine);
    void dropVm(const VmId &vm, FenceNumber newestGone);
    void tick();
    std::map<ReplicaId, PermitServer> &all() { return m_permitServers; }
    const std::map<ReplicaId, PermitServer> &all() const { return m_permitServers; }

private:
    const Settings &m_settings;
    const Clock &m_clock;
    std::map<ReplicaId, PermitServer> m_permitServers;
};

/**
 * The owner's side of permits: asks, waits, refreshes and gives back.
 *
 * Where the gatekeeper does not answer, the VM uses its local share of the
 * replica until the membership names another gatekeeper.
 */
class PermitClient
{
public:
    /**
     * Called with QUEUED any number of times, then once with GRANTED or
     * REFUSED; the first call may come before acquire() returns.
     */
    using Done = std::function<void(PermitId, const PermitReply &)>;

    PermitClient(const Settings &settings, const Clock &clock, const Members &members,
                 Outbox &outbox, PermitServers &gatekeepers);

    /** Asks for a place at the replica that @p request names; fills in its permit id. */
    PermitId acquire(peers::PermitRequest request, std::uint32_t maxBatchSize, Done done);
    /** Gives a permit back, or withdraws its request; @p done is not called any more. */
    void release(PermitId permit);
    /** Takes an answer of a gatekeeper. */
    void onAnswer(const peers::PermitAnswer &answer);
    void onReleased(const peers::PermitReleased &released);
    /** Repeats, refreshes and falls back as is due. */
    void tick();
    void reset();
    std::size_t localGrants() const { return m_localGrants; }

private:
    enum class State {
        Asking,
        Queued,
        Granted,
        Releasing,
    };
    struct Ask
    {
        peers::PermitRequest request;
        std::uint32_t maxBatchSize = 1;
        Done done;
        State state = State::Asking;
        /** Granted from the local share; the gatekeeper does not know of it. */
        bool local = false;
        SteadyTime since;
        SteadyTime lastSent;
        SteadyTime lastHeard;
        int releaseSends = 0;
    };

    void send(PermitId id, Ask &ask);
    void sendRelease(PermitId id, Ask &ask);
    void tryLocalShare(PermitId id, Ask &ask);
    PermitHolder selfHolder(PermitId id) const;

    const Settings &m_settings;
    const Clock &m_clock;
    const Members &m_members;
    Outbox &m_outbox;
    PermitServers &m_permitServers;
    std::map<PermitId, Ask> m_asks;
    std::uint64_t m_nextId = 1;
    std::map<std::string, int> m_localRunning;
    std::size_t m_localGrants = 0;
};

} // namespace boragepath
