#include "control/call_engine.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

// Arrival of calls: loading of programs, call order, limits, refusals and timeouts.

namespace boragepath {

namespace {

constexpr Milliseconds TickInterval{100};
constexpr Seconds EvictProgramAfter{30};
constexpr Milliseconds RetryAfterUnavailable{1'000};
/** How far a call's number may be ahead of the next expected one before it is refused. */
constexpr std::uint32_t MaxOutOfOrderCalls = 16;
constexpr double InitialRetryBudget = 10;

} // namespace

CallEngine::CallEngine(CallEngineDependencies dependencies, std::uint64_t seed,
                       CallSafeguards safeguards)
    : m_deps(dependencies)
    , m_safeguards(safeguards)
    , m_random(seed)
    , m_retryBudget(InitialRetryBudget)
{ }

// --- Arrival -----------------------------------------------------------------

Program *CallEngine::findProgram(const ProgramKey &key)
{
    const auto found = m_programs.find(key);
    return found == m_programs.end() ? nullptr : &found->second;
}

Program &CallEngine::findOrCreateProgram(const ProgramKey &key)
{
    const auto [item, added] = m_programs.try_emplace(key);
    Program &program = item->second;
    if (added) {
        program.key = key;
        program.shard = shardOf(key, m_deps.settings.shardCount);
        program.started = m_deps.clock.now();
        program.openRow.startedUnixMillis = unixMillis(m_deps.clock.wallNow());
    }
    return program;
}

void CallEngine::submit(CallRequest request)
{
    Program &program = findOrCreateProgram(request.program);
    program.lastActivity = m_deps.clock.now();
    if (program.loaded) {
        sequenceCall(program, std::move(request));
        return;
    }
    const SteadyTime deadline = program.lastActivity + m_deps.settings.queueTimeout;
    program.awaitingLoad.push_back({std::move(request), deadline});
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
    m_deps.reader.read(
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
            program->openRow.ended = true;
        }
    }
    for (const auto &[number, turn] : program->turns) {
        if (!turn.isService && !turn.replica.value().empty()) {
            program->openRow.replicas.insert(turn.replica);
        }
    }
    if (!program->turns.empty()) {
        m_statistics.programsLoaded += 1;
    }
    for (const IntentRecord &intent : intents) {
        closeOrphanedIntent(*program, intent);
    }
    std::vector<DeferredCall> awaitingLoad = std::move(program->awaitingLoad);
    program->awaitingLoad.clear();
    for (DeferredCall &call : awaitingLoad) {
        sequenceCall(*program, std::move(call.request));
    }
}

void CallEngine::closeOrphanedIntent(Program &program, const IntentRecord &intent)
{
    if (program.turns.contains(intent.number)) {
        return;
    }
    // An earlier owner may have sent the call and then failed before it recorded the outcome.
    // Sending it again could run it twice, so the turn is recorded with an unknown outcome.
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
    turn.endedUnixMillis = unixMillis(m_deps.clock.wallNow());
    turn.decision = "intent without an outcome, found by a new owner";
    program.addTurn(turn);
    CommitItem item;
    item.writes.push_back({keys::turn(program.shard, program.key, turn.number), encode(turn)});
    item.writes.push_back({keys::intent(program.shard, program.key, turn.number), std::nullopt});
    item.done = [](const CommitResult &) {};
    m_deps.commits.enqueue(std::move(item));
    m_deps.effects.log("intent-unknown",
                       absl::StrCat(program.key.entry.value(), "/", program.key.program.value(),
                                    " call ", turn.number.value()));
}

void CallEngine::sequenceCall(Program &program, CallRequest request)
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
    if (program.openRow.ended) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::ProgramEnded, "the program has ended"),
               program.next);
        return;
    }
    const bool inTurn = request.number == program.next || !m_safeguards.order;
    if (inTurn && !program.current.has_value()) {
        if (admit(program, request)) {
            start(program, std::move(request));
        }
        return;
    }
    const std::uint32_t ahead = request.number.value() - program.next.value();
    if (ahead > MaxOutOfOrderCalls) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::WrongCallNumber,
                           absl::StrCat("expected call ", program.next.value())),
               program.next);
        return;
    }
    const auto previous = program.outOfOrder.find(request.number);
    if (previous != program.outOfOrder.end()) {
        refuse(previous->second.request.handle,
               makeRefusal(Verdict::NotRun, Reason::Cancelled, "the same call was sent again"),
               program.next);
    }
    const SteadyTime deadline = m_deps.clock.now() + m_deps.settings.gapTimeout;
    const CallNumber number = request.number;
    program.outOfOrder.insert_or_assign(number, DeferredCall{std::move(request), deadline});
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
    m_deps.effects.answer(request.handle, answer);
}

