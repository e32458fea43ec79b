#include "callers/caller_api.h"

#include "backends/backend_client.h"
#include "callers/answers.h"
#include "core/logging.h"
#include "net/event_stream_parser.h"
#include "net/http_client.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t ChannelCapacity = 16;
constexpr const char *ModelPath = "/v1/chat/completions";
constexpr const char *ServicePrefix = "/v1/services/";
constexpr const char *ProgramPrefix = "/v1/programs/";
constexpr const char *AddressPath = "/v1/address";
constexpr double SecondsPerMilli = 0.001;

/** True if a header field applies to a single connection and must not be forwarded. */
bool isHopByHopField(const std::string &name)
{
    for (const char *connectionField :
         {"Connection", "Transfer-Encoding", "Content-Length", "Host"}) {
        if (absl::EqualsIgnoreCase(name, connectionField)) {
            return true;
        }
    }
    return false;
}

/** Passes on the events that have arrived whole; false if nothing sound can follow them. */
asio::awaitable<bool> sendWholeEvents(EventStreamParser &scanner, HttpResponder &responder)
{
    std::string events;
    bool isSound = true;
    while (const std::optional<StreamEvent> event = scanner.next()) {
        isSound = isSound && !event->hasStatusLine;
        events += isSound ? event->text : "";
    }
    const bool sent = co_await responder.sendChunk(events);
    co_return sent &&isSound;
}

HttpRequest relayedRequest(const HttpRequest &request, const VmId &vm)
{
    HttpRequest result = request;
    std::erase_if(result.fields,
                  [](const HttpField &field) { return isHopByHopField(field.name); });
    result.fields.push_back({"Boragepath-Relayed", vm.value()});
    return result;
}

} // namespace

CallerApi::CallerApi(CallGateway &gateway, Metrics &metrics, ReceiveBudget &received)
    : m_gateway(gateway)
    , m_metrics(metrics)
    , m_received(received)
{ }

bool CallerApi::handles(const HttpRequest &request) const
{
    return absl::StartsWith(request.target, "/v1/");
}

asio::awaitable<void> CallerApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    const std::string path = request.path();
    if (request.method == "GET" && path == AddressPath) {
        co_await handleAddress(request, responder);
    } else if (request.method == "POST" && path == ModelPath) {
        co_await handleCall(request, responder, parseModelCall(request));
    } else if (request.method == "POST" && absl::StartsWith(path, ServicePrefix)) {
        co_await handleCall(request, responder, parseServiceCall(request));
    } else if (request.method == "DELETE" && absl::StartsWith(path, ProgramPrefix)) {
        co_await handleEnd(request, responder);
    } else {
        Refusal refusal = makeRefusal(Verdict::NotRun, Reason::UnknownPool,
                                      "there is no such path or method", Milliseconds(0));
        refusal.field = "path";
        co_await responder.send(refusalResponse(refusal, CallNumber()));
    }
}

asio::awaitable<void> CallerApi::handleAddress(const HttpRequest &request, HttpResponder &responder)
{
    const ProgramKey key{EntryName(request.query("entry")), ProgramId(request.query("program"))};
    using Endpoints = std::vector<Endpoint>;
    const ControlQuery<Endpoints> controlQuery =
        [key](Node &node, std::function<void(Endpoints)> done) { done(node.addressesFor(key)); };
    const Endpoints endpoints = co_await runOnControlThread<Endpoints>(m_gateway, controlQuery);
    json::array addresses;
    for (const Endpoint &endpoint : endpoints) {
        addresses.emplace_back(endpoint.text());
    }
    HttpResponse response;
    response.fields.push_back({"Content-Type", "application/json"});
    response.body = json::serialize(json::object{
        {"addresses", std::move(addresses)},
        {"ttl_ms", m_gateway.settings().addressTtl.count()},
    });
    co_await responder.send(response);
}

asio::awaitable<void> CallerApi::handleCall(const HttpRequest &request, HttpResponder &responder,
                                            CallOrRefusal parsed)
{
    if (std::holds_alternative<Refusal>(parsed)) {
        co_await responder.send(refusalResponse(std::get<Refusal>(parsed), CallNumber()));
        co_return;
    }
    ParsedCall call = std::get<ParsedCall>(std::move(parsed));
    auto channel =
        std::make_shared<CallChannel>(co_await asio::this_coro::executor, ChannelCapacity);
    const SteadyTime started = m_gateway.clock().now();
    const CallHandle handle = m_gateway.submit(std::move(call.request), channel);
    co_await processCallEvents(request, responder, call.stream, handle, channel);
    const Duration elapsed = m_gateway.clock().now() - started;
    m_metrics.observe("boragepath_call_seconds",
                      static_cast<double>(toMillis(elapsed)) * SecondsPerMilli);
}

asio::awaitable<void> CallerApi::processCallEvents(const HttpRequest &request,
                                                   HttpResponder &responder, bool stream,
                                                   CallHandle handle,
                                                   std::shared_ptr<CallChannel> channel)
{
    for (;;) {
        CallEvent event = co_await channel->async_receive(asio::use_awaitable);
        if (std::holds_alternative<BackendCall>(event)) {
            BackendOutcome outcome =
                co_await runBackend(std::get<BackendCall>(std::move(event)), stream, responder);
            m_gateway.reportBackendOutcome(handle, std::move(outcome));
            continue;
        }
        if (std::holds_alternative<Endpoint>(event)) {
            co_await relay(request, responder, std::get<Endpoint>(event));
            co_return;
        }
        co_await sendAnswer(std::get<CallAnswer>(event), stream, responder);
        co_return;
    }
}

