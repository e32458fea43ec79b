#include "harness.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json/src.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::size_t ReadSize = 65'536;
constexpr Millis StoreDelay{8};
constexpr Millis HeartbeatInterval{1'200};
constexpr int StatusOk = 200;
constexpr int StatusForbidden = 403;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 412;
constexpr int StatusMisdirected = 421;
constexpr std::size_t MaxPageRows = 500;
constexpr std::size_t MaxPageBytes = 1'000'000;

bool equalsIgnoreCase(const std::string &left, const std::string &right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return std::tolower(a) == std::tolower(b); });
}

sockaddr_in socketAddress(const std::string &address, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, address.c_str(), &result.sin_addr) != 1) {
        throw std::runtime_error("no address: " + address);
    }
    return result;
}

/** Waits for bytes; false if there are none by @p until. */
bool waitReadable(int socket, Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
    pollfd waiting{socket, POLLIN, 0};
    return left > 0 && poll(&waiting, 1, static_cast<int>(left)) > 0;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Parses a head that ends before @p end; the first line is left to the caller. */
std::string parseHead(const std::string &text, std::size_t end, Message &message)
{
    std::istringstream lines(text.substr(0, end));
    std::string first;
    std::getline(lines, first);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        const std::size_t start = line.find_first_not_of(' ', colon + 1);
        message.fields.push_back(
            {line.substr(0, colon), start == std::string::npos ? "" : line.substr(start)});
    }
    return first;
}

std::size_t contentLength(const Message &message)
{
    const std::string text = message.header("Content-Length");
    return text.empty() ? 0 : std::stoul(text);
}

std::string base64(const std::string &bytes)
{
    static const char *const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t start = 0; start < bytes.size(); start += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            const bool isThere = start + index < bytes.size();
            group =
                (group << 8U) | (isThere ? static_cast<unsigned char>(bytes[start + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            const bool isThere = start + index <= bytes.size();
            result += isThere ? digits[(group >> (18U - 6U * index)) & 63U] : '=';
        }
    }
    return result;
}

std::string percentDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) {
        return query;
    }
    std::istringstream items(target.substr(mark + 1));
    std::string item;
    while (std::getline(items, item, '&')) {
        const std::size_t equals = item.find('=');
        if (equals != std::string::npos) {
            query[item.substr(0, equals)] = percentDecoded(item.substr(equals + 1));
        }
    }
    return query;
}

std::string textAt(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

/** The clock of the store. */
std::int64_t steadyMillis()
{
    return std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch()).count();
}

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string reason(int status)
{
    switch (status) {
    case StatusOk:
        return "OK";
    case StatusConflict:
        return "Precondition Failed";
    case StatusMisdirected:
        return "Misdirected Request";
    default:
        return "Status";
    }
}

std::string wholeResponse(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason(status)
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/** Reads a response from a socket. */
class ResponseReader
{
public:
    ResponseReader(int socket, Clock::time_point until)
        : m_socket(socket)
        , m_until(until)
    { }

    Message read()
    {
        Message response;
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(response)) {
                return response;
            }
        }
        const std::string first = parseHead(m_buffer, end, response);
        response.status = first.size() > 12 ? std::stoi(first.substr(9, 3)) : 0;
        m_buffer.erase(0, end + 4);
        if (equalsIgnoreCase(response.header("Transfer-Encoding"), "chunked")) {
            readChunks(response);
        } else {
            const std::size_t length = contentLength(response);
            while (m_buffer.size() < length) {
                if (!more(response)) {
                    break;
                }
            }
            response.body = m_buffer.substr(0, length);
            response.complete = response.body.size() == length;
        }
        return response;
    }

