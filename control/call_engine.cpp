#include "control/call_engine.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace boragepath {

namespace {

constexpr Milliseconds ScanInterval{100};
constexpr Milliseconds ReleaseInterval{1'000};
constexpr Seconds ForgetAfter{30};
constexpr Milliseconds RetryAfterFailure{1'000};
constexpr Milliseconds RetryAfterTrouble{1'000};
constexpr Milliseconds FirstRetryDelay{50};
/** Calls ahead of their turn that one program may have waiting. */
constexpr std::uint32_t MaxEarlyCalls = 16;
constexpr int MaxAttempts = 4;
constexpr int MaxMoves = 2;
/** A queued call moves only if it gains this much. */
constexpr double MoveGainMillis = 500;
constexpr double RetryBudgetStart = 10;
constexpr double RetryBudgetMost = 50;
/** Retries allowed for each success. */
constexpr double RetryShare = 0.1;
constexpr double MeanWeight = 0.05;
constexpr double MeanServiceStartMillis = 1'000;
constexpr std::int64_t TokensPerThousand = 1'000;
/** The entry's common prompt is assumed to be this long. */
constexpr std::int64_t SharedPromptTokens = 256;

Amount costOf(const PoolSettings &pool, std::int64_t tokens)
{
    const std::int64_t priced =
        (tokens * pool.microsPerThousandTokens + TokensPerThousand - 1) / TokensPerThousand;
    return {tokens, pool.microsPerCall + priced};
}

} // namespace

CallEngine::CallEngine(CallEngineParts parts, std::uint64_t seed, CallMechanisms mechanisms)
    : m_parts(parts)
    , m_mechanisms(mechanisms)
    , m_random(seed)
    , m_retryBudget(RetryBudgetStart)
{ }

// --- Arrival ---------------------------------------------------------------

Program *CallEngine::findProgram(const ProgramKey &key)
{
    const auto found = m_programs.find(key);
    return found == m_programs.end() ? nullptr : &found->second;
}

Program &CallEngine::programOf(const ProgramKey &key)
{
    const auto [item, added] = m_programs.try_emplace(key);
    Program &program = item->second;
    if (added) {
        program.key = key;
        program.shard = shardOf(key, m_parts.settings.shardCount);
        program.started = m_parts.clock.now();
        program.open.startedUnixMillis = unixMillis(m_parts.clock.wallNow());
    }
    return program;
}

void CallEngine::submit(const Entry &entry, CallRequest request)
{
    static_cast<void>(entry);
    Program &program = programOf(request.program);
    program.lastActivity = m_parts.clock.now();
    if (program.loaded) {
        arrange(program, std::move(request));
        return;
    }
    const SteadyTime deadline = program.lastActivity + m_parts.settings.queueLimit;
    program.unsorted.push_back({std::move(request), deadline});
    load(program);
}

void CallEngine::load(Program &program)
{
    if (program.loading) {
        return;
    }
    program.loading = true;
    program.loadId = m_nextLoad++;
    const ProgramKey key = program.key;
    const std::uint64_t loadId = program.loadId;
    m_parts.reader.read(
        {keys::program(program.shard, key), {}},
        [this, key, loadId](const RangeOutcome &outcome) { onLoaded(key, loadId, outcome); });
}

void CallEngine::onLoaded(const ProgramKey &key, std::uint64_t loadId, const RangeOutcome &outcome)
{
    Program *program = findProgram(key);
    if (program == nullptr || !program->loading || program->loadId != loadId) {
        return;
    }
    program->loading = false;
    program->loaded = true;
    program->attainedMillis = 0;
    program->bytes = 0;
    std::vector<IntentRecord> intents;
    const std::string prefix = keys::program(program->shard, key);
    for (const Row &row : outcome.rows) {
        const std::string kind = row.key.substr(prefix.size());
        if (kind.starts_with("turn/")) {
            const std::optional<TurnRecord> turn = decodeTurn(row.value);
            if (turn.has_value()) {
                program->addTurn(*turn);
            }
        } else if (kind.starts_with("intent/")) {
            const std::optional<IntentRecord> intent = decodeIntent(row.value);
            if (intent.has_value()) {
                intents.push_back(*intent);
            }
        } else if (kind == "ended") {
            program->open.ended = true;
        }
    }
    for (const auto &[number, turn] : program->turns) {
        if (!turn.isService && !turn.replica.value().empty()) {
            program->open.replicas.insert(turn.replica);
        }
    }
    if (!program->turns.empty()) {
        m_statistics.programsLoaded += 1;
    }
    for (const IntentRecord &intent : intents) {
        adoptIntent(*program, intent);
    }
    std::vector<EarlyCall> unsorted = std::move(program->unsorted);
    program->unsorted.clear();
    for (EarlyCall &call : unsorted) {
        arrange(*program, std::move(call.request));
    }
}

void CallEngine::adoptIntent(Program &program, const IntentRecord &intent)
{
    if (program.turns.contains(intent.number)) {
        return;
    }
    // An earlier owner may have sent the call and did not live to record what
    // came of it. Nobody may send it again, so its turn is closed as unknown.
    TurnRecord turn;
    turn.number = intent.number;
    turn.bodyHash = intent.bodyHash;
    turn.verdict = Verdict::MayHaveRun;
    turn.isService = intent.isService;
    turn.idempotent = false;
    turn.pool = intent.pool;
    turn.replica = intent.replica;
    turn.vm = intent.vm;
    turn.startedUnixMillis = intent.unixMillis;
    turn.endedUnixMillis = unixMillis(m_parts.clock.wallNow());
    turn.decision = "intent without an outcome, found by a new owner";
    program.addTurn(turn);
    CommitItem item;
    item.writes.push_back({keys::turn(program.shard, program.key, turn.number), encode(turn)});
    item.writes.push_back({keys::intent(program.shard, program.key, turn.number), std::nullopt});
    item.done = [](const CommitResult &) {};
    m_parts.commits.enqueue(std::move(item));
    m_parts.effects.log("intent-unknown",
                        absl::StrCat(program.key.entry.value(), "/", program.key.program.value(),
                                     " call ", turn.number.value()));
}

void CallEngine::arrange(Program &program, CallRequest request)
{
    const bool isCurrent =
        program.current.has_value() && program.current->request.number == request.number;
    if (request.number < program.next) {
        replay(program, request);
        return;
    }
    if (isCurrent) {
        if (program.current->request.bodyHash != request.bodyHash) {
            refuse(request.handle,
                   makeRefusal(Verdict::NotRun, Reason::BodyMismatch,
                               "this call number is under way with another body"),
                   program.next);
            return;
        }
        program.current->handles.push_back(request.handle);
        return;
    }
    if (program.open.ended) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::ProgramEnded, "the program has ended"),
               program.next);
        return;
    }
    const bool inTurn = request.number == program.next || !m_mechanisms.order;
    if (inTurn && !program.current.has_value()) {
        if (admit(program, request)) {
            start(program, std::move(request));
        }
        return;
    }
    const std::uint32_t ahead = request.number.value() - program.next.value();
    if (ahead > MaxEarlyCalls) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::WrongCallNumber,
                           absl::StrCat("expected call ", program.next.value())),
               program.next);
        return;
    }
    const auto previous = program.early.find(request.number);
    if (previous != program.early.end()) {
        refuse(previous->second.request.handle,
               makeRefusal(Verdict::NotRun, Reason::Cancelled, "the same call was sent again"),
               program.next);
    }
    const SteadyTime deadline = m_parts.clock.now() + m_parts.settings.gapLimit;
    const CallNumber number = request.number;
    program.early.insert_or_assign(number, EarlyCall{std::move(request), deadline});
}

