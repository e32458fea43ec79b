#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "net/http_types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace boragepath {

/** How a replica misbehaves; shares of its answers from 0 to 1. */
struct ReplicaFaults
{
    /** Runs the request, and closes the connection without an answer. */
    double loses = 0;
    /** Breaks off in the middle of an answer. */
    double breaksOff = 0;
    /** Answers an earlier request first, or sends another answer behind its own. */
    double addsAnswers = 0;
    /** Refuses after it has run, without saying that it did not run. */
    double unclear = 0;
    /** Says that it did not run the request, and is right. */
    double declines = 0;
    /** Added to each event and answer. */
    Milliseconds delay{0};
};

/** What replicas answer, known to whoever checks it. */
struct ReplicaAnswers
{
    /** Number of events of a stream. */
    static int eventCount(const std::string &attempt);
    /** Data of an event; events are numbered from 1. */
    static std::string eventData(const std::string &attempt, int number);
    static std::string wholeBody(const std::string &attempt);
};

/**
 * A model replica or plain service on the platform's protocol; for one thread.
 *
 * A path that begins with "/turn/" or "/read/" is answered by a stream. Answers
 * depend on the request's id alone, so that they can be checked anywhere.
 */
class PlatformReplica
{
public:
    /** Told of each request as it begins to run. */
    using Ran = std::function<void(const HttpRequest &request, const std::string &replica)>;

    PlatformReplica(boost::asio::io_context &context, const Endpoint &endpoint, std::string id,
                    Ran ran, std::uint64_t seed);

    ReplicaFaults &faults() { return m_faults; }
    const std::string &id() const { return m_id; }
    /** Ends all connections and takes no new ones. */
    void stop();

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(Socket socket);
    boost::asio::awaitable<bool> answer(Socket socket, const HttpRequest &request);
    boost::asio::awaitable<bool> answerWhole(Socket socket, const HttpRequest &request);
    boost::asio::awaitable<bool> stream(Socket socket, const HttpRequest &request);
    bool happens(double share);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_id;
    Ran m_ran;
    ReplicaFaults m_faults;
    std::mt19937_64 m_random;
    std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> m_open;
    int m_running = 0;
};

} // namespace boragepath
