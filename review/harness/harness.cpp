#include "harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using asio::redirect_error;
using asio::use_awaitable;

constexpr Millis ReadTime{4};
constexpr Millis TransactionTime{8};
constexpr Millis FeedStep{10};
constexpr Millis BeatInterval{1'200};
constexpr std::size_t MaxTransactionBytes = 1'000'000;
constexpr std::size_t MaxEntries = 100;
constexpr std::size_t MaxPageRows = 500;
constexpr std::size_t MaxPageBytes = 1'000'000;
constexpr std::size_t MaxChanges = 200'000;
constexpr Millis ConnectTime{1'000};
constexpr int EventsBeforeEndless = 3;

std::string hexText(const std::string &text)
{
    std::string result;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] == '%' && position + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(position + 1, 2), nullptr, 16));
            position += 2;
        } else {
            result += text[position];
        }
    }
    return result;
}

std::string queryValue(const Request &request, const std::string &name)
{
    const std::string target(request.target());
    const std::size_t query = target.find('?');
    if (query == std::string::npos) {
        return {};
    }
    std::istringstream parameters(target.substr(query + 1));
    std::string item;
    while (std::getline(parameters, item, '&')) {
        if (item.rfind(name + "=", 0) == 0) {
            return hexText(item.substr(name.size() + 1));
        }
    }
    return {};
}

std::string fieldOf(const Request &request, const char *name)
{
    const auto found = request.find(name);
    return found == request.end() ? std::string() : std::string(found->value());
}

Response jsonResponse(unsigned status, const std::string &body)
{
    Response response;
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = body;
    return response;
}

std::string textAt(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

Store::Name nameOf(const json::object &object)
{
    return {textAt(object, "table"), textAt(object, "part"), textAt(object, "key")};
}

json::object describe(const Store::Name &name)
{
    return {{"table", std::get<0>(name)}, {"part", std::get<1>(name)}, {"key", std::get<2>(name)}};
}

const json::array &listAt(const json::object &object, const char *name)
{
    static const json::array none;
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->get_array() : none;
}

std::string base64(const std::string &text)
{
    static const char *const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr unsigned ByteBits = 8;
    constexpr unsigned DigitBits = 6;
    constexpr unsigned DigitMask = 63;
    std::string result;
    unsigned bits = 0;
    unsigned count = 0;
    for (const char c : text) {
        bits = (bits << ByteBits) | static_cast<unsigned char>(c);
        count += ByteBits;
        while (count >= DigitBits) {
            count -= DigitBits;
            result += digits[(bits >> count) & DigitMask];
        }
    }
    if (count > 0) {
        result += digits[(bits << (DigitBits - count)) & DigitMask];
    }
    while (result.size() % 4 != 0) {
        result += '=';
    }
    return result;
}

/** True if the other side has closed the channel. */
bool isClosed(tcp::socket &socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    const std::size_t size =
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block && (error || size == 0);
}

asio::awaitable<bool> writeAll(tcp::socket &socket, const std::string &bytes)
{
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(bytes), redirect_error(use_awaitable, error));
    co_return !error;
}

std::string chunkOf(const std::string &data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

bool isStream(const Request &request)
{
    return std::string(request.target()).rfind("/talk/", 0) == 0
        || std::string(request.target()).rfind("/ask/", 0) == 0;
}

std::int64_t unixMillisNow()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

asio::awaitable<void> sleepFor(Millis time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code error;
    co_await timer.async_wait(redirect_error(use_awaitable, error));
}

// --- Record -------------------------------------------------------------------

Record::Record(const std::string &path)
    : m_file(path)
{ }

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - m_startedAt).count();
}

void Record::add(const std::string &line)
{
    m_file << now() << " ms  " << line << "\n" << std::flush;
}

// --- HttpServer ---------------------------------------------------------------

HttpServer::HttpServer(asio::io_context &context, const std::string &address, std::uint16_t port,
                       Handler handler)
    : m_context(context)
    , m_acceptor(context, {asio::ip::make_address(address), port})
    , m_handler(std::move(handler))
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

