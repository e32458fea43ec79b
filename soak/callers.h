#pragma once

#include "core/endpoint.h"
#include "soak/invariant_checker.h"
#include "soak/kept_connections.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace boragepath::soak {

/** The host of all routes of the soak. */
inline constexpr const char *RouteHost = "soak";

/** Generates load: simulated agent programs that call the VMs as real callers do. */
class Callers
{
public:
    /**
     * @param directoryEndpoints where the VMs answer address lookups.
     * @param organisations to which the callers belong, with their current loads; may be empty.
     */
    Callers(boost::asio::io_context &context, const Clock &clock, InvariantChecker &checker,
            std::vector<Endpoint> directoryEndpoints,
            const std::vector<SoakOrganisation> &organisations, std::uint64_t seed);

    /**
     * Starts programs at an average rate of @p perSecond until stop() is called.
     *
     * @param crashes also sends requests that crash the replicas that run them.
     */
    void start(double perSecond, bool crashes);
    void stop() { m_stopped = true; }
    /** Goes on with conversations whose latest turn was answered long ago. */
    void continueConversations();
    int activePrograms() const { return m_activePrograms; }
    int finishedPrograms() const { return m_finishedPrograms; }
    /** Sends one tool call and one turn to a VM; true if both are fully answered. */
    boost::asio::awaitable<bool> probe(Endpoint frontEndpoint);

private:
    struct Program
    {
        std::string id;
        /** Index of its organisation, and the key that it sends; empty without organisations. */
        std::size_t organisation = 0;
        std::string key;
        std::int64_t budget = 0;
        int turns = 0;
        bool storesTurns = false;
        /** Each of its turns is of one kind or the other. */
        bool mixesTurns = false;
        /** Its budget is as large as its turns, and it pauses between them. */
        bool usesMostOfBudget = false;
    };

    /** A program and the latest turn of one of its conversations. */
    struct Conversation
    {
        Program program;
        std::string session;
        std::string latestTurn;
        SteadyTime answeredAt;
    };

    /** Where a call is sent. */
    struct Route
    {
        Endpoint front;
        /** Uses an open connection if there is one, and keeps it open. */
        bool keepsConnection = false;
    };

    boost::asio::awaitable<void> startPrograms(double perSecond);
    boost::asio::awaitable<void> runProgram(Program program);
    /** Sends requests that crash the replicas that run them, again and again, at any VM. */
    boost::asio::awaitable<void> sendCrashingRequests();
    /** Sends requests without a key, with unknown keys, and turns that continue other's turns. */
    boost::asio::awaitable<void> sendImproperRequests();
    /** A request without a key or with one that was never configured. */
    Attempt strangerAttempt();
    /** A turn that continues the latest turn of another organisation, if there is one. */
    std::optional<Attempt> foreignTurn();
    /** Assigns a program to an organisation, in proportion to their loads, and to a key of it. */
    void joinOrganisation(Program &program);
    std::string keyOf(std::size_t organisation);
    std::vector<HttpField> organisationFields(const Attempt &attempt);
    /** Runs turns one after the other; sub-agents continue from the latest turn. */
    boost::asio::awaitable<bool> runConversation(Program program, std::string session,
                                                 std::string previous, int turns);
    /**
     * Retries a call until it is fully answered. Returns the id of the successful attempt, or an
     * empty string if there was none.
     */
    boost::asio::awaitable<std::string> callWithRetries(Attempt attempt, std::string target,
                                                        std::vector<HttpField> fields);
    /** The one VM that the program uses, any open connection, or an address in use. */
    Route chooseRoute(const Attempt &attempt);
    /** Any address of which the directory once told. */
    Endpoint anyKnownEndpoint();
    /** Assigns turns and a budget to a new program. */
    void planTurns(Program &program);
    boost::asio::awaitable<AttemptResult> callOnce(Route route, std::string id,
                                                   const Attempt &attempt, std::string target,
                                                   std::vector<HttpField> fields);
    boost::asio::awaitable<std::vector<Endpoint>> resolve();
    boost::asio::awaitable<void> refreshAddresses();
    double randomFraction();
    std::string nextId(const char *prefix);

    boost::asio::io_context &m_context;
    InvariantChecker &m_checker;
    std::vector<Endpoint> m_directoryEndpoints;
    std::vector<Endpoint> m_frontEndpoints;
    /** Addresses of which the directory told, until they refuse connections. */
    std::set<Endpoint> m_knownEndpoints;
    /** Programs that use one VM until it refuses connections, and that VM. */
    std::map<std::string, Endpoint> m_pinnedVms;
    KeptConnections m_connections;
    std::map<std::string, Conversation> m_conversations;
    const Clock &m_clock;
    std::mt19937_64 m_random;
    /** Draws for crashing requests alone, so that the programs of a seed stay the same. */
    std::mt19937_64 m_crashRandom;
    const std::vector<SoakOrganisation> &m_organisations;
    /** Draws for organisations alone. */
    std::mt19937_64 m_organisationRandom;
    /** The latest stored turn of each organisation by index. */
    std::map<std::size_t, std::string> m_latestTurns;
    std::uint64_t m_nextId = 1;
    bool m_stopped = false;
    int m_activePrograms = 0;
    int m_finishedPrograms = 0;
};

} // namespace boragepath::soak
