// The callers of a SimulatedCluster: programs that follow a script, call by call.

#include "core/hash.h"
#include "tests/support/simulated_cluster.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace boragepath {

namespace {

constexpr Milliseconds PeerLatency{5};
constexpr Milliseconds CallerPause{200};
constexpr Milliseconds CallerGivesUpWaiting{4'000};
constexpr const char *Model = "model";
constexpr const char *Service = "service";

} // namespace

CatalogueEntry SimulatedCluster::makeEntry(const std::string &name) const
{
    CatalogueEntry entry;
    entry.name = EntryName(name);
    entry.owner = "test";
    entry.pools = {PoolName(Model), PoolName(Service)};
    entry.callsPerSecond = 10'000;
    entry.keySalt = "salt";
    entry.keyHash = saltedKeyHash("salt", "key");
    return entry;
}

void SimulatedCluster::putEntry(const CatalogueEntry &entry, std::size_t by)
{
    Amount &largest = m_largestBudget[entry.name.value()];
    largest = largerOf(largest, entry.budget);
    if (m_vms[by].node != nullptr) {
        m_vms[by].node->applyCatalogue({entry}, CatalogueRevision(),
                                       [](const CatalogueEditResult &) {});
    }
}

void SimulatedCluster::runScript(const Script &script)
{
    const std::string name = script.entry + "/" + script.program;
    m_scripts[name] = {};
    m_scripts[name].script = script;
    m_results[name] = {};
    m_openScripts += 1;
    callNext(name);
}

void SimulatedCluster::endScript(const std::string &name, bool finished)
{
    m_results[name].finished = finished;
    m_results[name].endedAt = m_clock.now();
    m_openScripts -= 1;
}

void SimulatedCluster::callNext(const std::string &name)
{
    ScriptState &state = m_scripts[name];
    if (state.index >= state.script.calls.size()) {
        endScript(name, true);
        return;
    }
    const ScriptCall &call = state.script.calls[state.index];
    after(call.pause + latency(Milliseconds(20)), [this, name] {
        m_scripts[name].callStarted = m_clock.now();
        m_scripts[name].attempts = 0;
        tryCall(name);
    });
}

CallRequest SimulatedCluster::requestOf(ScriptState &state)
{
    const ScriptCall &call = state.script.calls[state.index];
    CallRequest request;
    request.program = {EntryName(state.script.entry), ProgramId(state.script.program)};
    request.number = CallNumber(static_cast<std::uint32_t>(state.index + 1));
    request.isService = call.nonIdempotent;
    request.pool = PoolName(request.isService ? Service : Model);
    request.path = "/act";
    request.content = request.isService
        ? "body"
        : absl::StrCat("{\"role\":\"user\",\"content\":\"", state.script.program, " question ",
                       state.index + 1, "\"}");
    request.messageCount = 1;
    request.maxTokens = call.maxTokens;
    request.idempotent = !call.nonIdempotent;
    if (call.nonIdempotent) {
        request.idempotencyKey =
            absl::StrCat(state.script.entry, ".", state.script.program, ".", state.index + 1);
    }
    request.last = state.script.marksLastCall && state.index + 1 == state.script.calls.size();
    request.bearerKey = "key";
    request.bodyHash = hashOf(absl::StrCat(request.content, request.idempotencyKey));
    return request;
}

void SimulatedCluster::tryCall(const std::string &name)
{
    ScriptState &state = m_scripts[name];
    state.attempts += 1;
    if (m_clock.now() > state.callStarted + state.script.callTimeout) {
        endScript(name, false);
        return;
    }
    const CallHandle handle(m_nextHandle++);
    CallRequest request = requestOf(state);
    request.handle = handle;
    std::size_t vm = m_random() % m_vms.size();
    if (state.attempts == 1) {
        const std::size_t owner = ownerOf(state.script.entry, state.script.program);
        vm = owner < m_vms.size() ? owner : vm;
    }
    Attempt attempt;
    attempt.script = name;
    attempt.vm = vm;
    attempt.process = m_vms[vm].process;
    attempt.request = request;
    attempt.done = [this, name](const CallAnswer *answer) { onAnswer(name, answer); };
    m_attempts[handle] = attempt;
    after(latency(PeerLatency), [this, vm, request, handle] { submitAt(vm, request, handle); });
    // A caller does not wait for a silent VM for ever.
    after(CallerGivesUpWaiting, [this, handle] {
        const auto found = m_attempts.find(handle);
        if (found != m_attempts.end()) {
            const auto done = found->second.done;
            m_attempts.erase(found);
            done(nullptr);
        }
    });
}

void SimulatedCluster::submitAt(std::size_t vm, CallRequest request, CallHandle handle)
{
    const auto found = m_attempts.find(handle);
    if (found == m_attempts.end()) {
        return;
    }
    if (m_vms[vm].node == nullptr) {
        const auto done = found->second.done;
        m_attempts.erase(found);
        done(nullptr);
        return;
    }
    found->second.vm = vm;
    found->second.process = m_vms[vm].process;
    inProcess(vm, m_vms[vm].process, Duration(0), [request](Node &node) { node.submit(request); });
}

void SimulatedCluster::onAnswer(const std::string &name, const CallAnswer *answer)
{
    ScriptState &state = m_scripts[name];
    ScriptResult &result = m_results[name];
    const ScriptCall &call = state.script.calls[state.index];
    if (answer == nullptr) {
        result.losses += 1;
        after(CallerPause, [this, name] { tryCall(name); });
        return;
    }
    const CallRequest request = requestOf(state);
    if (answer->refusal.has_value()) {
        const Refusal &refusal = *answer->refusal;
        const bool unknown = call.nonIdempotent && refusal.reason == Reason::OutcomeUnknown;
        if (unknown) {
            result.verdicts.emplace_back("may-have-run");
            result.reasons.push_back(refusal.reason);
            state.index += 1;
            callNext(name);
            return;
        }
        if (refusal.verdict == Verdict::NotRun && refusal.retryAfter == Milliseconds(0)) {
            result.verdicts.emplace_back("not-run");
            result.reasons.push_back(refusal.reason);
            endScript(name, false);
            return;
        }
        const Duration pause = std::max<Duration>(refusal.retryAfter, CallerPause);
        if (refusal.reason == Reason::BudgetExhausted) {
            result.verdicts.emplace_back("not-run");
            result.reasons.push_back(refusal.reason);
            endScript(name, false);
            return;
        }
        after(pause, [this, name] { tryCall(name); });
        return;
    }
    result.verdicts.emplace_back(verdictName(answer->turn.verdict));
    result.reasons.push_back(Reason::None);
    if (answer->nextCall.value() != state.index + 2) {
        recordViolation(absl::StrCat("order: ", name, " expects call ", answer->nextCall.value()));
    }
    if (call.nonIdempotent) {
        if (m_serviceRuns[request.idempotencyKey] != 1) {
            recordViolation(absl::StrCat("ran: ", request.idempotencyKey,
                                         " was answered as run but ran ",
                                         m_serviceRuns[request.idempotencyKey], " times"));
        }
    } else {
        state.messages += (state.messages.empty() ? "" : ",") + request.content;
        const std::string expected = fakeAnswer("[" + state.messages + "]}") + "/";
        if (!absl::StartsWith(answer->turn.answer, expected)) {
            recordViolation(absl::StrCat("history: ", name, " call ", state.index + 1,
                                         " was answered from another conversation"));
        }
        state.messages += ","
            + boost::json::serialize(boost::json::object{{"role", "assistant"},
                                                         {"content", answer->turn.answer}});
    }
    state.index += 1;
    callNext(name);
}

} // namespace boragepath