private:
    bool more(Message &response)
    {
        if (!waitReadable(m_socket, m_until)) {
            response.problem = "no more bytes in time";
            return false;
        }
        std::array<char, ReadSize> bytes{};
        const ssize_t count = recv(m_socket, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            response.problem = count == 0 ? "closed" : std::strerror(errno);
            return false;
        }
        m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
        return true;
    }

    void readChunks(Message &response)
    {
        for (;;) {
            std::size_t lineEnd = std::string::npos;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more(response)) {
                    return;
                }
            }
            const std::size_t size = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
            while (m_buffer.size() < lineEnd + 2 + size + 2) {
                if (!more(response)) {
                    return;
                }
            }
            response.body += m_buffer.substr(lineEnd + 2, size);
            m_buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                response.complete = true;
                return;
            }
        }
    }

    int m_socket;
    Clock::time_point m_until;
    std::string m_buffer;
};

} // namespace

void sleepFor(Millis time)
{
    std::this_thread::sleep_for(time);
}

std::string Message::header(const std::string &name) const
{
    for (const Field &field : fields) {
        if (equalsIgnoreCase(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

// --- Record --------------------------------------------------------------------

Record::Record(const std::string &folder)
    : m_file(folder + "/record.txt")
{ }

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    const auto elapsed = std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
    std::string time = std::to_string(elapsed);
    time.insert(0, time.size() < 7 ? 7 - time.size() : 0, ' ');
    m_file << time << " ms  " << line << std::endl;
}

// --- Connections and servers ---------------------------------------------------

Connection::~Connection()
{
    close(m_socket);
}

bool Connection::send(const std::string &bytes) const
{
    return sendAll(m_socket, bytes);
}

bool Connection::isClosed() const
{
    char byte = 0;
    const ssize_t count = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::shutDown() const
{
    shutdown(m_socket, SHUT_RDWR);
}

std::optional<Message> Connection::receive()
{
    const auto more = [this] {
        std::array<char, ReadSize> bytes{};
        const ssize_t count = recv(m_socket, bytes.data(), bytes.size(), 0);
        if (count > 0) {
            m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
        }
        return count > 0;
    };
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return std::nullopt;
        }
    }
    Message request;
    std::istringstream first(parseHead(m_buffer, end, request));
    first >> request.method >> request.target;
    const std::size_t length = contentLength(request);
    while (m_buffer.size() < end + 4 + length) {
        if (!more()) {
            return std::nullopt;
        }
    }
    request.body = m_buffer.substr(end + 4, length);
    m_buffer.erase(0, end + 4 + length);
    request.complete = true;
    return request;
}

Server::Server(const std::string &address, int port, Handler handler)
    : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_handler(std::move(handler))
{
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in name = socketAddress(address, port);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0
        || listen(m_listener, SOMAXCONN) != 0) {
        close(m_listener);
        throw std::runtime_error("cannot listen at " + address);
    }
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop();
}

void Server::accept()
{
    for (;;) {
        const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto connection = std::make_shared<Connection>(accepted);
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
        m_connections.insert(connection);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void Server::serve(const std::shared_ptr<Connection> &connection)
{
    for (;;) {
        const std::optional<Message> request = connection->receive();
        if (!request.has_value() || m_stopped || !m_handler(*request, *connection)) {
            break;
        }
    }
    connection->shutDown();
    const std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
}

void Server::refuseConnections() const
{
    shutdown(m_listener, SHUT_RDWR);
}

void Server::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &connection : m_connections) {
            connection->shutDown();
        }
        threads = std::move(m_threads);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

// --- Store ---------------------------------------------------------------------

Store::Store(const std::string &address, int port)
    : m_server(std::make_unique<Server>(address, port,
                                        [this](const Message &request, Connection &connection) {
                                            return handle(request, connection);
                                        }))
{ }

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_server->stop();
}

void Store::apply(const Name &name, const std::optional<std::string> &value)
{
    const Row row{value.value_or(""), m_version, !value.has_value()};
    if (value.has_value()) {
        m_rows[name] = row;
    } else if (m_rows.erase(name) == 0) {
        return;
    }
    m_changes.push_back({name, row});
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_version += 1;
    apply({table, "", key}, base64(value));
    m_changed.notify_all();
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_version += 1;
    apply({table, "", key}, std::nullopt);
    m_changed.notify_all();
}

std::vector<std::string> Store::keys(const std::string &table)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result;
    for (const auto &[name, row] : m_rows) {
        if (std::get<0>(name) == table) {
            result.push_back(std::get<2>(name));
        }
    }
    return result;
}

