#pragma once

#include "control/admission/organisations.h"
#include "control/quotas/quota_bucket.h"
#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/lru_map.h"
#include "peers/gen/messages_types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace boragepath {

/** One call that needs a request of its organisation's quota. */
struct QuotaClaim
{
    OrganisationId organisation;
    RequestQuota quota;
    /** Empty for a call that belongs to no program. */
    ProgramId program;
    /** The call may be the first one of its program. */
    bool mayBegin = false;
    /** The claim may be decided this much later if it can then be granted. */
    Duration maxWait{0};
};

/** What one VM has seen of one organisation's quota. */
struct QuotaUse
{
    OrganisationId organisation;
    /** Decisions on claims of this VM. */
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    /** Of these, decided by this VM as the coordinator, by another VM, and without an answer. */
    std::uint64_t decidedHere = 0;
    std::uint64_t decidedElsewhere = 0;
    std::uint64_t decidedAlone = 0;
    /** Requests left by the last decision, of one shard; negative after grants in advance. */
    double level = 0;
    /** Requests of a program on average; 0 if unknown. */
    double meanRequests = 0;
};

/**
 * Keeps the requests of organisations within their quotas over all VMs.
 *
 * One VM, the coordinator, decides on all requests of an organisation; a high quota is divided by
 * the programs into shards with a coordinator each. The others ask it for each request. A VM
 * without an answer decides by a share that is small for all VMs together.
 *
 * VMs that can't see each other, each side taking the other for dead, grant by the share of the
 * VMs in sight. A VM that becomes the coordinator asks the one that was it before for its state,
 * which then grants nothing more. One that was paused, or gets no state, starts with a small
 * amount.
 */
class OrganisationQuotas
{
public:
    using Send = std::function<void(const Endpoint &to, const peers::QuotaNote &note)>;
    using Done = std::function<void(const QuotaDecision &)>;

    OrganisationQuotas(const Clock &clock, Timers &timers, const VmDirectory &vms, Send send,
                       std::uint64_t seed);

    void setTolerance(const QuotaTolerance &tolerance) { m_tolerance = tolerance; }
    /** Decides on a claim; calls @p done once, possibly before it returns. */
    void claim(const QuotaClaim &claim, Done done);
    /** Returns a request that was granted but then did not run. Without a program it may be
     * returned to another shard than the one that granted it. */
    void giveBack(const OrganisationId &organisation, const ProgramId &program);
    /** Handles a message from the VM at @p from. */
    void receive(const Endpoint &from, const peers::QuotaNote &note);
    /** The organisations whose calls this VM has seen lately, at most a thousand. */
    std::vector<QuotaUse> use() const;

private:
    /** One shard of an organisation's quota. */
    struct Item
    {
        OrganisationId organisation;
        std::size_t shard = 0;
        std::size_t shards = 1;

        friend auto operator<=>(const Item &, const Item &) = default;
        std::string name() const;
    };

    /** What this VM knows as the coordinator of an item. */
    struct Coordination
    {
        QuotaState state;
        QuotaLimits limits;
        /** Id of the question for the state of the coordinator before, and when it was asked. */
        std::int64_t takeOverId = 0;
        BootTime takeOverAskedAt;
        /** The VM that has taken over, and when. */
        std::optional<Endpoint> successor;
        SteadyTime handedOverAt;
    };

    struct Organisation
    {
        RequestQuota quota;
        /** Number of shards by the last claim of this VM, 0 for none, and since when. */
        std::size_t shards = 0;
        std::optional<SteadyTime> reshardedAt;
        QuotaUse use;
        LocalShare localShare;
    };

    /** A claim that has not been decided. */
    struct Question
    {
        QuotaClaim claim;
        Done done;
        Item item;
        ProgramFingerprint program;
        SteadyTime decideBy;
        BootTime askedAt;
        bool repeated = false;
        bool redirected = false;
    };
    using QuestionPtr = std::shared_ptr<Question>;

    /** What the VM that asks knows of the organisation. */
    struct UseElsewhere
    {
        /** 0 if unknown. */
        double meanRequests = 0;
        /** Another number of shards has been in use less than a window ago. */
        bool resharded = false;
    };

    enum class Decider { Here, Elsewhere, Alone };

    Item itemOf(const OrganisationId &organisation, const RequestQuota &quota,
                const ProgramFingerprint &program);
    std::optional<Endpoint> coordinatorOf(const Item &item, const Coordination *coordination) const;
    void ask(const QuestionPtr &question);
    void sendQuestion(std::int64_t id, const Question &question, const Endpoint &to);
    void awaitAnswer(std::int64_t id);
    void handleTimeout(std::int64_t id);
    void decideAlone(std::int64_t id);
    void finish(const QuestionPtr &question, const QuotaDecision &decision, Decider decider);
    QuotaDecision decide(const Item &item, const RequestQuota &quota, const BucketClaim &claim,
                         const UseElsewhere &elsewhere);
    void askPredecessor(const Item &item, Coordination &coordination);
    void handleQuestion(const Endpoint &from, const peers::QuotaNote &question);
    void handleAnswer(const Endpoint &from, const peers::QuotaNote &answer);
    void handleTakeOver(const Endpoint &from, const peers::QuotaNote &question);
    void handleState(const peers::QuotaNote &note);
    void returnTo(const Item &item, const ProgramFingerprint &program);
    UseElsewhere useElsewhere(const OrganisationId &organisation) const;
    /** True if the set of live VMs has not changed for a window and some margin, so that no other
     * VM can have granted requests of this VM's items within the window. */
    bool isSettled() const;
    void tick();
    /** Discards what this VM knows as a coordinator if the process was paused, since other VMs may
     * have taken over. */
    void checkPause();

    const Clock &m_clock;
    Timers &m_timers;
    const VmDirectory &m_vms;
    Send m_send;
    std::mt19937_64 m_random;
    QuotaTolerance m_tolerance;
    LruMap<OrganisationId, Organisation> m_organisations;
    std::unique_ptr<LruMap<Item, Coordination>> m_coordinations;
    /** Answers by the VM that asked and its id, for questions that are repeated. */
    LruMap<std::pair<Endpoint, std::int64_t>, peers::QuotaNote> m_answers;
    std::map<std::int64_t, QuestionPtr> m_questions;
    /** Questions that were decided without their answer; their late grants are given back. */
    LruMap<std::int64_t, std::optional<std::pair<Item, ProgramFingerprint>>> m_abandoned;
    std::int64_t m_nextId;
    /** The VMs in sight as a part of all; follows an increase slowly. */
    double m_share = 0;
    /** The other live VMs, and since when they have been the same ones. */
    std::vector<Endpoint> m_liveVms;
    SteadyTime m_sameVmsSince;
    SteadyTime m_checkedAt;
    BootTime m_checkedAtBoot;
};

} // namespace boragepath
