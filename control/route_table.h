#pragma once

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

/** What may be repeated about the requests of a route. */
enum class RequestKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< May run at most once for each attempt of the caller.
    Stream, ///< A stream of events; repeatable only where it may be resumed.
};

/** One of the services that a route's requests are divided among. */
struct ServiceShare
{
    PoolName service;
    std::int64_t weight = 1;
};

/** How the requests under one host and path prefix are served. */
struct RoutePolicy
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /** Longest time that a request is kept waiting. */
    Milliseconds timeout{0};
    /** Answers within this time count in full. */
    Milliseconds latencyObjective{0};
    /** 0 goes first. */
    int priority = 0;
    /** Replicas that one attempt may run on. */
    int maxReplicas = 1;
    /** Streams may go on at another replica after their last whole event. */
    bool resumable = false;
    /** The system keeps what was said; callers send only what is new. */
    bool storesTurns = false;
    /** How long a turn is kept after its end. */
    Milliseconds turnRetention{0};
    /** Requests carry a prompt, and are best served where its prefix is cached. */
    bool hasPrompt = false;
    std::vector<ServiceShare> services;
};

/** What is known of a service, apart from its replicas. */
struct ServicePolicy
{
    /** Connections that one replica accepts from all VMs together. */
    std::int64_t maxConnections = 0;
    /** Tokens in one event of a stream; 0 for plain services. */
    std::int64_t tokensPerEvent = 0;
};

/** What a caller may send, and how long it may take or stay idle. */
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
};

/**
 * The route of @p host with the longest prefix of @p path, or null.
 *
 * @param path the request's path without its query.
 */
const RoutePolicy *matchRoute(const RouteTable &table, std::string_view host,
                              std::string_view path);

/** The longest time that any route keeps turns; zero without a configuration. */
Milliseconds maxTurnRetention(const std::shared_ptr<const RouteTable> &table);

/** The service for a request, by the weights of the route; the same @p key gives the same one. */
const PoolName &serviceFor(const RoutePolicy &route, std::string_view key);

} // namespace boragepath