asio::awaitable<void> HttpServer::accept()
{
    for (;;) {
        boost::system::error_code error;
        auto socket = std::make_shared<tcp::socket>(
            co_await m_acceptor.async_accept(redirect_error(use_awaitable, error)));
        if (!error) {
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<tcp::socket> socket)
{
    constexpr std::uint64_t MaxBody = 64UL * 1024 * 1024;
    beast::flat_buffer buffer;
    boost::system::error_code error;
    socket->set_option(tcp::no_delay(true), error);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaxBody);
        co_await http::async_read(*socket, buffer, parser, redirect_error(use_awaitable, error));
        if (error) {
            co_return;
        }
        const Request request = parser.release();
        Response response = co_await m_handler(request);
        response.version(request.version());
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        co_await http::async_write(*socket, response, redirect_error(use_awaitable, error));
        if (error || !request.keep_alive()) {
            co_return;
        }
    }
}

// --- Store --------------------------------------------------------------------

Store::Store(asio::io_context &context, const std::string &address, std::uint16_t port,
             Record &record)
    : m_record(record)
    , m_server(context, address, port, [this](const Request &request) { return handle(request); })
{ }

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_version += 1;
    write({table, "", key}, base64(value));
}

void Store::remove(const std::string &table, const std::string &key)
{
    m_version += 1;
    erase({table, "", key});
}

void Store::write(const Name &name, const std::string &value)
{
    m_rows[name] = {value, m_version};
    m_changes.push_back({name, m_version, false, value});
    if (m_changes.size() > MaxChanges) {
        m_changes.pop_front();
    }
}

void Store::erase(const Name &name)
{
    m_rows.erase(name);
    m_changes.push_back({name, m_version, true, ""});
}

std::string Store::answer(json::array rows, bool morePages) const
{
    const auto steady = std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch());
    return json::serialize(json::object{{"rows", std::move(rows)},
                                        {"morePages", morePages},
                                        {"ver", m_version},
                                        {"nowMs", steady.count()}});
}

asio::awaitable<Response> Store::handle(const Request &request)
{
    const std::string target(request.target());
    if (target.rfind("/v1/rows-tx", 0) == 0) {
        co_return co_await transact(request);
    }
    if (target.rfind("/v1/rows-get", 0) == 0) {
        co_return co_await read(request);
    }
    if (target.rfind("/v1/rows-feed", 0) == 0) {
        co_return co_await feed(request);
    }
    co_return jsonResponse(404, "{}");
}

asio::awaitable<Response> Store::transact(const Request &request)
{
    co_await sleepFor(TransactionTime);
    json::error_code error;
    const json::value value = json::parse(request.body(), error);
    if (error || !value.is_object()) {
        co_return jsonResponse(400, "{}");
    }
    const json::object &body = value.get_object();
    const json::array &expected = listAt(body, "expected");
    const json::array &puts = listAt(body, "puts");
    const json::array &removals = listAt(body, "remove");
    if (request.body().size() > MaxTransactionBytes
        || expected.size() + puts.size() + removals.size() > MaxEntries) {
        m_oversized += 1;
        m_record.add("store: a transaction of " + std::to_string(request.body().size())
                     + " bytes is over the limit of 1 MB; nothing done");
        co_return jsonResponse(413, "{}");
    }
    bool conflict = false;
    json::array current;
    for (const json::value &item : expected) {
        const json::object &condition = item.as_object();
        const Name name = nameOf(condition);
        const auto found = m_rows.find(name);
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        const json::value *wanted = condition.if_contains("ver");
        conflict = conflict || wanted == nullptr || wanted->to_number<std::uint64_t>() != version;
        if (found != m_rows.end()) {
            json::object row = describe(name);
            row["value"] = found->second.value;
            row["ver"] = version;
            current.push_back(std::move(row));
        }
    }
    if (conflict) {
        co_return jsonResponse(412, answer(std::move(current), false));
    }
    m_version += 1;
    for (const json::value &item : puts) {
        write(nameOf(item.as_object()), textAt(item.as_object(), "value"));
    }
    for (const json::value &item : removals) {
        erase(nameOf(item.as_object()));
    }
    co_return jsonResponse(200, answer({}, false));
}

