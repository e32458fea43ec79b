#pragma once

#include "core/settings.h"

#include <boost/asio/awaitable.hpp>

namespace boragepath {

/** What a demonstration needs to know of the deployment. */
struct DemoTarget
{
    std::vector<Endpoint> daemons;
    Endpoint standinControl;
    std::string operatorKey;
};

/**
 * Runs the main job and prints what happened: a program of dependent calls
 * with a tool pause and a call that may not be repeated.
 *
 * @return true if every promise that it can see was kept.
 */
boost::asio::awaitable<bool> runDemo(DemoTarget target);

} // namespace boragepath
