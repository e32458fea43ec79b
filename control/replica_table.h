#pragma once

#include "control/placement/replica_pace.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/lru_map.h"
#include "core/settings.h"
#include "core/strong_type.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** A backend server as it is registered in the registry. */
struct ReplicaEntry
{
    ReplicaId id;
    PoolName service;
    Endpoint endpoint;
    ZoneId zone;
    /** Replicas of several versions may serve side by side; empty if it states none. */
    SoftwareVersion softwareVersion;
    /** Requests that it runs concurrently. */
    std::int64_t slots = 1;
    /** It accepts no new requests. */
    bool draining = false;
    /** Wall-clock time of its start; distinguishes incarnations that share an id. */
    std::int64_t startedAtMillis = 0;
};

/** One start of a replica: ids and addresses alone are used again. */
struct ReplicaIncarnation
{
    ReplicaId id;
    Endpoint endpoint;
    std::int64_t startedAtMillis = 0;

    friend auto operator<=>(const ReplicaIncarnation &, const ReplicaIncarnation &) = default;
};

ReplicaIncarnation incarnationOf(const ReplicaEntry &entry);

/** Identifies one incarnation of a replica in messages between VMs. */
using ReplicaFingerprint = StrongType<std::int64_t, struct ReplicaFingerprintTag>;

ReplicaFingerprint fingerprintOf(const ReplicaIncarnation &incarnation);

/** A replica's load as reported in one of its answers. */
struct ReportedLoad
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
    /** None if the replica reports no pace, or one that cannot be used. */
    std::optional<ReplicaPace> pace = std::nullopt;
};

/** Result and measurements of one request to a replica. */
struct ReplicaObservation
{
    enum class Outcome {
        Served, ///< It answered, with any status.
        Declined, ///< It reported that it did not run the request.
        Unreachable, ///< No connection could be made.
        NotSent, ///< Nothing was sent, for a reason that has nothing to do with the replica.
        Failed, ///< The answer ended early, was invalid, or did not come in time.
    };
    Outcome outcome = Outcome::Served;
    /** Error text for the log; empty if the request was served. */
    std::string failureReason = std::string();
    /** Status of its answer; 0 if no whole head arrived. */
    unsigned status = 0;
    /** Another replica than the expected one answers at this address. */
    bool wrongReplica = false;
    /** The connection broke off under the request, and nobody listens at the address any more. */
    bool replicaEnded = false;
    /** The replica had begun to run the request, and had brought no event of its answer. */
    bool atBeginning = false;
    std::optional<ReportedLoad> load;
    /** Time to the first event of a stream, or to the answer. */
    std::optional<Duration> latency;
    /** Mean time between two events of a stream. */
    std::optional<Duration> eventInterval;
    /** The answer to the request, which was sent at this time, names no limit. */
    std::optional<SteadyTime> noLimitSince;
    /** Events that the caller had received of its answer, from all replicas, when it ended. */
    std::int64_t eventsForwarded = 0;
};

/** What this VM knows about one replica: its registration, load, speed and failures. */
struct ReplicaState
{
    ReplicaEntry entry;
    ReplicaFingerprint fingerprint;
    /** It has said in an answer that it leaves, whatever its registration says. */
    bool leaving = false;
    /** Requests of this VM that are in progress at the replica. */
    std::int64_t ownRequests = 0;
    /** The last reported load. */
    ReportedLoad load;
    SteadyTime reportedAt;
    /** Requests of this VM that started at the replica after that report. */
    std::int64_t startedSinceReport = 0;
    /** Smoothed time to the first event or to the answer; zero if unknown. */
    Duration latency{0};
    /** Smoothed time between two events of a stream; zero if unknown. */
    Duration eventInterval{0};
    SteadyTime measuredAt;
    /** It has declined a request lately. */
    SteadyTime fullUntil;
    /** Its process has ended, so that it gets no requests until then or its next start. */
    SteadyTime endedUntil;
    /** Consecutive failures. */
    int failures = 0;
    /** Its changing speed, if it shares its machine and reports a pace. */
    PaceRecord pace;
    /** Until then, the failures exclude the replica from placement if others are available. */
    SteadyTime excludedUntil;
    /** Set if the replica is missing from the registry: it is removed at this time. */
    std::optional<SteadyTime> removeAt;
};

/** What a replica keeps in memory after a request that makes a later one cheaper. */
enum class WarmState {
    Prompt, ///< The prompt's prefix; without it, all of the prompt is processed again.
    Object, ///< What the replica loaded for the object that the request is about.
};

/** What a request requires of the replica that serves it. */
struct PlacementRequest
{
    PoolName service;
    WarmState warmState = WarmState::Prompt;
    /** The replica that probably has the warm state in memory; empty if not known. */
    ReplicaId warmReplica = ReplicaId();
    /** Requests with the same key are preferably served by the same replica; empty for no
     * preference. */
    std::string affinityKey;
    /** Spreads requests without an affinity key over the replicas that report a pace; differs
     * between requests. */
    std::string spreadKey = std::string();
    /** Replicas that the request was sent to before, or that must not get it now. */
    std::set<ReplicaId> excludedReplicas;
    /** Replicas that have named a limit on their requests; they may be idle for that reason. */
    std::set<ReplicaId> limitedReplicas;
    /** Replicas that get the request only if the others are busier. */
    std::set<ReplicaId> avoidedReplicas;
    /** Only replicas of this software version may serve the request; none for any version. */
    std::optional<SoftwareVersion> requiredVersion = std::nullopt;
    ZoneId zone;
    /** Requests that this VM may have in progress at one replica. */
    std::int64_t maxOwnRequests = std::numeric_limits<std::int64_t>::max();
};