asio::awaitable<Response> Store::read(const Request &request)
{
    co_await sleepFor(ReadTime);
    const std::string table = queryValue(request, "table");
    const std::string part = queryValue(request, "part");
    const std::string to = queryValue(request, "to");
    json::array rows;
    std::size_t bytes = 0;
    bool more = false;
    for (auto item = m_rows.lower_bound({table, part, queryValue(request, "from")});
         item != m_rows.end(); ++item) {
        const auto &[rowTable, rowPart, key] = item->first;
        if (rowTable != table || rowPart != part || (!to.empty() && key >= to)) {
            break;
        }
        if (rows.size() >= MaxPageRows || bytes + item->second.value.size() > MaxPageBytes) {
            more = true;
            break;
        }
        bytes += item->second.value.size();
        json::object row = describe(item->first);
        row["value"] = item->second.value;
        row["ver"] = item->second.version;
        rows.push_back(std::move(row));
    }
    co_return jsonResponse(200, answer(std::move(rows), more));
}

asio::awaitable<Response> Store::feed(const Request &request)
{
    co_await sleepFor(ReadTime);
    const std::string table = queryValue(request, "table");
    const std::uint64_t after = std::stoull("0" + queryValue(request, "after"));
    const Millis wait(std::stoll("0" + queryValue(request, "waitMs")));
    const Clock::time_point until = Clock::now() + wait;
    for (;;) {
        json::array rows;
        const auto first = std::upper_bound(
            m_changes.begin(), m_changes.end(), after,
            [](std::uint64_t version, const Change &change) { return version < change.version; });
        for (auto change = first; change != m_changes.end(); ++change) {
            if (std::get<0>(change->name) != table) {
                continue;
            }
            json::object row = describe(change->name);
            row["ver"] = change->version;
            if (change->removed) {
                row["deleted"] = true;
            } else {
                row["value"] = change->value;
            }
            rows.push_back(std::move(row));
        }
        if (!rows.empty() || Clock::now() >= until) {
            co_return jsonResponse(200, answer(std::move(rows), false));
        }
        co_await sleepFor(FeedStep);
    }
}

// --- Replica ------------------------------------------------------------------

Replica::Replica(asio::io_context &context, Store &store, Record &record, Identity identity,
                 Pace pace)
    : m_context(context)
    , m_store(store)
    , m_record(record)
    , m_identity(std::move(identity))
    , m_pace(pace)
{
    listen();
    asio::co_spawn(m_context, beat(), asio::detached);
}

std::string Replica::eventData(const std::string &firstAttempt, int number)
{
    return "event " + std::to_string(number) + " of " + firstAttempt;
}

void Replica::crashOn(std::string text, Millis downTime)
{
    m_crashText = std::move(text);
    m_downTime = downTime;
}

void Replica::listen()
{
    m_acceptor = std::make_unique<tcp::acceptor>(m_context);
    const tcp::endpoint endpoint(asio::ip::make_address(m_identity.address), Port);
    m_acceptor->open(endpoint.protocol());
    m_acceptor->set_option(asio::socket_base::reuse_address(true));
    m_acceptor->bind(endpoint);
    m_acceptor->listen();
    m_startedAtMillis = unixMillisNow();
    m_incarnation += 1;
    m_up = true;
    asio::co_spawn(m_context, accept(m_incarnation), asio::detached);
}

asio::awaitable<void> Replica::beat()
{
    for (;;) {
        if (m_up) {
            m_beats += 1;
            const json::object row{{"service", m_identity.service},
                                   {"addr", m_identity.address + ":" + std::to_string(Port)},
                                   {"zone", "z"},
                                   {"version", "v1"},
                                   {"slots", m_pace.slots},
                                   {"state", "ready"},
                                   {"coldLeftMs", 0},
                                   {"seq", m_beats},
                                   {"born", m_startedAtMillis}};
            m_store.put("servers", m_identity.id, json::serialize(row));
        }
        co_await sleepFor(BeatInterval);
    }
}