bool CallEngine::admit(Program &program, const CallRequest &request)
{
    const CatalogueEntry *entry = m_deps.catalogue.find(program.key.entry);
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
    const std::int64_t vmShare = std::max<std::int64_t>(
        1,
        entry->programsUnderWay
            / static_cast<std::int64_t>(std::max<std::size_t>(1, m_deps.members.liveCount())));
    const bool isNew = program.turns.empty() && !program.openRowDurable;
    if (isNew && programsUnderWay(program.key.entry) > vmShare) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::ProgramsLimit,
                           absl::StrCat("programs_under_way is ", entry->programsUnderWay,
                                        ", of which this VM has ", vmShare),
                           RetryAfterUnavailable),
               program.next);
        return false;
    }
    return true;
}

void CallEngine::start(Program &program, CallRequest request)
{
    if (program.turns.empty() && !program.openRowDurable) {
        m_statistics.programsStarted += 1;
        program.started = m_deps.clock.now();
        program.openRow.startedUnixMillis = unixMillis(m_deps.clock.wallNow());
        program.openRow.parent = request.parent;
    }
    ActiveCall call;
    call.handles.push_back(request.handle);
    call.arrived = m_deps.clock.now();
    call.arrivedWall = m_deps.clock.wallNow();
    call.request = std::move(request);
    program.current = std::move(call);
    reserve(program);
}

// --- Refusals ----------------------------------------------------------------

void CallEngine::refuse(CallHandle handle, const Refusal &refusal, CallNumber next)
{
    m_statistics.refused += 1;
    m_statistics.refusals[refusal.reason] += 1;
    CallAnswer answer;
    answer.refusal = refusal;
    answer.nextCall = next;
    m_deps.effects.answer(handle, answer);
}

void CallEngine::refuseCurrent(Program &program, const Refusal &refusal)
{
    ActiveCall &call = *program.current;
    Refusal reported = refusal;
    if (call.everSent) {
        reported.verdict = Verdict::MayHaveRun;
    }
    for (const CallHandle handle : call.handles) {
        refuse(handle, reported, program.next);
    }
    releaseReservations(call);
    const bool hasIntent = call.intentDurable;
    const CallNumber number = call.request.number;
    program.current.reset();
    if (hasIntent && reported.verdict == Verdict::NotRun) {
        deleteIntent(program, number);
    }
}

void CallEngine::startNextCall(Program &program)
{
    if (program.current.has_value()) {
        return;
    }
    if (program.openRow.ended) {
        for (auto &[number, call] : std::exchange(program.outOfOrder, {})) {
            refuse(call.request.handle,
                   makeRefusal(Verdict::NotRun, Reason::ProgramEnded, "the program has ended"),
                   program.next);
        }
        return;
    }
    const auto found = program.outOfOrder.find(program.next);
    if (found == program.outOfOrder.end()) {
        return;
    }
    CallRequest request = std::move(found->second.request);
    program.outOfOrder.erase(found);
    if (admit(program, request)) {
        start(program, std::move(request));
    }
}

void CallEngine::onCallerDisconnected(CallHandle handle)
{
    for (auto &[key, program] : m_programs) {
        std::erase_if(program.outOfOrder,
                      [&](const auto &item) { return item.second.request.handle == handle; });
        std::erase_if(program.awaitingLoad,
                      [&](const DeferredCall &call) { return call.request.handle == handle; });
        if (!program.current.has_value()) {
            continue;
        }
        ActiveCall &call = *program.current;
        const bool sent =
            call.stage == CallStage::Running || call.stage == CallStage::CommittingTurn;
        if (sent || std::erase(call.handles, handle) == 0 || !call.handles.empty()) {
            continue;
        }
        if (call.stage != CallStage::CommittingIntent) {
            refuseCurrent(program, makeRefusal(Verdict::NotRun, Reason::Cancelled, "caller gone"));
            startNextCall(program);
        }
    }
}

// --- Timeouts and cache ------------------------------------------------------

