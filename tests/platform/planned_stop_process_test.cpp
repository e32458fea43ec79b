// A planned stop of real daemon processes, while callers use kept and new connections until the
// process is gone.
//
// BORAGEPATH_DAEMON names another executable than the one that was built with this test.

#include "net/sleep.h"
#include "soak/fleet.h"
#include "standin/platform_replica.h"
#include "standin/row_server.h"

#include <gtest/gtest.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>

namespace boragepath {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

constexpr std::size_t Vms = 3;
constexpr std::size_t Replicas = 6;
constexpr std::uint16_t StorePort = 8'142;
constexpr std::uint16_t ReplicaPort = 8'500;
constexpr Milliseconds StartupTime{2'000};
/** What a replica needs for a request. */
constexpr Milliseconds ReplicaTime{400};
/** A request that may end after the stop, and one that ends before unless it comes late. */
constexpr Milliseconds LongDeadline{3'000};
constexpr Milliseconds ShortDeadline{700};
constexpr Milliseconds CallerPause{10};
constexpr Milliseconds ConnectRetryPause{20};
constexpr int CallersOfEachKind = 3;
/** A request that was sent this long before its connection ended had time to be answered. */
constexpr Milliseconds CrossingTime{200};

std::string address(std::size_t host)
{
    return absl::StrCat("127.251.0.", host);
}

json::object route(const char *name, const char *kind)
{
    return {{"name", name},     {"host", "h"},        {"prefix", absl::StrCat("/", name, "/")},
            {"kind", kind},     {"timeoutMs", 4'000}, {"targetLatencyMs", 600},
            {"service", "app"}, {"priority", 1},      {"maxAttempts", 1}};
}

/** What became of one request. */
struct SentRequest
{
    std::string attempt;
    SteadyTime sentAt;
    SteadyTime endedAt;
    /** 0 if the connection ended without a complete answer. */
    unsigned status = 0;
};

std::string stopSettings(Milliseconds grace)
{
    constexpr double MillisPerSecond = 1'000;
    return absl::StrCat("bounds.graceS=", static_cast<double>(grace.count()) / MillisPerSecond,
                        "\n");
}

class PlannedStopOfProcess : public testing::Test
{
protected:
    void start(Milliseconds grace, bool configured = true)
    {
        m_grace = grace;
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
        m_store = std::make_unique<RowServer>(m_context, Endpoint{address(1), StorePort}, 1);
        for (std::size_t index = 0; index < Replicas; ++index) {
            addReplica(index);
        }
        if (configured) {
            configure();
        }
        std::vector<soak::VmConfig> configs;
        for (std::size_t vm = 0; vm < Vms; ++vm) {
            configs.push_back({absl::StrCat("vm-", vm),
                               address(10 + vm),
                               {address(1), StorePort},
                               {address(10), address(11), address(12)},
                               stopSettings(grace)});
        }
        const char *daemon = std::getenv("BORAGEPATH_DAEMON");
        m_fleet = std::make_unique<soak::Fleet>(daemon == nullptr ? BORAGEPATH_DAEMON_FILE : daemon,
                                                m_folder, configs);
        for (std::size_t vm = 0; vm < Vms; ++vm) {
            m_fleet->start(vm);
        }
        m_context.run_for(StartupTime);
    }

    void configure()
    {
        const json::object configuration{
            {"version", 1},
            {"routes", json::array{route("tool", "non_idempotent"), route("look", "idempotent")}},
            {"services", json::array{json::object{{"name", "app"}, {"maxConns", 400}}}},
            {"limits",
             json::object{{"maxHeaderBytes", 8'000},
                          {"maxBodyBytes", 200'000},
                          {"headerTimeoutMs", 3'000},
                          {"idleTimeoutMs", 10'000}}}};
        m_store->table().apply({{}, {{{"op", "", "config"}, json::serialize(configuration)}}, {}});
    }

    void addReplica(std::size_t index)
    {
        const Endpoint endpoint{address(2), static_cast<std::uint16_t>(ReplicaPort + index)};
        const std::string id = absl::StrCat("i-", index);
        m_replicas.push_back(std::make_unique<PlatformReplica>(
            m_context, endpoint, ReplicaIdentity{id, "v1"},
            [this](const HttpRequest &request, const std::string &) {
                m_runs.insert(request.headerValue("Attempt-Id"));
            },
            index));
        m_replicas.back()->faults().delay = ReplicaTime;
        const json::object entry{
            {"service", "app"}, {"addr", endpoint.text()}, {"zone", "z"},     {"version", "v1"},
            {"slots", 8},       {"state", "ready"},        {"coldLeftMs", 0}, {"seq", 1},
            {"born", 1}};
        m_store->table().apply({{}, {{{"servers", "", id}, json::serialize(entry)}}, {}});
    }

    /** Lets callers send to the first VM until nobody listens there any more. */
    void startCallers()
    {
        for (int index = 0; index < CallersOfEachKind; ++index) {
            for (const bool keeps : {true, false}) {
                for (const char *path : {"/tool/x", "/look/x"}) {
                    asio::co_spawn(m_context, sendUntilGone(path, LongDeadline, keeps),
                                   asio::detached);
                    asio::co_spawn(m_context, sendUntilGone(path, ShortDeadline, keeps),
                                   asio::detached);
                }
            }
        }
    }

    /** Sends SIGTERM to the first VM; returns when its process has ended, at the end of its grace
     * at the latest. */
    Duration stop()
    {
        m_stoppedAt = m_clock.now();
        m_fleet->signal(0, SIGTERM);
        while (m_fleet->isRunning(0) && m_clock.now() < m_stoppedAt + m_grace) {
            m_context.run_for(Milliseconds(10));
        }
        return m_clock.now() - m_stoppedAt;
    }

    void readSettingsAgain(Milliseconds grace)
    {
        std::ofstream(absl::StrCat(m_folder, "/vm-0.conf"), std::ios::app) << stopSettings(grace);
        m_fleet->signal(0, SIGHUP);
    }

    /** Waits until all callers have what became of their last requests. */
    void finishCallers()
    {
        while (m_callers > 0) {
            m_context.run_one();
        }
    }

    asio::awaitable<void> sendUntilGone(std::string path, Milliseconds deadline, bool keeps)
    {
        m_callers += 1;
        const auto front = m_fleet->frontEndpoint(0);
        const tcp::endpoint endpoint(asio::ip::make_address(front.address), front.port);
        int failedConnects = 0;
        while (failedConnects < 3) {
            tcp::socket socket(m_context);
            boost::system::error_code error;
            co_await socket.async_connect(endpoint,
                                          asio::redirect_error(asio::use_awaitable, error));
            failedConnects = error ? failedConnects + 1 : 0;
            bool open = !error;
            while (open) {
                open = co_await sendRequest(socket, path, deadline) && keeps;
                co_await sleepFor(CallerPause);
            }
            co_await sleepFor(ConnectRetryPause);
        }
        m_callers -= 1;
    }

    /** Sends one request; false if the connection can't be used any more. */
    asio::awaitable<bool> sendRequest(tcp::socket &socket, const std::string &path,
                                      Milliseconds deadline)
    {
        SentRequest request{absl::StrCat("a", m_nextAttempt++), m_clock.now(), {}, 0};
        const std::string bytes = absl::StrCat(
            "POST ", path, " HTTP/1.1\r\nHost: h\r\nAttempt-Id: ", request.attempt,
            "\r\nDeadline-Ms: ", deadline.count(), "\r\nContent-Length: 4\r\n\r\nbody");
        boost::system::error_code error;
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        std::string answer;
        const std::size_t headBytes =
            co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n",
                                            asio::redirect_error(asio::use_awaitable, error));
        const std::string head = answer.substr(0, headBytes);
        if (!error) {
            const std::size_t length = std::stoul(head.substr(head.find("Content-Length: ") + 16));
            const std::size_t missing = headBytes + length - answer.size();
            co_await asio::async_read(socket, asio::dynamic_buffer(answer),
                                      asio::transfer_exactly(missing),
                                      asio::redirect_error(asio::use_awaitable, error));
        }
        request.status = error ? 0 : std::stoul(head.substr(head.find(' ') + 1));
        request.endedAt = m_clock.now();
        m_requests.push_back(request);
        co_return !error && !absl::StrContains(head, "Connection: close");
    }

    /** Requests since the stop began for which @p condition holds. */
    std::size_t count(const std::function<bool(const SentRequest &)> &condition) const
    {
        std::size_t result = 0;
        for (const SentRequest &request : m_requests) {
            result += request.sentAt >= m_stoppedAt && condition(request) ? 1 : 0;
        }
        return result;
    }

    bool hasRun(const SentRequest &request) const { return m_runs.contains(request.attempt); }
    std::size_t cutAtReplicas() const
    {
        return count([this](const SentRequest &item) { return item.status == 0 && hasRun(item); });
    }
    std::size_t leftWithoutAnswer() const
    {
        return count([this](const SentRequest &item) {
            return item.status == 0 && !hasRun(item) && item.endedAt - item.sentAt > CrossingTime;
        });
    }
    std::size_t failed() const
    {
        return count(
            [](const SentRequest &item) { return item.status / 100 == 5 && item.status != 503; });
    }
    std::size_t refusedAndRun() const
    {
        return count(
            [this](const SentRequest &item) { return item.status == 503 && hasRun(item); });
    }
    std::size_t servedAfter(Milliseconds sinceStop) const
    {
        return count([&](const SentRequest &item) {
            return item.status == 200 && item.sentAt >= m_stoppedAt + sinceStop;
        });
    }

    /** Stops the first VM while callers use it. */
    void stopUnderLoad()
    {
        startCallers();
        m_context.run_for(Milliseconds(1'000));
        const Duration duration = stop();
        EXPECT_FALSE(m_fleet->isRunning(0));
        finishCallers();
        std::cout << "grace " << m_grace.count() << " ms, ended after " << toMillis(duration)
                  << " ms, " << summary() << "\n";
    }

    void expectNoneLost() const
    {
        EXPECT_EQ(cutAtReplicas(), 0U);
        EXPECT_EQ(leftWithoutAnswer(), 0U);
        EXPECT_EQ(refusedAndRun(), 0U);
    }

    std::string summary() const
    {
        return absl::StrCat(
            "of ", count([](const SentRequest &) { return true; }),
            " requests sent after SIGTERM: ", servedAfter(Milliseconds(0)), " served, ",
            count([](const SentRequest &item) { return item.status == 503; }), " refused, ",
            failed(), " failed, ", cutAtReplicas(), " cut at replicas, ", leftWithoutAnswer(),
            " without answer and not run");
    }

    SystemClock m_clock;
    asio::io_context m_context{1};
    std::string m_folder = testing::TempDir() + "planned-stop-" + std::to_string(getpid());
    Milliseconds m_grace{0};
    std::unique_ptr<RowServer> m_store;
    std::set<std::string> m_runs;
    std::vector<std::unique_ptr<PlatformReplica>> m_replicas;
    std::unique_ptr<soak::Fleet> m_fleet;
    std::vector<SentRequest> m_requests;
    SteadyTime m_stoppedAt;
    int m_nextAttempt = 0;
    int m_callers = 0;
};

} // namespace

// Calls that came late in the grace were passed on and cut without an answer when the process
// ended, also those that may run only once. Those that end in time are served until late.
TEST_F(PlannedStopOfProcess, CutsNoCallThatItHasPassedOn)
{
    start(Seconds(8));
    stopUnderLoad();
    expectNoneLost();
    EXPECT_GT(servedAfter(m_grace / 2), 0U);
}

TEST_F(PlannedStopOfProcess, CutsNoCallInAShortGrace)
{
    start(Seconds(2));
    stopUnderLoad();
    expectNoneLost();
    EXPECT_GT(servedAfter(m_grace / 4), 0U);
}

// The end is looked for each 50 ms, and its margin in a grace of 1 s is 41 ms.
TEST_F(PlannedStopOfProcess, EndsInTimeInAGraceOfASecond)
{
    start(Seconds(1));
    stopUnderLoad();
    expectNoneLost();
}

TEST_F(PlannedStopOfProcess, EndsInTimeWithAnotherGraceOfTheSettingsAndASecondSignal)
{
    start(Seconds(6));
    asio::steady_timer signals(m_context, Milliseconds(1'500));
    signals.async_wait([this](const boost::system::error_code &) {
        m_fleet->signal(0, SIGTERM);
        readSettingsAgain(Seconds(30));
    });
    stopUnderLoad();
    expectNoneLost();
}

TEST_F(PlannedStopOfProcess, EndsInTimeWithoutAConfiguration)
{
    start(Seconds(4), false);
    stopUnderLoad();
    expectNoneLost();
    EXPECT_EQ(servedAfter(Milliseconds(0)), 0U);
}

} // namespace boragepath
