#pragma once

#include "control/admission/organisations.h"
#include "control/route_table.h"
#include "core/key_digest.h"

#include <optional>

namespace boragepath {

/** Whether a call may be served, as far as its API key is concerned. */
struct CallAuthorization
{
    enum class Result {
        Authorized,
        /** The configuration gives the key to nobody, or the call has none. */
        UnknownKey,
        /** The keys may have changed since they were last known to be in force. */
        KeysUnconfirmed,
    };
    Result result = Result::Authorized;
    /** Points into the route table; null if the deployment has no organisations, and for calls
     * without a known key on public routes. */
    const Organisation *organisation = nullptr;
};

/**
 * Checks the API key of a call on @p route.
 *
 * @param keysConfirmed the lease on the configuration of @p table is valid.
 */
CallAuthorization authorizeCall(const RouteTable &table, const RoutePolicy &route,
                                const std::optional<KeyDigest> &key, bool keysConfirmed);

} // namespace boragepath
