#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** A backend server as it registered itself. */
struct ReplicaEntry
{
    ReplicaId id;
    PoolName service;
    Endpoint endpoint;
    ZoneId zone;
    /** Requests that it runs at once. */
    std::int64_t slots = 1;
    /** It takes no new work. */
    bool draining = false;
    /** Calendar time of its start; tells incarnations under one id apart. */
    std::int64_t startedAtMillis = 0;
};

/** What one answer told of its replica's load. */
struct ReportedLoad
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
};

/** What one request to a replica showed. */
struct ReplicaObservation
{
    enum class Outcome {
        Served, ///< It answered, whatever the status.
        Declined, ///< It said that it did not run the request.
        Unreachable, ///< No connection could be made.
        Failed, ///< It broke off, answered nonsense or fell silent.
    };
    Outcome outcome = Outcome::Served;
    /** What went wrong, for the log; empty if it was served. */
    std::string failureReason = std::string();
    /** The replica runs under another id now. */
    bool wrongReplica = false;
    std::optional<ReportedLoad> load;
    /** Time to the first event or to the answer. */
    std::optional<Duration> latency;
    /** Mean pause between two events of a stream. */
    std::optional<Duration> eventInterval;
};

/** What this VM believes of one replica. */
struct ReplicaState
{
    ReplicaEntry entry;
    /** Requests of this VM that are under way there. */
    std::int64_t ownRequests = 0;
    ReportedLoad load;
    SteadyTime loadAt;
    /** Requests of this VM that began there after that report. */
    std::int64_t begunSinceLoad = 0;
    /** Smoothed time to the first event or answer, and between events; zero if unknown. */
    Duration latency{0};
    Duration eventInterval{0};
    SteadyTime measuredAt;
    /** Failures in a row, and until when they keep it out. */
    int failures = 0;
    SteadyTime avoidedUntil;
    /** Missing from the registry, which may not be complete again before this time. */
    std::optional<SteadyTime> missingUntil;
};

/** What a request asks of its replica. */
struct PlacementRequest
{
    PoolName service;
    /** The replica that has read most of the prompt; empty if it is not known. */
    ReplicaId promptReplica = ReplicaId();
    /** Requests with the same key are best served by the same replica; empty if that is idle. */
    std::string affinityKey;
    /** Replicas already tried. */
    std::set<ReplicaId> tried;
    ZoneId zone;
    /** Requests that this VM may have under way at one replica. */
    std::int64_t maxOwnRequests = std::numeric_limits<std::int64_t>::max();
};

/**
 * The backend servers in force and what answers have shown of them.
 *
 * A row may vanish because the registry was away, not because the replica is
 * gone: after an outage a missing replica is kept until the registry has settled.
 */
class ReplicaTable
{
public:
    explicit ReplicaTable(const Clock &clock);

    /** The registry was read, or told of no change, just now. */
    void noteRegistryRead() { m_readAt = m_clock.now(); }
    /** How long ago the registry was last read. */
    Duration readingAge() const { return m_clock.now() - m_readAt; }
    /** Takes over a whole reading; missing replicas are kept until the registry has settled. */
    void replaceAll(const std::vector<ReplicaEntry> &entries, SteadyTime registryCompleteAt);
    /** Takes over one changed row. */
    void put(const ReplicaEntry &entry);
    /** Takes a replica out, but not before @p registryCompleteAt. */
    void remove(const ReplicaId &id, SteadyTime registryCompleteAt);
    /** Drops replicas that are still missing though the registry has settled; gives their ids. */
    std::vector<ReplicaId> expireMissing();

    void begin(const ReplicaId &id);
    void end(const ReplicaId &id, const ReplicaObservation &observation);

    const ReplicaState *find(const ReplicaId &id) const;
    const std::map<ReplicaId, ReplicaState> &all() const { return m_replicas; }
    /** Replicas of a service that may get work. */
    std::vector<const ReplicaState *> usable(const PoolName &service) const;

private:
    const Clock &m_clock;
    std::map<ReplicaId, ReplicaState> m_replicas;
    SteadyTime m_readAt;
};

/** What a choice of a replica was based on. */
struct PlacementInputs
{
    /** Requests of this VM that were under way there. */
    std::int64_t ownRequests = 0;
    /** Requests that the replica last reported as running or waiting. */
    std::int64_t reportedRequests = 0;
    /** Age of that report. */
    Duration reportAge{0};
};

/** True if a request would have to wait at the replica, as far as this VM can tell. */
bool isFull(const ReplicaState &replica, SteadyTime now);

PlacementInputs placementInputs(const ReplicaState &replica, SteadyTime now);

/** The replica for a request, or null if none can take it. */
const ReplicaState *choosePlacement(const ReplicaTable &table, const PlacementRequest &request,
                                    SteadyTime now);

} // namespace boragepath