void CallEngine::tick()
{
    const SteadyTime now = m_deps.clock.now();
    if (now < m_nextTick) {
        return;
    }
    m_nextTick = now + TickInterval;
    for (auto &[key, program] : m_programs) {
        if (!m_suspendedShards.contains(program.shard)) {
            tickProgram(program);
        }
    }
    std::erase_if(m_programs, [&](const auto &item) {
        const Program &program = item.second;
        return program.isIdle() && !program.openRowDurable && !program.releasing
            && now >= program.lastActivity + EvictProgramAfter;
    });
    evictIdleHistories();
}

void CallEngine::tickProgram(Program &program)
{
    const SteadyTime now = m_deps.clock.now();
    std::vector<DeferredCall> expired;
    std::erase_if(program.awaitingLoad, [&](DeferredCall &call) {
        if (now < call.deadline) {
            return false;
        }
        expired.push_back(std::move(call));
        return true;
    });
    for (const DeferredCall &call : expired) {
        refuse(call.request.handle,
               makeRefusal(Verdict::NotRun, Reason::StoreUnavailable,
                           "the program could not be loaded", RetryAfterUnavailable),
               program.next);
    }
    for (auto call = program.outOfOrder.begin(); call != program.outOfOrder.end();) {
        if (now < call->second.deadline || program.current.has_value()) {
            ++call;
            continue;
        }
        refuse(call->second.request.handle,
               makeRefusal(Verdict::NotRun, Reason::GapTimeout,
                           absl::StrCat("expected call ", program.next.value())),
               program.next);
        call = program.outOfOrder.erase(call);
    }
    if (program.current.has_value()) {
        tickCurrent(program);
    }
    if (program.releasing) {
        continueRelease(program);
    }
    const bool idle = program.isIdle() && program.openRowDurable && !program.openRow.ended;
    if (idle && now >= program.lastActivity + m_deps.settings.programIdleLimit) {
        m_deps.effects.log("program-idle", program.key.program.value());
        endProgram(program.key, [](bool) {});
    }
}

void CallEngine::tickCurrent(Program &program)
{
    ActiveCall &call = *program.current;
    const SteadyTime now = m_deps.clock.now();
    const bool overdue = now >= call.arrived + m_deps.settings.queueTimeout;
    switch (call.stage) {
    case CallStage::Reserving:
        if (overdue) {
            refuseCurrent(program,
                          makeRefusal(Verdict::NotRun, Reason::StoreUnavailable,
                                      "the budget could not be checked", RetryAfterUnavailable));
        }
        break;
    case CallStage::Queued:
        if (overdue) {
            refuseCurrent(program,
                          makeRefusal(Verdict::NotRun, Reason::Overloaded,
                                      "no backend server became free in time",
                                      RetryAfterUnavailable));
        }
        break;
    case CallStage::CommittingIntent:
        if (overdue) {
            // The intent may still become durable. onIntent() deletes it in that case.
            for (const CallHandle handle : std::exchange(call.handles, {})) {
                refuse(handle,
                       makeRefusal(Verdict::NotRun, Reason::StoreUnavailable,
                                   "the intent could not be recorded", RetryAfterUnavailable),
                       program.next);
            }
        }
        break;
    case CallStage::Backoff:
        if (overdue) {
            refuseCurrent(program,
                          makeRefusal(Verdict::NotRun, Reason::BackendFailed,
                                      "no attempt succeeded in time", RetryAfterUnavailable));
        } else if (now >= call.retryAt) {
            placeCall(program);
        }
        break;
    case CallStage::Running:
    case CallStage::CommittingTurn:
        break;
    }
}

void CallEngine::evictIdleHistories()
{
    std::int64_t excessBytes = cachedBytes() - m_deps.settings.historyCacheBytes;
    if (excessBytes <= 0) {
        return;
    }
    std::vector<Program *> idle;
    for (auto &[key, program] : m_programs) {
        if (program.loaded && program.isIdle()) {
            idle.push_back(&program);
        }
    }
    std::sort(idle.begin(), idle.end(), [](const Program *left, const Program *right) {
        return left->lastActivity < right->lastActivity;
    });
    for (Program *program : idle) {
        if (excessBytes <= 0) {
            break;
        }
        excessBytes -= program->bytes;
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
        calls += program.outOfOrder.size() + program.awaitingLoad.size();
    }
    return calls;
}

std::int64_t CallEngine::programsUnderWay(const EntryName &entry) const
{
    return std::count_if(m_programs.begin(), m_programs.end(), [&](const auto &item) {
        return item.first.entry == entry && !item.second.openRow.ended;
    });
}

} // namespace boragepath
