#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <sys/types.h>

// Stand-ins of the platform's store, of replicas and of requesters, and the daemon processes under
// test. Everything but the daemons runs on one thread.

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Fields = std::vector<std::pair<std::string, std::string>>;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

asio::awaitable<void> sleepFor(Millis time);

/** Writes what was sent, answered and run to a file, with the time since the start. */
class Record
{
public:
    explicit Record(const std::string &path);
    void add(const std::string &line);
    std::int64_t now() const;

private:
    std::ofstream m_file;
    Clock::time_point m_startedAt = Clock::now();
};

/** Serves HTTP/1.1 requests one after another on each connection. */
class HttpServer
{
public:
    using Handler = std::function<asio::awaitable<Response>(const Request &)>;

    HttpServer(asio::io_context &context, const std::string &address, std::uint16_t port,
               Handler handler);

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    Handler m_handler;
};

/** The platform's metadata store: rows, conditional transactions and feeds. */
class Store
{
public:
    using Name = std::tuple<std::string, std::string, std::string>;

    Store(asio::io_context &context, const std::string &address, std::uint16_t port,
          Record &record);

    /** Writes a row as the operator and the replicas do. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /** Number of transactions that were refused for their size. */
    int oversized() const { return m_oversized; }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change
    {
        Name name;
        std::uint64_t version = 0;
        bool removed = false;
        std::string value;
    };

    asio::awaitable<Response> handle(const Request &request);
    asio::awaitable<Response> transact(const Request &request);
    asio::awaitable<Response> read(const Request &request);
    asio::awaitable<Response> feed(const Request &request);
    void write(const Name &name, const std::string &value);
    void erase(const Name &name);
    std::string answer(json::array rows, bool morePages) const;

    Record &m_record;
    std::map<Name, Row> m_rows;
    std::deque<Change> m_changes;
    std::uint64_t m_version = 0;
    int m_oversized = 0;
    HttpServer m_server;
};

/** How a replica serves streams. */
struct Pace
{
    Millis beforeFirstEvent{40};
    Millis betweenEvents{50};
    int events = 13;
    int slots = 24;
};

/** A model replica, or a plain service, which registers itself in the store. */
class Replica
{
public:
    struct Identity
    {
        std::string id;
        std::string address;
        std::string service;
    };
    /** Called when a request begins to run. */
    using OnRun = std::function<void(const Request &, const std::string &replica)>;
    /** Called when the system closes a channel while the replica works on the request. */
    using OnCut = std::function<void(const std::string &attempt, int eventsSent)>;

    Replica(asio::io_context &context, Store &store, Record &record, Identity identity, Pace pace);

    void onRun(OnRun task) { m_onRun = std::move(task); }
    void onCut(OnCut task) { m_onCut = std::move(task); }
    /** Requests whose targets contain this text end the process of the replica. */
    void crashOn(std::string text, Millis downTime);
    /** With this probability, a stream goes on with such bytes, without end, after some events. */
    void sendWithoutEnd(std::string bytes, double probability)
    {
        m_endless = std::move(bytes);
        m_endlessShare = probability;
    }
    /** The replica falls silent when it crashes, as a machine without power does. */
    void crashDark() { m_dark = true; }
    /** With this probability, an answer is followed by a refusal that belongs to no request. */
    void sendLateRefusals(double probability) { m_lateRefusals = probability; }
    int running() const { return m_running; }
    int crashes() const { return m_crashes; }
    const std::string &id() const { return m_identity.id; }

    /** Data of one event; the same from each replica that takes the stream up. */
    static std::string eventData(const std::string &firstAttempt, int number);
    static constexpr std::uint16_t Port = 8'080;

private:
    asio::awaitable<void> accept(int incarnation);
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<bool> answer(std::shared_ptr<tcp::socket> socket, const Request &request);
    asio::awaitable<bool> stream(std::shared_ptr<tcp::socket> socket, const Request &request);
    asio::awaitable<void> sendLateRefusal(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<void> beat();
    asio::awaitable<void> comeBack();
    void listen();
    void crash();
    void fallSilent();
    void reboot();
    std::string head(const Request &request, const std::string &status, bool ran) const;

    asio::io_context &m_context;
    Store &m_store;
    Record &m_record;
    Identity m_identity;
    Pace m_pace;
    OnRun m_onRun;
    OnCut m_onCut;
    std::unique_ptr<tcp::acceptor> m_acceptor;
    std::vector<std::weak_ptr<tcp::socket>> m_sockets;
    std::string m_crashText;
    Millis m_downTime{0};
    bool m_dark = false;
    std::string m_endless;
    double m_endlessShare = 0;
    /** Channels of a machine without power: open, but silent. */
    std::vector<std::shared_ptr<tcp::socket>> m_silent;
    double m_lateRefusals = 0;
    std::mt19937 m_random{std::random_device()()};
    std::int64_t m_startedAtMillis = 0;
    std::int64_t m_beats = 0;
    int m_incarnation = 0;
    int m_running = 0;
    int m_crashes = 0;
    bool m_up = true;
};

/** The daemon processes; ends those that it started. */
class Vms
{
public:
    Vms(std::string command, std::string root, std::string folder, std::string net, int count,
        Record &record);
    ~Vms();
    Vms(const Vms &) = delete;
    Vms &operator=(const Vms &) = delete;

