#pragma once

#include "callers/call_gateway.h"
#include "callers/call_parser.h"
#include "core/metrics.h"
#include "net/http_responder.h"
#include "net/receive_budget.h"

#include <boost/asio/awaitable.hpp>

namespace boragepath {

/** The HTTP interface for callers: address lookup, calls, and the end of programs. */
class CallerApi
{
public:
    /** @param received limits what is held of the answers of backend servers and other VMs. */
    CallerApi(CallGateway &gateway, Metrics &metrics, ReceiveBudget &received);

    /** True if @p request is for this interface. */
    bool handles(const HttpRequest &request) const;
    /** Answers a request for which handles() is true. */
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    boost::asio::awaitable<void> handleAddress(const HttpRequest &request,
                                               HttpResponder &responder);
    boost::asio::awaitable<void> handleCall(const HttpRequest &request, HttpResponder &responder,
                                            CallOrRefusal parsed);
    boost::asio::awaitable<void> handleEnd(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> processCallEvents(const HttpRequest &request,
                                                   HttpResponder &responder, bool stream,
                                                   CallHandle handle,
                                                   std::shared_ptr<CallChannel> channel);
    boost::asio::awaitable<BackendOutcome> runBackend(BackendCall call, bool stream,
                                                      HttpResponder &responder);
    boost::asio::awaitable<void> sendAnswer(const CallAnswer &answer, bool stream,
                                            HttpResponder &responder);
    boost::asio::awaitable<void> relay(const HttpRequest &request, HttpResponder &responder,
                                       Endpoint owner);

    CallGateway &m_gateway;
    Metrics &m_metrics;
    ReceiveBudget &m_received;
};

} // namespace boragepath
