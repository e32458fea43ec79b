#include "control/quotas/organisation_quotas.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace boragepath {

namespace {

/** Several round trips between zones; a VM that is alive has answered by then. */
constexpr Milliseconds AnswerTimeout{60};
/** Between checks for a pause of the process. */
constexpr Milliseconds TickInterval{250};
/** A tick that is later than this, or a suspension of this length, means a pause. */
constexpr Milliseconds LongestPause{1'000};
/** Gossip of a VM that takes over has reached the VM before it by then. */
constexpr Milliseconds HandoverValidity{3'000};
/** Until all VMs have noticed a change of the live ones, and agree on the coordinators. */
constexpr Milliseconds SettledMargin{2'000};
/** Growth per second of the part of the VMs by which quotas are granted, as after a partition:
 * VMs learn at different times that it has ended. */
constexpr double ShareGrowth = 0.5;
/** So that no small VM has to answer all questions of a large organisation. */
constexpr double RequestsPerSecondOfShard = 150;
/** Pause before a claim that was refused without an answer is worth asking again. */
constexpr Milliseconds UnansweredDelay{500};

/** More than a deployment has. */
constexpr std::size_t MaxOrganisations = 1'000;
/** Shards that this VM decides for; more than it is the coordinator of in a small fleet. */
constexpr std::size_t MaxCoordinations = 2'000;
/** Enough for the questions that may still be repeated, at some ten thousand a second. */
constexpr std::size_t MaxAnswers = 4'096;
constexpr std::size_t MaxAbandoned = 1'024;
/** Rates and amounts are sent as integers, in thousandths. */
constexpr double Thousand = 1'000;

ProgramFingerprint fingerprintOf(const ProgramId &program)
{
    return ProgramFingerprint(program.value().empty() ? 0
                                                      : boragepath::fingerprintOf(program.value()));
}

std::int64_t toThousandths(double value)
{
    return std::llround(value * Thousand);
}

double fromThousandths(std::int64_t value)
{
    return static_cast<double>(value) / Thousand;
}

RequestQuota quotaOf(const peers::QuotaNote &note)
{
    return {RequestRate(fromThousandths(std::max<std::int64_t>(note.milliRate, 0))),
            fromThousandths(std::max<std::int64_t>(note.milliBurst, 0))};
}

bool isValid(const peers::QuotaNote &note)
{
    return note.shards >= 1 && note.shard >= 0 && note.shard < note.shards;
}

} // namespace

std::string OrganisationQuotas::Item::name() const
{
    const std::string base = absl::StrCat("quota/", organisation.value());
    return shards == 1 ? base : absl::StrCat(base, "/", shard);
}

OrganisationQuotas::OrganisationQuotas(const Clock &clock, Timers &timers, const VmDirectory &vms,
                                       Send send, std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_vms(vms)
    , m_send(std::move(send))
    , m_random(seed)
    , m_organisations(MaxOrganisations)
    , m_coordinations(std::make_unique<LruMap<Item, Coordination>>(MaxCoordinations))
    , m_answers(MaxAnswers)
    , m_abandoned(MaxAbandoned)
    // A VM that has restarted must not use the ids of questions that it asked before.
    , m_nextId(static_cast<std::int64_t>(m_random() >> 16) + 1)
    , m_share(vms.shareInSight())
    , m_sameVmsSince(clock.now())
    , m_checkedAt(clock.now())
    , m_checkedAtBoot(clock.bootNow())
{
    m_timers.after(TickInterval, [this] { tick(); });
}

void OrganisationQuotas::tick()
{
    checkPause();
    const double growth = ShareGrowth * std::chrono::duration<double>(TickInterval).count();
    m_share = std::min(m_vms.shareInSight(), m_share + growth);
    std::vector<Endpoint> live = m_vms.rankedFor("quota", m_vms.liveCount());
    if (live != m_liveVms) {
        m_liveVms = std::move(live);
        m_sameVmsSince = m_clock.now();
    }
    m_timers.after(TickInterval, [this] { tick(); });
}

void OrganisationQuotas::checkPause()
{
    const SteadyTime now = m_clock.now();
    const BootTime bootNow = m_clock.bootNow();
    const Duration elapsed = std::max(now - m_checkedAt, bootNow - m_checkedAtBoot);
    m_checkedAt = now;
    m_checkedAtBoot = bootNow;
    if (elapsed > LongestPause) {
        m_coordinations = std::make_unique<LruMap<Item, Coordination>>(MaxCoordinations);
        m_share = 1 / static_cast<double>(m_vms.vmCountForLimits());
        m_sameVmsSince = now;
    }
}

bool OrganisationQuotas::isSettled() const
{
    return m_clock.now() >= m_sameVmsSince + m_tolerance.window + SettledMargin;
}

OrganisationQuotas::Item OrganisationQuotas::itemOf(const OrganisationId &organisation,
                                                    const RequestQuota &quota,
                                                    const ProgramFingerprint &program)
{
    const auto shards = static_cast<std::size_t>(
        std::max(1.0, std::ceil(quota.rate.value() / RequestsPerSecondOfShard)));
    const std::uint64_t hash =
        program == ProgramFingerprint() ? m_random() : static_cast<std::uint64_t>(program.value());
    return {organisation, hash % shards, shards};
}

std::optional<Endpoint> OrganisationQuotas::coordinatorOf(const Item &item,
                                                          const Coordination *coordination) const
{
    if (coordination != nullptr && coordination->successor.has_value()
        && m_clock.now() < coordination->handedOverAt + HandoverValidity) {
        return coordination->successor;
    }
    return m_vms.coordinatorFor(item.name());
}

void OrganisationQuotas::claim(const QuotaClaim &claim, Done done)
{
    if (!claim.quota.isLimited()) {
        done({true, {}});
        return;
    }
    checkPause();
    Organisation &organisation = m_organisations.put(claim.organisation);
    organisation.quota = claim.quota;
    organisation.use.organisation = claim.organisation;
    auto question = std::make_shared<Question>();
    question->claim = claim;
    question->done = std::move(done);
    question->program = fingerprintOf(claim.program);
    question->item = itemOf(claim.organisation, claim.quota, question->program);
    question->decideBy = m_clock.now() + claim.maxWait;
    if (organisation.shards != question->item.shards) {
        if (organisation.shards != 0) {
            organisation.reshardedAt = m_clock.now();
        }
        organisation.shards = question->item.shards;
    }
    ask(question);
}

void OrganisationQuotas::ask(const QuestionPtr &question)
{
    const Item &item = question->item;
    const std::optional<Endpoint> coordinator = coordinatorOf(item, m_coordinations->find(item));
    if (!coordinator.has_value()) {
        finish(question,
               decide(item, question->claim.quota, {question->program, question->claim.mayBegin},
                      useElsewhere(item.organisation)),
               Decider::Here);
        return;
    }
    const std::int64_t id = m_nextId++;
    question->askedAt = m_clock.bootNow();
    question->repeated = false;
    question->redirected = false;
    m_questions[id] = question;
    sendQuestion(id, *question, *coordinator);
    awaitAnswer(id);
}

void OrganisationQuotas::sendQuestion(std::int64_t id, const Question &question, const Endpoint &to)
{
    peers::QuotaNote note;
    note.kind = peers::QuotaNoteKind::QUESTION;
    note.id = id;
    note.organisation = question.item.organisation.value();
    note.shard = static_cast<std::int32_t>(question.item.shard);
    note.shards = static_cast<std::int32_t>(question.item.shards);
    note.program = question.program.value();
    note.milliRate = toThousandths(question.claim.quota.rate.value());
    note.milliBurst = toThousandths(question.claim.quota.burst);
    note.mayBegin = question.claim.mayBegin;
    const UseElsewhere elsewhere = useElsewhere(question.item.organisation);
    note.milliMean = toThousandths(elsewhere.meanRequests);
    if (elsewhere.resharded) {
        note.__set_resharded(true);
    }
    m_send(to, note);
}

OrganisationQuotas::UseElsewhere
OrganisationQuotas::useElsewhere(const OrganisationId &organisation) const
{
    const Organisation *known = m_organisations.find(organisation);
    if (known == nullptr) {
        return {};
    }
    const bool resharded = known->reshardedAt.has_value()
        && m_clock.now() < *known->reshardedAt + m_tolerance.window + SettledMargin;
    return {known->use.meanRequests, resharded};
}

void OrganisationQuotas::awaitAnswer(std::int64_t id)
{
    m_timers.after(AnswerTimeout, [this, id] { handleTimeout(id); });
}

void OrganisationQuotas::handleTimeout(std::int64_t id)
{
    const auto found = m_questions.find(id);
    if (found == m_questions.end()) {
        return;
    }
    checkPause();
    Question &question = *found->second;
    const std::optional<Endpoint> coordinator =
        coordinatorOf(question.item, m_coordinations->find(question.item));
    if (question.repeated || !coordinator.has_value()) {
        decideAlone(id);
        return;
    }
    question.repeated = true;
    sendQuestion(id, question, *coordinator);
    awaitAnswer(id);
}

void OrganisationQuotas::decideAlone(std::int64_t id)
{
    const auto found = m_questions.find(id);
    const QuestionPtr question = found->second;
    m_questions.erase(found);
    m_abandoned.put(id) = {question->item, question->program};
    Organisation &organisation = m_organisations.put(question->item.organisation);
    const LocalQuotaLimits limits =
        localQuotaLimits(question->claim.quota, m_tolerance, m_vms.vmCountForLimits());
    const bool granted = takeLocalShare(organisation.localShare, limits, m_clock.now(), m_random);
    std::uniform_int_distribution<std::int64_t> spread(0, UnansweredDelay.count());
    const Duration delay = UnansweredDelay + Milliseconds(spread(m_random));
    finish(question, {granted, granted ? Duration::zero() : delay}, Decider::Alone);
}

void OrganisationQuotas::finish(const QuestionPtr &question, const QuotaDecision &decision,
                                Decider decider)
{
    if (!decision.granted && m_clock.now() + decision.delay <= question->decideBy) {
        m_timers.after(decision.delay, [this, question] {
            checkPause();
            ask(question);
        });
        return;
    }
    QuotaUse &use = m_organisations.put(question->item.organisation).use;
    (decision.granted ? use.granted : use.refused) += 1;
    switch (decider) {
    case Decider::Here:
        use.decidedHere += 1;
        break;
    case Decider::Elsewhere:
        use.decidedElsewhere += 1;
        break;
    case Decider::Alone:
        use.decidedAlone += 1;
        break;
    }
    question->done(decision);
}

QuotaDecision OrganisationQuotas::decide(const Item &item, const RequestQuota &quota,
                                         const BucketClaim &claim, const UseElsewhere &elsewhere)
{
    Coordination &coordination = m_coordinations->put(item);
    if (coordination.successor.has_value()) {
        coordination = {};
    }
    coordination.limits = quotaLimits(quota, m_tolerance, item.shards, m_share);
    const bool isNew = !coordination.state.startedAt.has_value();
    if (isNew) {
        adoptMean(coordination.state, elsewhere.meanRequests);
        if (isSettled() && !elsewhere.resharded) {
            startFull(coordination.state, coordination.limits, m_clock.now());
        }
    }
    const QuotaDecision decision =
        decideClaim(coordination.state, coordination.limits, claim, m_clock.now(), m_random);
    if (isNew && !coordination.state.isSole) {
        askPredecessor(item, coordination);
    }
    QuotaUse &use = m_organisations.put(item.organisation).use;
    use.organisation = item.organisation;
    use.level = coordination.state.level;
    use.meanRequests = coordination.state.meanRequests;
    return decision;
}

/** Without this VM, the next one in the order of rendezvous hashing was the coordinator. */
void OrganisationQuotas::askPredecessor(const Item &item, Coordination &coordination)
{
    const std::vector<Endpoint> next = m_vms.rankedFor(item.name(), 1);
    if (next.empty()) {
        return;
    }
    coordination.takeOverId = m_nextId++;
    coordination.takeOverAskedAt = m_clock.bootNow();
    peers::QuotaNote note;
    note.kind = peers::QuotaNoteKind::TAKE_OVER;
    note.id = coordination.takeOverId;
    note.organisation = item.organisation.value();
    note.shard = static_cast<std::int32_t>(item.shard);
    note.shards = static_cast<std::int32_t>(item.shards);
    m_send(next.front(), note);
}

void OrganisationQuotas::receive(const Endpoint &from, const peers::QuotaNote &note)
{
    checkPause();
    switch (note.kind) {
    case peers::QuotaNoteKind::QUESTION:
    case peers::QuotaNoteKind::GIVE_BACK:
        if (isValid(note)) {
            handleQuestion(from, note);
        }
        break;
    case peers::QuotaNoteKind::ANSWER:
        handleAnswer(from, note);
        break;
    case peers::QuotaNoteKind::TAKE_OVER:
        if (isValid(note)) {
            handleTakeOver(from, note);
        }
        break;
    case peers::QuotaNoteKind::STATE:
        handleState(note);
        break;
    }
}

void OrganisationQuotas::handleQuestion(const Endpoint &from, const peers::QuotaNote &question)
{
    const std::pair key(from, question.id);
    if (const peers::QuotaNote *answered = m_answers.find(key)) {
        if (question.kind == peers::QuotaNoteKind::QUESTION) {
            m_send(from, *answered);
        }
        return;
    }
    const Item item{OrganisationId(question.organisation), static_cast<std::size_t>(question.shard),
                    static_cast<std::size_t>(question.shards)};
    const ProgramFingerprint program(question.program);
    peers::QuotaNote answer;
    answer.kind = peers::QuotaNoteKind::ANSWER;
    answer.id = question.id;
    const std::optional<Endpoint> other = coordinatorOf(item, m_coordinations->find(item));
    if (question.kind == peers::QuotaNoteKind::GIVE_BACK) {
        if (!other.has_value()) {
            m_answers.put(key) = answer;
            returnTo(item, program);
        }
        return;
    }
    if (other.has_value()) {
        answer.coordinator = other->text();
        m_send(from, answer);
        return;
    }
    const QuotaDecision decision =
        decide(item, quotaOf(question), {program, question.mayBegin},
               {fromThousandths(question.milliMean), question.resharded});
    const QuotaUse &use = m_organisations.find(item.organisation)->use;
    answer.granted = decision.granted;
    answer.delayMillis =
        static_cast<std::int32_t>(std::chrono::ceil<Milliseconds>(decision.delay).count());
    answer.milliLevel = toThousandths(use.level);
    answer.milliMean = toThousandths(use.meanRequests);
    m_answers.put(key) = answer;
    m_send(from, answer);
}

void OrganisationQuotas::handleAnswer(const Endpoint &from, const peers::QuotaNote &answer)
{
    const auto found = m_questions.find(answer.id);
    if (found == m_questions.end()) {
        const auto *abandoned = m_abandoned.find(answer.id);
        if (answer.granted && abandoned != nullptr && abandoned->has_value()) {
            const auto [item, program] = **abandoned;
            m_abandoned.put(answer.id).reset();
            returnTo(item, program);
        }
        return;
    }
    const QuestionPtr question = found->second;
    if (!answer.coordinator.empty()) {
        const absl::StatusOr<Endpoint> coordinator = parseEndpoint(answer.coordinator);
        if (coordinator.ok() && !question->redirected && *coordinator != from
            && *coordinator != m_vms.self().peers) {
            question->redirected = true;
            sendQuestion(answer.id, *question, *coordinator);
        }
        return;
    }
    // An answer that waited while this VM was paused may be of any age.
    if (m_clock.bootNow() > question->askedAt + 4 * AnswerTimeout) {
        decideAlone(answer.id);
        handleAnswer(from, answer);
        return;
    }
    m_questions.erase(found);
    QuotaUse &use = m_organisations.put(question->item.organisation).use;
    use.level = fromThousandths(answer.milliLevel);
    use.meanRequests = fromThousandths(answer.milliMean);
    finish(question, {answer.granted, Milliseconds(std::max(0, answer.delayMillis))},
           Decider::Elsewhere);
}

void OrganisationQuotas::handleTakeOver(const Endpoint &from, const peers::QuotaNote &question)
{
    const Item item{OrganisationId(question.organisation), static_cast<std::size_t>(question.shard),
                    static_cast<std::size_t>(question.shards)};
    const Coordination *known = m_coordinations->find(item);
    if (known == nullptr || !known->state.startedAt.has_value()) {
        return;
    }
    const QuotaHandover handover = handOver(known->state);
    Coordination &coordination = m_coordinations->put(item);
    coordination = {};
    coordination.successor = from;
    coordination.handedOverAt = m_clock.now();
    peers::QuotaNote note = question;
    note.kind = peers::QuotaNoteKind::STATE;
    note.milliLevel = toThousandths(handover.level);
    note.milliMean = toThousandths(handover.meanRequests);
    note.__set_milliStarts(toThousandths(handover.starts));
    note.__set_milliShare(static_cast<std::int32_t>(toThousandths(m_share)));
    std::vector<std::int64_t> programs;
    for (const ProgramFingerprint &program : handover.programs) {
        programs.push_back(program.value());
    }
    note.__set_programs(programs);
    m_send(from, note);
}

void OrganisationQuotas::handleState(const peers::QuotaNote &note)
{
    const Item item{OrganisationId(note.organisation), static_cast<std::size_t>(note.shard),
                    static_cast<std::size_t>(note.shards)};
    const Coordination *known = m_coordinations->find(item);
    if (known == nullptr || known->takeOverId == 0 || known->takeOverId != note.id
        || m_clock.bootNow() > known->takeOverAskedAt + 2 * AnswerTimeout) {
        return;
    }
    Coordination &coordination = m_coordinations->put(item);
    coordination.takeOverId = 0;
    // The VM before has stopped granting, and its part of the VMs is free for this one.
    m_share = std::min(std::max(m_share, fromThousandths(note.milliShare)), m_vms.shareInSight());
    QuotaHandover handover{fromThousandths(note.milliLevel),
                           fromThousandths(note.milliStarts),
                           fromThousandths(note.milliMean),
                           {}};
    for (const std::int64_t program : note.programs) {
        handover.programs.emplace_back(program);
    }
    takeOver(coordination.state, coordination.limits, handover, m_clock.now());
}

void OrganisationQuotas::giveBack(const OrganisationId &organisation, const ProgramId &program)
{
    const Organisation *known = m_organisations.find(organisation);
    if (known == nullptr || !known->quota.isLimited()) {
        return;
    }
    checkPause();
    const ProgramFingerprint fingerprint = fingerprintOf(program);
    returnTo(itemOf(organisation, known->quota, fingerprint), fingerprint);
}

void OrganisationQuotas::returnTo(const Item &item, const ProgramFingerprint &program)
{
    const Coordination *known = m_coordinations->find(item);
    const std::optional<Endpoint> coordinator = coordinatorOf(item, known);
    if (!coordinator.has_value()) {
        if (known != nullptr && known->state.startedAt.has_value()) {
            Coordination &coordination = m_coordinations->put(item);
            returnGrant(coordination.state, coordination.limits, program);
        }
        return;
    }
    peers::QuotaNote note;
    note.kind = peers::QuotaNoteKind::GIVE_BACK;
    note.id = m_nextId++;
    note.organisation = item.organisation.value();
    note.shard = static_cast<std::int32_t>(item.shard);
    note.shards = static_cast<std::int32_t>(item.shards);
    note.program = program.value();
    m_send(*coordinator, note);
}

std::vector<QuotaUse> OrganisationQuotas::use() const
{
    std::vector<QuotaUse> rows;
    m_organisations.forEach([&](const OrganisationId &, const Organisation &organisation) {
        if (!organisation.use.organisation.value().empty()) {
            rows.push_back(organisation.use);
        }
    });
    return rows;
}

} // namespace boragepath
