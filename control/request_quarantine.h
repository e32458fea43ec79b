#pragma once

#include "control/replica_table.h"
#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/lru_map.h"
#include "core/request_fingerprint.h"
#include "peers/gen/messages_types.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace boragepath {

/** A replica whose process ended while a request was in progress there. */
struct RequestCrash
{
    ReplicaFingerprint replica;
    /** When the request had been sent there. */
    SteadyTime sentAt;
    SteadyTime at;
    /** The request had only begun to run, as far as can be seen. */
    bool atBeginning = false;
};

/** What is known about a request under which replicas have ended. */
struct CrashEvidence
{
    /** Since the request was last answered as complete. */
    std::vector<RequestCrash> crashes;
    /** When the request was last answered as complete, as far as that matters. */
    std::optional<SteadyTime> answeredAt = std::nullopt;
};

/**
 * True if the request is to be sent to no further replica: it was in progress at three crashes, or
 * had just begun to run at two. Replicas that end at the same moment, all of them with
 * the request in progress already, have a common cause and count once. A request that
 * had been answered shortly before its first crash, as one that many callers send, needs more of
 * them: it is in progress at most crashes that another request causes.
 */
bool isToBeQuarantined(const CrashEvidence &evidence);

/**
 * Finds the requests under which replica after replica ends, and keeps them from all replicas.
 *
 * When a replica's process ends, every request in progress there may be the cause. Most of them end
 * well at their next try, and are cleared by that. One that was in progress at further crashes is
 * quarantined: no VM sends it to a replica any more, whoever asks for it.
 *
 * A request comes again at any VM, and its crashes are seen by different ones. What is known is
 * a set of crashes for each request; sets are merged in any order, so that no VM coordinates, and
 * lost datagrams only delay. News of a crash is sent to some VMs at once and travels with the
 * gossip.
 *
 * Evidence is kept for the request with its body, and for its target whatever the body. A target
 * that many callers use is cleared by each answer, so that only one at which nothing is answered
 * any more stays suspect.
 *
 * Quarantine is not for ever, as new software of the replicas may serve the request: after a while,
 * which grows with each try, one VM, by rendezvous hashing, lets one attempt through.
 */
class RequestQuarantine
{
public:
    using Send =
        std::function<void(const Endpoint &to, const std::vector<peers::RequestCrashNews> &news)>;
    /** Receives a request that has become quarantined, or is not any more. */
    using OnChange = std::function<void(const RequestFingerprint &request, bool quarantined)>;
    /** Receives a replica that has ended under a request, by the news of another VM. */
    using OnReplicaEnded = std::function<void(const ReplicaFingerprint &replica)>;

    RequestQuarantine(const Clock &clock, Timers &timers, const VmDirectory &vms, Send send);

    /** Adds a receiver of changes. */
    void onChange(OnChange task) { m_onChange.push_back(std::move(task)); }
    void onReplicaEnded(OnReplicaEnded task) { m_onReplicaEnded = std::move(task); }

    /** Records that a replica ended while the request was in progress there. */
    void noteCrash(const RequestIdentity &request, const RequestCrash &crash);
    /** Records that the request was answered as complete just now. */
    void noteAnswered(const RequestIdentity &request);
    /**
     * True if the attempt may be sent to a replica. Of a quarantined request it may be the one
     * attempt that is let through; the next one has to wait from then on.
     */
    bool admits(const RequestIdentity &request, const AttemptId &attempt);
    bool isQuarantined(const RequestFingerprint &request) const;
    /** Ends the quarantine of a request, as if it had been answered just now. */
    void release(const RequestFingerprint &request);
    /** True if a request of this VM was in progress at one of the crashes. */
    bool hasOwnEvidence(const RequestFingerprint &request) const;
    /** What is known about a request; null if no replica has ended under it. */
    const CrashEvidence *evidenceOf(const RequestFingerprint &request) const;

    /** Merges what another VM knows, or what was stored. */
    void receive(const std::vector<peers::RequestCrashNews> &news);
    /** What this VM knows about a request, for other VMs. */
    peers::RequestCrashNews newsOf(const RequestFingerprint &request) const;
    /**
     * News for a round of gossip, at most @p count: what has not been passed on often enough, and
     * some of the quarantined requests in turn, so that VMs that start learn of them.
     */
    std::vector<peers::RequestCrashNews> takeForGossip(std::size_t count);

private:
    struct Entry
    {
        CrashEvidence evidence;
        bool quarantined = false;
        /** This VM has seen one of the crashes itself. */
        bool ownEvidence = false;
        /** Rounds of gossip in which it still has to be passed on. */
        int roundsLeft = 0;
        /** The last attempt that was let through in spite of the quarantine, and when. */
        AttemptId trial;
        std::optional<SteadyTime> trialAt;
        int trials = 0;
    };

    /** True if the attempt is the one that was let through, and no replica has ended since. */
    bool isTrial(const RequestFingerprint &request, const AttemptId &attempt) const;
    /** True if it is time to let the next attempt through. */
    bool isTrialDue(const RequestFingerprint &request) const;
    void beginTrial(const RequestFingerprint &request, const AttemptId &attempt);
    /** Adds evidence; true if it was new. */
    bool merge(const RequestFingerprint &request, const CrashEvidence &evidence);
    void updateQuarantine(const RequestFingerprint &request, Entry &entry);
    void passOn(const RequestFingerprint &request, Entry &entry);
    /** Sends the news about the request to some VMs at once, together with other urgent news. */
    void sendSoon(const RequestFingerprint &request);
    void sendUrgentNews();

    const Clock &m_clock;
    Timers &m_timers;
    const VmDirectory &m_vms;
    Send m_send;
    std::vector<OnChange> m_onChange;
    OnReplicaEnded m_onReplicaEnded = [](const ReplicaFingerprint &) {};
    LruMap<RequestFingerprint, Entry> m_entries;
    /** When this VM last got a complete answer to each request. */
    LruMap<RequestFingerprint, SteadyTime> m_answeredAt;
    /** In the order in which they became quarantined. */
    std::deque<RequestFingerprint> m_quarantined;
    /** Those with rounds of gossip left. */
    std::deque<RequestFingerprint> m_toPassOn;
    std::vector<RequestFingerprint> m_urgent;
};

} // namespace boragepath