void Replica::crash()
{
    m_record.add("replica " + m_identity.id + " crashes");
    m_crashes += 1;
    m_up = false;
    m_running = 0;
    if (m_dark) {
        fallSilent();
        asio::co_spawn(m_context, comeBack(), asio::detached);
        return;
    }
    boost::system::error_code ignored;
    m_acceptor->close(ignored);
    for (const auto &open : m_sockets) {
        if (const auto socket = open.lock()) {
            socket->close(ignored);
        }
    }
    m_sockets.clear();
    asio::co_spawn(m_context, comeBack(), asio::detached);
}

/** Holds all channels open without a word, and lets the packets that open new ones get lost. */
void Replica::fallSilent()
{
    constexpr int ChannelsToFillQueue = 4;
    for (const auto &open : m_sockets) {
        if (const auto socket = open.lock()) {
            m_silent.push_back(socket);
        }
    }
    m_sockets.clear();
    boost::system::error_code ignored;
    m_acceptor->cancel(ignored);
    ::listen(m_acceptor->native_handle(), 0);
    const tcp::endpoint endpoint(asio::ip::make_address(m_identity.address), Port);
    for (int number = 0; number < ChannelsToFillQueue; ++number) {
        auto filler = std::make_shared<tcp::socket>(m_context);
        filler->open(endpoint.protocol());
        filler->native_non_blocking(true);
        // Not awaited: the queue takes some of these channels, and the others never open.
        [[maybe_unused]] const int status =
            ::connect(filler->native_handle(), endpoint.data(), endpoint.size());
        m_silent.push_back(filler);
    }
}

/** The machine knows nothing of the channels that it had, and resets them. */
void Replica::reboot()
{
    boost::system::error_code ignored;
    m_acceptor->close(ignored);
    for (const auto &socket : m_silent) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    m_silent.clear();
}

asio::awaitable<void> Replica::comeBack()
{
    co_await sleepFor(m_downTime);
    if (m_dark) {
        reboot();
    }
    listen();
    m_record.add("replica " + m_identity.id + " is back");
}

asio::awaitable<void> Replica::accept(int incarnation)
{
    while (incarnation == m_incarnation && m_acceptor->is_open()) {
        boost::system::error_code error;
        auto socket = std::make_shared<tcp::socket>(
            co_await m_acceptor->async_accept(redirect_error(use_awaitable, error)));
        if (error) {
            co_return;
        }
        socket->set_option(tcp::no_delay(true), error);
        std::erase_if(m_sockets, [](const auto &open) { return open.expired(); });
        m_sockets.push_back(socket);
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> Replica::serve(std::shared_ptr<tcp::socket> socket)
{
    constexpr std::uint64_t MaxBody = 64UL * 1024 * 1024;
    beast::flat_buffer buffer;
    boost::system::error_code error;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaxBody);
        co_await http::async_read(*socket, buffer, parser, redirect_error(use_awaitable, error));
        if (error) {
            co_return;
        }
        const Request request = parser.release();
        const int incarnation = m_incarnation;
        m_running += 1;
        const bool keep = co_await answer(socket, request);
        if (incarnation != m_incarnation || !m_up) {
            co_return;
        }
        m_running -= 1;
        if (!keep) {
            socket->close(error);
            co_return;
        }
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_lateRefusals) {
            asio::co_spawn(m_context, sendLateRefusal(socket), asio::detached);
        }
    }
}

asio::awaitable<void> Replica::sendLateRefusal(std::shared_ptr<tcp::socket> socket)
{
    constexpr unsigned LatestMillis = 40;
    co_await sleepFor(Millis(m_random() % LatestMillis));
    const std::string bytes =
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const bool sent = co_await writeAll(*socket, bytes);
    if (sent) {
        m_record.add("replica " + m_identity.id + " sends additional bytes after an answer");
    }
}

