#include "control/admission/call_authorization.h"

namespace boragepath {

CallAuthorization authorizeCall(const RouteTable &table, const RoutePolicy &route,
                                const std::optional<KeyDigest> &key, bool keysConfirmed)
{
    using Result = CallAuthorization::Result;
    if (!table.organisations.has_value()) {
        return {};
    }
    const Organisation *holder =
        keysConfirmed && key.has_value() ? table.organisations->findByKey(*key) : nullptr;
    if (holder != nullptr || route.isPublic) {
        return {Result::Authorized, holder};
    }
    return {keysConfirmed ? Result::UnknownKey : Result::KeysUnconfirmed, nullptr};
}

} // namespace boragepath
