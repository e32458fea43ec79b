#include "standin/standin_servers.h"

#include "core/json_access.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr unsigned HttpBadRequest = 400;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpUnavailable = 503;
constexpr std::size_t ChannelDepth = 4'096;
constexpr Seconds LongHang{3'600};
constexpr std::chrono::milliseconds StepLogInterval{500};
constexpr std::size_t MaxStepLog = 400;

HttpResponse jsonResponse(unsigned status, const json::value &value)
{
    HttpResponse response;
    response.status = status;
    response.fields.push_back({"Content-Type", "application/json"});
    response.body = json::serialize(value);
    return response;
}

json::array rowsToJson(const std::vector<Row> &rows);

HttpResponse errorOf(unsigned status, const char *message)
{
    return jsonResponse(status, json::object{{"error", message}});
}

HttpResponse rangeAnswer(const RangeOutcome &outcome)
{
    return jsonResponse(
        200,
        json::object{
            {"header", json::object{{"revision", absl::StrCat(outcome.storeRevision.value())}}},
            {"kvs", rowsToJson(outcome.rows)},
        });
}

HttpResponse serviceStatus(bool leaving)
{
    return jsonResponse(200, json::object{{"leaving", leaving}, {"held", json::array{}}});
}

HttpResponse serviceDone(int run, const std::string &path)
{
    return jsonResponse(200, json::object{{"done", true}, {"run", run}, {"path", path}});
}

asio::awaitable<void> sleepFor(SteadyClock::duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::string decodedAt(const json::object &object, const char *field)
{
    std::string result;
    absl::Base64Unescape(stringAt(object, field), &result);
    return result;
}

std::uint64_t textNumberAt(const json::object &object, const char *field)
{
    std::uint64_t number = 0;
    static_cast<void>(absl::SimpleAtoi(stringAt(object, field), &number));
    return number;
}

json::array rowsToJson(const std::vector<Row> &rows)
{
    json::array result;
    for (const Row &row : rows) {
        result.push_back(json::object{
            {"key", absl::Base64Escape(row.key)},
            {"value", absl::Base64Escape(row.value)},
            {"mod_revision", absl::StrCat(row.revision.value())},
        });
    }
    return result;
}

json::object headerOf(RowRevision revision)
{
    return {{"revision", absl::StrCat(revision.value())}};
}

Transaction readTransaction(const json::object &body)
{
    Transaction transaction;
    for (const json::value &item : arrayAt(body, "compare")) {
        const json::object &condition = item.as_object();
        transaction.conditions.push_back(
            {decodedAt(condition, "key"), RowRevision(textNumberAt(condition, "mod_revision"))});
    }
    for (const json::value &item : arrayAt(body, "success")) {
        const json::object *put = objectAt(item.as_object(), "request_put");
        const json::object *remove = objectAt(item.as_object(), "request_delete_range");
        if (put != nullptr) {
            transaction.writes.push_back({decodedAt(*put, "key"), decodedAt(*put, "value")});
        } else if (remove != nullptr) {
            transaction.writes.push_back({decodedAt(*remove, "key"), std::nullopt});
        }
    }
    return transaction;
}

json::object transactionAnswer(const TransactionOutcome &outcome)
{
    const bool committed = outcome.kind == TransactionOutcome::Kind::Committed;
    json::array responses;
    if (!committed) {
        for (const Row &row : outcome.current) {
            responses.push_back(
                json::object{{"response_range", json::object{{"kvs", rowsToJson({row})}}}});
        }
    }
    return {
        {"header", headerOf(outcome.revision)},
        {"succeeded", committed},
        {"responses", std::move(responses)},
    };
}

/** The prompt as an engine sees it: roles and contents, then the mark of an answer. */
std::string promptOf(const json::object &body)
{
    std::string prompt;
    for (const json::value &message : arrayAt(body, "messages")) {
        if (message.is_object()) {
            absl::StrAppend(&prompt, "<", stringAt(message.get_object(), "role"), ">",
                            stringAt(message.get_object(), "content"));
        }
    }
    return prompt + "<assistant>";
}

std::string chunkText(const std::string &text, const char *finish)
{
    json::object choice{{"index", 0}, {"delta", json::object{{"content", text}}}};
    if (finish != nullptr) {
        choice["finish_reason"] = finish;
    }
    return absl::StrCat("data: ",
                        json::serialize(json::object{
                            {"object", "chat.completion.chunk"},
                            {"choices", json::array{std::move(choice)}},
                        }),
                        "\n\n");
}

std::string usageText(const EngineEvent &event)
{
    return absl::StrCat(
        "data: ",
        json::serialize(json::object{
            {"object", "chat.completion.chunk"},
            {"choices", json::array{}},
            {"usage",
             json::object{
                 {"prompt_tokens", event.promptTokens},
                 {"completion_tokens", event.completionTokens},
                 {"total_tokens", event.promptTokens + event.completionTokens},
                 {"prompt_tokens_details", json::object{{"cached_tokens", event.cachedTokens}}},
             }},
        }),
        "\n\ndata: [DONE]\n\n");
}

} // namespace

// --- Table -----------------------------------------------------------------

TableServer::TableServer(asio::io_context &context, const Endpoint &endpoint, std::uint64_t seed)
    : m_random(seed)
    , m_server(context, HttpLimits{1LL << 30},
               [this](const HttpRequest &request, HttpResponder &responder) {
                   return serve(request, responder);
               })
{
    m_server.listen(endpoint);
}

asio::awaitable<void> TableServer::serve(const HttpRequest &request, HttpResponder &responder)
{
    const auto now = SteadyClock::now();
    if (now < m_faults.outageUntil) {
        co_await responder.send(errorOf(HttpUnavailable, "outage"));
        co_return;
    }
    if (now < m_faults.slowUntil) {
        co_await sleepFor(m_faults.slowBy);
    }
    json::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object()) {
        co_await responder.send(errorOf(HttpBadRequest, "body"));
        co_return;
    }
    if (request.target == "/v3/kv/txn") {
        const TransactionOutcome outcome = m_store.apply(readTransaction(body.get_object()));
        std::uniform_real_distribution<double> share(0, 1);
        if (now < m_faults.loseUntil && share(m_random) < m_faults.loseShare) {
            co_await responder.send(errorOf(HttpUnavailable, "answer lost"));
            co_return;
        }
        co_await responder.send(jsonResponse(200, transactionAnswer(outcome)));
        co_return;
    }
    const RangeRequest range{
        decodedAt(body.get_object(), "key"),
        RowRevision(std::max<std::uint64_t>(1, textNumberAt(body.get_object(), "min_mod_revision"))
                    - 1)};
    const RangeOutcome outcome = m_store.range(range);
    co_await responder.send(rangeAnswer(outcome));
}