std::string Replica::head(const Request &request, const std::string &status, bool ran) const
{
    std::string text =
        "HTTP/1.1 " + status + "\r\nAttempt-Id: " + fieldOf(request, "Attempt-Id") + "\r\n";
    text += ran ? "Replica-Seal: " + m_identity.id + "\r\n" : std::string("Not-Executed: 1\r\n");
    text += "Replica-Load: " + std::to_string(m_running) + ",0," + std::to_string(m_pace.slots)
        + "\r\n";
    return text;
}

asio::awaitable<bool> Replica::answer(std::shared_ptr<tcp::socket> socket, const Request &request)
{
    const std::string expected = fieldOf(request, "Expect-Replica");
    if (!expected.empty() && expected != m_identity.id) {
        const std::string text =
            head(request, "421 Misdirected Request", false) + "Content-Length: 0\r\n\r\n";
        co_return co_await writeAll(*socket, text);
    }
    if (m_running > m_pace.slots) {
        const std::string text =
            head(request, "503 Service Unavailable", false) + "Content-Length: 0\r\n\r\n";
        co_return co_await writeAll(*socket, text);
    }
    m_record.add("run  " + fieldOf(request, "Attempt-Id") + " at " + m_identity.id + " "
                 + std::string(request.target()));
    if (m_onRun) {
        m_onRun(request, m_identity.id);
    }
    const bool crashes = !m_crashText.empty()
        && std::string(request.target()).find(m_crashText) != std::string::npos;
    if (crashes) {
        co_await sleepFor(m_pace.beforeFirstEvent);
        if (m_up) {
            crash();
        }
        co_return false;
    }
    if (isStream(request)) {
        co_return co_await stream(socket, request);
    }
    co_await sleepFor(m_pace.beforeFirstEvent);
    const std::string body = "the answer to " + fieldOf(request, "Attempt-Id");
    const std::string text = head(request, "200 OK", true)
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    co_return co_await writeAll(*socket, text);
}

asio::awaitable<bool> Replica::stream(std::shared_ptr<tcp::socket> socket, const Request &request)
{
    const std::string attempt = fieldOf(request, "Attempt-Id");
    const std::string resumes = fieldOf(request, "Resumes");
    const std::string first = resumes.empty() ? attempt : resumes;
    const int last = std::stoi("0" + fieldOf(request, "Last-Event-Id"));
    const int incarnation = m_incarnation;
    co_await sleepFor(m_pace.beforeFirstEvent);
    const std::string start = head(request, "200 OK", true)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    bool open = co_await writeAll(*socket, start);
    int sent = last;
    const bool endless = std::uniform_real_distribution<double>(0, 1)(m_random) < m_endlessShare;
    for (int number = last + 1; open && number <= m_pace.events; ++number) {
        const std::string event =
            "id: " + std::to_string(number) + "\ndata: " + eventData(first, number) + "\n\n";
        const std::string bytes = chunkOf(event);
        open = !isClosed(*socket) && co_await writeAll(*socket, bytes);
        sent = open ? number : sent;
        if (endless && number == EventsBeforeEndless) {
            m_record.add("replica " + m_identity.id + " sends bytes without end to " + attempt);
        }
        while (open && endless && number >= EventsBeforeEndless) {
            const std::string block = chunkOf(m_endless);
            open = !isClosed(*socket) && co_await writeAll(*socket, block);
        }
        if (open && number < m_pace.events) {
            co_await sleepFor(m_pace.betweenEvents);
        }
    }
    const std::string end = "0\r\n\r\n";
    open = open && !isClosed(*socket) && co_await writeAll(*socket, end);
    if (!open && incarnation == m_incarnation && m_up) {
        m_record.add("cut  " + attempt + " at " + m_identity.id + " after event "
                     + std::to_string(sent) + ": the system closed the channel");
        if (m_onCut) {
            m_onCut(attempt, sent);
        }
    }
    co_return open;
}

// --- Vms ----------------------------------------------------------------------

