#pragma once

#include "core/settings.h"

#include <boost/asio/awaitable.hpp>

namespace boragepath {

/** Addresses and key of the deployment that the demonstration runs against. */
struct DemoTarget
{
    std::vector<Endpoint> daemons;
    Endpoint standinControl;
    std::string operatorKey;
};

/**
 * Runs one program through the scheduler and prints the result of each call. The program has
 * dependent calls, a tool pause, a sub-agent and a call that is not idempotent.
 *
 * @return true if the program finished, every answer was right, the non-idempotent call ran
 *     exactly once, and a call with a wrong key was refused.
 */
boost::asio::awaitable<bool> runDemo(DemoTarget target);

} // namespace boragepath