// --- Engine ----------------------------------------------------------------

EngineServer::EngineServer(asio::io_context &context, const ReplicaSettings &settings,
                           EngineCosts costs, std::shared_ptr<ComputedBlocks> computed)
    : m_context(context)
    , m_costs(costs)
    , m_computed(std::move(computed))
    , m_model(costs, m_computed)
    , m_wake(context)
    , m_server(context, HttpLimits{64LL << 20},
               [this](const HttpRequest &request, HttpResponder &responder) {
                   return serve(request, responder);
               })
{
    m_server.listen(settings.endpoint);
    m_wake.expires_at(SteadyClock::time_point::max());
    asio::co_spawn(context, stepLoop(), asio::detached);
}

asio::awaitable<void> EngineServer::stepLoop()
{
    auto next = SteadyClock::now();
    for (;;) {
        if (m_model.idle()) {
            boost::system::error_code error;
            m_wake.expires_at(SteadyClock::time_point::max());
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, error));
            next = SteadyClock::now();
            continue;
        }
        if (SteadyClock::now() < m_faults.hangUntil) {
            co_await sleepFor(StepLogInterval);
            next = SteadyClock::now();
            continue;
        }
        std::vector<EngineEvent> events;
        next += m_model.step(events);
        if (m_stepAt.empty() || next >= m_stepAt.rbegin()->first + StepLogInterval) {
            m_stepAt[next] = m_model.stepNumber();
            if (m_stepAt.size() > MaxStepLog) {
                m_stepAt.erase(m_stepAt.begin());
            }
        }
        asio::steady_timer timer(m_context, next);
        co_await timer.async_wait(asio::use_awaitable);
        const auto lag = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - next);
        m_longestLag = std::max(m_longestLag, lag);
        for (EngineEvent &event : events) {
            const auto channel = m_channels.find(event.id);
            if (channel != m_channels.end()) {
                channel->second->try_send(boost::system::error_code(), std::move(event));
            }
        }
    }
}

void EngineServer::die()
{
    for (auto &[id, channel] : std::exchange(m_channels, {})) {
        m_model.cancel(id);
        channel->close();
    }
    m_model = EngineModel(m_costs, m_computed);
    m_stepAt.clear();
}

