#pragma once

#include "control/replica_table.h"
#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/ids.h"
#include "core/lru_map.h"
#include "peers/gen/messages_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace boragepath {

/** Which software wrote the beginning of a stream. */
struct StreamOrigin
{
    PoolName service;
    SoftwareVersion version;
    /** The replica that began the stream; empty if only the version is known. */
    ReplicaId replica;
};

/** How a VM learnt the version that began a stream. */
enum class OriginSource {
    Unknown,
    /** The stream began on this VM, or its origin was announced to it. */
    Recorded,
    /** The service has had replicas of no other version for longer than a stream lasts. */
    OnlyVersion,
    /** Another VM answered. */
    Peer,
};

/** Name of the source in log lines. */
std::string_view originSourceName(OriginSource source);

/** Answer to the question which version began a stream. */
struct OriginLookup
{
    std::optional<StreamOrigin> origin;
    OriginSource source = OriginSource::Unknown;
};

/**
 * Knows at which software version streams began, on whichever VM they did.
 *
 * Designed for callers that take up a broken stream at another VM, often because the first one
 * has failed, while replicas of several versions serve side by side. A stream may only go on at
 * the version that began it. The VM at which a stream begins therefore announces the origin to a
 * few VMs that rendezvous hashing names for the stream, and the VM at which it is taken up asks
 * these. No announcement is needed while a service has a single version.
 *
 * Messages may be lost and every VM may fail. Then the origin is unknown and the stream does not
 * go on; a wrong version is never assumed. A VM that knows a single version may be the one that has
 * not yet seen another, so it asks, too.
 */
class StreamOrigins
{
public:
    using Send = std::function<void(const Endpoint &to, const peers::StreamOriginNote &note)>;
    using FindCallback = std::function<void(const OriginLookup &)>;

    StreamOrigins(Timers &timers, const ReplicaTable &replicas, const VmDirectory &vms, Send send);

    /** Records the origin of a stream whose first event was brought by @p firstAttempt. */
    void note(const AttemptId &firstAttempt, const StreamOrigin &origin);
    /** Finds the origin of a stream of @p service. @p done may run before this returns. */
    void find(const AttemptId &firstAttempt, const PoolName &service, FindCallback done);
    /** Handles a message from the VM at @p from. */
    void receive(const Endpoint &from, const peers::StreamOriginNote &note);

    /**
     * False if the replica has restarted with another version under its id: then it is not known
     * which of the two began the stream.
     */
    bool isCertain(const StreamOrigin &origin) const;

private:
    /** A question to other VMs. */
    struct PendingLookup
    {
        AttemptId firstAttempt;
        PoolName service;
        /** VMs that have not answered yet. */
        std::set<Endpoint> awaited;
        /** The service's only version, as this VM or another one says without a record. */
        std::optional<StreamOrigin> onlyVersion;
        /** VMs differ in the versions that they know. */
        bool isContradicted = false;
        /** Another VM has answered, so that this one is in touch. */
        bool isAnswered = false;
        FindCallback done;
    };

    /** What this VM knows without asking others. */
    OriginLookup findHere(const AttemptId &firstAttempt, const PoolName &service) const;
    void askPeers(const AttemptId &firstAttempt, const OriginLookup &known, const PoolName &service,
                  FindCallback done);
    /** The only version that all VMs know that have answered; nothing if they differ. */
    static std::optional<StreamOrigin> agreedVersion(const PendingLookup &lookup);
    static void noteOnlyVersion(PendingLookup &lookup, const StreamOrigin &origin);
    void answer(const Endpoint &to, const peers::StreamOriginNote &question);
    void handleAnswer(const Endpoint &from, const peers::StreamOriginNote &note);
    /** Ends a lookup with what the other VMs have answered. */
    void finish(std::int64_t id, const std::optional<StreamOrigin> &origin);

    Timers &m_timers;
    const ReplicaTable &m_replicas;
    const VmDirectory &m_vms;
    Send m_send;
    LruMap<AttemptId, StreamOrigin> m_origins;
    std::map<std::int64_t, PendingLookup> m_lookups;
    std::int64_t m_nextId = 1;
};

} // namespace boragepath
