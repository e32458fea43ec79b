#include "review/harness-3/harness.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review3 {

using asio::redirect_error;
using asio::use_awaitable;

namespace {

constexpr std::uint16_t FrontPort = 8'149;
constexpr std::uint16_t ReadyPort = 8'141;
constexpr std::uint16_t ControlPort = 8'144;
constexpr std::uint16_t DirectoryPort = 8'143;
constexpr std::size_t MaxBodyBytes = 16UL * 1024 * 1024;
constexpr Millis StoreTime{4};
constexpr Millis FeedStep{10};
constexpr Millis ReadyStep{100};
constexpr mode_t LogMode = 0644;
constexpr const char *Program = "target/boragepathd-platform";
constexpr const char *Base64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/** A script runs for less than two minutes. */
constexpr unsigned MaxSeconds = 115;
constexpr std::size_t MaxProcesses = 64;
/** The daemons that run now; 0 for none. */
std::array<volatile pid_t, MaxProcesses> startedProcesses{};

/** Ends the daemons and this process, if it is interrupted or takes too long. */
void endAll(int)
{
    for (const volatile pid_t &process : startedProcesses) {
        if (process != 0) {
            ::kill(process, SIGKILL);
        }
    }
    _exit(ExitCouldNotRun);
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t start = target.find('?');
    std::string rest = start == std::string::npos ? "" : target.substr(start + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string item = rest.substr(0, end);
        const std::size_t equals = item.find('=');
        std::string value;
        for (std::size_t at = equals + 1; at < item.size(); ++at) {
            if (item[at] == '%' && at + 2 < item.size()) {
                value += static_cast<char>(std::stoi(item.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                value += item[at];
            }
        }
        query[item.substr(0, equals)] = value;
        rest = end < rest.size() ? rest.substr(end + 1) : "";
    }
    return query;
}

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const char c : bytes) {
        buffer = (buffer << 8U) | static_cast<unsigned char>(c);
        bits += 8;
        while (bits >= 6) {
            bits -= 6;
            text += Base64Digits[(buffer >> static_cast<unsigned>(bits)) & 63U];
        }
    }
    if (bits > 0) {
        text += Base64Digits[(buffer << static_cast<unsigned>(6 - bits)) & 63U];
    }
    while (text.size() % 4 != 0) {
        text += '=';
    }
    return text;
}

std::string decodeBase64(const std::string &text)
{
    const std::string digits = Base64Digits;
    std::string bytes;
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t value = digits.find(c);
        if (value == std::string::npos) {
            break;
        }
        buffer = (buffer << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((buffer >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return bytes;
}

std::string textAt(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

std::string answerText(unsigned status, const std::string &body)
{
    return "HTTP/1.1 " + number(status) + " -\r\nContent-Type: application/json\r\nContent-Length: "
        + number(static_cast<std::int64_t>(body.size())) + "\r\n\r\n" + body;
}

} // namespace

asio::awaitable<void> sleepFor(Millis duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    beast::error_code ignored;
    co_await timer.async_wait(redirect_error(use_awaitable, ignored));
}

std::string number(std::int64_t value)
{
    return std::to_string(value);
}

std::int64_t wallMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Record::Record(const std::string &path)
    : m_file(path)
{ }

std::int64_t Record::millis() const
{
    return std::chrono::duration_cast<Millis>(Steady::now() - m_startedAt).count();
}

void Record::line(const std::string &text)
{
    m_file << millis() << " " << text << std::endl;
}

std::string field(const Request &request, const std::string &name)
{
    const auto found = request.find(name);
    return found == request.end() ? std::string() : std::string(found->value());
}

asio::awaitable<bool> writeAll(Socket socket, std::string bytes)
{
    beast::error_code error;
    co_await asio::async_write(*socket, asio::buffer(bytes), redirect_error(use_awaitable, error));
    co_return !error;
}

Listener::Listener(asio::io_context &context, Address address, Handler handler)
    : m_context(context)
    , m_address(std::move(address))
    , m_handler(std::move(handler))
{ }

void Listener::open()
{
    m_acceptor = std::make_shared<tcp::acceptor>(m_context);
    m_acceptor->open(tcp::v4());
    m_acceptor->set_option(tcp::acceptor::reuse_address(true));
    m_acceptor->bind(m_address.endpoint());
    m_acceptor->listen();
    asio::co_spawn(m_context, accept(m_acceptor), asio::detached);
}

void Listener::close()
{
    if (m_acceptor != nullptr) {
        beast::error_code ignored;
        m_acceptor->close(ignored);
        m_acceptor.reset();
    }
    closeChannels();
}

void Listener::closeChannels()
{
    for (const auto &weak : m_sockets) {
        if (const Socket socket = weak.lock()) {
            beast::error_code ignored;
            socket->close(ignored);
        }
    }
    m_sockets.clear();
}

asio::awaitable<void> Listener::accept(std::shared_ptr<tcp::acceptor> acceptor)
{
    while (acceptor->is_open()) {
        beast::error_code error;
        auto socket = std::make_shared<tcp::socket>(m_context);
        co_await acceptor->async_accept(*socket, redirect_error(use_awaitable, error));
        if (error || !acceptor->is_open()) {
            continue;
        }
        std::erase_if(m_sockets, [](const auto &weak) { return weak.expired(); });
        m_sockets.push_back(socket);
        asio::co_spawn(m_context, serve(socket), asio::detached);
    }
}

asio::awaitable<void> Listener::serve(Socket socket)
{
    beast::flat_buffer buffer;
    beast::error_code error;
    bool keepsOpen = true;
    while (keepsOpen && !error) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaxBodyBytes);
        co_await http::async_read(*socket, buffer, parser, redirect_error(use_awaitable, error));
        if (!error) {
            const Request message = parser.release();
            keepsOpen = co_await m_handler(socket, message);
        }
    }
    socket->close(error);
}

Store::Store(asio::io_context &context, const Address &address)
    : m_listener(context, address,
                 [this](Socket socket, const Request &request) { return handle(socket, request); })
{
    m_listener.open();
}

void Store::apply(const Name &name, const std::optional<std::string> &value)
{
    m_history[m_version].push_back({name, value.value_or(""), !value.has_value()});
    if (value.has_value()) {
        m_rows[name] = {*value, m_version};
    } else {
        m_rows.erase(name);
    }
}

std::string Store::valueOf(const std::string &table, const std::string &key) const
{
    for (const auto &[name, row] : m_rows) {
        if (std::get<0>(name) == table && std::get<2>(name) == key) {
            return row.value;
        }
    }
    return "";
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_version += 1;
    apply({table, "", key}, value);
}

void Store::remove(const std::string &table, const std::string &key)
{
    m_version += 1;
    apply({table, "", key}, std::nullopt);
}

json::object Store::rowOf(const Name &name, const std::string &value, std::uint64_t version) const
{
    return {{"table", std::get<0>(name)},
            {"part", std::get<1>(name)},
            {"key", std::get<2>(name)},
            {"value", encodeBase64(value)},
            {"ver", static_cast<std::int64_t>(version)}};
}

json::object Store::rowsAnswer(json::array rows) const
{
    const auto now = std::chrono::duration_cast<Millis>(Steady::now() - m_startedAt).count();
    return {{"rows", std::move(rows)},
            {"ver", static_cast<std::int64_t>(m_version)},
            {"nowMs", now},
            {"morePages", false}};
}

std::string Store::range(const std::map<std::string, std::string> &query) const
{
    const auto at = [&](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    json::array rows;
    for (const auto &[name, row] : m_rows) {
        const std::string &key = std::get<2>(name);
        const bool isMeant = std::get<0>(name) == at("table") && std::get<1>(name) == at("part")
            && key >= at("from") && (at("to").empty() || key < at("to"));
        if (isMeant) {
            rows.push_back(rowOf(name, row.value, row.version));
        }
    }
    return json::serialize(rowsAnswer(std::move(rows)));
}

std::string Store::transact(const json::object &body, unsigned &status)
{
    const auto nameOf = [](const json::value &item) {
        const json::object &object = item.as_object();
        return Name{textAt(object, "table"), textAt(object, "part"), textAt(object, "key")};
    };
    const auto listAt = [&](const char *name) {
        const json::value *list = body.if_contains(name);
        return list != nullptr && list->is_array() ? list->get_array() : json::array();
    };
    bool holds = true;
    json::array current;
    for (const json::value &item : listAt("expected")) {
        const Name name = nameOf(item);
        const auto found = m_rows.find(name);
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        holds = holds
            && version
                == static_cast<std::uint64_t>(item.as_object().at("ver").to_number<std::int64_t>());
        if (found != m_rows.end()) {
            current.push_back(rowOf(name, found->second.value, version));
        }
    }
    if (!holds) {
        status = 412;
        return json::serialize(rowsAnswer(std::move(current)));
    }
    m_version += 1;
    for (const json::value &item : listAt("puts")) {
        apply(nameOf(item), decodeBase64(textAt(item.as_object(), "value")));
    }
    for (const json::value &item : listAt("remove")) {
        apply(nameOf(item), std::nullopt);
    }
    status = 200;
    return json::serialize(rowsAnswer({}));
}

asio::awaitable<bool> Store::feed(Socket socket, std::map<std::string, std::string> query)
{
    const std::uint64_t after = std::stoull(query["after"]);
    const auto until = Steady::now() + Millis(std::stoll(query["waitMs"]));
    const auto changes = [&] {
        json::array rows;
        for (auto item = m_history.upper_bound(after); item != m_history.end(); ++item) {
            for (const Change &change : item->second) {
                if (std::get<0>(change.name) != query["table"]) {
                    continue;
                }
                json::object row = rowOf(change.name, change.value, item->first);
                if (change.removed) {
                    row["deleted"] = true;
                }
                rows.push_back(std::move(row));
            }
        }
        return rows;
    };
    json::array rows = changes();
    while (rows.empty() && Steady::now() < until && !m_silent) {
        co_await sleepFor(FeedStep);
        rows = changes();
    }
    if (m_silent) {
        co_return false;
    }
    const std::string body = json::serialize(rowsAnswer(std::move(rows)));
    const std::string text = answerText(200, body);
    co_return co_await writeAll(socket, text);
}

asio::awaitable<bool> Store::handle(Socket socket, Request request)
{
    co_await sleepFor(StoreTime);
    while (m_silent) {
        // A call that was not answered stays without an answer.
        co_await sleepFor(FeedStep);
        if (!m_silent) {
            co_return false;
        }
    }
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/v1/rows-feed") {
        const std::map<std::string, std::string> query = queryOf(target);
        co_return co_await feed(socket, query);
    }
    unsigned status = 200;
    std::string body;
    if (path == "/v1/rows-get") {
        body = range(queryOf(target));
    } else if (path == "/v1/rows-tx") {
        body = transact(json::parse(request.body()).as_object(), status);
    } else {
        status = 404;
        body = "{}";
    }
    const std::string text = answerText(status, body);
    co_return co_await writeAll(socket, text);
}

asio::awaitable<Answer> request(Address to, std::string host, std::string id, Attempt attempt)
{
    Answer answer;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(attempt.deadline);
    beast::error_code error;
    co_await stream.async_connect(to.endpoint(), redirect_error(use_awaitable, error));
    if (error) {
        co_return answer;
    }
    Request message;
    message.version(11);
    message.method_string(attempt.method);
    message.target(attempt.target);
    message.set("Host", host);
    message.set("Attempt-Id", id);
    message.set("Deadline-Ms", number(attempt.deadline.count()));
    for (const auto &[name, value] : attempt.fields) {
        message.set(name, value);
    }
    message.body() = attempt.body;
    if (attempt.method != "GET") {
        message.prepare_payload();
    }
    co_await http::async_write(stream, message, redirect_error(use_awaitable, error));
    if (error) {
        co_return answer;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxBodyBytes);
    co_await http::async_read(stream, buffer, parser, redirect_error(use_awaitable, error));
    if (parser.is_header_done()) {
        answer.status = parser.get().result_int();
        answer.hasSeal = parser.get().find("Replica-Seal") != parser.get().end();
        answer.body = parser.get().body();
        const std::string pause(parser.get()["Retry-After"]);
        answer.retryAfter = Millis(std::lround(std::atof(pause.c_str()) * 1'000));
    }
    answer.complete = !error;
    co_return answer;
}

Fleet::Fleet(Deployment deployment, Record &record)
    : m_deployment(std::move(deployment))
    , m_record(record)
    , m_processes(m_deployment.ips.size(), 0)
{ }

Fleet::~Fleet()
{
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        kill(index);
    }
}

Address Fleet::front(std::size_t index) const
{
    return {m_deployment.ips[index], FrontPort};
}

std::string Fleet::settingsOf(std::size_t index) const
{
    const std::string &ip = m_deployment.ips[index];
    const auto at = [](const std::string &address, std::uint16_t port) {
        return address + ":" + std::to_string(port);
    };
    std::string seeds;
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, m_deployment.ips.size()); ++seed) {
        seeds += (seeds.empty() ? "" : ",") + at(m_deployment.ips[seed], ControlPort);
    }
    return "node=front-a-" + std::to_string(index + 1)
        + "\nrole=entry\nmachineClass=front\nserves=front,control,directory\nip=" + ip
        + "\nzone=a\nregion=r\nzones.a=r\nlisten.front=" + at(ip, FrontPort)
        + "\nlisten.ready=" + at(ip, ReadyPort) + "\nlisten.control=" + at(ip, ControlPort)
        + "\nlisten.directory=" + at(ip, DirectoryPort) + "\ninternalPorts=7380,7395\nseeds="
        + seeds + "\nbootstrap=" + std::string(m_hasStarted ? "false" : "true")
        + "\nfaultCounted=false\nlimits.cpuShare=0.5\nlimits.cores=1"
        + "\nlimits.memoryMb=" + number(m_deployment.memoryMb)
        + "\nlimits.maxFds=8200\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform"
        + "\nentry=directory\nheartbeatMs=1200\ncontracts=" + m_deployment.contracts
        + "\nfaultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0"
        + "\nbounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs="
        + number(m_deployment.contactMs)
        + "\nbounds.ackMs=4000\nbounds.catchupS=4.9\nbounds.drainMs=" + number(m_deployment.drainMs)
        + "\nbounds.graceS=8"
        + "\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250"
        + "\nbounds.maxStretchMs=5000\nbounds.recoveryS=12\nbounds.passMs=120"
        + "\nbounds.retryAfterS=0\nbounds.cutoffS=10\nbounds.settleMs=1000\nbounds.ttl_max_s=5"
        + "\nplatform.addr=" + m_deployment.store.text()
        + "\nplatform.form=table\nplatform.writesPerS=800\nplatform.readsPerS=2000"
        + "\nplatform.txMs=8.0\nplatform.partWritesS=150\nplatform.rowBytes=65536"
        + "\nplatform.across=false\nplatform.historyS=20\nplatform.blobBytes=8388608"
        + "\nplatform.blobMs=25.0\nplatform.blobMbS=80.0\n";
}

void Fleet::start(std::size_t index)
{
    const std::string name = m_deployment.folder + "/vm-" + std::to_string(index + 1);
    std::ofstream(name + ".conf") << settingsOf(index);
    const std::string log = name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, LogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = Program;
    std::string option = "--metrics-port";
    std::string port = "9464";
    std::string settings = "BORAGEPATH_SETTINGS=" + name + ".conf";
    std::array<char *, 4> arguments{program.data(), option.data(), port.data(), nullptr};
    std::array<char *, 2> environment{settings.data(), nullptr};
    const int error = posix_spawn(&m_processes[index], Program, &actions, nullptr, arguments.data(),
                                  environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        m_processes[index] = 0;
        throw std::runtime_error("cannot start the daemon");
    }
    startedProcesses.at(index) = m_processes[index];
    m_record.line("vm " + std::to_string(index + 1) + " started");
}

void Fleet::signal(std::size_t index, int signalNumber)
{
    m_record.line("vm " + std::to_string(index + 1) + " gets signal " + number(signalNumber));
    ::kill(m_processes[index], signalNumber);
}

void Fleet::kill(std::size_t index)
{
    if (m_processes[index] == 0) {
        return;
    }
    m_hasStarted = true;
    ::kill(m_processes[index], SIGKILL);
    waitpid(m_processes[index], nullptr, 0);
    startedProcesses.at(index) = 0;
    m_processes[index] = 0;
    m_record.line("vm " + std::to_string(index + 1) + " killed");
}

bool Fleet::isRunning(std::size_t index)
{
    if (m_processes[index] == 0) {
        return false;
    }
    if (waitpid(m_processes[index], nullptr, WNOHANG) == m_processes[index]) {
        startedProcesses.at(index) = 0;
        m_processes[index] = 0;
        m_record.line("vm " + std::to_string(index + 1) + " ended by itself");
        return false;
    }
    return true;
}

asio::awaitable<bool> Fleet::waitUntilReady(Millis limit)
{
    const auto until = Steady::now() + limit;
    for (std::size_t index = 0; index < size();) {
        Attempt attempt;
        attempt.target = "/v1/ready";
        const Address address{m_deployment.ips[index], ReadyPort};
        const std::string name = "ready";
        const Answer answer = co_await request(address, name, name, attempt);
        if (answer.status == 200) {
            ++index;
            continue;
        }
        if (Steady::now() >= until) {
            co_return false;
        }
        co_await sleepFor(ReadyStep);
    }
    co_return true;
}

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    m_path = name;
}

TemporaryFolder::~TemporaryFolder()
{
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::cerr << "logs in " << m_path << "\n";
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string loopbackNetwork()
{
    const int process = getpid();
    return "127." + std::to_string(20 + process % 200) + "." + std::to_string(process / 200 % 250)
        + ".";
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

int runCase(asio::io_context &context, asio::awaitable<int> body)
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const int signalNumber : {SIGINT, SIGTERM, SIGALRM}) {
        std::signal(signalNumber, endAll);
    }
    alarm(MaxSeconds);
    int result = ExitCouldNotRun;
    asio::co_spawn(context, std::move(body), [&](const std::exception_ptr &failure, int code) {
        if (failure == nullptr) {
            result = code;
        } else {
            try {
                std::rethrow_exception(failure);
            } catch (const std::exception &error) {
                std::cerr << "could not run: " << error.what() << "\n";
            }
        }
        context.stop();
    });
    context.run();
    return result;
}

} // namespace review3