Vms::Vms(std::string command, std::string root, std::string folder, std::string net, int count,
         Record &record)
    : m_command(std::move(command))
    , m_root(std::move(root))
    , m_folder(std::move(folder))
    , m_net(std::move(net))
    , m_record(record)
    , m_processes(static_cast<std::size_t>(count), 0)
{ }

Vms::~Vms()
{
    for (pid_t &process : m_processes) {
        if (process > 0) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
    }
}

std::string Vms::address(int vm) const
{
    return m_net + std::to_string(10 + vm);
}

void Vms::start(int vm, bool firstStart)
{
    const std::string name = "front-z-" + std::to_string(vm + 1);
    const std::string ip = address(vm);
    const std::string settings = m_folder + "/" + name + ".conf";
    std::ofstream file(settings);
    file << "node=" << name << "\nrole=entry\nmachineClass=front\nserves=front,control,directory\n"
         << "ip=" << ip << "\nzone=z\nregion=r\nzones.z=r\n"
         << "listen.front=" << ip << ":" << FrontPort << "\nlisten.ready=" << ip << ":" << ReadyPort
         << "\nlisten.control=" << ip << ":8144\nlisten.directory=" << ip
         << ":8143\ninternalPorts=7380,7395\nseeds=" << address(0) << ":8144," << address(1)
         << ":8144\nbootstrap=" << (firstStart ? "true" : "false")
         << "\nfaultCounted=false\nlimits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb=140\n"
         << "limits.maxFds=8200\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
         << "entry=directory\nheartbeatMs=1200\n"
         << "contracts=base,drain,config,cost,recover,agent,stream,engine,platform\n"
         << "bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n"
         << "bounds.catchupS=4.9\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n"
         << "bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\n"
         << "bounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0\nbounds.cutoffS=10\n"
         << "bounds.settleMs=1000\nbounds.ttl_max_s=5\nplatform.addr=" << m_net
         << "2:8142\nplatform.form=table\nplatform.writesPerS=800\nplatform.readsPerS=2000\n"
         << "platform.txMs=8.0\nplatform.partWritesS=150\nplatform.rowBytes=65536\n"
         << "platform.across=false\nplatform.historyS=20\n";
    file.close();
    const std::string log = m_folder + "/" + name + ".log";
    std::istringstream words(m_command);
    std::vector<std::string> parts;
    for (std::string word; words >> word;) {
        parts.push_back(word);
    }
    parts.front() = m_root + "/" + parts.front();
    std::vector<char *> arguments;
    for (std::string &part : parts) {
        arguments.push_back(part.data());
    }
    arguments.push_back(nullptr);
    std::string variable = "BORAGEPATH_SETTINGS=" + settings;
    std::array<char *, 2> environment{variable.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t LogMode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, LogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t &process = m_processes[static_cast<std::size_t>(vm)];
    const int error = posix_spawn(&process, arguments.front(), &actions, nullptr, arguments.data(),
                                  environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        process = 0;
        throw std::runtime_error("cannot start " + parts.front());
    }
    // So that the script can end what is left if this program is ended.
    std::ofstream(m_folder + "/processes", std::ios::app) << process << "\n";
    m_record.add("start " + name);
}

void Vms::signal(int vm, int number)
{
    pid_t &process = m_processes[static_cast<std::size_t>(vm)];
    if (process <= 0) {
        return;
    }
    m_record.add("signal " + std::to_string(number) + " to front-z-" + std::to_string(vm + 1));
    kill(process, number);
    if (number == SIGKILL) {
        waitpid(process, nullptr, 0);
        process = 0;
    }
}

bool Vms::isRunning(int vm)
{
    pid_t &process = m_processes[static_cast<std::size_t>(vm)];
    if (process > 0 && waitpid(process, nullptr, WNOHANG) == process) {
        process = 0;
    }
    return process > 0;
}

std::int64_t Vms::memoryKb(int vm) const
{
    const pid_t process = m_processes[static_cast<std::size_t>(vm)];
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::stoll(line.substr(6));
        }
    }
    return 0;
}

// --- Channel ------------------------------------------------------------------

Channel::Channel(asio::io_context &context, std::string address)
    : m_stream(context)
    , m_address(std::move(address))
{ }

