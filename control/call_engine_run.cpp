#include "control/call_engine.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

// Processing of one call, from its budget reservation to its recorded turn.

namespace boragepath {

namespace {

constexpr Milliseconds RetryAfterBackendFailure{1'000};
constexpr Milliseconds RetryAfterUnavailable{1'000};
constexpr Milliseconds FirstRetryDelay{50};
constexpr int MaxAttempts = 4;
constexpr int MaxMoves = 2;
/** A queued call moves to another replica only if its expected wait drops by at least this. */
constexpr double MinMoveGainMillis = 500;
constexpr double MaxRetryBudget = 50;
/** Each successful call adds this much to the retry budget; one retry costs 1. */
constexpr double RetriesPerSuccess = 0.1;
/** Weight of the newest sample in the moving average of a pool's service time. */
constexpr double ServiceTimeSmoothing = 0.05;
constexpr double InitialMeanServiceMillis = 1'000;
constexpr std::int64_t TokensPerThousand = 1'000;
/** Assumed length of the prompt prefix that all programs of an entry have in common. */
constexpr std::int64_t AssumedSharedPromptTokens = 256;

Amount costOf(const PoolSettings &pool, std::int64_t tokens)
{
    const std::int64_t priced =
        (tokens * pool.microsPerThousandTokens + TokensPerThousand - 1) / TokensPerThousand;
    return {tokens, pool.microsPerCall + priced};
}

/** The replica that rendezvous hashing selects for @p key, on every VM that sees these replicas. */
ReplicaId replicaByHash(const std::vector<ReplicaView> &views, const std::string &key)
{
    const ReplicaView *selected = nullptr;
    std::uint64_t highest = 0;
    for (const ReplicaView &view : views) {
        const std::uint64_t weight = rendezvousWeight(key, view.id.value());
        if (selected == nullptr || weight > highest) {
            selected = &view;
            highest = weight;
        }
    }
    return selected->id;
}

} // namespace

// --- Budget ------------------------------------------------------------------

Amount CallEngine::maxCost(const Program &program, const CallRequest &request,
                           const PoolSettings &pool) const
{
    if (request.isService) {
        return costOf(pool, 0);
    }
    const std::int64_t completion =
        request.maxTokens > 0 ? request.maxTokens : pool.defaultMaxTokens;
    return costOf(pool, promptTokenBound(program, request) + completion);
}

void CallEngine::reserve(Program &program)
{
    ActiveCall &call = *program.current;
    call.stage = CallStage::Reserving;
    const CatalogueEntry *entry = m_deps.catalogue.find(program.key.entry);
    const PoolSettings *pool = poolOf(call.request.pool);
    if (entry == nullptr || pool == nullptr) {
        refuseCurrent(
            program, makeRefusal(Verdict::NotRun, Reason::UnknownPool, "no such model or service"));
        return;
    }
    if (!m_safeguards.reserve) {
        placeCall(program);
        return;
    }
    const Amount amount = maxCost(program, call.request, *pool);
    const std::int64_t period = m_deps.ledger.periodOf(*entry);
    const ProgramKey key = program.key;
    const CallNumber number = call.request.number;
    const auto done = [this, key, number, amount, period](ReserveOutcome outcome) {
        Program *found = findCurrent(key, number, CallStage::Reserving);
        if (found == nullptr) {
            if (outcome == ReserveOutcome::Reserved) {
                m_deps.ledger.cancel(key.entry, period, amount);
            }
            return;
        }
        if (outcome == ReserveOutcome::Exhausted) {
            refuseCurrent(*found,
                          makeRefusal(Verdict::NotRun, Reason::BudgetExhausted,
                                      "the entry's budget does not cover this call",
                                      std::chrono::hours(1)));
            return;
        }
        if (outcome == ReserveOutcome::OwnershipLost) {
            refuseCurrent(*found,
                          makeRefusal(Verdict::NotRun, Reason::NoLease,
                                      "this VM has lost its ownership", RetryAfterUnavailable));
            return;
        }
        found->current->reserved = amount;
        found->current->period = period;
        placeCall(*found);
    };
    m_deps.ledger.reserve(*entry, amount, done);
}

void CallEngine::releaseReservations(ActiveCall &call)
{
    if (call.permit != PermitId()) {
        m_deps.permits.release(call.permit);
        call.permit = PermitId();
    }
    if (!(call.reserved == Amount{})) {
        const Amount reserved = std::exchange(call.reserved, Amount{});
        m_deps.ledger.cancel(call.request.program.entry, call.period, reserved);
    }
}

// --- Placement ---------------------------------------------------------------

const PoolSettings *CallEngine::poolOf(const PoolName &name) const
{
    for (const PoolSettings &pool : m_deps.settings.pools) {
        if (pool.name == name) {
            return &pool;
        }
    }
    return nullptr;
}

const ReplicaSettings *CallEngine::replicaOf(const ReplicaId &id) const
{
    for (const PoolSettings &pool : m_deps.settings.pools) {
        for (const ReplicaSettings &replica : pool.replicas) {
            if (replica.id == id) {
                return &replica;
            }
        }
    }
    return nullptr;
}

double CallEngine::meanServiceMillis(const PoolName &pool) const
{
    const auto mean = m_meanServiceMillis.find(pool);
    return mean == m_meanServiceMillis.end() ? InitialMeanServiceMillis : mean->second;
}

std::vector<ReplicaView> CallEngine::candidateReplicas(const ActiveCall &call,
                                                       const PoolSettings &pool) const
{
    std::vector<ReplicaView> views;
    for (const ReplicaSettings &replica : pool.replicas) {
        if (!m_deps.loads.isAvailable(replica.id) || call.excluded.contains(replica.id)) {
            continue;
        }
        const ReplicaLoads::Load &load = m_deps.loads.forReplica(replica.id);
        views.push_back(
            {replica.id, load.running, load.waiting, replica.zone == m_deps.settings.zone});
    }
    return views;
}

void CallEngine::placeCall(Program &program)
{
    ActiveCall &call = *program.current;
    const PoolSettings &pool = *poolOf(call.request.pool);
    std::vector<ReplicaView> views = candidateReplicas(call, pool);
    if (views.empty() && !call.excluded.empty()) {
        call.excluded.clear();
        views = candidateReplicas(call, pool);
    }
    if (views.empty()) {
        refuseCurrent(program,
                      makeRefusal(Verdict::NotRun, Reason::NoReplica,
                                  "no backend server can take the call", RetryAfterUnavailable));
        return;
    }
    PlacementQuery query;
    if (!pool.isService) {
        query.historyTokens = program.historyTokens();
        query.prefixReplica = program.lastReplica;
        query.commonPromptTokens = AssumedSharedPromptTokens;
        query.commonPromptReplica = replicaByHash(views, program.key.entry.value());
    } else if (!call.request.object.empty()) {
        query.objectReplica = replicaByHash(views, call.request.object);
    }
    query.maxBatchSize = pool.maxBatchSize;
    query.meanServiceMillis = meanServiceMillis(pool.name);
    query.prefillMillisPerToken =
        static_cast<double>(pool.prefillPerThousandTokens.count()) / TokensPerThousand;
    query.turn = m_placementCount++;
    const PlacementDecision placement =
        chooseReplica(m_deps.settings.policy, views, query, m_random);
    call.replica = *replicaOf(views[placement.index].id);
    call.decision += absl::StrCat(call.decision.empty() ? "" : "; ", call.replica.id.value(), " ",
                                  placement.reason);
    if (usesPermits(m_deps.settings.policy)) {
        requestPermit(program, pool);
        return;
    }
    onPermitGranted(program);
}

Milliseconds CallEngine::slackOf(const Program &program, const CatalogueEntry &entry) const
{
    const Duration spent = m_deps.clock.now() - program.started;
    return entry.objective - std::chrono::duration_cast<Milliseconds>(spent);
}

std::int64_t CallEngine::attainedServiceMillis(const Program &program) const
{
    std::int64_t attained = program.attainedMillis + program.childMillis;
    if (program.openRow.parent.has_value()) {
        const auto parent = m_programs.find({program.key.entry, *program.openRow.parent});
        if (parent != m_programs.end()) {
            attained += parent->second.attainedMillis;
        }
    }
    return attained;
}

void CallEngine::requestPermit(Program &program, const PoolSettings &pool)
{
    ActiveCall &call = *program.current;
    call.stage = CallStage::Queued;
    call.permit = PermitId();
    const CatalogueEntry *entry = m_deps.catalogue.find(program.key.entry);
    peers::PermitRequest request;
    request.replica = call.replica.id.value();
    request.serviceClass =
        static_cast<std::int16_t>(entry == nullptr ? ServiceClass::Batch : entry->serviceClass);
    request.attainedMillis = attainedServiceMillis(program);
    request.slackMillis = entry == nullptr ? 0 : slackOf(program, *entry).count();
    request.waitedMillis = toMillis(m_deps.clock.now() - call.arrived);
    request.started = !program.turns.empty();
    const ProgramKey key = program.key;
    const CallNumber number = call.request.number;
    const PermitId permit = m_deps.permits.acquire(
        request, pool.maxBatchSize, [this, key, number](PermitId id, const PermitReply &reply) {
            onPermitReply(key, number, id, reply);
        });
    Program *found = findCurrent(key, number, CallStage::Queued);
    if (found != nullptr && found->current->permit == PermitId()) {
        found->current->permit = permit;
    }
}

Program *CallEngine::findCurrent(const ProgramKey &key, CallNumber number, CallStage stage)
{
    Program *program = findProgram(key);
    if (program == nullptr || !program->current.has_value()
        || program->current->request.number != number || program->current->stage != stage) {
        return nullptr;
    }
    return program;
}

void CallEngine::onPermitReply(const ProgramKey &key, CallNumber number, PermitId permit,
                               const PermitReply &reply)
{
    Program *program = findCurrent(key, number, CallStage::Queued);
    const bool stillWaiting = program != nullptr
        && (program->current->permit == permit || program->current->permit == PermitId());
    if (!stillWaiting) {
        m_deps.permits.release(permit);
        return;
    }
    ActiveCall &call = *program->current;
    call.permit = permit;
    m_deps.loads.updateCounts(call.replica.id, reply.running, reply.waiting);
    switch (reply.outcome) {
    case peers::PermitOutcome::GRANTED:
        onPermitGranted(*program);
        break;
    case peers::PermitOutcome::QUEUED:
        considerMove(*program, reply);
        break;
    default:
        call.permit = PermitId();
        if (call.moves < MaxMoves) {
            call.moves += 1;
            call.excluded.insert(call.replica.id);
            placeCall(*program);
            break;
        }
        refuseCurrent(*program,
                      makeRefusal(Verdict::NotRun, Reason::Overloaded,
                                  "the backend servers are overloaded",
                                  std::max(reply.retryAfter, RetryAfterUnavailable)));
        break;
    }
}

void CallEngine::considerMove(Program &program, const PermitReply &reply)
{
    ActiveCall &call = *program.current;
    if (m_deps.settings.policy != PolicyKind::Program || call.moves >= MaxMoves) {
        return;
    }
    const PoolSettings &pool = *poolOf(call.request.pool);
    PlacementQuery query;
    query.maxBatchSize = pool.maxBatchSize;
    query.meanServiceMillis = meanServiceMillis(pool.name);
    const ReplicaView currentReplica{call.replica.id, static_cast<double>(reply.running),
                                     static_cast<double>(reply.waiting), true};
    const double prefillMillis = static_cast<double>(program.historyTokens())
        * static_cast<double>(pool.prefillPerThousandTokens.count()) / TokensPerThousand;
    const double recompute = program.lastReplica == call.replica.id ? prefillMillis : 0;
    double bestElsewhere = expectedWaitMillis(currentReplica, query);
    for (const ReplicaView &view : candidateReplicas(call, pool)) {
        if (view.id != call.replica.id) {
            bestElsewhere = std::min(bestElsewhere, expectedWaitMillis(view, query) + recompute);
        }
    }
    if (expectedWaitMillis(currentReplica, query) - bestElsewhere < MinMoveGainMillis) {
        return;
    }
    call.moves += 1;
    m_statistics.moves += 1;
    const PermitId permit = std::exchange(call.permit, PermitId());
    call.stage = CallStage::Backoff;
    m_deps.permits.release(permit);
    placeCall(program);
}

void CallEngine::onPermitGranted(Program &program)
{
    ActiveCall &call = *program.current;
    call.decision += absl::StrFormat(", waited %d ms", toMillis(m_deps.clock.now() - call.arrived));
    if (!call.request.idempotent && m_safeguards.intents) {
        commitIntent(program);
        return;
    }
    dispatch(program);
}

// --- At most once ------------------------------------------------------------

void CallEngine::commitIntent(Program &program)
{
    ActiveCall &call = *program.current;
    call.stage = CallStage::CommittingIntent;
    call.intentDurable = false;
    IntentRecord intent;
    intent.number = call.request.number;
    intent.bodyHash = call.request.bodyHash;
    intent.idempotencyKey = call.request.idempotencyKey;
    intent.replica = call.replica.id;
    intent.pool = call.request.pool;
    intent.isService = call.request.isService;
    intent.vm = m_deps.settings.vm;
    intent.fence = m_deps.commits.fence();
    intent.reserved = call.reserved;
    intent.unixMillis = unixMillis(m_deps.clock.wallNow());
    const std::string value = encode(intent);
    const ProgramKey key = program.key;
    const CallNumber number = intent.number;
    CommitItem item;
    item.writes.push_back({keys::intent(program.shard, key, number), value});
    item.writes.push_back({keys::intentIndex(key, number), value});
    item.done = [this, key, number](const CommitResult &result) { onIntent(key, number, result); };
    m_deps.commits.enqueue(std::move(item));
}

void CallEngine::onIntent(const ProgramKey &key, CallNumber number, const CommitResult &result)
{
    Program *program = findCurrent(key, number, CallStage::CommittingIntent);
    if (program == nullptr) {
        return;
    }
    ActiveCall &call = *program->current;
    if (result.kind != CommitResult::Kind::Committed) {
        refuseCurrent(*program,
                      makeRefusal(Verdict::NotRun, Reason::NoLease,
                                  "this VM has lost its ownership", RetryAfterUnavailable));
        return;
    }
    call.intentDurable = true;
    if (call.handles.empty()) {
        // The callers were told that the call was not run, so it must not be sent any more.
        abandonIntent(*program);
        return;
    }
    if (!m_deps.commits.leaseValid()) {
        refuseCurrent(*program,
                      makeRefusal(Verdict::NotRun, Reason::NoLease,
                                  "the lease lapsed before the call could be sent",
                                  RetryAfterUnavailable));
        return;
    }
    dispatch(*program);
}

void CallEngine::abandonIntent(Program &program)
{
    deleteIntent(program, program.current->request.number);
    releaseReservations(*program.current);
    program.current.reset();
    startNextCall(program);
}

void CallEngine::deleteIntent(const Program &program, CallNumber number)
{
    CommitItem item;
    item.writes.push_back({keys::intent(program.shard, program.key, number), std::nullopt});
    item.writes.push_back({keys::intentIndex(program.key, number), std::nullopt});
    item.done = [](const CommitResult &) {};
    m_deps.commits.enqueue(std::move(item));
}

// --- Dispatch and outcome ----------------------------------------------------

void CallEngine::dispatch(Program &program)
{
    ActiveCall &call = *program.current;
    const PoolSettings &pool = *poolOf(call.request.pool);
    call.stage = CallStage::Running;
    call.attempts += 1;
    call.dispatchedAt = m_deps.clock.now();
    if (!pool.isService && program.openRow.replicas.insert(call.replica.id).second) {
        program.openRowStale = true;
    }
    BackendCall backend;
    backend.program = program.key;
    backend.number = call.request.number;
    backend.replica = call.replica;
    backend.pool = pool.name;
    backend.isService = pool.isService;
    backend.idempotent = call.request.idempotent;
    backend.idempotencyKey = call.request.idempotencyKey;
    backend.fence = m_deps.commits.fence();
    backend.responseIdleTimeout = pool.responseIdleTimeout;
    backend.sendBefore = m_deps.commits.leaseEnd();
    if (pool.isService) {
        backend.path = call.request.path;
        backend.body = call.request.content;
    } else {
        backend.path = "/v1/chat/completions";
        const std::int64_t maxTokens =
            call.request.maxTokens > 0 ? call.request.maxTokens : pool.defaultMaxTokens;
        backend.body = composeModelBody(program, call.request, maxTokens);
    }
    m_deps.loads.adjustRunning(call.replica.id, 1);
    m_runningCalls[call.handles.front()] = program.key;
    m_deps.effects.dispatch(call.handles.front(), backend);
}

void CallEngine::onBackendOutcome(CallHandle handle, const BackendOutcome &outcome)
{
    const auto running = m_runningCalls.find(handle);
    if (running == m_runningCalls.end()) {
        return;
    }
    Program *program = findProgram(running->second);
    m_runningCalls.erase(running);
    if (program == nullptr || !program->current.has_value()
        || program->current->stage != CallStage::Running) {
        return;
    }
    ActiveCall &call = *program->current;
    program->lastActivity = m_deps.clock.now();
    m_deps.loads.adjustRunning(call.replica.id, -1);
    if (call.permit != PermitId()) {
        m_deps.permits.release(std::exchange(call.permit, PermitId()));
    }
    if (outcome.complete) {
        m_deps.loads.recordSuccess(call.replica.id);
        finish(*program, outcome);
        return;
    }
    m_deps.loads.recordFailure(call.replica.id);
    onFailure(*program, outcome);
}

TurnRecord CallEngine::describeTurn(const Program &program, const BackendOutcome &outcome) const
{
    const ActiveCall &call = *program.current;
    TurnRecord turn;
    turn.number = call.request.number;
    turn.bodyHash = call.request.bodyHash;
    turn.isService = call.request.isService;
    turn.idempotent = call.request.idempotent;
    if (!turn.isService) {
        turn.messages = call.request.content;
    }
    turn.answer = outcome.answer;
    turn.finishReason = outcome.finishReason;
    turn.status = outcome.status;
    turn.pool = call.request.pool;
    turn.replica = call.replica.id;
    turn.vm = m_deps.settings.vm;
    turn.usage = outcome.usage;
    turn.serviceMillis = toMillis(m_deps.clock.now() - call.dispatchedAt);
    turn.startedUnixMillis = unixMillis(call.arrivedWall);
    turn.endedUnixMillis = unixMillis(m_deps.clock.wallNow());
    turn.last = call.request.last;
    turn.decision = call.decision;
    return turn;
}

void CallEngine::finish(Program &program, const BackendOutcome &outcome)
{
    ActiveCall &call = *program.current;
    const PoolSettings &pool = *poolOf(call.request.pool);
    TurnRecord turn = describeTurn(program, outcome);
    turn.cost =
        costOf(pool, turn.isService ? 0 : turn.usage.promptTokens + turn.usage.completionTokens);
    if (!fitsWithin(turn.cost, call.reserved) && m_safeguards.reserve) {
        m_deps.effects.log("cost-above-reservation", call.replica.id.value());
    }
    m_retryBudget = std::min(MaxRetryBudget, m_retryBudget + RetriesPerSuccess);
    double &mean =
        m_meanServiceMillis.try_emplace(pool.name, InitialMeanServiceMillis).first->second;
    mean += ServiceTimeSmoothing * (static_cast<double>(turn.serviceMillis) - mean);
    m_statistics.promptTokens += turn.usage.promptTokens;
    m_statistics.cachedTokens += turn.usage.cachedTokens;
    m_statistics.completionTokens += turn.usage.completionTokens;
    recordTurn(program, turn);
}

void CallEngine::addOpenRowWrite(Program &program, CommitItem &item)
{
    if (!program.openRowStale && program.openRowDurable) {
        return;
    }
    program.openRowStale = false;
    item.writes.push_back({keys::openProgram(program.shard, program.key), encode(program.openRow)});
}

void CallEngine::recordTurn(Program &program, const TurnRecord &turn)
{
    ActiveCall &call = *program.current;
    call.stage = CallStage::CommittingTurn;
    CommitItem item;
    item.writes.push_back({keys::turn(program.shard, program.key, turn.number), encode(turn)});
    if (!turn.idempotent) {
        item.writes.push_back(
            {keys::intent(program.shard, program.key, turn.number), std::nullopt});
        if (turn.verdict == Verdict::Ran) {
            item.writes.push_back({keys::intentIndex(program.key, turn.number), std::nullopt});
        }
    }
    if (turn.last) {
        program.openRow.ended = true;
        program.openRowStale = true;
    }
    addOpenRowWrite(program, item);
    const Amount reserved = std::exchange(call.reserved, Amount{});
    if (m_safeguards.reserve) {
        m_deps.ledger.settle(program.key.entry, call.period, reserved, turn.cost, item);
    }
    const ProgramKey key = program.key;
    item.done = [this, key, turn](const CommitResult &result) { onRecorded(key, turn, result); };
    if (!m_safeguards.recordBeforeAnswer) {
        CallAnswer answer;
        answer.turn = turn;
        answer.nextCall = CallNumber(turn.number.value() + 1);
        for (const CallHandle handle : call.handles) {
            m_deps.effects.answer(handle, answer);
        }
        call.handles.clear();
    }
    m_deps.commits.enqueue(std::move(item));
}

void CallEngine::onRecorded(const ProgramKey &key, const TurnRecord &turn,
                            const CommitResult &result)
{
    Program *program = findCurrent(key, turn.number, CallStage::CommittingTurn);
    if (program == nullptr) {
        return;
    }
    if (result.kind != CommitResult::Kind::Committed) {
        refuseCurrent(*program,
                      makeRefusal(Verdict::MayHaveRun, Reason::RecordLost,
                                  "it ran, but this VM lost its ownership before it was recorded",
                                  RetryAfterUnavailable));
        return;
    }
    program->openRowDurable = true;
    program->addTurn(turn);
    const std::vector<CallHandle> handles = std::move(program->current->handles);
    releaseReservations(*program->current);
    program->current.reset();
    CallAnswer answer;
    answer.turn = turn;
    answer.nextCall = program->next;
    if (turn.verdict != Verdict::Ran) {
        answer.refusal = makeRefusal(Verdict::MayHaveRun, Reason::OutcomeUnknown,
                                     "the call may have run; its outcome is not known");
        m_statistics.mayHaveRun += 1;
    }
    m_statistics.answered += 1;
    bool first = true;
    for (const CallHandle handle : handles) {
        answer.replayed = !first;
        first = false;
        m_deps.effects.answer(handle, answer);
    }
    if (turn.last) {
        countProgramEnd(*program, false);
        beginRelease(*program);
    }
    startNextCall(*program);
}

bool CallEngine::mayRetry(const ActiveCall &call, const BackendOutcome &outcome) const
{
    const bool safeToResend = !outcome.sent || (call.request.idempotent && !outcome.forwarded);
    return safeToResend && call.attempts < MaxAttempts && m_retryBudget >= 1;
}

void CallEngine::onFailure(Program &program, const BackendOutcome &outcome)
{
    ActiveCall &call = *program.current;
    call.everSent = call.everSent || outcome.sent;
    m_deps.effects.log("backend-failed",
                       absl::StrCat(call.replica.id.value(), ": ", outcome.error));
    if (mayRetry(call, outcome)) {
        m_retryBudget -= 1;
        m_statistics.retries += 1;
        call.stage = CallStage::Backoff;
        call.excluded.insert(call.replica.id);
        const std::int64_t maxDelayMillis = FirstRetryDelay.count() << call.attempts;
        std::uniform_int_distribution<std::int64_t> jitter(maxDelayMillis / 2, maxDelayMillis);
        call.retryAt = m_deps.clock.now() + Milliseconds(jitter(m_random));
        call.decision += absl::StrCat("; failed: ", outcome.error);
        return;
    }
    const bool nonIdempotentSent = outcome.sent && !call.request.idempotent;
    if (!nonIdempotentSent) {
        refuseCurrent(program,
                      makeRefusal(outcome.sent ? Verdict::MayHaveRun : Verdict::NotRun,
                                  Reason::BackendFailed, outcome.error, RetryAfterBackendFailure));
        return;
    }
    TurnRecord turn = describeTurn(program, outcome);
    turn.verdict = Verdict::MayHaveRun;
    turn.cost = call.reserved;
    recordTurn(program, turn);
}

} // namespace boragepath