asio::awaitable<void> EngineServer::serve(const HttpRequest &request, HttpResponder &responder)
{
    if (SteadyClock::now() < m_faults.outageUntil) {
        co_await responder.send(errorOf(HttpUnavailable, "outage"));
        co_return;
    }
    const std::string path = request.path();
    if (path == "/v1/chat/completions") {
        co_await complete(request, responder);
    } else if (path == "/v1/release") {
        json::error_code error;
        const json::value body = json::parse(request.body, error);
        if (!error && body.is_object()) {
            m_model.release(stringAt(body.get_object(), "program"));
        }
        co_await responder.send(errorOf(200, ""));
    } else if (path == "/v1/status") {
        int idleSeconds = 0;
        static_cast<void>(absl::SimpleAtoi(request.query("idle_s"), &idleSeconds));
        co_await responder.send(status(Seconds(idleSeconds)));
    } else {
        co_await responder.send(errorOf(HttpNotFound, "path"));
    }
}

HttpResponse EngineServer::status(Seconds idle) const
{
    json::array held;
    const auto since = m_stepAt.upper_bound(SteadyClock::now() - idle);
    if (since != m_stepAt.begin()) {
        for (const std::string &program : m_model.heldPrograms(std::prev(since)->second)) {
            held.emplace_back(program);
        }
    }
    return jsonResponse(200,
                        json::object{
                            {"running", m_model.running()},
                            {"waiting", m_model.waiting()},
                            {"leaving", m_faults.leaving},
                            {"held", std::move(held)},
                        });
}

asio::awaitable<void> EngineServer::complete(const HttpRequest &request, HttpResponder &responder)
{
    if (m_faults.leaving) {
        co_await responder.send(errorOf(HttpUnavailable, "leaving"));
        co_return;
    }
    json::error_code error;
    const json::value value = json::parse(request.body, error);
    if (error || !value.is_object()) {
        co_await responder.send(errorOf(HttpBadRequest, "body"));
        co_return;
    }
    const json::object &body = value.get_object();
    EngineRequest call;
    call.id = m_nextId++;
    call.program = stringAt(body, "user");
    call.prompt = promptOf(body);
    const json::value *maxTokens = body.if_contains("max_tokens");
    call.maxTokens = maxTokens != nullptr && maxTokens->is_int64() ? maxTokens->get_int64() : 16;
    const std::uint64_t id = call.id;
    const auto channel =
        std::make_shared<Channel>(co_await asio::this_coro::executor, ChannelDepth);
    m_channels[id] = channel;
    m_model.submit(std::move(call));
    m_wake.cancel();
    HttpResponse header;
    header.fields.push_back({"Content-Type", "text/event-stream"});
    bool connected = co_await responder.beginStream(header);
    while (connected) {
        boost::system::error_code closed;
        const EngineEvent event =
            co_await channel->async_receive(asio::redirect_error(asio::use_awaitable, closed));
        if (closed) {
            co_return;
        }
        if (event.finished) {
            co_await responder.sendChunk(chunkText("", "stop") + usageText(event));
            co_await responder.endStream();
            break;
        }
        connected = co_await responder.sendChunk(chunkText(event.text, nullptr));
    }
    m_channels.erase(id);
    if (!connected) {
        m_model.cancel(id);
    }
}

// --- Service ---------------------------------------------------------------

ServiceServer::ServiceServer(asio::io_context &context, const ReplicaSettings &settings,
                             Milliseconds duration,
                             std::shared_ptr<std::map<std::string, int>> runs)
    : m_duration(duration)
    , m_runs(std::move(runs))
    , m_server(context, HttpLimits{}, [this](const HttpRequest &request, HttpResponder &responder) {
        return serve(request, responder);
    })
{
    m_server.listen(settings.endpoint);
}

asio::awaitable<void> ServiceServer::serve(const HttpRequest &request, HttpResponder &responder)
{
    const auto now = SteadyClock::now();
    if (request.path() == "/v1/status") {
        co_await responder.send(serviceStatus(m_faults.leaving));
        co_return;
    }
    if (now < m_faults.outageUntil) {
        co_await responder.send(errorOf(HttpUnavailable, "outage"));
        co_return;
    }
    const std::string key = request.headerValue("Idempotency-Key");
    int run = 1;
    if (!key.empty()) {
        run = ++(*m_runs)[key];
    }
    if (now < m_faults.hangUntil) {
        co_await sleepFor(LongHang);
    }
    co_await sleepFor(m_duration + (now < m_faults.slowUntil ? m_faults.slowBy : Milliseconds(0)));
    co_await responder.send(serviceDone(run, request.target));
}

// --- All -------------------------------------------------------------------