void Channel::close()
{
    m_open = false;
    m_stream.close();
    m_buffer.clear();
}

asio::awaitable<Answer> Channel::send(Call call)
{
    Answer result;
    const Clock::time_point until = Clock::now() + call.deadline;
    boost::system::error_code error;
    if (!m_open) {
        m_stream.expires_after(ConnectTime);
        const tcp::endpoint endpoint(asio::ip::make_address(m_address), Vms::FrontPort);
        co_await m_stream.async_connect(endpoint, redirect_error(use_awaitable, error));
        if (error) {
            co_return result;
        }
        m_stream.socket().set_option(tcp::no_delay(true), error);
        m_open = true;
    }
    result.connected = true;
    Request request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.target);
    request.set(http::field::host, Host);
    request.set("Attempt-Id", call.attempt);
    request.set("Deadline-Ms", std::to_string(call.deadline.count()));
    for (const auto &[name, value] : call.fields) {
        request.set(name, value);
    }
    request.body() = call.body;
    request.prepare_payload();
    // A little longer than the deadline, so that a late answer is seen as such.
    m_stream.expires_at(until + Millis(700));
    co_await http::async_write(m_stream, request, redirect_error(use_awaitable, error));
    if (error) {
        close();
        co_return result;
    }
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    co_await http::async_read_header(m_stream, m_buffer, parser,
                                     redirect_error(use_awaitable, error));
    if (error) {
        close();
        co_return result;
    }
    co_await receive(parser, call, result);
    co_return result;
}

asio::awaitable<void> Channel::receive(http::response_parser<http::buffer_body> &parser,
                                       const Call &call, Answer &answer)
{
    const auto &message = parser.get();
    answer.status = message.result_int();
    answer.closes = !message.keep_alive();
    const auto retryAfter = message.find("Retry-After");
    if (retryAfter != message.end()) {
        answer.retryAfterSeconds = std::stod(std::string(retryAfter->value()));
    }
    std::array<char, 16'384> block{};
    std::string pending;
    boost::system::error_code error;
    while (!parser.is_done()) {
        parser.get().body().data = block.data();
        parser.get().body().size = block.size();
        co_await http::async_read_some(m_stream, m_buffer, parser,
                                       redirect_error(use_awaitable, error));
        const std::size_t size = block.size() - parser.get().body().size;
        if (error && error != http::error::need_buffer) {
            close();
            co_return;
        }
        if (call.discards) {
            continue;
        }
        answer.body.append(block.data(), size);
        pending.append(block.data(), size);
        for (std::size_t end = pending.find("\n\n"); end != std::string::npos;
             end = pending.find("\n\n")) {
            const std::string event = pending.substr(0, end);
            pending.erase(0, end + 2);
            const std::size_t data = event.find("data: ");
            answer.events.push_back(data == std::string::npos ? std::string()
                                                              : event.substr(data + 6));
            if (call.onEvent && !call.onEvent(static_cast<int>(answer.events.size()))) {
                co_await sleepFor(call.leaveDelay);
                close();
                co_return;
            }
        }
    }
    answer.complete = true;
    if (answer.closes) {
        close();
    }
}

// --- Stage --------------------------------------------------------------------

