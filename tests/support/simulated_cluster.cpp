#include "tests/support/simulated_cluster.h"

#include "core/hash.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace boragepath {

namespace {

constexpr Milliseconds TickInterval{20};
constexpr Milliseconds TableLatency{10};
constexpr Milliseconds PeerLatency{5};
constexpr Milliseconds ShellLatency{3};
constexpr Milliseconds ConnectionLoss{50};
constexpr Milliseconds BackendTime{300};
constexpr std::int64_t TokensInBytes = 4;
constexpr const char *Model = "model";
constexpr const char *Service = "service";

PoolSettings makePool(const std::string &name, bool isService, int replicas)
{
    PoolSettings pool;
    pool.name = PoolName(name);
    pool.isService = isService;
    pool.maxBatchSize = 4;
    pool.microsPerCall = isService ? 100 : 0;
    pool.microsPerThousandTokens = isService ? 0 : 1'000;
    pool.defaultMaxTokens = 10;
    for (int number = 1; number <= replicas; ++number) {
        ReplicaSettings replica;
        replica.id = ReplicaId(absl::StrCat(name, "-", number));
        replica.endpoint = {"127.0.1.1", static_cast<std::uint16_t>(9000 + number)};
        replica.zone = ZoneId("zone");
        pool.replicas.push_back(replica);
    }
    return pool;
}

Settings makeSettings(std::size_t vm)
{
    Settings settings;
    settings.vm = VmId(absl::StrCat("vm-", vm + 1));
    settings.zone = ZoneId("zone");
    settings.callers = {"127.0.0.1", static_cast<std::uint16_t>(7000 + vm)};
    settings.peers = {"127.0.0.1", static_cast<std::uint16_t>(8000 + vm)};
    settings.shardCount = 8;
    settings.leaseTerm = Milliseconds(3'000);
    settings.leaseMargin = Milliseconds(500);
    settings.cataloguePollInterval = Milliseconds(1'000);
    settings.programIdleLimit = Milliseconds(60'000);
    settings.pools = {makePool(Model, false, 2), makePool(Service, true, 2)};
    return settings;
}

/** The messages of a composed body: what stands between the brackets. */
std::string messagesIn(const std::string &body)
{
    const std::string mark = "\"messages\":";
    const std::size_t start = body.find(mark);
    return start == std::string::npos ? "" : body.substr(start + mark.size());
}

std::string textOf(const ProgramKey &key)
{
    return absl::StrCat(key.entry.value(), "/", key.program.value());
}

} // namespace

std::string fakeAnswer(const std::string &messages)
{
    return absl::StrCat("answer-", hashOf(messages));
}

/** Carries the actions of one process into the world. */
class SimulatedCluster::Shell final : public Effects
{
public:
    Shell(SimulatedCluster &cluster, std::size_t vm, std::uint64_t process)
        : m_cluster(cluster)
        , m_vm(vm)
        , m_process(process)
    { }

    void transact(std::uint64_t id, const Transaction &transaction) override
    {
        if (m_cluster.deadOrGone(m_vm, m_process)) {
            return;
        }
        SimulatedCluster &cluster = m_cluster;
        const std::size_t vm = m_vm;
        const std::uint64_t process = m_process;
        if (cluster.m_transactHook) {
            cluster.m_transactHook(vm, transaction);
        }
        Duration delay = cluster.latency(TableLatency);
        if (cluster.m_clock.now() < cluster.m_slowUntil) {
            delay += cluster.m_slowBy;
        }
        const bool cut = cluster.m_vms[vm].storeCut;
        // Once it has left the process a transaction arrives, even if the process dies.
        cluster.after(delay, [&cluster, vm, process, id, transaction, cut] {
            TransactionOutcome outcome;
            const bool reaches = !cut && cluster.m_clock.now() >= cluster.m_outageUntil;
            if (reaches) {
                const auto before = cluster.turnsIn(transaction);
                outcome = cluster.m_store.apply(transaction);
                cluster.checkLedgers();
                cluster.checkTurns(before);
            }
            std::uniform_real_distribution<double> share(0, 1);
            const bool committed = outcome.kind == TransactionOutcome::Kind::Committed;
            bool lost = cluster.m_clock.now() < cluster.m_loseUntil
                && share(cluster.m_random) < cluster.m_loseShare;
            if (committed && cluster.m_loseNext && cluster.m_loseNext(transaction)) {
                cluster.m_loseNext = nullptr;
                lost = true;
            }
            if (lost || cluster.m_vms[vm].storeCut) {
                outcome = {};
            }
            const Duration back = outcome.kind == TransactionOutcome::Kind::NoAnswer
                ? Duration(Milliseconds(500))
                : cluster.latency(TableLatency);
            cluster.inProcess(vm, process, back,
                              [id, outcome](Node &node) { node.onTransaction(id, outcome); });
        });
    }

    void read(std::uint64_t id, const RangeRequest &request) override
    {
        if (m_cluster.deadOrGone(m_vm, m_process)) {
            return;
        }
        SimulatedCluster &cluster = m_cluster;
        const std::size_t vm = m_vm;
        const std::uint64_t process = m_process;
        Duration delay = cluster.latency(TableLatency);
        if (cluster.m_clock.now() < cluster.m_slowUntil) {
            delay += cluster.m_slowBy;
        }
        cluster.after(delay, [&cluster, vm, process, id, request] {
            RangeOutcome outcome;
            if (cluster.storeUp(vm)) {
                outcome = cluster.m_store.range(request);
            }
            const Duration back =
                outcome.answered ? cluster.latency(TableLatency) : Duration(Milliseconds(500));
            cluster.inProcess(vm, process, back,
                              [id, outcome](Node &node) { node.onRange(id, outcome); });
        });
    }

    void sendDatagram(const Endpoint &to, const peers::Envelope &envelope) override
    {
        if (m_cluster.deadOrGone(m_vm, m_process)) {
            return;
        }
        SimulatedCluster &cluster = m_cluster;
        for (std::size_t vm = 0; vm < cluster.m_vms.size(); ++vm) {
            Vm &target = cluster.m_vms[vm];
            const bool cut = target.peersCut || cluster.m_vms[m_vm].peersCut;
            if (target.settings.peers == to && target.node != nullptr && !cut) {
                cluster.inProcess(vm, target.process, cluster.latency(PeerLatency),
                                  [envelope](Node &node) { node.onDatagram(envelope); });
            }
        }
    }

    void dispatch(CallHandle handle, const BackendCall &call) override
    {
        if (m_cluster.deadOrGone(m_vm, m_process)) {
            return;
        }
        SimulatedCluster &cluster = m_cluster;
        if (cluster.m_dispatchHook) {
            cluster.m_dispatchHook(m_vm, call);
        }
        const std::size_t vm = m_vm;
        const std::uint64_t process = m_process;
        cluster.inProcess(vm, process, cluster.latency(ShellLatency),
                          [&cluster, vm, process, handle, call](Node &) {
                              cluster.startBackend(vm, process, handle, call);
                          });
    }

    void answer(CallHandle handle, const CallAnswer &answer) override
    {
        if (m_cluster.deadOrGone(m_vm, m_process)) {
            return;
        }
        SimulatedCluster &cluster = m_cluster;
        const auto attempt = cluster.m_attempts.find(handle);
        if (attempt == cluster.m_attempts.end()) {
            return;
        }
        const bool notRun =
            answer.refusal.has_value() && answer.refusal->verdict == Verdict::NotRun;
        if (notRun && attempt->second.dispatched) {
            cluster.recordViolation(absl::StrCat("not-run: ", attempt->second.script,
                                                 " was sent and then refused as not run"));
        }
        const auto done = attempt->second.done;
        const std::size_t vm = m_vm;
        const std::uint64_t process = m_process;
        cluster.after(cluster.latency(ShellLatency), [&cluster, handle, done, answer, vm, process] {
            // An answer that is on its way is lost with its process.
            if (!cluster.deadOrGone(vm, process) && cluster.m_attempts.erase(handle) > 0) {
                done(&answer);
            }
        });
    }

    void relay(CallHandle handle, const Endpoint &owner) override
    {
        if (m_cluster.deadOrGone(m_vm, m_process)) {
            return;
        }
        SimulatedCluster &cluster = m_cluster;
        const auto attempt = cluster.m_attempts.find(handle);
        if (attempt == cluster.m_attempts.end()) {
            return;
        }
        const std::size_t target = cluster.vmAt(owner);
        CallRequest request = attempt->second.request;
        request.relayed = true;
        attempt->second.vm = target;
        attempt->second.process = cluster.m_vms[target].process;
        cluster.after(cluster.latency(PeerLatency), [&cluster, target, request, handle] {
            cluster.submitAt(target, request, handle);
        });
    }

    void releaseMemory(std::uint64_t id, const ReplicaSettings &replica,
                       const ProgramKey &program) override
    {
        if (m_cluster.deadOrGone(m_vm, m_process)) {
            return;
        }
        SimulatedCluster &cluster = m_cluster;
        const std::size_t vm = m_vm;
        const std::uint64_t process = m_process;
        const std::string name = replica.id.value();
        const std::string key = textOf(program);
        cluster.after(cluster.latency(PeerLatency), [&cluster, vm, process, id, name, key] {
            const bool up = cluster.m_clock.now() >= cluster.m_failUntil[name]
                && cluster.m_clock.now() >= cluster.m_hangUntil[name];
            if (up) {
                cluster.m_memory[name].erase(key);
            }
            cluster.inProcess(vm, process, cluster.latency(PeerLatency),
                              [id, up](Node &node) { node.onReleased(id, up); });
        });
    }

    void queryHeldPrograms(std::uint64_t id, const ReplicaSettings &replica) override
    {
        if (m_cluster.deadOrGone(m_vm, m_process)) {
            return;
        }
        SimulatedCluster &cluster = m_cluster;
        const std::size_t vm = m_vm;
        const std::string name = replica.id.value();
        std::vector<ProgramKey> held;
        for (const std::string &text : cluster.m_memory[name]) {
            const std::size_t slash = text.find('/');
            held.push_back({EntryName(text.substr(0, slash)), ProgramId(text.substr(slash + 1))});
        }
        const bool up = cluster.m_clock.now() >= cluster.m_failUntil[name];
        const bool leaving = cluster.m_leaving.contains(name);
        cluster.inProcess(
            vm, m_process, cluster.latency(PeerLatency),
            [id, up, leaving, held](Node &node) { node.onHeldPrograms(id, up, leaving, held); });
    }

    void log(std::string_view event, const std::string &detail) override
    {
        m_cluster.m_trace.push_back(
            absl::StrCat(toMillis(m_cluster.m_clock.now().time_since_epoch()), " vm-", m_vm + 1,
                         " ", std::string(event), " ", detail));
    }

private:
    SimulatedCluster &m_cluster;
    std::size_t m_vm;
    std::uint64_t m_process;
};

SimulatedCluster::SimulatedCluster(std::uint64_t seed, std::size_t vms, Safeguards safeguards)
    : m_random(seed)
    , m_safeguards(safeguards)
    , m_vms(vms)
{
    for (std::size_t vm = 0; vm < vms; ++vm) {
        m_vms[vm].settings = makeSettings(vm);
    }
}

SimulatedCluster::~SimulatedCluster()
{
    for (Vm &vm : m_vms) {
        m_graveyard.push_back(std::move(vm.node));
    }
}

// --- Time ------------------------------------------------------------------

void SimulatedCluster::at(SteadyTime time, std::function<void()> act)
{
    m_events.push({time, m_nextOrder++, std::move(act)});
}

void SimulatedCluster::after(Duration delay, std::function<void()> act)
{
    at(m_clock.now() + delay, std::move(act));
}

Duration SimulatedCluster::latency(Milliseconds most)
{
    std::uniform_int_distribution<std::int64_t> spread(1, most.count() * 1'000);
    return std::chrono::microseconds(spread(m_random));
}

bool SimulatedCluster::runUntil(const std::function<bool()> &done, Duration limit)
{
    const SteadyTime end = m_clock.now() + limit;
    while (!done()) {
        if (m_events.empty() || m_events.top().at > end) {
            m_clock.moveTo(end);
            return done();
        }
        const Event event = m_events.top();
        m_events.pop();
        m_clock.moveTo(event.at);
        event.act();
    }
    return true;
}

void SimulatedCluster::run(Duration duration)
{
    runUntil([] { return false; }, duration);
}

bool SimulatedCluster::deadOrGone(std::size_t vm, std::uint64_t process) const
{
    return m_vms[vm].node == nullptr || m_vms[vm].process != process;
}

void SimulatedCluster::inProcess(std::size_t vm, std::uint64_t process, Duration delay,
                                 std::function<void(Node &)> act)
{
    after(delay, [this, vm, process, act] {
        Vm &target = m_vms[vm];
        if (deadOrGone(vm, process)) {
            return;
        }
        if (target.paused) {
            target.frozen.push_back(
                [this, vm, process, act] { inProcess(vm, process, Duration(0), act); });
            return;
        }
        act(*target.node);
        checkVm(vm);
    });
}

void SimulatedCluster::tickVm(std::size_t vm, std::uint64_t process)
{
    inProcess(vm, process, TickInterval, [this, vm, process](Node &node) {
        node.tick();
        if (node.left()) {
            m_vms[vm].node.reset();
            return;
        }
        tickVm(vm, process);
    });
}

// --- Faults ----------------------------------------------------------------

void SimulatedCluster::start(std::size_t vm)
{
    Vm &target = m_vms[vm];
    target.process = m_nextProcess++;
    target.paused = false;
    target.frozen.clear();
    target.seenRevision = {};
    m_deadShells.push_back(std::move(target.shell));
    target.shell = std::make_unique<Shell>(*this, vm, target.process);
    target.node =
        std::make_unique<Node>(target.settings, m_clock, *target.shell, m_random(), m_safeguards);
    target.node->start();
    tickVm(vm, target.process);
}

void SimulatedCluster::kill(std::size_t vm)
{
    Vm &target = m_vms[vm];
    const std::uint64_t process = target.process;
    m_graveyard.push_back(std::move(target.node));
    target.paused = false;
    target.frozen.clear();
    // Connections of callers break a moment later.
    for (const auto &[handle, attempt] : m_attempts) {
        if (attempt.vm != vm || attempt.process != process) {
            continue;
        }
        const CallHandle lost = handle;
        const auto done = attempt.done;
        after(latency(ConnectionLoss), [this, lost, done] {
            if (m_attempts.erase(lost) > 0) {
                done(nullptr);
            }
        });
    }
}

void SimulatedCluster::pause(std::size_t vm)
{
    m_vms[vm].paused = m_vms[vm].node != nullptr;
}

void SimulatedCluster::resume(std::size_t vm)
{
    Vm &target = m_vms[vm];
    target.paused = false;
    for (const auto &act : std::exchange(target.frozen, {})) {
        act();
    }
}

void SimulatedCluster::terminate(std::size_t vm)
{
    if (m_vms[vm].node != nullptr && !m_vms[vm].paused) {
        m_vms[vm].node->leave();
    }
}

void SimulatedCluster::setStorePartitioned(std::size_t vm, bool cut)
{
    m_vms[vm].storeCut = cut;
}

void SimulatedCluster::setPeersPartitioned(std::size_t vm, bool cut)
{
    m_vms[vm].peersCut = cut;
}

void SimulatedCluster::startStoreOutage(Duration duration)
{
    m_outageUntil = std::max(m_outageUntil, m_clock.now() + duration);
}

void SimulatedCluster::slowDownStore(Duration duration, Duration delay)
{
    m_slowUntil = m_clock.now() + duration;
    m_slowBy = delay;
}

void SimulatedCluster::dropStoreAnswers(Duration duration, double share)
{
    m_loseUntil = m_clock.now() + duration;
    m_loseShare = share;
}

void SimulatedCluster::dropNextStoreAnswer(std::function<bool(const Transaction &)> matches)
{
    m_loseNext = std::move(matches);
}

void SimulatedCluster::hangReplica(const std::string &replica, Duration duration)
{
    m_hangUntil[replica] = m_clock.now() + duration;
}

void SimulatedCluster::failReplica(const std::string &replica, Duration duration)
{
    m_failUntil[replica] = m_clock.now() + duration;
    m_memory[replica].clear();
}

void SimulatedCluster::breakStreams(const std::string &replica, Duration duration)
{
    m_breakUntil[replica] = m_clock.now() + duration;
}

void SimulatedCluster::setLeaving(const std::string &replica, bool leaving)
{
    if (leaving) {
        m_leaving.insert(replica);
    } else {
        m_leaving.erase(replica);
    }
}

bool SimulatedCluster::storeUp(std::size_t vm) const
{
    return m_clock.now() >= m_outageUntil && !m_vms[vm].storeCut;
}

// --- Checks ----------------------------------------------------------------

void SimulatedCluster::checkVm(std::size_t vm)
{
    Vm &target = m_vms[vm];
    if (target.node == nullptr) {
        return;
    }
    const CatalogueRevision revision = target.node->catalogue().revision();
    if (revision < target.seenRevision) {
        recordViolation(absl::StrCat("catalogue: vm-", vm + 1, " went back to ", revision.value()));
    }
    target.seenRevision = revision;
}

void SimulatedCluster::checkLedgers()
{
    for (auto row = m_store.rows().lower_bound("ledger/"); row != m_store.rows().end(); ++row) {
        if (!absl::StartsWith(row->first, "ledger/")) {
            break;
        }
        const std::string entry = row->first.substr(7, row->first.rfind('/') - 7);
        const auto budget = m_largestBudget.find(entry);
        const LedgerRecord ledger = decodeLedger(row->second.value).value_or(LedgerRecord{});
        if (budget != m_largestBudget.end() && !fitsWithin(ledger.granted, budget->second)) {
            recordViolation(absl::StrCat("budget: ", entry, " granted ", ledger.granted.tokens));
        }
    }
}

std::map<std::string, std::string> SimulatedCluster::turnsIn(const Transaction &transaction) const
{
    std::map<std::string, std::string> turns;
    for (const Write &write : transaction.writes) {
        const std::optional<std::string> value =
            absl::StrContains(write.key, "/turn/") ? m_store.valueOf(write.key) : std::nullopt;
        if (value.has_value()) {
            turns[write.key] = *value;
        }
    }
    return turns;
}

void SimulatedCluster::checkTurns(const std::map<std::string, std::string> &before)
{
    for (const auto &[key, value] : before) {
        const std::optional<TurnRecord> was = decodeTurn(value);
        const std::optional<TurnRecord> is = decodeTurn(m_store.valueOf(key).value_or(""));
        const bool resolved = is.has_value() && absl::StrContains(is->decision, "resolved by");
        if (!is.has_value() || (was->answer != is->answer && !resolved)
            || (was->verdict != is->verdict && !resolved)) {
            recordViolation(absl::StrCat("history: ", key, " was rewritten"));
        }
    }
}

Amount SimulatedCluster::spentFor(const std::string &entry) const
{
    const auto found = m_spent.find(entry);
    return found == m_spent.end() ? Amount{} : found->second;
}

int SimulatedCluster::callsStartedAt(const std::string &replica, SteadyTime since) const
{
    const auto found = m_callsAt.find(replica);
    if (found == m_callsAt.end()) {
        return 0;
    }
    return static_cast<int>(std::count_if(found->second.begin(), found->second.end(),
                                          [&](SteadyTime time) { return time >= since; }));
}

Node *SimulatedCluster::node(std::size_t vm)
{
    return m_vms[vm].node.get();
}

std::size_t SimulatedCluster::ownerOf(const std::string &entry, const std::string &program)
{
    const ProgramKey key{EntryName(entry), ProgramId(program)};
    const std::optional<std::string> value =
        m_store.valueOf(keys::shard(shardOf(key, m_vms[0].settings.shardCount)));
    const std::optional<ShardRecord> record =
        value.has_value() ? decodeShard(*value) : std::nullopt;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        if (record.has_value() && m_vms[vm].settings.vm == record->owner) {
            return vm;
        }
    }
    return m_vms.size();
}

std::size_t SimulatedCluster::vmAt(const Endpoint &callers) const
{
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        if (m_vms[vm].settings.callers == callers) {
            return vm;
        }
    }
    return 0;
}

// --- Backend servers -------------------------------------------------------

void SimulatedCluster::startBackend(std::size_t vm, std::uint64_t process, CallHandle handle,
                                    BackendCall call)
{
    const std::string replica = call.replica.id.value();
    const SteadyTime now = m_clock.now();
    const bool tooLate = !call.idempotent && now >= call.sendBefore;
    if (tooLate || now < m_failUntil[replica] || m_leaving.contains(replica)) {
        BackendOutcome outcome;
        outcome.error = tooLate ? "too late to send" : "turned away";
        inProcess(vm, process, latency(PeerLatency),
                  [handle, outcome](Node &node) { node.onBackendOutcome(handle, outcome); });
        return;
    }
    const auto attempt = m_attempts.find(handle);
    if (attempt != m_attempts.end()) {
        attempt->second.dispatched = true;
    }
    m_callsAt[replica].push_back(now);
    const std::string name = textOf(call.program);
    std::uint32_t &newest = m_newestStarted[name];
    if (call.number.value() < newest) {
        recordViolation(absl::StrCat("order: ", name, " ran call ", call.number.value(),
                                     " after call ", newest));
    }
    newest = std::max(newest, call.number.value());
    if (call.isService && !call.idempotencyKey.empty()) {
        const int runs = ++m_serviceRuns[call.idempotencyKey];
        if (runs > 1) {
            recordViolation(
                absl::StrCat("at most once: ", call.idempotencyKey, " ran ", runs, " times"));
        }
    }
    if (!call.isService) {
        m_memory[replica].insert(name);
    }
    Duration time = latency(BackendTime);
    if (now < m_hangUntil[replica]) {
        time += m_hangUntil[replica] - now;
    }
    after(time, [this, vm, process, handle, call] { finishBackend(vm, process, handle, call); });
}

void SimulatedCluster::finishBackend(std::size_t vm, std::uint64_t process, CallHandle handle,
                                     BackendCall call)
{
    const std::string replica = call.replica.id.value();
    const SteadyTime now = m_clock.now();
    if (deadOrGone(vm, process) && !call.isService) {
        // The engine noticed that the connection is gone, and ended the stream.
        return;
    }
    BackendOutcome outcome;
    outcome.sent = true;
    if (now < m_failUntil[replica] || now < m_breakUntil[replica]) {
        outcome.forwarded = !call.isService;
        outcome.error = "the stream broke";
    } else {
        outcome.complete = true;
        outcome.status = 200;
        if (call.isService) {
            outcome.answer = "done";
            m_spent[call.program.entry.value()] += Amount{0, 100};
        } else {
            const std::string messages = messagesIn(call.body);
            // No two runs give the same answer: a history must hold the one that was given out.
            outcome.answer = absl::StrCat(fakeAnswer(messages), "/", ++m_engineRuns);
            outcome.finishReason = "stop";
            outcome.usage.promptTokens = static_cast<std::int64_t>(messages.size()) / TokensInBytes;
            outcome.usage.completionTokens = 10;
            const std::int64_t tokens = outcome.usage.promptTokens + outcome.usage.completionTokens;
            m_spent[call.program.entry.value()] += Amount{tokens, tokens};
        }
    }
    inProcess(vm, process, latency(ShellLatency),
              [handle, outcome](Node &node) { node.onBackendOutcome(handle, outcome); });
}

// --- Callers ---------------------------------------------------------------

} // namespace boragepath