bool Store::handle(const Message &request, const Connection &connection)
{
    sleepFor(StoreDelay);
    const std::string path = request.target.substr(0, request.target.find('?'));
    int status = StatusOk;
    std::string body;
    if (path == "/v1/rows-tx") {
        body = transact(request.body, status);
    } else if (path == "/v1/rows-get") {
        body = read(queryOf(request.target));
    } else if (path == "/v1/rows-feed") {
        body = feed(queryOf(request.target));
    } else {
        status = StatusNotFound;
    }
    return connection.send(wholeResponse(status, body));
}

std::string Store::transact(const std::string &body, int &status)
{
    const json::object call = json::parse(body).as_object();
    const auto nameOf = [](const json::object &row) {
        return Name{textAt(row, "table"), textAt(row, "part"), textAt(row, "key")};
    };
    const auto encode = [](const Name &name, const Row &row) {
        return json::object{{"table", std::get<0>(name)},
                            {"part", std::get<1>(name)},
                            {"key", std::get<2>(name)},
                            {"value", row.value},
                            {"ver", row.version}};
    };
    const std::lock_guard lock(m_mutex);
    bool holds = true;
    json::array current;
    for (const json::value &item : call.at("expected").as_array()) {
        const Name name = nameOf(item.as_object());
        const auto found = m_rows.find(name);
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        holds = holds && version == item.as_object().at("ver").to_number<std::uint64_t>();
        if (found != m_rows.end()) {
            current.push_back(encode(name, found->second));
        }
    }
    for (const char *list : {"puts", "remove"}) {
        for (const json::value &item : call.at(list).as_array()) {
            const std::string table = textAt(item.as_object(), "table");
            if (table == "op" || table == "servers") {
                status = StatusForbidden;
                return "{}";
            }
        }
    }
    if (!holds) {
        status = StatusConflict;
        return json::serialize(
            json::object{{"rows", current}, {"ver", m_version}, {"nowMs", steadyMillis()}});
    }
    m_version += 1;
    for (const json::value &item : call.at("puts").as_array()) {
        apply(nameOf(item.as_object()), textAt(item.as_object(), "value"));
    }
    for (const json::value &item : call.at("remove").as_array()) {
        apply(nameOf(item.as_object()), std::nullopt);
    }
    m_changed.notify_all();
    return json::serialize(json::object{{"ver", m_version}, {"nowMs", steadyMillis()}});
}

std::string Store::read(const std::map<std::string, std::string> &query)
{
    const auto parameter = [&](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const Name from{parameter("table"), parameter("part"), parameter("from")};
    const std::string to = parameter("to");
    const std::lock_guard lock(m_mutex);
    json::array rows;
    std::size_t bytes = 0;
    bool hasMore = false;
    for (auto item = m_rows.lower_bound(from); item != m_rows.end(); ++item) {
        const auto &[name, row] = *item;
        const bool isSamePart =
            std::get<0>(name) == std::get<0>(from) && std::get<1>(name) == std::get<1>(from);
        if (!isSamePart || (!to.empty() && std::get<2>(name) >= to)) {
            break;
        }
        bytes += row.value.size();
        if (rows.size() == MaxPageRows || (bytes > MaxPageBytes && !rows.empty())) {
            hasMore = true;
            break;
        }
        rows.push_back(json::object{{"table", std::get<0>(name)},
                                    {"part", std::get<1>(name)},
                                    {"key", std::get<2>(name)},
                                    {"value", row.value},
                                    {"ver", row.version}});
    }
    return json::serialize(json::object{
        {"rows", rows}, {"morePages", hasMore}, {"ver", m_version}, {"nowMs", steadyMillis()}});
}

std::string Store::feed(const std::map<std::string, std::string> &query)
{
    const std::string table = query.at("table");
    const std::uint64_t after = std::stoull(query.at("after"));
    const Millis wait(std::stoll(query.at("waitMs")));
    std::unique_lock lock(m_mutex);
    const auto changes = [&] {
        std::map<Name, Row> newest;
        for (const Change &change : m_changes) {
            if (change.row.version > after && std::get<0>(change.name) == table) {
                newest[change.name] = change.row;
            }
        }
        return newest;
    };
    m_changed.wait_for(lock, wait, [&] { return m_stopped || !changes().empty(); });
    std::vector<std::pair<Name, Row>> ordered;
    for (const auto &item : changes()) {
        ordered.emplace_back(item);
    }
    std::sort(ordered.begin(), ordered.end(), [](const auto &left, const auto &right) {
        return left.second.version < right.second.version;
    });
    json::array rows;
    for (const auto &[name, row] : ordered) {
        json::object item{{"table", std::get<0>(name)},
                          {"part", std::get<1>(name)},
                          {"key", std::get<2>(name)},
                          {"ver", row.version}};
        if (row.isRemoved) {
            item["deleted"] = true;
        } else {
            item["value"] = row.value;
        }
        rows.push_back(std::move(item));
    }
    return json::serialize(
        json::object{{"rows", rows}, {"ver", m_version}, {"nowMs", steadyMillis()}});
}

// --- Replicas ------------------------------------------------------------------

void Runs::add(Run run)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(run));
}

