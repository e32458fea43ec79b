#include "control/route_table.h"

#include "core/hash.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace boragepath {

const RoutePolicy *matchRoute(const RouteTable &table, std::string_view host, std::string_view path)
{
    const RoutePolicy *best = nullptr;
    for (const RoutePolicy &route : table.routes) {
        const bool matches = absl::EqualsIgnoreCase(route.host, std::string(host))
            && path.substr(0, route.prefix.size()) == route.prefix;
        if (matches && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

Milliseconds maxTurnRetention(const std::shared_ptr<const RouteTable> &table)
{
    Milliseconds longest{0};
    if (table == nullptr) {
        return longest;
    }
    for (const RoutePolicy &route : table->routes) {
        longest = std::max(longest, route.turnRetention);
    }
    return longest;
}

bool storesTurns(const RouteTable &table)
{
    return std::any_of(table.routes.begin(), table.routes.end(),
                       [](const RoutePolicy &route) { return route.storesTurns; });
}

const PoolName &chooseService(const RoutePolicy &route, std::string_view key)
{
    std::int64_t total = 0;
    for (const WeightedService &share : route.services) {
        total += share.weight;
    }
    if (route.services.size() == 1 || total <= 0) {
        return route.services.front().service;
    }
    auto position = static_cast<std::int64_t>(hashOf(key) % static_cast<std::uint64_t>(total));
    for (const WeightedService &share : route.services) {
        if (position < share.weight) {
            return share.service;
        }
        position -= share.weight;
    }
    return route.services.back().service;
}

} // namespace boragepath
