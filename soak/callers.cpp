#include "soak/callers.h"

#include "net/http_client.h"
#include "net/sleep.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace boragepath::soak {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Milliseconds Deadline{3'000};
constexpr Milliseconds ResolveInterval{1'000};
constexpr Milliseconds ResolveLimit{1'000};
constexpr Milliseconds RetryPause{150};
/** Streams are given up after a silence like this. */
constexpr Milliseconds Silence{2'500};
constexpr int MaxTries = 6;
constexpr std::int64_t MostTokens = 9 * TokensPerEvent;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusSpent = 402;
constexpr double MillisPerSecond = 1'000;
constexpr int LoopTurns = 40;
/** Shares of programs, and of turns that are followed by a tool or by sub-agents. */
constexpr double LoopShare = 0.06;
constexpr double KeptShare = 0.6;
constexpr double ToolShare = 0.6;
constexpr double SubAgentShare = 0.15;
constexpr double GiveUpShare = 0.03;

Milliseconds retryAfterOf(const HttpResponse &response)
{
    double seconds = 0;
    if (!absl::SimpleAtod(response.headerValue("Retry-After"), &seconds)) {
        return RetryPause;
    }
    return Milliseconds(static_cast<std::int64_t>(seconds * MillisPerSecond));
}

/** A refusal promises that a new try can do no harm. */
bool isRefusal(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

Callers::Callers(asio::io_context &context, Witness &witness, std::vector<Endpoint> directories,
                 std::uint64_t seed)
    : m_context(context)
    , m_witness(witness)
    , m_directories(std::move(directories))
    , m_random(seed)
{ }

double Callers::drawn()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

std::string Callers::nextId(const char *what)
{
    return absl::StrCat(what, "-", m_nextId++);
}

void Callers::start(double perSecond)
{
    asio::co_spawn(m_context, askForAddresses(), asio::detached);
    asio::co_spawn(m_context, beginPrograms(perSecond), asio::detached);
}

asio::awaitable<std::vector<Endpoint>> Callers::resolve()
{
    HttpRequest request;
    request.target = absl::StrCat("/v1/resolve?name=", RouteHost, "&region=r&zone=z");
    const Endpoint &directory = m_directories[m_random() % m_directories.size()];
    const HttpResult result = co_await httpCall(directory, request, ResolveLimit);
    std::vector<Endpoint> fronts;
    json::error_code error;
    const json::value value = json::parse(result.response.body, error);
    if (!result.complete || error || !value.is_object()) {
        co_return fronts;
    }
    for (const json::value &address : value.at("addrs").as_array()) {
        const auto endpoint = parseEndpoint(std::string(address.as_string()));
        if (endpoint.ok()) {
            fronts.push_back(*endpoint);
        }
    }
    co_return fronts;
}

asio::awaitable<void> Callers::askForAddresses()
{
    while (!m_stopped) {
        std::vector<Endpoint> fronts = co_await resolve();
        if (!fronts.empty()) {
            m_fronts = std::move(fronts);
        }
        co_await sleepFor(ResolveInterval);
    }
}

asio::awaitable<void> Callers::beginPrograms(double perSecond)
{
    std::exponential_distribution<double> gap(perSecond);
    while (!m_stopped) {
        co_await sleepFor(Milliseconds(static_cast<std::int64_t>(gap(m_random) * MillisPerSecond)));
        Program program;
        program.id = nextId("program");
        const bool loops = drawn() < LoopShare;
        program.turns = loops ? LoopTurns : 1 + static_cast<int>(m_random() % 7);
        program.budget = MostTokens * (loops ? 3 : 2 + program.turns);
        program.storesTurns = drawn() < KeptShare;
        asio::co_spawn(m_context, runProgram(program), asio::detached);
    }
}

asio::awaitable<void> Callers::runProgram(Program program)
{
    m_underWay += 1;
    const std::string session = nextId("session");
    const bool finished = co_await runLine(program, session, "", program.turns);
    m_finished += finished ? 1 : 0;
    m_underWay -= 1;
}

asio::awaitable<bool> Callers::runLine(Program program, std::string session, std::string previous,
                                       int turns)
{
    for (int turn = 0; turn < turns; ++turn) {
        Attempt attempt;
        attempt.kind = program.storesTurns ? CallKind::KeptTurn : CallKind::Stream;
        attempt.program = program.id;
        attempt.budget = program.budget;
        attempt.most = MostTokens;
        attempt.previousTurn = program.storesTurns ? previous : "";
        attempt.input = std::string(200 + m_random() % 6'000, static_cast<char>('a' + turn % 26));
        std::vector<HttpField> fields{{"Session-Id", session},
                                      {"Token-Budget", absl::StrCat(program.budget)},
                                      {"Token-Usage", absl::StrCat("100,", MostTokens)}};
        if (!attempt.previousTurn.empty()) {
            fields.push_back({"Previous-Turn", attempt.previousTurn});
        }
        const char *target = program.storesTurns ? "/turn/x" : "/read/x";
        previous = co_await callUntilServed(attempt, target, fields);
        if (previous.empty()) {
            co_return false;
        }
        if (drawn() < ToolShare) {
            Attempt tool;
            tool.kind = drawn() < 0.5 ? CallKind::Once : CallKind::Repeatable;
            tool.program = program.id;
            tool.input = "tool input";
            const std::vector<HttpField> toolFields{{"Session-Id", session}};
            const char *path = tool.kind == CallKind::Once ? "/tool/x" : "/look/x";
            co_await callUntilServed(tool, path, toolFields);
        }
        if (drawn() < SubAgentShare) {
            asio::co_spawn(m_context, runLine(program, nextId("session"), previous, 2),
                           [](const std::exception_ptr &, bool) {});
        }
    }
    co_return true;
}

asio::awaitable<std::string> Callers::callUntilServed(Attempt attempt, std::string target,
                                                      std::vector<HttpField> fields)
{
    for (int tries = 0; tries < MaxTries; ++tries) {
        if (m_fronts.empty()) {
            co_await sleepFor(ResolveInterval);
            continue;
        }
        const Endpoint front = m_fronts[m_random() % m_fronts.size()];
        const std::string id = nextId("call");
        m_witness.sent(id, attempt);
        const AttemptEnd end = co_await callOnce(front, id, attempt, target, fields);
        m_witness.ended(id, end);
        if (end.status == StatusOk && end.whole) {
            co_return id;
        }
        if (end.status == StatusSpent) {
            co_return "";
        }
        const bool streams = attempt.most > 0;
        if (!isRefusal(end.status) && attempt.kind == CallKind::Once && !streams) {
            co_return "";
        }
        co_await sleepFor(RetryPause);
    }
    co_return "";
}

asio::awaitable<AttemptEnd> Callers::callOnce(Endpoint front, std::string id,
                                              const Attempt &attempt, std::string target,
                                              std::vector<HttpField> fields)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(target);
    request.body = attempt.input;
    request.fields = std::move(fields);
    request.fields.push_back({"Host", RouteHost});
    request.fields.push_back({"Attempt-Id", id});
    request.fields.push_back({"Program-Id", attempt.program});
    request.fields.push_back({"Deadline-Ms", absl::StrCat(Deadline.count())});
    AttemptEnd end;
    const bool givesUp = drawn() < GiveUpShare;
    HttpResponseSink sink;
    sink.onHeader = [&](const HttpResponse &header) -> asio::awaitable<bool> {
        end.status = header.status;
        end.sealed = !header.headerValue("Replica-Seal").empty();
        co_return !givesUp;
    };
    sink.onData = [&](const std::string &data) -> asio::awaitable<bool> {
        end.body += data;
        co_return true;
    };
    const HttpResult result = co_await httpStream(front, request, Silence, sink);
    end.whole = result.complete;
    if (isRefusal(end.status)) {
        co_await sleepFor(std::min(retryAfterOf(result.response), Deadline / 3));
    }
    co_return end;
}

asio::awaitable<bool> Callers::probe(Endpoint front)
{
    const Attempt tool{CallKind::Once, nextId("probe"), "tool input", "", 0, 0};
    const std::string toolId = nextId("call");
    m_witness.sent(toolId, tool);
    const std::vector<HttpField> noFields;
    const AttemptEnd toolEnd = co_await callOnce(front, toolId, tool, "/tool/x", noFields);
    m_witness.ended(toolId, toolEnd);
    const Attempt turn{CallKind::KeptTurn, nextId("probe"), "first words", "",
                       MostTokens * 4,     MostTokens};
    const std::string turnId = nextId("call");
    m_witness.sent(turnId, turn);
    const std::vector<HttpField> fields{{"Session-Id", "probe"},
                                        {"Token-Budget", absl::StrCat(turn.budget)},
                                        {"Token-Usage", absl::StrCat("100,", MostTokens)}};
    const AttemptEnd turnEnd = co_await callOnce(front, turnId, turn, "/turn/x", fields);
    m_witness.ended(turnId, turnEnd);
    co_return toolEnd.whole &&toolEnd.status == StatusOk &&turnEnd.whole &&turnEnd.status
        == StatusOk;
}

} // namespace boragepath::soak
