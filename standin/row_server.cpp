#include "standin/row_server.h"

#include "core/json_access.h"
#include "net/sleep.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Milliseconds ProcessingTime{4};
constexpr Milliseconds FeedPollInterval{20};
/** Longer than any caller waits for an answer. */
constexpr Milliseconds NoAnswerTime{10'000};
constexpr Milliseconds MinWriteDelay{1'000};
constexpr Milliseconds MaxWriteDelay{5'000};
constexpr unsigned StatusConflict = 412;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusBadRequest = 400;

RowName rowNameFrom(const json::object &object)
{
    return {stringAt(object, "table"), stringAt(object, "part"), stringAt(object, "key")};
}

std::optional<RowTransaction> decodeTransaction(const std::string &body)
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::object &object = value.get_object();
    RowTransaction transaction;
    for (const json::value &item : arrayAt(object, "expected")) {
        const json::object &row = item.as_object();
        const auto version = static_cast<std::uint64_t>(integerAt(row, "ver"));
        transaction.conditions.push_back({rowNameFrom(row), RowRevision(version)});
    }
    for (const json::value &item : arrayAt(object, "puts")) {
        const json::object &row = item.as_object();
        RowPut put{rowNameFrom(row), ""};
        if (!absl::Base64Unescape(stringAt(row, "value"), &put.value)) {
            return std::nullopt;
        }
        transaction.puts.push_back(std::move(put));
    }
    for (const json::value &item : arrayAt(object, "remove")) {
        transaction.removals.push_back(rowNameFrom(item.as_object()));
    }
    return transaction;
}

std::string encodeRows(const std::vector<StoreRow> &rows, RowRevision version)
{
    json::array list;
    for (const StoreRow &row : rows) {
        json::object item{{"table", row.name.table},
                          {"part", row.name.partition},
                          {"key", row.name.key},
                          {"ver", row.version.value()}};
        if (row.removed) {
            item["deleted"] = true;
        } else {
            item["value"] = absl::Base64Escape(row.value);
        }
        list.push_back(std::move(item));
    }
    const auto now = std::chrono::duration_cast<Milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    return json::serialize(json::object{
        {"rows", list}, {"ver", version.value()}, {"nowMs", now.count()}, {"morePages", false}});
}

HttpResponse emptyResponse(unsigned status)
{
    HttpResponse response;
    response.status = status;
    response.fields.push_back({"Content-Type", "application/json"});
    response.body = "{}";
    return response;
}

std::int64_t integerParameter(const HttpRequest &request, const char *name)
{
    std::int64_t value = 0;
    return absl::SimpleAtoi(request.query(name), &value) ? value : 0;
}

HttpLimits storeLimits()
{
    HttpLimits limits;
    limits.idleTimeout = Milliseconds(60'000);
    return limits;
}

} // namespace

RowServer::RowServer(asio::io_context &context, const Endpoint &endpoint, std::uint64_t seed)
    : m_context(context)
    , m_random(seed)
    , m_server(context, storeLimits(),
               [this](const HttpRequest &request, HttpResponder &responder) {
                   return serve(request, responder);
               })
{
    m_server.listen(endpoint);
}

bool RowServer::withProbability(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

asio::awaitable<void> RowServer::withholdAnswer()
{
    co_await sleepFor(NoAnswerTime);
}

asio::awaitable<void> RowServer::applyLater(RowTransaction transaction)
{
    std::uniform_int_distribution<std::int64_t> delay(MinWriteDelay.count(), MaxWriteDelay.count());
    co_await sleepFor(Milliseconds(delay(m_random)));
    m_table.apply(transaction);
}

asio::awaitable<void> RowServer::serve(const HttpRequest &request, HttpResponder &responder)
{
    if (m_faults.outage == RowServerFaults::Outage::Silent) {
        co_await withholdAnswer();
        co_return;
    }
    co_await sleepFor(ProcessingTime + m_faults.delay);
    if (m_faults.outage != RowServerFaults::Outage::None) {
        const bool busy = m_faults.outage == RowServerFaults::Outage::Busy;
        const HttpResponse refusal = emptyResponse(busy ? StatusUnavailable : StatusTooMany);
        co_await responder.send(refusal);
        co_return;
    }
    if (request.path() == "/v1/rows-tx") {
        co_await transact(request, responder);
    } else if (request.path() == "/v1/rows-feed") {
        co_await feed(request, responder);
    } else if (request.path() == "/v1/rows-get") {
        HttpResponse response = emptyResponse(200);
        response.body = encodeRows(m_table.range({request.query("table"), request.query("part"),
                                                  request.query("from"), request.query("to")}),
                                   m_table.version());
        co_await responder.send(response);
    } else {
        const HttpResponse unknown = emptyResponse(StatusNotFound);
        co_await responder.send(unknown);
    }
}

asio::awaitable<void> RowServer::transact(const HttpRequest &request, HttpResponder &responder)
{
    const std::optional<RowTransaction> transaction = decodeTransaction(request.body);
    if (!transaction.has_value()) {
        const HttpResponse refusal = emptyResponse(StatusBadRequest);
        co_await responder.send(refusal);
        co_return;
    }
    if (withProbability(m_faults.delayedWrites)) {
        asio::co_spawn(m_context, applyLater(*transaction), asio::detached);
        co_await withholdAnswer();
        co_return;
    }
    const TransactionResult result = m_table.apply(*transaction);
    if (withProbability(m_faults.lostAnswers)) {
        co_await withholdAnswer();
        co_return;
    }
    HttpResponse response =
        emptyResponse(result.answer == StoreAnswer::Conflict ? StatusConflict : 200);
    response.body = encodeRows(result.current, result.version);
    co_await responder.send(response);
}

asio::awaitable<void> RowServer::feed(const HttpRequest &request, HttpResponder &responder)
{
    const RowRevision after(static_cast<std::uint64_t>(integerParameter(request, "after")));
    const std::string table = request.query("table");
    const auto until =
        std::chrono::steady_clock::now() + Milliseconds(integerParameter(request, "waitMs"));
    auto changes = m_table.changes(table, after);
    while (changes.has_value() && changes->empty() && std::chrono::steady_clock::now() < until) {
        co_await sleepFor(FeedPollInterval);
        changes = m_table.changes(table, after);
    }
    HttpResponse response = emptyResponse(changes.has_value() ? 200 : StatusGone);
    if (changes.has_value()) {
        response.body = encodeRows(*changes, m_table.version());
    }
    co_await responder.send(response);
}

} // namespace boragepath
