#pragma once

#include "callers/call_gateway.h"
#include "core/metrics.h"
#include "net/http_responder.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace boragepath {

/**
 * The HTTP interface for operators, under /operator/v1/, and the paths /healthz and /metrics.
 *
 * Requests under /operator/v1/ must carry the deployment's operator key as bearer key. The
 * command-line tool uses only this interface.
 */
class OperatorApi
{
public:
    /** @param extraMetrics returns further lines for /metrics in the Prometheus text format. */
    OperatorApi(CallGateway &gateway, Metrics &metrics, std::function<std::string()> extraMetrics);

    /** True if @p request is for this interface. */
    bool handles(const HttpRequest &request) const;
    /** Answers a request for which handles() is true. */
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    boost::asio::awaitable<HttpResponse> answer(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> applyCatalogue(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> showCatalogue();
    boost::asio::awaitable<HttpResponse> showVms();
    boost::asio::awaitable<HttpResponse> showPrograms();
    boost::asio::awaitable<HttpResponse> explain(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> showIntents();
    boost::asio::awaitable<HttpResponse> resolveIntent(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> showBudgets();
    boost::asio::awaitable<HttpResponse> showBurnRates();
    boost::asio::awaitable<HttpResponse> showHealth();
    boost::asio::awaitable<HttpResponse> showMetrics();
    boost::asio::awaitable<RangeOutcome> readRows(std::string prefix);

    CallGateway &m_gateway;
    Metrics &m_metrics;
    std::function<std::string()> m_extraMetrics;
};

} // namespace boragepath
