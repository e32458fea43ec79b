#pragma once

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace boragepath {

/**
 * Runs @p start on the control thread and waits for its answer on the caller's.
 *
 * @param start gets a function that it must call exactly once with the answer.
 */
template <typename Answer>
boost::asio::awaitable<Answer>
runOnControlThread(boost::asio::io_context &control,
                   std::function<void(std::function<void(const Answer &)>)> start)
{
    auto initiate = [&control, start = std::move(start)](auto handler) mutable {
        using Handler = decltype(handler);
        auto shared = std::make_shared<Handler>(std::move(handler));
        const auto executor = boost::asio::get_associated_executor(*shared);
        std::function<void(const Answer &)> answer = [shared, executor](const Answer &value) {
            boost::asio::post(executor, [shared, value]() mutable { std::move (*shared)(value); });
        };
        boost::asio::post(
            control, [start = std::move(start), answer = std::move(answer)] { start(answer); });
    };
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<> &, void(Answer)>(
        std::move(initiate), boost::asio::use_awaitable);
}

} // namespace boragepath