    void start(int vm, bool firstStart);
    void signal(int vm, int number);
    bool isRunning(int vm);
    /** Resident memory in kilobytes; 0 if the process is gone. */
    std::int64_t memoryKb(int vm) const;
    int count() const { return static_cast<int>(m_processes.size()); }
    std::string address(int vm) const;

    static constexpr std::uint16_t FrontPort = 8'149;
    static constexpr std::uint16_t ReadyPort = 8'141;

private:
    std::string m_command;
    std::string m_root;
    std::string m_folder;
    std::string m_net;
    Record &m_record;
    std::vector<pid_t> m_processes;
};

/** What a requester got for one attempt. */
struct Answer
{
    unsigned status = 0;
    /** The whole answer arrived. */
    bool complete = false;
    bool connected = false;
    std::optional<double> retryAfterSeconds;
    std::vector<std::string> events;
    std::string body;
    bool closes = false;
};

/** One attempt of a requester. */
struct Call
{
    std::string attempt;
    std::string method = "POST";
    std::string target;
    std::string body;
    Fields fields;
    Millis deadline{4'000};
    /** Called after each event with the number of events so far; false leaves at once. */
    std::function<bool(int)> onEvent;
    /** How long a requester that leaves stays after the event. */
    Millis leaveDelay{0};
    /** Reads the answer without keeping it. */
    bool discards = false;
};

/** A channel of a requester to one VM, which is kept for further requests. */
class Channel
{
public:
    Channel(asio::io_context &context, std::string address);
    asio::awaitable<Answer> send(Call call);
    bool isOpen() const { return m_open; }
    void close();

private:
    asio::awaitable<void> receive(http::response_parser<http::buffer_body> &parser,
                                  const Call &call, Answer &answer);

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::string m_address;
    bool m_open = false;
};

/** Everything that a case needs. */
struct Stage
{
    asio::io_context context{1};
    Record record;
    std::string net;
    bool trouble;
    Store store;
    Vms vms;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::mt19937_64 random{std::random_device()()};
    int version = 0;
    std::uint64_t nextId = 1;

    Stage(const std::string &command, const std::string &root, const std::string &folder,
          const std::string &network, bool withTrouble, int vmCount);

    void addReplicas(const std::string &service, int count, const Pace &pace);
    /** Writes a configuration; the version grows. */
    void configure(json::array routes, json::array services);
    asio::awaitable<bool> isReady(int vm);
    /** Starts all VMs for the first time, and waits until they are ready and have met. */
    asio::awaitable<bool> startAll();
    /** Waits until a VM is ready again. */
    asio::awaitable<bool> waitReady(int vm, Millis limit);
    std::string newId();
};

json::object streamRoute(const std::string &name, const std::string &service, bool retain,
                         bool resumable);
json::object plainRoute(const std::string &name, const std::string &service,
                        const std::string &kind);
json::object engineService(const std::string &name, int slots);
json::object plainService(const std::string &name);

inline constexpr int ExitHeld = 0;
inline constexpr int ExitBroken = 1;
inline constexpr int ExitNotRun = 2;
inline constexpr const char *Host = "ficu95.example";
inline constexpr int TokensPerEvent = 20;
inline constexpr int MaxTurnTokens = 580;

/** A case runs on a stage and returns how the program exits. */
using Case = std::function<asio::awaitable<int>(Stage &)>;

asio::awaitable<int> runBudgetCase(Stage &stage);
asio::awaitable<int> runResumedTurnCase(Stage &stage);
asio::awaitable<int> runLongConversationCase(Stage &stage);
asio::awaitable<int> runCrashingRequestCase(Stage &stage);
asio::awaitable<int> runEndlessAnswerCase(Stage &stage);
asio::awaitable<int> runLateRefusalCase(Stage &stage);

} // namespace review