std::vector<Run> Runs::all()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::string registration(const ReplicaEntry &entry, std::int64_t born, std::int64_t sequence,
                         const std::string &without)
{
    json::object fields{{"service", entry.service},
                        {"addr", entry.address + ":" + std::to_string(entry.port)},
                        {"zone", "z1"},
                        {"version", entry.version},
                        {"slots", entry.slots},
                        {"state", "ready"},
                        {"coldLeftMs", 0},
                        {"born", born},
                        {"seq", sequence}};
    fields.erase(without);
    return json::serialize(fields);
}

Replica::Replica(ReplicaEntry entry, Store &store, Runs &runs, Answer answer)
    : m_entry(std::move(entry))
    , m_store(store)
    , m_runs(runs)
    , m_answer(std::move(answer))
    , m_born(unixMillis())
    , m_server(std::make_unique<Server>(m_entry.address, m_entry.port,
                                        [this](const Message &request, Connection &connection) {
                                            return handle(request, connection);
                                        }))
    , m_beats([this] { beat(); })
{ }

Replica::~Replica()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_wake.notify_all();
    m_beats.join();
    if (m_crash.joinable()) {
        m_crash.join();
    }
    m_server->stop();
}

void Replica::beat()
{
    std::unique_lock lock(m_mutex);
    for (std::int64_t sequence = 1; !m_stopped && !m_crashed; ++sequence) {
        m_store.put("servers", m_entry.id, registration(m_entry, m_born, sequence));
        m_wake.wait_for(lock, HeartbeatInterval);
    }
    if (m_stopped) {
        return;
    }
    // The store drops an entry after three heartbeat intervals of silence.
    m_wake.wait_for(lock, HeartbeatInterval * 3, [this] { return m_stopped; });
    m_store.remove("servers", m_entry.id);
}

std::string Replica::head(const Message &request, int status,
                          const std::vector<Field> &fields) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason(status)
        + "\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\nReplica-Seal: seal-of-"
        + m_entry.id + "\r\nReplica-Load: " + std::to_string(m_running) + ",0,"
        + std::to_string(m_entry.slots) + "\r\n";
    for (const Field &field : fields) {
        text += field.name + ": " + field.value + "\r\n";
    }
    return text + "\r\n";
}

std::string Replica::answer(const Message &request, const std::string &body) const
{
    return head(request, StatusOk, {{"Content-Length", std::to_string(body.size())}}) + body;
}

std::string Replica::streamHead(const Message &request) const
{
    return head(request, StatusOk,
                {{"Content-Type", "text/event-stream"}, {"Transfer-Encoding", "chunked"}});
}

bool Replica::handle(const Message &request, Connection &connection)
{
    const std::string expected = request.header("Expect-Replica");
    if (!expected.empty() && expected != m_entry.id) {
        return connection.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "
                               + request.header("Attempt-Id") + "\r\nReplica-Id: " + m_entry.id
                               + "\r\nContent-Length: 0\r\n\r\n");
    }
    m_running += 1;
    m_runs.add(
        {m_entry.id, request.header("Attempt-Id"), request.target, request.body, Clock::now()});
    const bool keepsOpen = m_answer(*this, request, connection);
    m_running -= 1;
    return keepsOpen;
}

