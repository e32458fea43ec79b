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

/**
 * What the control core tells the connection that waits for a call.
 *
 * A BackendCall asks it to call a backend server, an Endpoint to forward the request to the VM that
 * owns the program, and a CallAnswer to answer the caller.
 */
using CallEvent = std::variant<BackendCall, Endpoint, CallAnswer>;

/** Delivers the events of one call to its connection. */
using CallChannel =
    boost::asio::experimental::concurrent_channel<void(boost::system::error_code, CallEvent)>;

/** Gives connections on traffic threads access to the control core. */
class CallGateway
{
public:
    virtual ~CallGateway() = default;

    /** Submits a call; its events arrive through @p channel. */
    virtual CallHandle submit(CallRequest request, std::shared_ptr<CallChannel> channel) = 0;
    /**
     * Requests the end of a program.
     *
     * The answer, or the endpoint of the owner to forward to, arrives through @p channel.
     *
     * @param relayed true if another VM forwarded the request.
     */
    virtual void endProgram(ProgramKey program, std::string bearerKey, bool relayed,
                            std::shared_ptr<CallChannel> channel) = 0;
    /** Reports the outcome of a backend call that a BackendCall event requested. */
    virtual void reportBackendOutcome(CallHandle handle, BackendOutcome outcome) = 0;
    /** Runs @p task on the control thread. */
    virtual void postToControlThread(std::function<void(Node &)> task) = 0;
    virtual const Settings &settings() const = 0;
    virtual const Clock &clock() const = 0;
};

/** A query to the control core; passes its answer to the given function. */
template <typename Answer>
using ControlQuery = std::function<void(Node &, std::function<void(Answer)>)>;

/**
 * Runs @p query on the control thread and waits for its answer.
 *
 * Pass @p query as a named variable: GCC 12 destroys a temporary closure
 * in a co_await expression twice.
 */
template <typename Answer>
boost::asio::awaitable<Answer> runOnControlThread(CallGateway &gateway,
                                                  const ControlQuery<Answer> &query)
{
    using Channel =
        boost::asio::experimental::concurrent_channel<void(boost::system::error_code, Answer)>;
    auto channel = std::make_shared<Channel>(co_await boost::asio::this_coro::executor, 1);
    const std::function<void(Node &)> task = [query, channel](Node &node) {
        query(node, [channel](Answer answer) {
            channel->try_send(boost::system::error_code(), std::move(answer));
        });
    };
    gateway.postToControlThread(task);
    co_return co_await channel->async_receive(boost::asio::use_awaitable);
}

} // namespace boragepath
