#pragma once

#include "control/admission/organisations.h"
#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragepath {

/** Whether the requests of a route may be run again after a failure. */
enum class RequestKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< May run at most once for each attempt of the caller.
    Stream, ///< Answered by a stream of events; retried only if the stream can be resumed.
};

/** One of the services among which a route's requests are divided by weight. */
struct WeightedService
{
    PoolName service;
    std::int64_t weight = 1;
};

/** Rules for the requests of one host and path prefix. */
struct RoutePolicy
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /** Upper bound on the timeout of a request; 0 for none. */
    Milliseconds timeout{0};
    /** Target latency: answers within this time count in full. */
    Milliseconds latencyObjective{0};
    /** 0 is the most urgent. */
    int priority = 0;
    /** Number of replicas that may run one attempt of a caller. */
    int maxReplicas = 1;
    /** Another replica may continue a stream after its last complete event. */
    bool resumable = false;
    /** Conversations are stored by the system; callers send only the new input of each turn. */
    bool storesTurns = false;
    /** How long a turn is stored after its end. */
    Milliseconds turnRetention{0};
    /** A replica serves requests faster if it has their prompt's prefix or their object in memory.
     */
    bool hasAffinity = false;
    /** Served without an API key where the deployment has organisations. */
    bool isPublic = false;
    std::vector<WeightedService> services;

    /** Requests contain a prompt; only model engines answer by streams. */
    bool hasPrompt() const { return hasAffinity && kind == RequestKind::Stream; }
};

/** Configuration of a service, apart from its replicas. */
struct ServicePolicy
{
    /** Connections that one replica accepts from all VMs together; 0 for no limit. */
    std::int64_t maxConnections = 0;
    /** Tokens in one event of a stream; 0 for services other than engines. */
    std::int64_t tokensPerEvent = 0;
};

/** Limits on the size of callers' requests and on the time to send them or to stay idle. */
struct CallerLimits
{
    std::int64_t maxHeaderBytes = 16'384;
    std::int64_t maxBodyBytes = 4'194'304;
    Milliseconds headerTimeout{3'000};
    Milliseconds idleTimeout{15'000};
};

/** One version of the operator's configuration. */
struct RouteTable
{
    ConfigurationVersion version;
    std::vector<RoutePolicy> routes;
    std::map<PoolName, ServicePolicy> services;
    CallerLimits limits;
    /** None if the deployment serves everybody, without API keys. */
    std::optional<OrganisationTable> organisations;
};

/**
 * The route of @p host whose prefix is the longest that matches @p path, or null.
 *
 * @param path the request path without the query string.
 */
const RoutePolicy *matchRoute(const RouteTable &table, std::string_view host,
                              std::string_view path);

/** The longest time for which any route stores turns; zero if there is no route table. */
Milliseconds maxTurnRetention(const std::shared_ptr<const RouteTable> &table);

/** True if some route stores turns. */
bool storesTurns(const RouteTable &table);

/** Chooses a service by the weights of the route; the same @p key always gives the same service. */
const PoolName &chooseService(const RoutePolicy &route, std::string_view key);

} // namespace boragepath
