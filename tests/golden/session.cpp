#include "tests/golden/session.h"

#include "callers/answers.h"
#include "callers/call_parser.h"
#include "control/node.h"
#include "core/hash.h"
#include "standin/table_store.h"
#include "tests/support/manual_clock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <deque>
#include <functional>
#include <memory>

namespace boragepath {

namespace {

constexpr Milliseconds TickInterval{20};
constexpr Milliseconds LostAnswerTime{500};
constexpr int MaxTicksOfCall = 3'000;

Settings sessionSettings()
{
    Settings settings;
    settings.vm = VmId("vm-1");
    settings.zone = ZoneId("fukuoka");
    settings.callers = {"127.0.0.11", 7001};
    settings.peers = {"127.0.0.11", 7002};
    settings.shardCount = 4;
    PoolSettings model;
    model.name = PoolName("register-llm");
    model.microsPerThousandTokens = 2'000;
    model.replicas = {{ReplicaId("register-llm-1"), {"127.0.1.1", 8000}, ZoneId("fukuoka")}};
    PoolSettings service;
    service.name = PoolName("register-app");
    service.isService = true;
    service.microsPerCall = 100;
    service.replicas = {{ReplicaId("register-app-1"), {"127.0.2.1", 8000}, ZoneId("fukuoka")}};
    settings.pools = {model, service};
    return settings;
}

CatalogueEntry sessionEntry()
{
    CatalogueEntry entry;
    entry.name = EntryName("counter");
    entry.owner = "kyushu";
    entry.serviceClass = ServiceClass::Interactive;
    entry.pools = {PoolName("register-llm"), PoolName("register-app")};
    entry.budget = {2'000, 1'000'000};
    entry.callsPerProgram = 6;
    entry.keySalt = "salt";
    entry.keyHash = saltedKeyHash("salt", "counter-key");
    return entry;
}

/** One process with everything around it; all events come in a fixed order. */
class Session final : public Effects
{
public:
    Session() { startProcess(); }

    std::string play(const std::string &script)
    {
        run(Seconds(1));
        m_node->applyCatalogue({sessionEntry()}, CatalogueRevision(),
                               [](const CatalogueEditResult &) {});
        run(Seconds(1));
        m_output.clear();
        const std::vector<std::string> blocks = absl::StrSplit(script, "\n---\n");
        for (const std::string &block : blocks) {
            if (block.starts_with("!")) {
                const std::vector<std::string> lines = absl::StrSplit(block, '\n');
                for (const std::string &line : lines) {
                    obey(line);
                }
            } else {
                request(block);
            }
        }
        return m_output;
    }

    void transact(std::uint64_t id, const Transaction &transaction) override
    {
        const TransactionOutcome outcome = m_store.apply(transaction);
        if (outcome.kind == TransactionOutcome::Kind::Committed) {
            for (const Write &write : transaction.writes) {
                show(write);
            }
        }
        const std::uint64_t process = m_process;
        if (std::exchange(m_loseNext, false)) {
            m_output += "  (the answer of this transaction is lost)\n";
            m_later.push_back({m_clock.now() + LostAnswerTime, [this, id, process] {
                                   if (process == m_process) {
                                       m_node->onTransaction(id, {});
                                   }
                               }});
            return;
        }
        post([this, id, outcome] { m_node->onTransaction(id, outcome); });
    }

    void read(std::uint64_t id, const RangeRequest &range) override
    {
        const RangeOutcome outcome = m_store.range(range);
        post([this, id, outcome] { m_node->onRange(id, outcome); });
    }

    void sendDatagram(const Endpoint &, const peers::Envelope &) override { }

    void dispatch(CallHandle handle, const BackendCall &call) override
    {
        absl::StrAppend(&m_output, "  -> ", call.replica.id.value(), " ", call.path, " ", call.body,
                        "\n");
        BackendOutcome outcome;
        outcome.sent = true;
        if (std::exchange(m_breakNext, false)) {
            outcome.forwarded = !call.isService;
            outcome.error = "the stream broke";
        } else {
            outcome.complete = true;
            outcome.status = 200;
            outcome.answer = call.isService ? R"({"issued":true})"
                                            : absl::StrCat("answer ", call.number.value());
            outcome.finishReason = "stop";
            outcome.usage = {static_cast<std::int64_t>(call.body.size()) / 8, 0, 3};
        }
        post([this, handle, outcome] { m_node->onBackendOutcome(handle, outcome); });
    }

    void answer(CallHandle handle, const CallAnswer &answer) override
    {
        m_answers[handle] = answer;
    }

    void relay(CallHandle handle, const Endpoint &) override { m_answers[handle] = {}; }

    void releaseMemory(std::uint64_t id, const ReplicaSettings &replica,
                       const ProgramKey &program) override
    {
        absl::StrAppend(&m_output, "  release ", program.program.value(), " at ",
                        replica.id.value(), "\n");
        post([this, id] { m_node->onReleased(id, true); });
    }

    void queryHeldPrograms(std::uint64_t id, const ReplicaSettings &) override
    {
        post([this, id] { m_node->onHeldPrograms(id, true, false, {}); });
    }

    void log(std::string_view, const std::string &) override { }

private:
    struct Later
    {
        SteadyTime at;
        std::function<void()> act;
    };

    void startProcess()
    {
        m_process += 1;
        m_node = std::make_unique<Node>(m_settings, m_clock, *this, 100 + m_process);
        m_node->start();
    }

    void post(std::function<void()> act)
    {
        const std::uint64_t process = m_process;
        m_pending.push_back([this, process, act = std::move(act)] {
            if (process == m_process) {
                act();
            }
        });
    }

    void drain()
    {
        while (!m_pending.empty()) {
            const auto act = std::move(m_pending.front());
            m_pending.pop_front();
            act();
        }
    }

    void step()
    {
        m_clock.advance(TickInterval);
        std::vector<Later> due;
        std::erase_if(m_later, [&](const Later &later) {
            const bool now = m_clock.now() >= later.at;
            if (now) {
                due.push_back(later);
            }
            return now;
        });
        for (const Later &later : due) {
            later.act();
        }
        m_node->tick();
        drain();
    }

    void run(Duration duration)
    {
        const SteadyTime end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            step();
        }
    }

    void show(const Write &write)
    {
        // Heartbeats say nothing of the session.
        if (write.key.starts_with("vm/") || write.key.starts_with("shared/shard/")) {
            return;
        }
        absl::StrAppend(&m_output, write.value.has_value() ? "  put " : "  delete ", write.key,
                        write.value.has_value() ? " = " : "", write.value.value_or(""), "\n");
    }

    void obey(const std::string &line)
    {
        absl::StrAppend(&m_output, line, "\n");
        const std::vector<std::string> words = absl::StrSplit(line, ' ');
        int millis = 0;
        if (words.size() == 3 && words[1] == "advance" && absl::SimpleAtoi(words[2], &millis)) {
            run(Milliseconds(millis));
        } else if (words.size() == 2 && words[1] == "break") {
            m_breakNext = true;
        } else if (words.size() == 2 && words[1] == "lose") {
            m_loseNext = true;
        } else if (words.size() == 2 && words[1] == "restart") {
            startProcess();
            run(Seconds(2));
        } else if (!line.empty()) {
            m_output += "unknown command\n";
        }
    }

    void request(const std::string &block)
    {
        HttpRequest request;
        const std::size_t blank = block.find("\n\n");
        const std::vector<std::string> lines = absl::StrSplit(block.substr(0, blank), '\n');
        const std::vector<std::string> first = absl::StrSplit(lines[0], ' ');
        request.method = first[0];
        request.target = first[1];
        for (std::size_t index = 1; index < lines.size(); ++index) {
            const std::size_t colon = lines[index].find(": ");
            request.fields.push_back(
                {lines[index].substr(0, colon), lines[index].substr(colon + 2)});
        }
        if (blank != std::string::npos) {
            request.body = block.substr(blank + 2);
        }
        absl::StrAppend(&m_output, "> ", lines[0], "\n");
        respond(request);
    }

    void respond(const HttpRequest &request)
    {
        const CallOrRefusal parsed = request.path() == "/v1/chat/completions"
            ? parseModelCall(request)
            : parseServiceCall(request);
        if (std::holds_alternative<Refusal>(parsed)) {
            showResponse(refusalResponse(std::get<Refusal>(parsed), CallNumber()));
            return;
        }
        ParsedCall call = std::get<ParsedCall>(parsed);
        const CallHandle handle(++m_nextHandle);
        call.request.handle = handle;
        m_node->submit(call.request);
        drain();
        for (int tick = 0; tick < MaxTicksOfCall && !m_answers.contains(handle); ++tick) {
            step();
        }
        const CallAnswer &answer = m_answers[handle];
        if (answer.refusal.has_value()) {
            showResponse(refusalResponse(*answer.refusal, answer.nextCall));
        } else if (call.stream) {
            absl::StrAppend(&m_output, "< stream\n", finalStreamEvents(answer));
        } else {
            showResponse(resultResponse(answer));
        }
    }

    void showResponse(const HttpResponse &response)
    {
        absl::StrAppend(&m_output, "< ", response.status, "\n");
        for (const HttpField &field : response.fields) {
            absl::StrAppend(&m_output, "< ", field.name, ": ", field.value, "\n");
        }
        absl::StrAppend(&m_output, response.body, "\n");
    }

    ManualClock m_clock;
    Settings m_settings = sessionSettings();
    TableStore m_store;
    std::uint64_t m_process = 0;
    std::unique_ptr<Node> m_node;
    std::deque<std::function<void()>> m_pending;
    std::vector<Later> m_later;
    std::map<CallHandle, CallAnswer> m_answers;
    std::uint64_t m_nextHandle = 0;
    bool m_breakNext = false;
    bool m_loseNext = false;
    std::string m_output;
};

} // namespace

std::string playSession(const std::string &script)
{
    return Session().play(script);
}

} // namespace boragepath