void Replica::crash()
{
    if (m_crashed.exchange(true)) {
        return;
    }
    m_wake.notify_all();
    // A process that ends refuses connections no later than its own ones are closed.
    m_server->refuseConnections();
    // Runs on a thread of its own: the caller is a thread of the server that stops.
    m_crash = std::thread([this] { m_server->stop(); });
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

std::string eventChunk(int id, const std::string &data)
{
    return chunk("id: " + std::to_string(id) + "\ndata: " + data + "\n\n");
}

// --- Callers -------------------------------------------------------------------

Channel::Channel(const std::string &address, int port)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in name = socketAddress(address, port);
    if (connect(m_socket, reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0) {
        m_problem = std::string("connect: ") + std::strerror(errno);
    }
}

Channel::~Channel()
{
    close(m_socket);
}

Message Channel::exchange(const Message &request, Millis limit)
{
    Message response;
    response.problem = m_problem;
    if (!m_problem.empty()) {
        return response;
    }
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const Field &field : request.fields) {
        text += field.name + ": " + field.value + "\r\n";
    }
    if (!request.body.empty()) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n" + request.body;
    if (sendAll(m_socket, text)) {
        response = ResponseReader(m_socket, Clock::now() + limit).read();
    } else {
        response.problem = "not sent";
    }
    return response;
}

Message exchange(const std::string &address, int port, const Message &request, Millis limit)
{
    return Channel(address, port).exchange(request, limit);
}

Message turn(const std::string &prefix, const std::string &attempt, const std::string &program,
             const std::string &body)
{
    Message request;
    request.method = "POST";
    request.target = prefix + "1";
    request.fields = {{"Host", "front.example"},
                      {"Attempt-Id", attempt},
                      {"Program-Id", program},
                      {"Session-Id", program},
                      {"Program-Deadline-Ms", "60000"},
                      {"Token-Budget", "20000"},
                      {"Model", "m"},
                      {"Token-Usage", "100,400"},
                      {"Deadline-Ms", "4000"}};
    request.body = body;
    return request;
}

std::string eventData(const std::string &stream)
{
    std::istringstream lines(stream);
    std::string line;
    std::string result;
    while (std::getline(lines, line)) {
        if (line.rfind("data: ", 0) == 0) {
            result += line.substr(std::string("data: ").size()) + "\n";
        }
    }
    return result;
}

// --- Daemons -------------------------------------------------------------------

Fleet::Fleet(std::string folder, std::vector<std::string> addresses, const std::string &store,
             int memoryMegabytes)
    : m_folder(std::move(folder))
    , m_store(store)
    , m_memoryMegabytes(memoryMegabytes)
{
    for (std::string &address : addresses) {
        const std::string name = "front-z1-" + std::to_string(m_vms.size() + 1);
        m_vms.push_back({name, std::move(address), 0, false});
    }
}

Fleet::~Fleet()
{
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        kill(vm);
    }
}

void Fleet::writeSettings(const Vm &vm) const
{
    const auto endpoint = [&](const std::string &address, int port) {
        return address + ":" + std::to_string(port);
    };
    std::string seeds;
    for (const Vm &other : m_vms) {
        seeds += (seeds.empty() ? "" : ",") + endpoint(other.address, Ports::Control);
    }
    std::ofstream file(m_folder + "/" + vm.name + ".conf");
    file << "node=" << vm.name << "\nrole=entry\nmachineClass=front\n"
         << "serves=front,control,directory\nip=" << vm.address << "\nzone=z1\nregion=r1\n"
         << "zones.z1=r1\nlisten.front=" << endpoint(vm.address, Ports::Front)
         << "\nlisten.ready=" << endpoint(vm.address, Ports::Ready)
         << "\nlisten.control=" << endpoint(vm.address, Ports::Control)
         << "\nlisten.directory=" << endpoint(vm.address, Ports::Directory)
         << "\ninternalPorts=7380,7395\nseeds=" << seeds
         << "\nbootstrap=" << (vm.hasStarted ? "false" : "true")
         << "\nlimits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb=" << m_memoryMegabytes
         << "\nlimits.maxFds=8200\nheartbeatMs=1200\n"
         << "contracts=base,drain,config,cost,recover,agent,stream,engine,platform\n"
         << "bounds.contactMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\n"
         << "bounds.configApplyMs=2000\nbounds.recoveryS=12\nbounds.ttl_max_s=5\n"
         << "platform.addr=" << m_store << "\nplatform.form=table\nplatform.rowBytes=65536\n";
}

