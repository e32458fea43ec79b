#include "load/deployment_client.h"

#include "core/hash.h"
#include "net/http_client.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Milliseconds OperatorTimeout{5'000};
constexpr Milliseconds ReadyPollInterval{100};
constexpr unsigned HttpOk = 200;

} // namespace

std::string catalogueJson(const std::vector<EntrySpec> &entries)
{
    json::array list;
    for (const EntrySpec &spec : entries) {
        json::array pools;
        for (const std::string &pool : spec.pools) {
            pools.emplace_back(pool);
        }
        list.push_back(json::object{
            {"name", spec.name},
            {"owner", "load-tool"},
            {"class", spec.serviceClass},
            {"objective_ms", spec.objectiveMillis},
            {"pools", std::move(pools)},
            {"budget_tokens", spec.budgetTokens},
            {"budget_micros", 1'000'000'000'000},
            {"calls_per_second", 10'000},
            {"programs_under_way", 100'000},
            {"calls_per_program", spec.callsPerProgram},
            {"key_salt", spec.name},
            {"key_hash", saltedKeyHash(spec.name, bearerKeyFor(spec.name))},
        });
    }
    return json::serialize(json::object{{"entries", std::move(list)}});
}

asio::awaitable<std::string> applyCatalogue(Endpoint daemon, std::string operatorKey,
                                            std::string text)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/operator/v1/catalogue";
    request.fields.push_back({"Authorization", "Bearer " + operatorKey});
    request.body = std::move(text);
    const HttpResult result = co_await httpCall(std::move(daemon), request, OperatorTimeout);
    if (result.complete && result.response.status == HttpOk) {
        co_return "";
    }
    co_return result.complete ? result.response.body : result.error;
}

asio::awaitable<bool> waitUntilReady(Endpoint daemon, Milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < until) {
        HttpRequest request;
        request.target = "/healthz";
        const HttpResult result = co_await httpCall(daemon, request, OperatorTimeout);
        if (result.complete && result.response.status == HttpOk) {
            co_return true;
        }
        asio::steady_timer timer(co_await asio::this_coro::executor, ReadyPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return false;
}

asio::awaitable<std::string> readJson(Endpoint server, std::string target, std::string key)
{
    HttpRequest request;
    request.target = std::move(target);
    if (!key.empty()) {
        request.fields.push_back({"Authorization", "Bearer " + key});
    }
    const HttpResult result = co_await httpCall(std::move(server), request, OperatorTimeout);
    co_return result.complete ? result.response.body : "";
}

} // namespace boragepath