void CallEngine::replay(Program &program, const CallRequest &request)
{
    const auto found = program.turns.find(request.number);
    if (found == program.turns.end() || found->second.bodyHash != request.bodyHash) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::BodyMismatch,
                           "this call number was used with another body"),
               program.next);
        return;
    }
    const TurnRecord &turn = found->second;
    if (turn.verdict != Verdict::Ran) {
        refuse(request.handle,
               makeRefusal(turn.verdict, Reason::OutcomeUnknown,
                           "the call may have run; its outcome is not known"),
               program.next);
        return;
    }
    m_statistics.replayed += 1;
    CallAnswer answer;
    answer.turn = turn;
    answer.replayed = true;
    answer.nextCall = program.next;
    m_parts.effects.answer(request.handle, answer);
}

bool CallEngine::admit(Program &program, const CallRequest &request)
{
    const Entry *entry = m_parts.catalogue.find(program.key.entry);
    if (entry == nullptr) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::UnknownEntry, "no such catalogue entry"),
               program.next);
        return false;
    }
    if (request.number.value() > entry->callsPerProgram) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::CallsLimit,
                           absl::StrCat("calls_per_program is ", entry->callsPerProgram)),
               program.next);
        return false;
    }
    if (program.totalTokens() >= entry->tokensPerProgram) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::TokensLimit,
                           absl::StrCat("tokens_per_program is ", entry->tokensPerProgram)),
               program.next);
        return false;
    }
    const std::int64_t share = std::max<std::int64_t>(
        1,
        entry->programsUnderWay
            / static_cast<std::int64_t>(std::max<std::size_t>(1, m_parts.members.liveCount())));
    const bool isNew = program.turns.empty() && !program.openDurable;
    if (isNew && programsUnderWay(program.key.entry) > share) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::ProgramsLimit,
                           absl::StrCat("programs_under_way is ", entry->programsUnderWay,
                                        ", of which this VM has ", share),
                           RetryAfterTrouble),
               program.next);
        return false;
    }
    return true;
}

void CallEngine::start(Program &program, CallRequest request)
{
    if (program.turns.empty() && !program.openDurable) {
        m_statistics.programsStarted += 1;
        program.started = m_parts.clock.now();
        program.open.startedUnixMillis = unixMillis(m_parts.clock.wallNow());
        program.open.parent = request.parent;
    }
    ActiveCall call;
    call.handles.push_back(request.handle);
    call.arrived = m_parts.clock.now();
    call.arrivedWall = m_parts.clock.wallNow();
    call.request = std::move(request);
    program.current = std::move(call);
    reserve(program);
}

// --- Money -----------------------------------------------------------------