/**
 * The registered backend servers, with their load, speed and failures.
 *
 * A registration may be missing because the registry was unavailable, although the
 * replica still runs. After an outage, a replica that is missing from the registry
 * is therefore kept until the registry is expected to be complete again.
 */
class ReplicaTable
{
public:
    explicit ReplicaTable(const Clock &clock);

    /** The registry has just been read, or has reported that nothing changed. */
    void noteRegistryRead();
    /**
     * The registry was read a short time ago, so that this VM knows which replicas there are. Time
     * counts in which the machine was suspended.
     */
    bool isRegistryFollowed() const;
    /** Time since the registry was last read. */
    Duration registryAge() const { return m_clock.now() - m_registryReadAt; }
    /**
     * Replaces all registrations. Replicas that are not among @p entries are removed,
     * but not before @p registryCompleteAt.
     */
    void replaceAll(const std::vector<ReplicaEntry> &entries, SteadyTime registryCompleteAt);
    /** Adds or updates one registration; a restarted replica loses its measurements. */
    void put(const ReplicaEntry &entry);
    /** Removes a replica; before @p registryCompleteAt, only marks it for removal at that time. */
    void remove(const ReplicaId &id, SteadyTime registryCompleteAt);
    /**
     * This incarnation of a replica has said that it leaves and must get no new requests, even if
     * its registration comes back as ready. False if that was known.
     */
    bool markLeaving(const ReplicaIncarnation &incarnation);
    /** The process of this incarnation has ended. False if that was known. */
    bool markEnded(const ReplicaFingerprint &replica);
    /** An answer of this incarnation that was read at @p readAt reported a pace. */
    void notePace(const ReplicaIncarnation &incarnation, ReplicaPace pace, SteadyTime readAt);
    /** Removes the replicas whose removal is due and returns their ids. */
    std::vector<ReplicaId> expireMissing();

    /** Counts a request that this VM sends to the replica. */
    void beginRequest(const ReplicaId &id);
    /** Ends a request that beginRequest() counted, and records what was observed. */
    void endRequest(const ReplicaId &id, const ReplicaObservation &observation);

    const ReplicaState *find(const ReplicaId &id) const;
    const std::map<ReplicaId, ReplicaState> &all() const { return m_replicas; }
    /** Replicas of a service that are neither draining nor leaving; some of them may have ended. */
    std::vector<const ReplicaState *> usable(const PoolName &service) const;

    /** The version of all replicas of a service that are known now; none if they differ. */
    std::optional<SoftwareVersion> presentVersion(const PoolName &service) const;
    /** True if replicas of several versions of a service are known now. */
    bool hasSeveralVersions(const PoolName &service) const;
    /**
     * The version of all replicas that a service has had for longer than any stream lasts; none if
     * there were several, or if the registry was not followed all that time.
     */
    std::optional<SoftwareVersion> onlyVersion(const PoolName &service) const;

private:
    /** Software of a service that has or had replicas. */
    struct ServiceVersion
    {
        PoolName service;
        SoftwareVersion version;

        friend auto operator<=>(const ServiceVersion &, const ServiceVersion &) = default;
    };

    /** A replica of this version may have begun streams until now. */
    void noteVersionGone(const ReplicaEntry &entry);

    const Clock &m_clock;
    std::map<ReplicaId, ReplicaState> m_replicas;
    /** Those that have said that they leave; outlasts their registrations. */
    LruMap<ReplicaIncarnation, bool> m_leaving;
    SteadyTime m_registryReadAt;
    BootTime m_registryReadAtBoot;
    /** Since then, no longer time has passed between two reads than MaxRegistryReadGap. */
    SteadyTime m_registryFollowedSince;
    /** When a replica was last taken out of the table, or got another version. */
    std::map<ServiceVersion, SteadyTime> m_versionsGoneAt;
};

/** The data that the choice of a replica was based on, for the log. */
struct PlacementInputs
{
    /** Requests of this VM that were in progress at the replica. */
    std::int64_t ownRequests = 0;
    /** Requests that the replica last reported as running or waiting. */
    std::int64_t reportedRequests = 0;
    /** Age of that report. */
    Duration reportAge{0};
    /** The last reported pace and its age; none if the replica reports none. */
    std::optional<ReplicaPace> pace = std::nullopt;
    std::optional<Duration> paceAge = std::nullopt;
};

/** True if all slots and the queue of the replica are occupied, by this VM's estimate. */
bool isFull(const ReplicaState &replica, SteadyTime now);

/** Requests at the replica, by this VM's estimate, as a part of its slots. */
double utilizationOf(const ReplicaState &replica, SteadyTime now);

PlacementInputs placementInputs(const ReplicaState &replica, SteadyTime now);

/** The replicas that may serve a request now or later, whatever their load. */
std::vector<const ReplicaState *> eligibleReplicas(const ReplicaTable &table,
                                                   const PlacementRequest &request, SteadyTime now);

/** Chooses the replica for a request; null if none can take it. */
const ReplicaState *chooseReplica(const ReplicaTable &table, const PlacementRequest &request,
                                  SteadyTime now);

} // namespace boragepath
