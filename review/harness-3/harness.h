#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

#include <sys/types.h>

/** Stand-ins and process control for the cases 11 to 15. */
namespace review3 {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using Millis = std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

/** Exit codes that the review asks of each script. */
inline constexpr int ExitHeld = 0;
inline constexpr int ExitBroken = 1;
inline constexpr int ExitCouldNotRun = 2;

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
    tcp::endpoint endpoint() const { return {asio::ip::make_address(ip), port}; }
};

asio::awaitable<void> sleepFor(Millis duration);
std::string number(std::int64_t value);
std::int64_t wallMillis();

/** Writes what was sent, answered and run, with the milliseconds since the start. */
class Record
{
public:
    explicit Record(const std::string &path);

    void line(const std::string &text);
    std::int64_t millis() const;

private:
    std::ofstream m_file;
    Steady::time_point m_startedAt = Steady::now();
};

using Request = http::request<http::string_body>;
using Socket = std::shared_ptr<tcp::socket>;

/** Value of a header field; empty if there is none. */
std::string field(const Request &request, const std::string &name);
/** Writes all bytes; false if the channel is closed. */
asio::awaitable<bool> writeAll(Socket socket, std::string bytes);

/** An HTTP/1.1 listener; each request goes to a handler, which writes the answer itself. */
class Listener
{
public:
    /** Returns false if the channel is to be closed. */
    using Handler = std::function<asio::awaitable<bool>(Socket, const Request &)>;

    Listener(asio::io_context &context, Address address, Handler handler);

    void open();
    /** Closes the listener and all channels, like a process that has ended. */
    void close();
    /** Closes all channels and goes on listening. */
    void closeChannels();
    bool isOpen() const { return m_acceptor != nullptr; }
    const Address &address() const { return m_address; }

private:
    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor);
    asio::awaitable<void> serve(Socket socket);

    asio::io_context &m_context;
    Address m_address;
    Handler m_handler;
    std::shared_ptr<tcp::acceptor> m_acceptor;
    std::vector<std::weak_ptr<tcp::socket>> m_sockets;
};

/** The platform's metadata store: rows with versions, conditions and feeds. */
class Store
{
public:
    Store(asio::io_context &context, const Address &address);

    /** A write of the operator or of a replica, which does not go over the wire here. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /** The value of the row with this key, in whatever part; empty if there is none. */
    std::string valueOf(const std::string &table, const std::string &key) const;
    /** While silent, the store accepts calls and answers none. */
    void setSilent(bool silent) { m_silent = silent; }
    const Address &address() const { return m_listener.address(); }

private:
    using Name = std::tuple<std::string, std::string, std::string>;
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change
    {
        Name name;
        std::string value;
        bool removed = false;
    };

    asio::awaitable<bool> handle(Socket socket, Request request);
    asio::awaitable<bool> feed(Socket socket, std::map<std::string, std::string> query);
    std::string transact(const json::object &body, unsigned &status);
    std::string range(const std::map<std::string, std::string> &query) const;
    void apply(const Name &name, const std::optional<std::string> &value);
    json::object rowOf(const Name &name, const std::string &value, std::uint64_t version) const;
    json::object rowsAnswer(json::array rows) const;

    std::map<Name, Row> m_rows;
    std::map<std::uint64_t, std::vector<Change>> m_history;
    std::uint64_t m_version = 0;
    bool m_silent = false;
    Steady::time_point m_startedAt = Steady::now();
    Listener m_listener;
};

/** What a requester sends in one attempt. */
struct Attempt
{
    std::string method = "GET";
    std::string target;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    Millis deadline{1'000};
};

/** What a requester has got. */
struct Answer
{
    /** 0 if no whole head has come. */
    unsigned status = 0;
    std::string body;
    bool complete = false;
    bool hasSeal = false;
    /** What Retry-After asks for; zero if there is none. */
    Millis retryAfter{0};
};

/** Sends a request on a new channel and reads the answer until the deadline. */
asio::awaitable<Answer> request(Address to, std::string host, std::string id, Attempt attempt);

/** What differs between the settings of deployments. */
struct Deployment
{
    std::string folder;
    std::vector<std::string> ips;
    Address store;
    std::string contracts = "base,drain,config,cost,recover,agent,stream,engine,platform";
    std::int64_t memoryMb = 140;
    int contactMs = 3'000;
    int drainMs = 2'000;
};

/** The daemons of a deployment, one process each, started with the run line of the deploy file. */
class Fleet
{
public:
    Fleet(Deployment deployment, Record &record);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    std::size_t size() const { return m_processes.size(); }
    void start(std::size_t index);
    void signal(std::size_t index, int signalNumber);
    /** Kills the process and waits until it is gone. */
    void kill(std::size_t index);
    bool isRunning(std::size_t index);
    pid_t process(std::size_t index) const { return m_processes[index]; }
    Address front(std::size_t index) const;
    /** Waits until all daemons say that they are ready; false if they don't in time. */
    asio::awaitable<bool> waitUntilReady(Millis limit);

private:
    std::string settingsOf(std::size_t index) const;

    Deployment m_deployment;
    Record &m_record;
    std::vector<pid_t> m_processes;
    /** The whole system has started once. */
    bool m_hasStarted = false;
};

/** A folder for temporary files, removed at the end. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/** A loopback network of its own for each run: 127.N.M.x. */
std::string loopbackNetwork();
/** False if the environment has TROUBLE=0. */
bool hasTrouble();

/** Runs a case until it returns its exit code. */
int runCase(asio::io_context &context, asio::awaitable<int> body);

} // namespace review3
