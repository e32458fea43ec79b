#pragma once

#include "control/effects.h"
#include "core/clock.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace boragepath {

/** Receives each event of a model's stream; false ends the call. */
using StreamEventHandler = std::function<boost::asio::awaitable<bool>(const std::string &data)>;

/** What a backend server says of itself. */
struct BackendStatus
{
    bool answered = false;
    bool leaving = false;
    /** Programs whose memory it holds and that it has not heard of for a while. */
    std::vector<ProgramKey> held;
};

/**
 * Sends a call to a backend server.
 *
 * A model's answer comes as server-sent events in the OpenAI format; each is
 * given to @p events. The outcome says whether a byte may have been sent.
 */
boost::asio::awaitable<BackendOutcome> runBackendCall(BackendCall call, const Clock &clock,
                                                      StreamEventHandler events);

/** Has a backend server drop what it holds of a program; true once it has. */
boost::asio::awaitable<bool> releaseAtBackend(Endpoint endpoint, ProgramKey program);

/** Asks a backend server for its state. */
boost::asio::awaitable<BackendStatus> readBackendStatus(Endpoint endpoint);

/** Splits server-sent events out of a byte stream, however it is cut. */
class ServerSentEventSplitter
{
public:
    /** Takes bytes; gives the data of each event that is now complete. */
    std::vector<std::string> addBytes(const std::string &bytes);

private:
    std::string m_rest;
};

} // namespace boragepath