asio::awaitable<BackendOutcome> CallerApi::runBackend(BackendCall call, bool stream,
                                                      HttpResponder &responder)
{
    StreamEventHandler events;
    if (stream && !call.isService) {
        events = [&responder](const std::string &data) -> asio::awaitable<bool> {
            if (!responder.streaming()) {
                co_await responder.beginStream(streamHeader());
            }
            // The call continues if the caller disconnects: its record is kept for a retry.
            co_await responder.sendChunk(eventText(data));
            co_return true;
        };
    }
    co_return co_await runBackendCall(std::move(call), m_gateway.clock(), std::move(events),
                                      m_received);
}

asio::awaitable<void> CallerApi::sendAnswer(const CallAnswer &answer, bool stream,
                                            HttpResponder &responder)
{
    if (responder.streaming()) {
        co_await responder.sendChunk(finalStreamEvents(answer));
        if (answer.refusal.has_value()) {
            responder.breakOff();
            co_return;
        }
        co_await responder.endStream();
        co_return;
    }
    if (answer.refusal.has_value()) {
        HttpResponse response = refusalResponse(*answer.refusal, answer.nextCall);
        response.fields.push_back({"Boragepath-Owner", m_gateway.settings().callers.text()});
        co_await responder.send(response);
        co_return;
    }
    if (stream && !answer.turn.isService) {
        co_await responder.beginStream(streamHeader());
        co_await responder.sendChunk(finalStreamEvents(answer));
        co_await responder.endStream();
        co_return;
    }
    HttpResponse response = resultResponse(answer);
    response.fields.push_back({"Boragepath-Owner", m_gateway.settings().callers.text()});
    co_await responder.send(response);
}

asio::awaitable<void> CallerApi::handleEnd(const HttpRequest &request, HttpResponder &responder)
{
    const ProgramKey key{EntryName(request.headerValue("Boragepath-Entry")),
                         ProgramId(request.path().substr(std::string(ProgramPrefix).size()))};
    if (!isValidId(key.entry.value()) || !isValidId(key.program.value())) {
        Refusal refusal =
            makeRefusal(Verdict::NotRun, Reason::BadRequest,
                        "Boragepath-Entry and the program id are required", Milliseconds(0));
        refusal.field = "Boragepath-Entry";
        co_await responder.send(refusalResponse(refusal, CallNumber()));
        co_return;
    }
    auto channel =
        std::make_shared<CallChannel>(co_await asio::this_coro::executor, ChannelCapacity);
    m_gateway.endProgram(key, bearerKeyOf(request),
                         !request.headerValue("Boragepath-Relayed").empty(), channel);
    CallEvent event = co_await channel->async_receive(asio::use_awaitable);
    if (std::holds_alternative<Endpoint>(event)) {
        co_await relay(request, responder, std::get<Endpoint>(event));
        co_return;
    }
    const CallAnswer &answer = std::get<CallAnswer>(event);
    if (answer.refusal.has_value() && answer.refusal->verdict != Verdict::Ran) {
        co_await responder.send(refusalResponse(*answer.refusal, CallNumber()));
        co_return;
    }
    HttpResponse response;
    response.fields.push_back({"Content-Type", "application/json"});
    response.body = R"({"ended":true})";
    co_await responder.send(response);
}

asio::awaitable<void> CallerApi::relay(const HttpRequest &request, HttpResponder &responder,
                                       Endpoint owner)
{
    HttpResponseSink sink;
    std::string bufferedBody;
    EventStreamParser scanner;
    HeldBytes held(m_received);
    bool streamStarted = false;
    HttpResponse header;
    sink.onHeader = [&](const HttpResponse &received) -> asio::awaitable<bool> {
        header = received;
        std::erase_if(header.fields,
                      [](const HttpField &field) { return isHopByHopField(field.name); });
        header.fields.push_back({"Boragepath-Owner", owner.text()});
        if (received.headerValue("Content-Type") == "text/event-stream") {
            streamStarted = true;
            co_await responder.beginStream(header);
        }
        co_return true;
    };
    sink.onData = [&](const std::string &data) -> asio::awaitable<bool> {
        if (streamStarted) {
            scanner.add(data);
            co_return held.resize(scanner.pendingBytes())
                && co_await sendWholeEvents(scanner, responder);
        }
        bufferedBody += data;
        co_return held.resize(bufferedBody.size());
    };
    const Settings &settings = m_gateway.settings();
    const HttpRequest forwarded = relayedRequest(request, settings.vm);
    HttpResult result;
    if (settings.tlsKeyFile.empty()) {
        result = co_await httpStream(owner, forwarded, settings.connectionIdleTimeout, sink);
    } else {
        result = co_await httpsStream(owner, forwarded, settings.connectionIdleTimeout, sink);
    }
    if (streamStarted) {
        if (result.complete && !scanner.hasPartialEvent()) {
            co_await responder.endStream();
        } else {
            responder.breakOff();
        }
        co_return;
    }
    if (result.complete) {
        header.body = std::move(bufferedBody);
        co_await responder.send(header);
        co_return;
    }
    const Refusal refusal =
        makeRefusal(result.sent ? Verdict::MayHaveRun : Verdict::NotRun, Reason::NotOwner,
                    "the program's owner could not be reached", Milliseconds(1'000));
    co_await responder.send(refusalResponse(refusal, CallNumber()));
}

} // namespace boragepath
