#pragma once

#include "control/node.h"

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <variant>

namespace boragepath {

/** What the control core asks of the connection that waits for a call. */
using CallEvent = std::variant<BackendCall, Endpoint, CallAnswer>;

/** Carries the events of one call to its connection. */
using CallChannel =
    boost::asio::experimental::concurrent_channel<void(boost::system::error_code, CallEvent)>;

/** The control core, as connections on traffic threads reach it. */
class CallGateway
{
public:
    virtual ~CallGateway() = default;

    /** Hands a call in; its events come through @p channel. */
    virtual CallHandle submit(CallRequest request, std::shared_ptr<CallChannel> channel) = 0;
    /** Asks for a program's end; the answer or a relay comes through @p channel. */
    virtual void endProgram(ProgramKey program, std::string bearerKey, bool relayed,
                            std::shared_ptr<CallChannel> channel) = 0;
    /** Reports how a call went that a BackendCall event asked for. */
    virtual void backendDone(CallHandle handle, BackendOutcome outcome) = 0;
    /** Runs @p task on the control thread. */
    virtual void onControl(std::function<void(Node &)> task) = 0;
    virtual const Settings &settings() const = 0;
    virtual const Clock &clock() const = 0;
};

/** A question to the control core; it hands its answer to the function given. */
template <typename Answer>
using ControlQuestion = std::function<void(Node &, std::function<void(Answer)>)>;

/**
 * Asks the control thread something and waits for the answer.
 *
 * Give @p question as a named variable: GCC 12 destroys a temporary closure
 * in a co_await expression twice.
 */
template <typename Answer>
boost::asio::awaitable<Answer> runOnControlThread(CallGateway &gateway,
                                                  const ControlQuestion<Answer> &question)
{
    using Channel =
        boost::asio::experimental::concurrent_channel<void(boost::system::error_code, Answer)>;
    auto channel = std::make_shared<Channel>(co_await boost::asio::this_coro::executor, 1);
    const std::function<void(Node &)> task = [question, channel](Node &node) {
        question(node, [channel](Answer answer) {
            channel->try_send(boost::system::error_code(), std::move(answer));
        });
    };
    gateway.onControl(task);
    co_return co_await channel->async_receive(boost::asio::use_awaitable);
}

} // namespace boragepath
