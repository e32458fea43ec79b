#pragma once

#include "core/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace boragepath {

/** Lets the coroutine that awaits it rest for a while. */
inline boost::asio::awaitable<void> sleepFor(Duration time)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace boragepath
