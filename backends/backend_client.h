#pragma once

#include "control/effects.h"
#include "core/clock.h"
#include "net/receive_budget.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace boragepath {

/** Receives the data of each event of a model's stream; returning false ends the call. */
using StreamEventHandler = std::function<boost::asio::awaitable<bool>(const std::string &data)>;

/** The state that a backend server reports. */
struct BackendStatus
{
    bool answered = false;
    bool leaving = false;
    /** Programs that it still holds in memory but has not served for a while. */
    std::vector<ProgramKey> held;
};

/**
 * Sends a call to a backend server.
 *
 * A model answers with server-sent events in the OpenAI format; the data of each is
 * passed to @p events. The outcome says whether a byte may have been sent.
 *
 * @param received limits what is held of the answers of all backend servers together.
 */
boost::asio::awaitable<BackendOutcome> runBackendCall(BackendCall call, const Clock &clock,
                                                      StreamEventHandler events,
                                                      ReceiveBudget &received);

/** Has a backend server release the memory of a program; true if it confirmed. */
boost::asio::awaitable<bool> releaseAtBackend(Endpoint endpoint, ProgramKey program,
                                              ReceiveBudget &received);

/** Reads the state of a backend server; not answered if that failed. */
boost::asio::awaitable<BackendStatus> readBackendStatus(Endpoint endpoint, ReceiveBudget &received);

} // namespace boragepath