void Fleet::start(std::size_t index)
{
    Vm &vm = m_vms[index];
    writeSettings(vm);
    const std::string log = m_folder + "/" + vm.name + ".log";
    const std::string settings = "BORAGEPATH_SETTINGS=" + m_folder + "/" + vm.name + ".conf";
    std::string settingsText = settings;
    std::string program = "target/boragepathd-platform";
    std::string option = "--metrics-port";
    std::string port = "9464";
    std::array<char *, 4> arguments{program.data(), option.data(), port.data(), nullptr};
    std::array<char *, 2> environment{settingsText.data(), nullptr};
    const pid_t process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(CouldNotRun);
    }
    if (process < 0) {
        throw std::runtime_error("cannot start a daemon");
    }
    vm.process = process;
    vm.hasStarted = true;
}

void Fleet::kill(std::size_t index)
{
    Vm &vm = m_vms[index];
    if (vm.process > 0) {
        ::kill(vm.process, SIGKILL);
        waitpid(vm.process, nullptr, 0);
        vm.process = 0;
    }
}

std::int64_t Fleet::anonymousKilobytes(std::size_t index) const
{
    const pid_t process = m_vms[index].process;
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (process > 0 && std::getline(file, line)) {
        if (line.rfind("RssAnon:", 0) == 0) {
            return std::stoll(line.substr(std::string("RssAnon:").size()));
        }
    }
    return 0;
}

bool Fleet::waitUntilReady() const
{
    constexpr Millis Limit{15'000};
    constexpr Millis Interval{200};
    /** The VMs know each other, the replicas and the lenders by then. */
    constexpr Millis SettleTime{6'000};
    const Clock::time_point until = Clock::now() + Limit;
    Message question;
    question.method = "GET";
    question.target = "/v1/ready";
    question.fields = {{"Host", "ready"}};
    for (const Vm &vm : m_vms) {
        while (exchange(vm.address, Ports::Ready, question, Interval).status != StatusOk) {
            if (Clock::now() >= until) {
                return false;
            }
            sleepFor(Interval);
        }
    }
    sleepFor(SettleTime);
    return true;
}

// --- Cases ---------------------------------------------------------------------

namespace {

std::string argument(int count, char **arguments, int index)
{
    if (index >= count) {
        throw std::runtime_error("needs the folder of the case and a temporary one");
    }
    return arguments[index];
}

} // namespace

Case::Case(int argumentCount, char **arguments)
    : m_hasTrouble(std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0")
    , m_record(argument(argumentCount, arguments, 1))
    , m_temporaryFolder(argument(argumentCount, arguments, 2))
{
    constexpr int FirstNetwork = 20;
    constexpr int Networks = 200;
    constexpr int Numbers = 250;
    const int process = static_cast<int>(getpid());
    m_network = "127." + std::to_string(FirstNetwork + process / Numbers % Networks) + "."
        + std::to_string(process % Numbers) + ".";
    std::ostringstream prefix;
    prefix << std::hex << unixMillis();
    m_idPrefix = prefix.str();
    m_record.write(m_hasTrouble ? "with the disruption" : "without the disruption");
}

std::string Case::address(int number) const
{
    return m_network + std::to_string(number);
}

std::string Case::newId()
{
    std::ostringstream id;
    id << m_idPrefix << std::hex << 0x1000 + m_nextId++;
    return id.str();
}

} // namespace review
