#include "soak/callers.h"

#include "net/http_client.h"
#include "net/sleep.h"
#include "soak/lost_checks.h"
#include "standin/platform_replica.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <iterator>

namespace boragepath::soak {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Milliseconds ResolveInterval{1'000};
constexpr Milliseconds ResolveTimeout{1'000};
constexpr Milliseconds RetryPause{150};
/** A stream that delivers nothing for this long is given up. */
constexpr Milliseconds StreamIdleTimeout{2'500};
constexpr int MaxAttempts = 6;
/** Turns that continue a conversation are tried more often, since they must not be lost. */
constexpr int MaxTurnAttempts = 8;
/** Between two requests that crash replicas; each is one of three. */
constexpr Milliseconds MinCrashingPause{300};
constexpr Milliseconds MaxCrashingPause{2'500};
constexpr std::int64_t MaxTokensPerTurn = 9 * TokensPerEvent;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusBudgetExhausted = 402;
constexpr unsigned StatusNotFound = 404;
constexpr double MillisPerSecond = 1'000;
constexpr int LoopingProgramTurns = 40;
/** Fractions of all programs, or of all turns that are followed by a tool call or sub-agents. */
constexpr double LoopingProgramShare = 0.06;
constexpr double StoredTurnShare = 0.6;
/** Fraction of programs that have stored turns and others. */
constexpr double MixedTurnsShare = 0.2;
constexpr double ToolShare = 0.6;
constexpr double SubAgentShare = 0.15;
constexpr double SlowShare = 0.2;
/** Fraction of programs that use most of their budget, and what they are given of their most. */
constexpr double FullUseShare = 0.25;
constexpr double FullUseBudget = 0.7;
constexpr int MinFullUseTurns = 8;
constexpr int FullUseTurnRange = 5;
constexpr Milliseconds MaxFullUsePause{500};
/** Fractions of calls that go on a kept connection, and on one that is open whatever the directory
 * says of its VM by now. */
constexpr double KeptShare = 0.5;
constexpr double OpenConnectionShare = 0.3;
/** Fraction of programs that use one VM until its process is gone. */
constexpr double OneVmShare = 0.5;
constexpr std::size_t MaxContinued = 60;
constexpr double DisconnectShare = 0.03;
/** Fraction of resumable streams that their callers break off after some events. */
constexpr double BreakOffShare = 0.1;
/** Fraction of requests whose callers set the header Tenant themselves. */
constexpr double FalseTenantShare = 0.05;
constexpr Milliseconds MinImproperPause{50};
constexpr Milliseconds MaxImproperPause{300};
constexpr double ForeignTurnShare = 0.3;

Milliseconds retryAfterOf(const HttpResponse &response)
{
    double seconds = 0;
    if (!absl::SimpleAtod(response.headerValue("Retry-After"), &seconds)) {
        return RetryPause;
    }
    return Milliseconds(static_cast<std::int64_t>(seconds * MillisPerSecond));
}

std::vector<HttpField> turnFields(const std::string &session, const Attempt &attempt)
{
    std::vector<HttpField> fields{{"Session-Id", session},
                                  {"Token-Budget", absl::StrCat(attempt.budget)},
                                  {"Token-Usage", absl::StrCat("100,", MaxTokensPerTurn)}};
    if (!attempt.previousTurn.empty()) {
        fields.push_back({"Previous-Turn", attempt.previousTurn});
    }
    return fields;
}

const char *targetOf(CallKind kind)
{
    switch (kind) {
    case CallKind::AtMostOnce:
        return "/tool/x";
    case CallKind::Idempotent:
        return "/look/x";
    case CallKind::ResumableStream:
        return "/read/x";
    case CallKind::StoredTurn:
        break;
    }
    return "/turn/x";
}

/** Some calls take replicas long. */
std::string slowOrNot(const std::string &target, double fraction)
{
    return fraction < SlowShare ? absl::StrCat(target, PlatformReplica::SlowMark) : target;
}

/** A refusal guarantees that the request has not run, so that it is safe to retry. */
bool isRefusal(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

Callers::Callers(asio::io_context &context, const Clock &clock, InvariantChecker &checker,
                 std::vector<Endpoint> directoryEndpoints,
                 const std::vector<SoakOrganisation> &organisations, std::uint64_t seed)
    : m_context(context)
    , m_checker(checker)
    , m_directoryEndpoints(std::move(directoryEndpoints))
    , m_connections(clock)
    , m_clock(clock)
    , m_random(seed)
    , m_crashRandom(seed)
    , m_organisations(organisations)
    , m_organisationRandom(seed)
{ }

double Callers::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

std::string Callers::nextId(const char *prefix)
{
    return absl::StrCat(prefix, "-", m_nextId++);
}

void Callers::start(double perSecond, bool crashes)
{
    asio::co_spawn(m_context, refreshAddresses(), asio::detached);
    asio::co_spawn(m_context, startPrograms(perSecond), asio::detached);
    if (crashes) {
        asio::co_spawn(m_context, sendCrashingRequests(), asio::detached);
    }
    if (!m_organisations.empty()) {
        asio::co_spawn(m_context, sendImproperRequests(), asio::detached);
    }
}

asio::awaitable<std::vector<Endpoint>> Callers::resolve()
{
    HttpRequest request;
    request.target = absl::StrCat("/v1/resolve?name=", RouteHost, "&region=r&zone=z");
    const Endpoint &directoryEndpoint =
        m_directoryEndpoints[m_random() % m_directoryEndpoints.size()];
    const HttpResult result = co_await httpCall(directoryEndpoint, request, ResolveTimeout);
    std::vector<Endpoint> frontEndpoints;
    json::error_code error;
    const json::value value = json::parse(result.response.body, error);
    if (!result.complete || error || !value.is_object()) {
        co_return frontEndpoints;
    }
    for (const json::value &address : value.at("addrs").as_array()) {
        const auto endpoint = parseEndpoint(std::string(address.as_string()));
        if (endpoint.ok()) {
            frontEndpoints.push_back(*endpoint);
        }
    }
    co_return frontEndpoints;
}

asio::awaitable<void> Callers::refreshAddresses()
{
    while (!m_stopped) {
        std::vector<Endpoint> frontEndpoints = co_await resolve();
        if (!frontEndpoints.empty()) {
            m_knownEndpoints.insert(frontEndpoints.begin(), frontEndpoints.end());
            m_frontEndpoints = std::move(frontEndpoints);
        }
        co_await sleepFor(ResolveInterval);
    }
}

asio::awaitable<void> Callers::startPrograms(double perSecond)
{
    while (!m_stopped) {
        const double load =
            m_organisations.empty() ? 1 : currentLoad(m_organisations) / usualLoad(m_organisations);
        std::exponential_distribution<double> gap(perSecond * load);
        co_await sleepFor(Milliseconds(static_cast<std::int64_t>(gap(m_random) * MillisPerSecond)));
        Program program;
        program.id = nextId("program");
        planTurns(program);
        if (randomFraction() < OneVmShare && !m_knownEndpoints.empty()) {
            m_pinnedVms[program.id] = anyKnownEndpoint();
        }
        joinOrganisation(program);
        asio::co_spawn(m_context, runProgram(program), asio::detached);
    }
}

void Callers::planTurns(Program &program)
{
    program.usesMostOfBudget = randomFraction() < FullUseShare;
    if (program.usesMostOfBudget) {
        program.turns = MinFullUseTurns + static_cast<int>(m_random() % FullUseTurnRange);
        program.budget =
            static_cast<std::int64_t>(FullUseBudget * MaxTokensPerTurn * program.turns);
        program.storesTurns = true;
        return;
    }
    const bool isLooping = randomFraction() < LoopingProgramShare;
    program.turns = isLooping ? LoopingProgramTurns : 1 + static_cast<int>(m_random() % 7);
    program.budget = MaxTokensPerTurn * (isLooping ? 3 : 2 + program.turns);
    program.storesTurns = randomFraction() < StoredTurnShare;
    program.mixesTurns = randomFraction() < MixedTurnsShare;
}

void Callers::continueConversations()
{
    std::size_t continued = 0;
    for (const auto &[program, conversation] : m_conversations) {
        const bool isOld = m_clock.now() >= conversation.answeredAt + RecoveryBound
            && m_clock.now() < conversation.answeredAt + TurnKeepTime / 2;
        if (isOld && continued < MaxContinued) {
            continued += 1;
            asio::co_spawn(m_context,
                           runConversation(conversation.program, conversation.session,
                                           conversation.latestTurn, 1),
                           [](const std::exception_ptr &, bool) {});
        }
    }
}

asio::awaitable<void> Callers::sendCrashingRequests()
{
    std::uniform_int_distribution<std::int64_t> pause(MinCrashingPause.count(),
                                                      MaxCrashingPause.count());
    const char *const prefixes[] = {"/look", "/read", "/turn"};
    constexpr CallKind Kinds[] = {CallKind::Idempotent, CallKind::ResumableStream,
                                  CallKind::StoredTurn};
    while (!m_stopped) {
        co_await sleepFor(Milliseconds(pause(m_crashRandom)));
        const std::size_t kind = m_crashRandom() % std::size(Kinds);
        Attempt attempt;
        attempt.kind = Kinds[kind];
        attempt.program = nextId("crashing");
        attempt.input = "crash";
        attempt.key = keyOf(0);
        std::vector<HttpField> fields;
        if (attempt.kind != CallKind::Idempotent) {
            attempt.budget = MaxTokensPerTurn;
            attempt.maxTokens = MaxTokensPerTurn;
            fields = turnFields(attempt.program, attempt);
        }
        const std::string target = absl::StrCat(prefixes[kind], "/crash");
        asio::co_spawn(m_context, callWithRetries(attempt, target, fields),
                       [](const std::exception_ptr &, const std::string &) {});
    }
}

std::string Callers::keyOf(std::size_t organisation)
{
    if (m_organisations.empty()) {
        return "";
    }
    const std::vector<SoakKey> &keys = m_organisations[organisation].keys;
    return keys[m_organisationRandom() % keys.size()].text;
}

void Callers::joinOrganisation(Program &program)
{
    if (m_organisations.empty()) {
        return;
    }
    std::vector<double> loads;
    for (const SoakOrganisation &organisation : m_organisations) {
        loads.push_back(organisation.load * organisation.loadFactor);
    }
    std::discrete_distribution<std::size_t> distribution(loads.begin(), loads.end());
    program.organisation = distribution(m_organisationRandom);
    program.key = keyOf(program.organisation);
}

std::vector<HttpField> Callers::organisationFields(const Attempt &attempt)
{
    std::vector<HttpField> fields;
    if (!attempt.key.empty()) {
        fields.push_back({"Credential", attempt.key});
    }
    std::uniform_real_distribution<double> fraction(0, 1);
    if (!m_organisations.empty() && fraction(m_organisationRandom) < FalseTenantShare) {
        const std::size_t other = m_organisationRandom() % m_organisations.size();
        fields.push_back({"Tenant", m_organisations[other].name});
    }
    return fields;
}

Attempt Callers::strangerAttempt()
{
    constexpr CallKind Kinds[] = {CallKind::AtMostOnce, CallKind::Idempotent,
                                  CallKind::ResumableStream, CallKind::StoredTurn};
    Attempt attempt;
    attempt.kind = Kinds[m_organisationRandom() % std::size(Kinds)];
    // Parts and extensions of a key must be refused like any other unknown key.
    const std::string key = keyOf(m_organisationRandom() % m_organisations.size());
    const std::string keys[] = {"", "", key.substr(0, key.size() - 1), absl::StrCat(key, "0")};
    attempt.key = keys[m_organisationRandom() % std::size(keys)];
    return attempt;
}

std::optional<Attempt> Callers::foreignTurn()
{
    const std::size_t own = m_organisationRandom() % m_organisations.size();
    const std::size_t other = m_organisationRandom() % m_organisations.size();
    const auto latest = m_latestTurns.find(other);
    if (own == other || latest == m_latestTurns.end()) {
        return std::nullopt;
    }
    Attempt attempt;
    attempt.kind = CallKind::StoredTurn;
    attempt.previousTurn = latest->second;
    attempt.key = keyOf(own);
    return attempt;
}

asio::awaitable<void> Callers::sendImproperRequests()
{
    std::uniform_int_distribution<std::int64_t> pause(MinImproperPause.count(),
                                                      MaxImproperPause.count());
    std::uniform_real_distribution<double> fraction(0, 1);
    while (!m_stopped) {
        co_await sleepFor(Milliseconds(pause(m_organisationRandom)));
        std::optional<Attempt> foreign;
        if (fraction(m_organisationRandom) < ForeignTurnShare) {
            foreign = foreignTurn();
        }
        Attempt attempt = foreign.has_value() ? *foreign : strangerAttempt();
        attempt.program = nextId("improper");
        attempt.input = "improper";
        std::vector<HttpField> fields;
        if (attempt.kind == CallKind::ResumableStream || attempt.kind == CallKind::StoredTurn) {
            attempt.budget = MaxTokensPerTurn;
            attempt.maxTokens = MaxTokensPerTurn;
            fields = turnFields(attempt.program, attempt);
        }
        asio::co_spawn(m_context, callWithRetries(attempt, targetOf(attempt.kind), fields),
                       [](const std::exception_ptr &, const std::string &) {});
    }
}

asio::awaitable<void> Callers::runProgram(Program program)
{
    m_activePrograms += 1;
    const std::string session = nextId("session");
    const bool finished = co_await runConversation(program, session, "", program.turns);
    m_finishedPrograms += finished ? 1 : 0;
    m_activePrograms -= 1;
}

asio::awaitable<bool> Callers::runConversation(Program program, std::string session,
                                               std::string previous, int turns)
{
    std::string latestStored = previous;
    for (int turn = 0; turn < turns; ++turn) {
        const bool isStored = program.mixesTurns ? randomFraction() < 0.5 : program.storesTurns;
        Attempt attempt;
        attempt.kind = isStored ? CallKind::StoredTurn : CallKind::ResumableStream;
        attempt.program = program.id;
        attempt.budget = program.budget;
        attempt.maxTokens = MaxTokensPerTurn;
        attempt.previousTurn = isStored ? latestStored : "";
        attempt.input = std::string(200 + m_random() % 6'000, static_cast<char>('a' + turn % 26));
        attempt.key = program.key;
        const std::vector<HttpField> fields = turnFields(session, attempt);
        const std::string target = slowOrNot(targetOf(attempt.kind), randomFraction());
        previous = co_await callWithRetries(attempt, target, fields);
        if (previous.empty()) {
            co_return false;
        }
        if (isStored) {
            latestStored = previous;
            m_latestTurns[program.organisation] = previous;
            m_conversations[program.id] = {program, session, previous, m_clock.now()};
        }
        if (program.usesMostOfBudget) {
            co_await sleepFor(
                std::chrono::duration_cast<Duration>(randomFraction() * MaxFullUsePause));
        }
        if (randomFraction() < ToolShare) {
            Attempt tool;
            tool.kind = randomFraction() < 0.5 ? CallKind::AtMostOnce : CallKind::Idempotent;
            tool.program = program.id;
            tool.input = "tool input";
            tool.key = program.key;
            const std::vector<HttpField> toolFields{{"Session-Id", session}};
            const std::string toolTarget = slowOrNot(targetOf(tool.kind), randomFraction());
            co_await callWithRetries(tool, toolTarget, toolFields);
        }
        if (randomFraction() < SubAgentShare) {
            asio::co_spawn(m_context, runConversation(program, nextId("session"), latestStored, 2),
                           [](const std::exception_ptr &, bool) {});
        }
    }
    co_return true;
}

asio::awaitable<std::string> Callers::callWithRetries(Attempt attempt, std::string target,
                                                      std::vector<HttpField> fields)
{
    const int maxAttempts = attempt.previousTurn.empty() ? MaxAttempts : MaxTurnAttempts;
    for (int attemptCount = 0; attemptCount < maxAttempts; ++attemptCount) {
        if (m_frontEndpoints.empty()) {
            co_await sleepFor(ResolveInterval);
            continue;
        }
        const Route route = chooseRoute(attempt);
        const std::string id = nextId("call");
        m_checker.recordSent(id, attempt, route.front);
        const AttemptResult attemptResult = co_await callOnce(route, id, attempt, target, fields);
        attempt.firstTry = attempt.firstTry.empty() ? id : attempt.firstTry;
        const std::optional<ReceivedStream> received = m_checker.recordResult(id, attemptResult);
        if (attemptResult.status == StatusOk && attemptResult.complete) {
            co_return id;
        }
        if (attemptResult.status == StatusBudgetExhausted
            || attemptResult.status == StatusUnauthorized
            || attemptResult.status == StatusNotFound) {
            co_return "";
        }
        const bool streams = attempt.maxTokens > 0;
        if (!isRefusal(attemptResult.status) && attempt.kind == CallKind::AtMostOnce && !streams) {
            co_return "";
        }
        if (attempt.kind == CallKind::ResumableStream) {
            // A stream that is refused cannot go on, so it begins again.
            attempt.received = isRefusal(attemptResult.status) ? std::nullopt : received;
        }
        co_await sleepFor(RetryPause);
    }
    co_return "";
}

Endpoint Callers::anyKnownEndpoint()
{
    const std::size_t known = m_random() % m_knownEndpoints.size();
    return *std::next(m_knownEndpoints.begin(), static_cast<long>(known));
}

Callers::Route Callers::chooseRoute(const Attempt &attempt)
{
    const bool keepsConnection = randomFraction() < KeptShare;
    // A further try goes to any VM, since the first one has failed its caller.
    const bool isFirstTry = attempt.firstTry.empty();
    const auto pinned = m_pinnedVms.find(attempt.program);
    if (isFirstTry && pinned != m_pinnedVms.end() && !m_knownEndpoints.empty()) {
        if (!m_knownEndpoints.contains(pinned->second)) {
            pinned->second = anyKnownEndpoint();
        }
        return {pinned->second, keepsConnection};
    }
    if (isFirstTry && randomFraction() < OpenConnectionShare) {
        const std::optional<Endpoint> open = m_connections.anyIdle(m_random);
        if (open.has_value()) {
            return {*open, true};
        }
    }
    return {m_frontEndpoints[m_random() % m_frontEndpoints.size()], keepsConnection};
}

asio::awaitable<AttemptResult> Callers::callOnce(Route route, std::string id,
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
    request.fields.push_back({"Deadline-Ms", absl::StrCat(CallDeadline.count())});
    const std::vector<HttpField> identity = organisationFields(attempt);
    request.fields.insert(request.fields.end(), identity.begin(), identity.end());
    if (attempt.received.has_value()) {
        request.fields.push_back({"Resumes", attempt.received->firstAttempt});
        request.fields.push_back({"Last-Event-Id", absl::StrCat(attempt.received->events)});
    }
    AttemptResult attemptResult;
    const bool disconnects = randomFraction() < DisconnectShare;
    const bool breaksOff =
        attempt.kind == CallKind::ResumableStream && randomFraction() < BreakOffShare;
    Milliseconds retryAfter{0};
    HttpResponseSink sink;
    sink.onHeader = [&](const HttpResponse &header) -> asio::awaitable<bool> {
        attemptResult.status = header.status;
        attemptResult.hasSeal = !header.headerValue("Replica-Seal").empty();
        if (!header.headerValue("Server-Leaving").empty()) {
            m_checker.recordLeavingAnswer(
                route.front, ReplicaAnswers::replicaOf(header.headerValue("Replica-Seal")));
        }
        if (!header.headerValue("Server-Limit").empty()) {
            m_checker.recordLimitedAnswer(
                route.front, ReplicaAnswers::replicaOf(header.headerValue("Replica-Seal")));
        }
        retryAfter = retryAfterOf(header);
        co_return !disconnects;
    };
    sink.onData = [&](const std::string &data) -> asio::awaitable<bool> {
        attemptResult.body += data;
        co_return !breaksOff;
    };
    const ConnectionFacts connection = co_await m_connections.call(
        route.front, request, StreamIdleTimeout, sink, route.keepsConnection);
    m_checker.recordConnection(id, connection);
    attemptResult.complete = connection.end == CallEnd::Answered;
    if (connection.end == CallEnd::NotConnected) {
        m_knownEndpoints.erase(route.front);
    }
    if (isRefusal(attemptResult.status)) {
        co_await sleepFor(std::min(retryAfter, CallDeadline / 3));
    }
    co_return attemptResult;
}

asio::awaitable<bool> Callers::probe(Endpoint frontEndpoint)
{
    const Route route{frontEndpoint, false};
    const Attempt tool{CallKind::AtMostOnce, nextId("probe"), "tool input", "", 0, 0, {}, keyOf(0)};
    const std::string toolId = nextId("call");
    m_checker.recordSent(toolId, tool, frontEndpoint);
    const std::vector<HttpField> noFields;
    const AttemptResult toolResult = co_await callOnce(route, toolId, tool, "/tool/x", noFields);
    m_checker.recordResult(toolId, toolResult);
    const Attempt turn{CallKind::StoredTurn,
                       nextId("probe"),
                       "first words",
                       "",
                       MaxTokensPerTurn * 4,
                       MaxTokensPerTurn,
                       {},
                       keyOf(0)};
    const std::string turnId = nextId("call");
    m_checker.recordSent(turnId, turn, frontEndpoint);
    const std::vector<HttpField> fields = turnFields("probe", turn);
    const AttemptResult turnResult = co_await callOnce(route, turnId, turn, "/turn/x", fields);
    m_checker.recordResult(turnId, turnResult);
    co_return toolResult.complete &&toolResult.status
        == StatusOk &&turnResult.complete &&turnResult.status == StatusOk;
}

} // namespace boragepath::soak
