#include "control/call_engine.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

// Calls as they come: loading, order, limits, refusals and time.

namespace boragepath {

namespace {

constexpr Milliseconds ScanInterval{100};
constexpr Seconds ForgetAfter{30};
constexpr Milliseconds RetryAfterTrouble{1'000};
/** Calls ahead of their turn that one program may have waiting. */
constexpr std::uint32_t MaxEarlyCalls = 16;
constexpr double RetryBudgetStart = 10;

} // namespace

CallEngine::CallEngine(CallEngineParts parts, std::uint64_t seed, CallSafeguards safeguards)
    : m_parts(parts)
    , m_safeguards(safeguards)
    , m_random(seed)
    , m_retryBudget(RetryBudgetStart)
{ }

// --- Arrival -----------------------------------------------------------------

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

void CallEngine::submit(CallRequest request)
{
    Program &program = programOf(request.program);
    program.lastActivity = m_parts.clock.now();
    if (program.loaded) {
        arrange(program, std::move(request));
        return;
    }
    const SteadyTime deadline = program.lastActivity + m_parts.settings.queueTimeout;
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
    const bool inTurn = request.number == program.next || !m_safeguards.order;
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
    const SteadyTime deadline = m_parts.clock.now() + m_parts.settings.gapTimeout;
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
    const CatalogueEntry *entry = m_parts.catalogue.find(program.key.entry);
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

// --- Refusals ----------------------------------------------------------------

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

void CallEngine::onCallerDisconnected(CallHandle handle)
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

// --- Time --------------------------------------------------------------------

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
    const bool late = now >= call.arrived + m_parts.settings.queueTimeout;
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