StandinServers::StandinServers(asio::io_context &context, const Settings &settings,
                               const Config &config)
    : m_table(context, settings.table, 1)
    , m_control(context, HttpLimits{},
                [this](const HttpRequest &request, HttpResponder &responder) {
                    return serve(request, responder);
                })
{
    for (const PoolSettings &pool : settings.pools) {
        for (const ReplicaSettings &replica : pool.replicas) {
            if (pool.isService) {
                m_services[replica.id.value()] = std::make_unique<ServiceServer>(
                    context, replica, config.serviceDuration, m_runs);
            } else {
                m_engines[replica.id.value()] =
                    std::make_unique<EngineServer>(context, replica, config.costs, m_computed);
            }
        }
    }
    m_control.listen(config.control);
}

asio::awaitable<void> StandinServers::serve(const HttpRequest &request, HttpResponder &responder)
{
    if (request.method == "POST" && request.path() == "/fault") {
        const std::string problem = applyFault(request);
        co_await responder.send(errorOf(problem.empty() ? 200 : HttpBadRequest, problem.c_str()));
        co_return;
    }
    HttpResponse response;
    response.fields.push_back({"Content-Type", "application/json"});
    response.body = statistics();
    co_await responder.send(response);
}

std::string StandinServers::applyFault(const HttpRequest &request)
{
    const std::string target = request.query("target");
    const std::string kind = request.query("kind");
    std::int64_t durationMillis = 0;
    std::int64_t delayMillis = 0;
    double share = 1;
    static_cast<void>(absl::SimpleAtoi(request.query("duration_ms"), &durationMillis));
    static_cast<void>(absl::SimpleAtoi(request.query("delay_ms"), &delayMillis));
    static_cast<void>(absl::SimpleAtod(request.query("share"), &share));
    Faults *faults = nullptr;
    if (target == "table") {
        faults = &m_table.faults();
    } else if (m_engines.contains(target)) {
        faults = &m_engines[target]->faults();
    } else if (m_services.contains(target)) {
        faults = &m_services[target]->faults();
    }
    if (faults == nullptr) {
        return "target: unknown";
    }
    const auto until = SteadyClock::now() + Milliseconds(durationMillis);
    if (kind == "outage") {
        faults->outageUntil = until;
    } else if (kind == "hang") {
        faults->hangUntil = until;
    } else if (kind == "slow") {
        faults->slowUntil = until;
        faults->slowBy = Milliseconds(delayMillis);
    } else if (kind == "lose") {
        faults->loseUntil = until;
        faults->loseShare = share;
    } else if (kind == "leave") {
        faults->leaving = true;
    } else if (kind == "return") {
        faults->leaving = false;
    } else if (kind == "die" && m_engines.contains(target)) {
        m_engines[target]->die();
        faults->outageUntil = until;
    } else {
        return "kind: unknown";
    }
    return "";
}

std::string StandinServers::statistics() const
{
    EngineCounters sum;
    json::array engines;
    json::array held;
    Milliseconds longestLag{0};
    for (const auto &[id, engine] : m_engines) {
        const EngineCounters &one = engine->model().counters();
        sum.prefillTokens += one.prefillTokens;
        sum.recomputedTokens += one.recomputedTokens;
        sum.evictedUnusedTokens += one.evictedUnusedTokens;
        sum.cachedTokens += one.cachedTokens;
        sum.decodedTokens += one.decodedTokens;
        sum.preemptions += one.preemptions;
        sum.finished += one.finished;
        sum.cancelled += one.cancelled;
        sum.releasedTokens += one.releasedTokens;
        longestLag = std::max(longestLag, engine->longestLag());
        for (const std::string &program :
             engine->model().heldPrograms(engine->model().stepNumber() + 1)) {
            held.emplace_back(program);
        }
        engines.push_back(json::object{
            {"replica", id},
            {"running", engine->model().running()},
            {"waiting", engine->model().waiting()},
            {"blocks", engine->model().usedBlocks()},
        });
    }
    json::object runs;
    for (const auto &[key, count] : *m_runs) {
        runs[key] = count;
    }
    return json::serialize(json::object{
        {"prefill_tokens", sum.prefillTokens},
        {"recomputed_tokens", sum.recomputedTokens},
        {"evicted_unused_tokens", sum.evictedUnusedTokens},
        {"cached_tokens", sum.cachedTokens},
        {"decoded_tokens", sum.decodedTokens},
        {"preemptions", sum.preemptions},
        {"finished", sum.finished},
        {"cancelled", sum.cancelled},
        {"released_tokens", sum.releasedTokens},
        {"table_transactions", m_table.store().transactions()},
        {"table_row_writes", m_table.store().rowWrites()},
        {"step_lag_ms_max", longestLag.count()},
        {"held_programs", std::move(held)},
        {"engines", std::move(engines)},
        {"service_runs", std::move(runs)},
    });
}

} // namespace boragepath
