#pragma once

#include "core/endpoint.h"
#include "soak/invariant_checker.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace boragepath::soak {

/** The host of all routes of the soak. */
inline constexpr const char *RouteHost = "soak";

/** Programs that call the VMs as callers of the platform do. */
class Callers
{
public:
    /** @param directories where the VMs answer who asks for addresses. */
    Callers(boost::asio::io_context &context, Witness &witness, std::vector<Endpoint> directories,
            std::uint64_t seed);

    /** Begins programs, @p perSecond of them, until stop() is called. */
    void start(double perSecond);
    void stop() { m_stopped = true; }
    int underWay() const { return m_underWay; }
    int finished() const { return m_finished; }
    /** Runs one turn and one tool through the VM at @p front; true if both are answered. */
    boost::asio::awaitable<bool> probe(Endpoint front);

private:
    struct Program
    {
        std::string id;
        std::int64_t budget = 0;
        int turns = 0;
        bool storesTurns = false;
    };

    boost::asio::awaitable<void> beginPrograms(double perSecond);
    boost::asio::awaitable<void> runProgram(Program program);
    /** A line of turns; its sub-agents continue from its last turn. */
    boost::asio::awaitable<bool> runLine(Program program, std::string session, std::string previous,
                                         int turns);
    /** Tries a call until it is answered whole; the id of the try that was, or empty. */
    boost::asio::awaitable<std::string> callUntilServed(Attempt attempt, std::string target,
                                                        std::vector<HttpField> fields);
    boost::asio::awaitable<AttemptEnd> callOnce(Endpoint front, std::string id,
                                                const Attempt &attempt, std::string target,
                                                std::vector<HttpField> fields);
    boost::asio::awaitable<std::vector<Endpoint>> resolve();
    boost::asio::awaitable<void> askForAddresses();
    double drawn();
    std::string nextId(const char *what);

    boost::asio::io_context &m_context;
    Witness &m_witness;
    std::vector<Endpoint> m_directories;
    std::vector<Endpoint> m_fronts;
    std::mt19937_64 m_random;
    std::uint64_t m_nextId = 1;
    bool m_stopped = false;
    int m_underWay = 0;
    int m_finished = 0;
};

} // namespace boragepath::soak
