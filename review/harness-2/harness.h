#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include <sys/types.h>

/**
 * Stand-ins for the second review: the platform's store, replicas, callers, and the platform's
 * part that starts, kills and restarts the daemons. Blocking sockets, one thread a connection.
 */
namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/** Exit statuses of a case. */
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

struct Field
{
    std::string name;
    std::string value;
};

/** A request, or the head and body of a response. */
struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<Field> fields;
    std::string body;
    /** All of the body has arrived, by its framing. */
    bool complete = false;
    /** What went wrong where it is not complete. */
    std::string problem;

    std::string header(const std::string &name) const;
};

/** What is seen, with the time since the start; goes to record.txt. */
class Record
{
public:
    explicit Record(const std::string &folder);
    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/** A connection that a stand-in has accepted. */
class Connection
{
public:
    explicit Connection(int socket)
        : m_socket(socket)
    { }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    bool send(const std::string &bytes) const;
    /** The next request; nothing if the connection has ended. */
    std::optional<Message> receive();
    /** True if the other side has closed the connection. */
    bool isClosed() const;
    void shutDown() const;

private:
    int m_socket;
    std::string m_buffer;
};

/** Accepts connections and answers their requests, one after another on each connection. */
class Server
{
public:
    /** @return false if the connection ends with this request. */
    using Handler = std::function<bool(const Message &request, Connection &connection)>;

    Server(const std::string &address, int port, Handler handler);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

    /** New connections are refused from now on. */
    void refuseConnections() const;
    /** Closes all connections, too. */
    void stop();

private:
    void accept();
    void serve(const std::shared_ptr<Connection> &connection);

    int m_listener = -1;
    Handler m_handler;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** The platform's metadata store. */
class Store
{
public:
    Store(const std::string &address, int port);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    /** Writes a row as the operator or a replica does; @p value is not encoded yet. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /** Keys of the rows of a table, in all parts. */
    std::vector<std::string> keys(const std::string &table);

private:
    using Name = std::tuple<std::string, std::string, std::string>;
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    struct Change
    {
        Name name;
        Row row;
    };

    bool handle(const Message &request, const Connection &connection);
    std::string transact(const std::string &body, int &status);
    std::string read(const std::map<std::string, std::string> &query);
    std::string feed(const std::map<std::string, std::string> &query);
    void apply(const Name &name, const std::optional<std::string> &value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, Row> m_rows;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    bool m_stopped = false;
    std::unique_ptr<Server> m_server;
};

/** A request that a replica began to run. */
struct Run
{
    std::string replica;
    std::string attempt;
    std::string target;
    std::string body;
    Clock::time_point at;
};

/** The runs of all replicas. */
class Runs
{
public:
    void add(Run run);
    std::vector<Run> all();

private:
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/** What a replica registers under. */
struct ReplicaEntry
{
    std::string id;
    std::string service;
    std::string address;
    int port = 0;
    std::string version = "v1";
    int slots = 16;
};

/** The value of a replica's row in the store; without the field named @p without. */
std::string registration(const ReplicaEntry &entry, std::int64_t born, std::int64_t sequence,
                         const std::string &without = {});

/** A replica that registers itself, and answers through the function of its case. */
class Replica
{
public:
    /** @return false if the connection ends with this request. */
    using Answer =
        std::function<bool(Replica &replica, const Message &request, Connection &connection)>;

    Replica(ReplicaEntry entry, Store &store, Runs &runs, Answer answer);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    const ReplicaEntry &entry() const { return m_entry; }
    std::int64_t born() const { return m_born; }
    /** The head of an answer to @p request, with the blank line at its end. */
    std::string head(const Message &request, int status,
                     const std::vector<Field> &fields = {}) const;
    /** A whole answer that is not a stream. */
    std::string answer(const Message &request, const std::string &body) const;
    std::string streamHead(const Message &request) const;
    /** Ends all connections and accepts no more, as a process that has crashed. */
    void crash();
    bool hasCrashed() const { return m_crashed; }

private:
    bool handle(const Message &request, Connection &connection);
    void beat();

    ReplicaEntry m_entry;
    Store &m_store;
    Runs &m_runs;
    Answer m_answer;
    std::int64_t m_born;
    std::atomic<bool> m_crashed = false;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopped = false;
    std::unique_ptr<Server> m_server;
    std::thread m_beats;
    std::thread m_crash;
};

std::string chunk(const std::string &bytes);
/** One event of a stream, as a chunk. */
std::string eventChunk(int id, const std::string &data);
constexpr const char *LastChunk = "0\r\n\r\n";

/** Ports are the same on all VMs; each VM has a loopback address of its own. */
struct Ports
{
    static constexpr int Front = 8'149;
    static constexpr int Ready = 8'141;
    static constexpr int Control = 8'144;
    static constexpr int Directory = 8'143;
    static constexpr int Store = 8'142;
    static constexpr int Replica = 8'080;
};

/** A connection of a caller, which it keeps for several requests. */
class Channel
{
public:
    Channel(const std::string &address, int port);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /** Sends one request and reads its answer. */
    Message exchange(const Message &request, Millis limit);

private:
    int m_socket = -1;
    std::string m_problem;
};

/** The same on a connection of its own. */
Message exchange(const std::string &address, int port, const Message &request, Millis limit);

/** A request with the fields of a turn; callers add what is special. */
Message turn(const std::string &prefix, const std::string &attempt, const std::string &program,
             const std::string &body);

/** The data of the events of a stream, each with its line feed; comments are no events. */
std::string eventData(const std::string &stream);

/** The daemons, started as the deploy file says; signals only processes that it started. */
class Fleet
{
public:
    Fleet(std::string folder, std::vector<std::string> addresses, const std::string &store,
          int memoryMegabytes);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    std::size_t size() const { return m_vms.size(); }
    const std::string &address(std::size_t vm) const { return m_vms[vm].address; }
    void start(std::size_t vm);
    void kill(std::size_t vm);
    /** Memory of the process without its mapped files, in kB; 0 if it does not run. */
    std::int64_t anonymousKilobytes(std::size_t vm) const;
    /** True once all VMs count as ready and know each other and the replicas. */
    bool waitUntilReady() const;

private:
    struct Vm
    {
        std::string name;
        std::string address;
        pid_t process = 0;
        bool hasStarted = false;
    };

    void writeSettings(const Vm &vm) const;

    std::string m_folder;
    std::string m_store;
    int m_memoryMegabytes;
    std::vector<Vm> m_vms;
};

/** What all cases need: arguments, the record, loopback addresses that nobody uses. */
class Case
{
public:
    /** Arguments: the folder of the case, and a folder for temporary files. */
    Case(int argumentCount, char **arguments);

    bool hasTrouble() const { return m_hasTrouble; }
    Record &record() { return m_record; }
    const std::string &temporaryFolder() const { return m_temporaryFolder; }
    /** The loopback address with this last number. */
    std::string address(int number) const;
    /** An id that no other run uses. */
    std::string newId();

private:
    bool m_hasTrouble;
    Record m_record;
    std::string m_temporaryFolder;
    std::string m_network;
    std::string m_idPrefix;
    std::atomic<int> m_nextId = 1;
};

void sleepFor(Millis time);

} // namespace review