Stage::Stage(const std::string &command, const std::string &root, const std::string &folder,
             const std::string &network, bool withTrouble, int vmCount)
    : record(folder + "/record.txt")
    , net(network)
    , trouble(withTrouble)
    , store(context, network + "2", 8'142, record)
    , vms(command, root, folder, network, vmCount, record)
{ }

void Stage::addReplicas(const std::string &service, int count, const Pace &pace)
{
    for (int number = 0; number < count; ++number) {
        const auto index = static_cast<int>(replicas.size());
        const Replica::Identity identity{"i-" + service + "-" + std::to_string(number),
                                         net + std::to_string(100 + index), service};
        replicas.push_back(std::make_unique<Replica>(context, store, record, identity, pace));
    }
}

void Stage::configure(json::array routes, json::array services)
{
    version += 3;
    const json::object limits{{"maxHeaderBytes", 16'384},
                              {"maxBodyBytes", 4'194'304},
                              {"headerTimeoutMs", 3'000},
                              {"idleTimeoutMs", 15'000}};
    const json::object config{{"version", version},
                              {"routes", std::move(routes)},
                              {"services", std::move(services)},
                              {"limits", limits}};
    store.put("op", "config", json::serialize(config));
    record.add("operator: configuration " + std::to_string(version) + " is confirmed");
}

asio::awaitable<bool> Stage::isReady(int vm)
{
    beast::tcp_stream stream(context);
    boost::system::error_code error;
    stream.expires_after(ConnectTime);
    const tcp::endpoint endpoint(asio::ip::make_address(vms.address(vm)), Vms::ReadyPort);
    co_await stream.async_connect(endpoint, redirect_error(use_awaitable, error));
    if (error) {
        co_return false;
    }
    http::request<http::empty_body> request(http::verb::get, "/v1/ready", 11);
    request.set(http::field::host, "ready");
    co_await http::async_write(stream, request, redirect_error(use_awaitable, error));
    beast::flat_buffer buffer;
    Response response;
    if (!error) {
        co_await http::async_read(stream, buffer, response, redirect_error(use_awaitable, error));
    }
    co_return !error && response.result_int() == 200;
}

asio::awaitable<bool> Stage::waitReady(int vm, Millis limit)
{
    const Clock::time_point until = Clock::now() + limit;
    while (Clock::now() < until) {
        if (co_await isReady(vm)) {
            co_return true;
        }
        co_await sleepFor(Millis(50));
    }
    co_return false;
}

asio::awaitable<bool> Stage::startAll()
{
    const Clock::time_point begin = Clock::now();
    for (int vm = 0; vm < vms.count(); ++vm) {
        vms.start(vm, true);
    }
    for (int vm = 0; vm < vms.count(); ++vm) {
        if (!co_await waitReady(vm, Millis(9'000))) {
            co_return false;
        }
    }
    // As on the users' installations, traffic starts 10 s after the machines.
    const auto left = std::chrono::duration_cast<Millis>(begin + Millis(10'000) - Clock::now());
    co_await sleepFor(std::max(left, Millis(0)));
    record.add("traffic starts");
    co_return true;
}

std::string Stage::newId()
{
    std::ostringstream text;
    text << std::hex << (random() | (1ULL << 63U));
    return text.str();
}

json::object streamRoute(const std::string &name, const std::string &service, bool retain,
                         bool resumable)
{
    return {{"name", "r-" + name},     {"host", Host},       {"prefix", "/" + name + "/"},
            {"kind", "streaming"},     {"timeoutMs", 4'000}, {"targetLatencyMs", 250},
            {"priority", 0},           {"service", service}, {"maxAttempts", 2},
            {"retainContext", retain}, {"keepS", 60.0},      {"sticky", true},
            {"resumable", resumable},  {"gapAimMs", 300}};
}

json::object plainRoute(const std::string &name, const std::string &service,
                        const std::string &kind)
{
    return {{"name", "r-" + name}, {"host", Host},       {"prefix", "/" + name + "/"},
            {"kind", kind},        {"timeoutMs", 1'500}, {"targetLatencyMs", 150},
            {"priority", 2},       {"service", service}, {"maxAttempts", 2}};
}

json::object engineService(const std::string &name, int slots)
{
    const json::object engine{{"slots", slots},
                              {"kvTokens", 657'246},
                              {"tokensPerEvent", TokensPerEvent},
                              {"models", json::array{json::object{{"name", "m"}}}}};
    return {{"name", name}, {"healthPath", "/healthz"}, {"maxConns", 210}, {"protocol", "h1"},
            {"tls", false}, {"engine", engine}};
}

json::object plainService(const std::string &name)
{
    return {{"name", name},
            {"healthPath", "/healthz"},
            {"maxConns", 110},
            {"protocol", "h1"},
            {"tls", false}};
}

} // namespace review