Amount CallEngine::largestCost(const Program &program, const CallRequest &request,
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
    const Entry *entry = m_parts.catalogue.find(program.key.entry);
    const PoolSettings *pool = poolOf(call.request.pool);
    if (entry == nullptr || pool == nullptr) {
        refuseCurrent(
            program, makeRefusal(Verdict::NotRun, Reason::UnknownPool, "no such model or service"));
        return;
    }
    if (!m_mechanisms.reserve) {
        choose(program);
        return;
    }
    const Amount amount = largestCost(program, call.request, *pool);
    const std::int64_t period = m_parts.ledger.periodOf(*entry);
    const ProgramKey key = program.key;
    const CallNumber number = call.request.number;
    const auto done = [this, key, number, amount, period](ReserveOutcome outcome) {
        Program *found = findCurrent(key, number, CallStage::Reserving);
        if (found == nullptr) {
            if (outcome == ReserveOutcome::Reserved) {
                m_parts.ledger.cancel(key.entry, period, amount);
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
        if (outcome == ReserveOutcome::Lost) {
            refuseCurrent(*found,
                          makeRefusal(Verdict::NotRun, Reason::NoLease,
                                      "this VM has lost its ownership", RetryAfterTrouble));
            return;
        }
        found->current->reserved = amount;
        found->current->period = period;
        choose(*found);
    };
    m_parts.ledger.reserve(*entry, amount, done);
}

void CallEngine::giveUpReservations(ActiveCall &call)
{
    if (call.permit != PermitId()) {
        m_parts.permits.release(call.permit);
        call.permit = PermitId();
    }
    if (!(call.reserved == Amount{})) {
        const Amount reserved = std::exchange(call.reserved, Amount{});
        m_parts.ledger.cancel(call.request.program.entry, call.period, reserved);
    }
}

// --- Placement -------------------------------------------------------------

const PoolSettings *CallEngine::poolOf(const PoolName &name) const
{
    for (const PoolSettings &pool : m_parts.settings.pools) {
        if (pool.name == name) {
            return &pool;
        }
    }
    return nullptr;
}

const ReplicaSettings *CallEngine::replicaOf(const ReplicaId &id) const
{
    for (const PoolSettings &pool : m_parts.settings.pools) {
        for (const ReplicaSettings &replica : pool.replicas) {
            if (replica.id == id) {
                return &replica;
            }
        }
    }
    return nullptr;
}

std::vector<ReplicaView> CallEngine::viewsFor(const ActiveCall &call,
                                              const PoolSettings &pool) const
{
    std::vector<ReplicaView> views;
    for (const ReplicaSettings &replica : pool.replicas) {
        if (!m_parts.loads.usable(replica.id) || call.excluded.contains(replica.id)) {
            continue;
        }
        const ReplicaLoads::Load &load = m_parts.loads.of(replica.id);
        views.push_back(
            {replica.id, load.running, load.waiting, replica.zone == m_parts.settings.zone});
    }
    return views;
}

void CallEngine::choose(Program &program)
{
    ActiveCall &call = *program.current;
    const PoolSettings &pool = *poolOf(call.request.pool);
    std::vector<ReplicaView> views = viewsFor(call, pool);
    if (views.empty() && !call.excluded.empty()) {
        call.excluded.clear();
        views = viewsFor(call, pool);
    }
    if (views.empty()) {
        refuseCurrent(program,
                      makeRefusal(Verdict::NotRun, Reason::NoReplica,
                                  "no backend server can take the call", RetryAfterTrouble));
        return;
    }
    PlacementQuestion question;
    if (!pool.isService) {
        question.historyTokens = program.historyTokens();
        question.prefixAt = program.lastReplica;
        question.sharedTokens = SharedPromptTokens;
        const ReplicaView *home = nullptr;
        std::uint64_t best = 0;
        for (const ReplicaView &view : views) {
            const std::uint64_t weight =
                rendezvousWeight(program.key.entry.value(), view.id.value());
            if (home == nullptr || weight > best) {
                home = &view;
                best = weight;
            }
        }
        question.entryHome = home->id;
    }
    question.usefulBatch = pool.usefulBatch;
    const auto mean = m_meanServiceMillis.find(pool.name);
    question.meanServiceMillis =
        mean == m_meanServiceMillis.end() ? MeanServiceStartMillis : mean->second;
    question.prefillMillisPerToken =
        static_cast<double>(pool.prefillPerThousandTokens.count()) / TokensPerThousand;
    question.turn = m_placements++;
    const PlacementAnswer answer = place(m_parts.settings.policy, views, question, m_random);
    call.replica = *replicaOf(views[answer.index].id);
    call.decision += absl::StrCat(call.decision.empty() ? "" : "; ", call.replica.id.value(), " ",
                                  answer.reason);
    if (usesPermits(m_parts.settings.policy)) {
        askPermit(program, pool);
        return;
    }
    onPermitGranted(program);
}

Milliseconds CallEngine::slackOf(const Program &program, const Entry &entry) const
{
    const Duration spent = m_parts.clock.now() - program.started;
    return entry.objective - std::chrono::duration_cast<Milliseconds>(spent);
}

std::int64_t CallEngine::attainedOf(const Program &program) const
{
    std::int64_t attained = program.attainedMillis + program.childMillis;
    if (program.open.parent.has_value()) {
        const auto parent = m_programs.find({program.key.entry, *program.open.parent});
        if (parent != m_programs.end()) {
            attained += parent->second.attainedMillis;
        }
    }
    return attained;
}

void CallEngine::askPermit(Program &program, const PoolSettings &pool)
{
    ActiveCall &call = *program.current;
    call.stage = CallStage::Queued;
    call.permit = PermitId();
    call.permitAskedAt = m_parts.clock.now();
    const Entry *entry = m_parts.catalogue.find(program.key.entry);
    peers::PermitRequest request;
    request.replica = call.replica.id.value();
    request.serviceClass =
        static_cast<std::int16_t>(entry == nullptr ? ServiceClass::Batch : entry->serviceClass);
    request.attainedMillis = attainedOf(program);
    request.slackMillis = entry == nullptr ? 0 : slackOf(program, *entry).count();
    request.waitedMillis = millisOf(m_parts.clock.now() - call.arrived);
    request.started = !program.turns.empty();
    const ProgramKey key = program.key;
    const CallNumber number = call.request.number;
    const PermitId permit = m_parts.permits.acquire(
        request, pool.usefulBatch, [this, key, number](PermitId id, const PermitReply &reply) {
            onPermit(key, number, id, reply);
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

void CallEngine::onPermit(const ProgramKey &key, CallNumber number, PermitId permit,
                          const PermitReply &reply)
{
    Program *program = findCurrent(key, number, CallStage::Queued);
    const bool wanted = program != nullptr
        && (program->current->permit == permit || program->current->permit == PermitId());
    if (!wanted) {
        m_parts.permits.release(permit);
        return;
    }
    ActiveCall &call = *program->current;
    call.permit = permit;
    m_parts.loads.hearCounts(call.replica.id, reply.running, reply.waiting);
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
            choose(*program);
            break;
        }
        refuseCurrent(*program,
                      makeRefusal(Verdict::NotRun, Reason::Overloaded,
                                  "the backend servers are overloaded",
                                  std::max(reply.retryAfter, RetryAfterTrouble)));
        break;
    }
}

void CallEngine::considerMove(Program &program, const PermitReply &reply)
{
    ActiveCall &call = *program.current;
    if (m_parts.settings.policy != PolicyKind::Program || call.moves >= MaxMoves) {
        return;
    }
    const PoolSettings &pool = *poolOf(call.request.pool);
    PlacementQuestion question;
    question.usefulBatch = pool.usefulBatch;
    const auto mean = m_meanServiceMillis.find(pool.name);
    question.meanServiceMillis =
        mean == m_meanServiceMillis.end() ? MeanServiceStartMillis : mean->second;
    const ReplicaView here{call.replica.id, static_cast<double>(reply.running),
                           static_cast<double>(reply.waiting), true};
    const double prefillMillis = static_cast<double>(program.historyTokens())
        * static_cast<double>(pool.prefillPerThousandTokens.count()) / TokensPerThousand;
    const double recompute = program.lastReplica == call.replica.id ? prefillMillis : 0;
    double bestElsewhere = expectedWaitMillis(here, question);
    for (const ReplicaView &view : viewsFor(call, pool)) {
        if (view.id != call.replica.id) {
            bestElsewhere = std::min(bestElsewhere, expectedWaitMillis(view, question) + recompute);
        }
    }
    if (expectedWaitMillis(here, question) - bestElsewhere < MoveGainMillis) {
        return;
    }
    call.moves += 1;
    m_statistics.moves += 1;
    const PermitId permit = std::exchange(call.permit, PermitId());
    call.stage = CallStage::Backoff;
    m_parts.permits.release(permit);
    choose(program);
}

void CallEngine::onPermitGranted(Program &program)
{
    ActiveCall &call = *program.current;
    call.decision +=
        absl::StrFormat(", waited %d ms", millisOf(m_parts.clock.now() - call.arrived));
    if (!call.request.idempotent && m_mechanisms.intents) {
        commitIntent(program);
        return;
    }
    dispatch(program);
}

// --- At most once ----------------------------------------------------------

void CallEngine::commitIntent(Program &program)
{
    ActiveCall &call = *program.current;
    call.stage = CallStage::Intending;
    call.intentDurable = false;
    IntentRecord intent;
    intent.number = call.request.number;
    intent.bodyHash = call.request.bodyHash;
    intent.idempotencyKey = call.request.idempotencyKey;
    intent.replica = call.replica.id;
    intent.pool = call.request.pool;
    intent.isService = call.request.isService;
    intent.vm = m_parts.settings.vm;
    intent.fence = m_parts.commits.fence();
    intent.reserved = call.reserved;
    intent.unixMillis = unixMillis(m_parts.clock.wallNow());
    const std::string value = encode(intent);
    const ProgramKey key = program.key;
    const CallNumber number = intent.number;
    CommitItem item;
    item.writes.push_back({keys::intent(program.shard, key, number), value});
    item.writes.push_back({keys::intentIndex(key, number), value});
    item.done = [this, key, number](const CommitResult &result) { onIntent(key, number, result); };
    m_parts.commits.enqueue(std::move(item));
}

void CallEngine::onIntent(const ProgramKey &key, CallNumber number, const CommitResult &result)
{
    Program *program = findCurrent(key, number, CallStage::Intending);
    if (program == nullptr) {
        return;
    }
    ActiveCall &call = *program->current;
    if (result.kind != CommitResult::Kind::Committed) {
        refuseCurrent(*program,
                      makeRefusal(Verdict::NotRun, Reason::NoLease,
                                  "this VM has lost its ownership", RetryAfterTrouble));
        return;
    }
    call.intentDurable = true;
    if (call.handles.empty()) {
        // Its caller has been told that it was not run.
        abandonIntent(*program);
        return;
    }
    if (!m_parts.commits.leaseValid()) {
        refuseCurrent(*program,
                      makeRefusal(Verdict::NotRun, Reason::NoLease,
                                  "the lease lapsed before the call could be sent",
                                  RetryAfterTrouble));
        return;
    }
    dispatch(*program);
}

void CallEngine::abandonIntent(Program &program)
{
    deleteIntent(program, program.current->request.number);
    giveUpReservations(*program.current);
    program.current.reset();
    advance(program);
}

void CallEngine::deleteIntent(const Program &program, CallNumber number)
{
    CommitItem item;
    item.writes.push_back({keys::intent(program.shard, program.key, number), std::nullopt});
    item.writes.push_back({keys::intentIndex(program.key, number), std::nullopt});
    item.done = [](const CommitResult &) {};
    m_parts.commits.enqueue(std::move(item));
}

// --- At a backend server ---------------------------------------------------

void CallEngine::dispatch(Program &program)
{
    ActiveCall &call = *program.current;
    const PoolSettings &pool = *poolOf(call.request.pool);
    call.stage = CallStage::Running;
    call.attempts += 1;
    call.dispatchedAt = m_parts.clock.now();
    if (!pool.isService && program.open.replicas.insert(call.replica.id).second) {
        program.openStale = true;
    }
    BackendCall backend;
    backend.program = program.key;
    backend.number = call.request.number;
    backend.replica = call.replica;
    backend.pool = pool.name;
    backend.isService = pool.isService;
    backend.idempotent = call.request.idempotent;
    backend.idempotencyKey = call.request.idempotencyKey;
    backend.fence = m_parts.commits.fence();
    backend.silenceLimit = pool.silenceLimit;
    backend.sendBefore = m_parts.commits.leaseEnd();
    if (pool.isService) {
        backend.path = call.request.path;
        backend.body = call.request.content;
    } else {
        backend.path = "/v1/chat/completions";
        const std::int64_t maxTokens =
            call.request.maxTokens > 0 ? call.request.maxTokens : pool.defaultMaxTokens;
        backend.body = composeModelBody(program, call.request, maxTokens);
    }
    m_parts.loads.ownCall(call.replica.id, 1);
    m_running[call.handles.front()] = program.key;
    m_parts.effects.dispatch(call.handles.front(), backend);
}

void CallEngine::onBackend(CallHandle handle, const BackendOutcome &outcome)
{
    const auto running = m_running.find(handle);
    if (running == m_running.end()) {
        return;
    }
    Program *program = findProgram(running->second);
    m_running.erase(running);
    if (program == nullptr || !program->current.has_value()
        || program->current->stage != CallStage::Running) {
        return;
    }
    ActiveCall &call = *program->current;
    program->lastActivity = m_parts.clock.now();
    m_parts.loads.ownCall(call.replica.id, -1);
    if (call.permit != PermitId()) {
        m_parts.permits.release(std::exchange(call.permit, PermitId()));
    }
    if (outcome.complete) {
        m_parts.loads.ownSuccess(call.replica.id);
        finish(*program, outcome);
        return;
    }
    m_parts.loads.ownFailure(call.replica.id);
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
    turn.vm = m_parts.settings.vm;
    turn.usage = outcome.usage;
    turn.serviceMillis = millisOf(m_parts.clock.now() - call.dispatchedAt);
    turn.startedUnixMillis = unixMillis(call.arrivedWall);
    turn.endedUnixMillis = unixMillis(m_parts.clock.wallNow());
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
    if (!fitsWithin(turn.cost, call.reserved) && m_mechanisms.reserve) {
        m_parts.effects.log("cost-above-reservation", call.replica.id.value());
    }
    m_retryBudget = std::min(RetryBudgetMost, m_retryBudget + RetryShare);
    double &mean = m_meanServiceMillis.try_emplace(pool.name, MeanServiceStartMillis).first->second;
    mean += MeanWeight * (static_cast<double>(turn.serviceMillis) - mean);
    m_statistics.promptTokens += turn.usage.promptTokens;
    m_statistics.cachedTokens += turn.usage.cachedTokens;
    m_statistics.completionTokens += turn.usage.completionTokens;
    recordTurn(program, turn);
}

void CallEngine::writeOpen(Program &program, CommitItem &item)
{
    if (!program.openStale && program.openDurable) {
        return;
    }
    program.openStale = false;
    item.writes.push_back({keys::open(program.shard, program.key), encode(program.open)});
}

void CallEngine::recordTurn(Program &program, const TurnRecord &turn)
{
    ActiveCall &call = *program.current;
    call.stage = CallStage::Recording;
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
        program.open.ended = true;
        program.openStale = true;
    }
    writeOpen(program, item);
    const Amount reserved = std::exchange(call.reserved, Amount{});
    if (m_mechanisms.reserve) {
        m_parts.ledger.settle(program.key.entry, call.period, reserved, turn.cost, item);
    }
    const ProgramKey key = program.key;
    item.done = [this, key, turn](const CommitResult &result) { onRecorded(key, turn, result); };
    if (!m_mechanisms.recordBeforeAnswer) {
        CallAnswer answer;
        answer.turn = turn;
        answer.nextCall = CallNumber(turn.number.value() + 1);
        for (const CallHandle handle : call.handles) {
            m_parts.effects.answer(handle, answer);
        }
        call.handles.clear();
    }
    m_parts.commits.enqueue(std::move(item));
}

void CallEngine::onRecorded(const ProgramKey &key, const TurnRecord &turn,
                            const CommitResult &result)
{
    Program *program = findCurrent(key, turn.number, CallStage::Recording);
    if (program == nullptr) {
        return;
    }
    if (result.kind != CommitResult::Kind::Committed) {
        refuseCurrent(*program,
                      makeRefusal(Verdict::MayHaveRun, Reason::RecordLost,
                                  "it ran, but this VM lost its ownership before it was recorded",
                                  RetryAfterTrouble));
        return;
    }
    program->openDurable = true;
    program->addTurn(turn);
    const std::vector<CallHandle> handles = std::move(program->current->handles);
    giveUpReservations(*program->current);
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
        m_parts.effects.answer(handle, answer);
    }
    if (turn.last) {
        noteEnd(*program, false);
        beginRelease(*program);
    }
    advance(*program);
}

bool CallEngine::mayRetry(const ActiveCall &call, const BackendOutcome &outcome) const
{
    const bool harmless = !outcome.sent || (call.request.idempotent && !outcome.forwarded);
    return harmless && call.attempts < MaxAttempts && m_retryBudget >= 1;
}

void CallEngine::onFailure(Program &program, const BackendOutcome &outcome)
{
    ActiveCall &call = *program.current;
    call.everSent = call.everSent || outcome.sent;
    m_parts.effects.log("backend-failed",
                        absl::StrCat(call.replica.id.value(), ": ", outcome.error));
    if (mayRetry(call, outcome)) {
        m_retryBudget -= 1;
        m_statistics.retries += 1;
        call.stage = CallStage::Backoff;
        call.excluded.insert(call.replica.id);
        const std::int64_t ceiling = FirstRetryDelay.count() << call.attempts;
        std::uniform_int_distribution<std::int64_t> spread(ceiling / 2, ceiling);
        call.retryAt = m_parts.clock.now() + Milliseconds(spread(m_random));
        call.decision += absl::StrCat("; failed: ", outcome.error);
        return;
    }
    const bool sentOnce = outcome.sent && !call.request.idempotent;
    if (!sentOnce) {
        refuseCurrent(program,
                      makeRefusal(outcome.sent ? Verdict::MayHaveRun : Verdict::NotRun,
                                  Reason::BackendFailed, outcome.error, RetryAfterFailure));
        return;
    }
    TurnRecord turn = describeTurn(program, outcome);
    turn.verdict = Verdict::MayHaveRun;
    turn.cost = call.reserved;
    recordTurn(program, turn);
}

// --- Refusals --------------------------------------------------------------

void CallEngine::refuse(CallHandle handle, const Refusal &refusal, CallNumber next)
{
    m_statistics.refused += 1;
    m_statistics.refusals[refusal.reason] += 1;
    CallAnswer answer;
    answer.refusal = refusal;
    answer.nextCall = next;
    m_parts.effects.answer(handle, answer);
}

void CallEngine::refuseCurrent(Program &program, const Refusal &refusal)
{
    ActiveCall &call = *program.current;
    Refusal truthful = refusal;
    if (call.everSent) {
        truthful.verdict = Verdict::MayHaveRun;
    }
    for (const CallHandle handle : call.handles) {
        refuse(handle, truthful, program.next);
    }
    giveUpReservations(call);
    const bool hasIntent = call.intentDurable;
    const CallNumber number = call.request.number;
    program.current.reset();
    if (hasIntent && truthful.verdict == Verdict::NotRun) {
        deleteIntent(program, number);
    }
}

void CallEngine::advance(Program &program)
{
    if (program.current.has_value()) {
        return;
    }
    if (program.open.ended) {
        for (auto &[number, call] : std::exchange(program.early, {})) {
            refuse(call.request.handle,
                   makeRefusal(Verdict::NotRun, Reason::ProgramEnded, "the program has ended"),
                   program.next);
        }
        return;
    }
    const auto found = program.early.find(program.next);
    if (found == program.early.end()) {
        return;
    }
    CallRequest request = std::move(found->second.request);
    program.early.erase(found);
    if (admit(program, request)) {
        start(program, std::move(request));
    }
}

void CallEngine::onCallerGone(CallHandle handle)
{
    for (auto &[key, program] : m_programs) {
        std::erase_if(program.early,
                      [&](const auto &item) { return item.second.request.handle == handle; });
        std::erase_if(program.unsorted,
                      [&](const EarlyCall &call) { return call.request.handle == handle; });
        if (!program.current.has_value()) {
            continue;
        }
        ActiveCall &call = *program.current;
        const bool sent = call.stage == CallStage::Running || call.stage == CallStage::Recording;
        if (sent || std::erase(call.handles, handle) == 0 || !call.handles.empty()) {
            continue;
        }
        if (call.stage != CallStage::Intending) {
            refuseCurrent(program, makeRefusal(Verdict::NotRun, Reason::Cancelled, "caller gone"));
            advance(program);
        }
    }
}

// --- Ends and memory -------------------------------------------------------

void CallEngine::noteEnd(const Program &program, bool refused)
{
    m_statistics.programsEnded += 1;
    m_outcomes.push_back({program.key.entry, m_parts.clock.now() - program.started, refused});
}

std::vector<ProgramOutcome> CallEngine::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

void CallEngine::endProgram(const ProgramKey &key, std::function<void(bool)> done)
{
    Program &program = programOf(key);
    program.lastActivity = m_parts.clock.now();
    if (program.current.has_value()) {
        done(false);
        return;
    }
    if (program.open.ended) {
        done(true);
        return;
    }
    program.open.ended = true;
    program.openStale = true;
    CommitItem item;
    item.writes.push_back({keys::ended(program.shard, key), "1"});
    writeOpen(program, item);
    item.done = [this, key, done](const CommitResult &result) {
        const bool committed = result.kind == CommitResult::Kind::Committed;
        Program *found = findProgram(key);
        if (committed && found != nullptr) {
            found->openDurable = true;
            noteEnd(*found, false);
            beginRelease(*found);
        }
        done(committed);
    };
    m_parts.commits.enqueue(std::move(item));
    advance(program);
}

void CallEngine::beginRelease(Program &program)
{
    if (!m_mechanisms.release) {
        return;
    }
    program.releasing = true;
    program.unreleased = program.open.replicas;
    program.nextRelease = m_parts.clock.now();
    driveRelease(program);
}

void CallEngine::sendRelease(const ProgramKey &key, const ReplicaId &replica)
{
    const ReplicaSettings *settings = replicaOf(replica);
    if (settings == nullptr) {
        return;
    }
    const std::uint64_t id = m_nextRelease++;
    m_releases[id] = {key, replica};
    m_statistics.releasesSent += 1;
    m_parts.effects.releaseMemory(id, *settings, key);
}

void CallEngine::driveRelease(Program &program)
{
    std::erase_if(program.unreleased,
                  [this](const ReplicaId &replica) { return replicaOf(replica) == nullptr; });
    if (program.unreleased.empty()) {
        dropOpenRow(program);
        return;
    }
    if (m_parts.clock.now() < program.nextRelease) {
        return;
    }
    program.nextRelease = m_parts.clock.now() + ReleaseInterval;
    for (const ReplicaId &replica : program.unreleased) {
        sendRelease(program.key, replica);
    }
}

void CallEngine::onReleased(std::uint64_t id, bool acknowledged)
{
    const auto found = m_releases.find(id);
    if (found == m_releases.end()) {
        return;
    }
    const Release release = found->second;
    m_releases.erase(found);
    Program *program = findProgram(release.program);
    if (!acknowledged || program == nullptr || !program->releasing) {
        return;
    }
    program->unreleased.erase(release.replica);
    if (program->unreleased.empty()) {
        dropOpenRow(*program);
    }
}

void CallEngine::dropOpenRow(Program &program)
{
    if (!program.releasing) {
        return;
    }
    program.releasing = false;
    const ProgramKey key = program.key;
    CommitItem item;
    item.writes.push_back({keys::open(program.shard, key), std::nullopt});
    item.done = [this, key](const CommitResult &result) {
        Program *found = findProgram(key);
        if (found != nullptr && result.kind == CommitResult::Kind::Committed) {
            found->openDurable = false;
        }
    };
    m_parts.commits.enqueue(std::move(item));
}

void CallEngine::checkHeld(const ReplicaId &replica, const std::vector<ProgramKey> &programs)
{
    if (!m_mechanisms.release) {
        return;
    }
    for (const ProgramKey &key : programs) {
        if (!m_scanned.contains(shardOf(key, m_parts.settings.shardCount))) {
            continue;
        }
        Program *program = findProgram(key);
        if (program == nullptr) {
            sendRelease(key, replica);
            continue;
        }
        if (program->open.ended && program->quiet()) {
            sendRelease(key, replica);
            continue;
        }
        // An earlier owner used the replica and could not record it.
        if (program->open.replicas.insert(replica).second) {
            program->openStale = true;
        }
    }
}

// --- Ownership -------------------------------------------------------------

void CallEngine::takeOver(const std::vector<ShardIndex> &shards)
{
    for (const ShardIndex shard : shards) {
        m_parts.reader.read({keys::openPrefix(shard), {}},
                            [this, shard](const RangeOutcome &outcome) {
                                for (const Row &row : outcome.rows) {
                                    noteOpenRow(row);
                                }
                                m_scanned.insert(shard);
                            });
    }
}

void CallEngine::noteOpenRow(const Row &row)
{
    const std::optional<ProgramKey> key = programOfOpenKey(row.key);
    const std::optional<OpenRecord> record = decodeOpen(row.value);
    if (!key.has_value() || !record.has_value()) {
        return;
    }
    Program &program = programOf(*key);
    const SteadyTime now = m_parts.clock.now();
    const std::int64_t age = unixMillis(m_parts.clock.wallNow()) - record->startedUnixMillis;
    program.started = now - Milliseconds(std::max<std::int64_t>(0, age));
    program.lastActivity = now;
    program.openDurable = true;
    program.open.startedUnixMillis = record->startedUnixMillis;
    program.open.parent = record->parent;
    program.open.ended = program.open.ended || record->ended;
    program.open.replicas.insert(record->replicas.begin(), record->replicas.end());
    if (program.open.ended) {
        beginRelease(program);
    }
}

bool CallEngine::shardQuiet(ShardIndex shard) const
{
    return std::all_of(m_programs.begin(), m_programs.end(), [&](const auto &item) {
        return item.second.shard != shard || item.second.quiet();
    });
}

void CallEngine::forgetShard(ShardIndex shard)
{
    m_scanned.erase(shard);
    m_frozen.erase(shard);
    std::erase_if(m_programs, [&](const auto &item) { return item.second.shard == shard; });
}

void CallEngine::reset()
{
    const Refusal notRun = makeRefusal(Verdict::NotRun, Reason::NoLease,
                                       "this VM has lost its ownership", RetryAfterTrouble);
    const Refusal lost =
        makeRefusal(Verdict::MayHaveRun, Reason::RecordLost,
                    "this VM lost its ownership before the call was recorded", RetryAfterTrouble);
    for (auto &[key, program] : m_programs) {
        for (const EarlyCall &call : program.unsorted) {
            refuse(call.request.handle, notRun, program.next);
        }
        for (const auto &[number, call] : program.early) {
            refuse(call.request.handle, notRun, program.next);
        }
        if (program.current.has_value()) {
            const CallStage stage = program.current->stage;
            const bool sent = stage == CallStage::Running || stage == CallStage::Recording;
            for (const CallHandle handle : program.current->handles) {
                refuse(handle, sent ? lost : notRun, program.next);
            }
        }
    }
    m_programs.clear();
    m_running.clear();
    m_releases.clear();
    m_scanned.clear();
    m_frozen.clear();
}

// --- Time ------------------------------------------------------------------

void CallEngine::tick()
{
    const SteadyTime now = m_parts.clock.now();
    if (now < m_nextScan) {
        return;
    }
    m_nextScan = now + ScanInterval;
    for (auto &[key, program] : m_programs) {
        if (!m_frozen.contains(program.shard)) {
            tickProgram(program);
        }
    }
    std::erase_if(m_programs, [&](const auto &item) {
        const Program &program = item.second;
        return program.quiet() && !program.openDurable && !program.releasing
            && now >= program.lastActivity + ForgetAfter;
    });
    limitCache();
}

void CallEngine::tickProgram(Program &program)
{
    const SteadyTime now = m_parts.clock.now();
    std::vector<EarlyCall> expired;
    std::erase_if(program.unsorted, [&](EarlyCall &call) {
        if (now < call.deadline) {
            return false;
        }
        expired.push_back(std::move(call));
        return true;
    });
    for (const EarlyCall &call : expired) {
        refuse(call.request.handle,
               makeRefusal(Verdict::NotRun, Reason::StoreUnavailable,
                           "the program could not be loaded", RetryAfterTrouble),
               program.next);
    }
    for (auto call = program.early.begin(); call != program.early.end();) {
        if (now < call->second.deadline || program.current.has_value()) {
            ++call;
            continue;
        }
        refuse(call->second.request.handle,
               makeRefusal(Verdict::NotRun, Reason::GapTimeout,
                           absl::StrCat("expected call ", program.next.value())),
               program.next);
        call = program.early.erase(call);
    }
    if (program.current.has_value()) {
        tickCurrent(program);
    }
    if (program.releasing) {
        driveRelease(program);
    }
    const bool idle = program.quiet() && program.openDurable && !program.open.ended;
    if (idle && now >= program.lastActivity + m_parts.settings.programIdleLimit) {
        m_parts.effects.log("program-idle", program.key.program.value());
        endProgram(program.key, [](bool) {});
    }
}

void CallEngine::tickCurrent(Program &program)
{
    ActiveCall &call = *program.current;
    const SteadyTime now = m_parts.clock.now();
    const bool late = now >= call.arrived + m_parts.settings.queueLimit;
    switch (call.stage) {
    case CallStage::Reserving:
        if (late) {
            refuseCurrent(program,
                          makeRefusal(Verdict::NotRun, Reason::StoreUnavailable,
                                      "the budget could not be checked", RetryAfterTrouble));
        }
        break;
    case CallStage::Queued:
        if (late) {
            refuseCurrent(program,
                          makeRefusal(Verdict::NotRun, Reason::Overloaded,
                                      "no backend server became free in time", RetryAfterTrouble));
        }
        break;
    case CallStage::Intending:
        if (late) {
            // The intent may still become durable; onIntent() then removes it.
            for (const CallHandle handle : std::exchange(call.handles, {})) {
                refuse(handle,
                       makeRefusal(Verdict::NotRun, Reason::StoreUnavailable,
                                   "the intent could not be recorded", RetryAfterTrouble),
                       program.next);
            }
        }
        break;
    case CallStage::Backoff:
        if (late) {
            refuseCurrent(program,
                          makeRefusal(Verdict::NotRun, Reason::BackendFailed,
                                      "no attempt succeeded in time", RetryAfterTrouble));
        } else if (now >= call.retryAt) {
            choose(program);
        }
        break;
    case CallStage::Running:
    case CallStage::Recording:
        break;
    }
}

void CallEngine::limitCache()
{
    std::int64_t excess = cachedBytes() - m_parts.settings.historyCacheBytes;
    if (excess <= 0) {
        return;
    }
    std::vector<Program *> idle;
    for (auto &[key, program] : m_programs) {
        if (program.loaded && program.quiet()) {
            idle.push_back(&program);
        }
    }
    std::sort(idle.begin(), idle.end(), [](const Program *left, const Program *right) {
        return left->lastActivity < right->lastActivity;
    });
    for (Program *program : idle) {
        if (excess <= 0) {
            break;
        }
        excess -= program->bytes;
        program->unload();
    }
}

std::int64_t CallEngine::cachedBytes() const
{
    std::int64_t bytes = 0;
    for (const auto &[key, program] : m_programs) {
        bytes += program.bytes;
    }
    return bytes;
}

std::size_t CallEngine::callsUnderWay() const
{
    std::size_t calls = 0;
    for (const auto &[key, program] : m_programs) {
        calls += program.current.has_value() ? 1 : 0;
        calls += program.early.size() + program.unsorted.size();
    }
    return calls;
}

std::int64_t CallEngine::programsUnderWay(const EntryName &entry) const
{
    return std::count_if(m_programs.begin(), m_programs.end(), [&](const auto &item) {
        return item.first.entry == entry && !item.second.open.ended;
    });
}

} // namespace boragepath
