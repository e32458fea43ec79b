// Whole sessions on the platform's wire, over loopback: a caller, one VM, replicas, a store.

#include "backends/call_forwarder.h"
#include "control/call_scheduler.h"
#include "main/platform_daemon.h"
#include "platform/front_server.h"
#include "platform/registry_codec.h"
#include "tests/support/memory_row_store.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <thread>

namespace boragepath::platform {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const Endpoint FrontAt{"127.0.0.9", 17'911};
constexpr std::uint16_t FirstReplicaPort = 17'921;
/** How often the store in memory catches up with the machine's clock. */
constexpr Milliseconds StoreStep{2};

const std::string Configuration =
    R"({"version":3,"routes":[)"
    R"({"name":"tool","host":"h","prefix":"/tool/","kind":"non_idempotent","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":1},)"
    R"({"name":"look","host":"h","prefix":"/look/","kind":"idempotent","timeoutMs":2000,)"
    R"("targetLatencyMs":60,"service":"app","maxAttempts":2},)"
    R"({"name":"turn","host":"h","prefix":"/turn/","kind":"streaming","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":2,"resumable":false,"retainContext":true,"keepS":60},)"
    R"({"name":"read","host":"h","prefix":"/read/","kind":"streaming","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":2,"resumable":true}],)"
    R"("services":[{"name":"app","maxConns":200,"engine":{"tokensPerEvent":20}}],)"
    R"("limits":{"maxHeaderBytes":2000,"maxBodyBytes":5000,"headerTimeoutMs":200,"idleTimeoutMs":1000}})";

/** What a replica does with a request: the bytes to answer, and whether to close after them. */
struct ReplicaScript
{
    std::string answer;
    bool close = false;
};

using ReplicaBehaviour =
    std::function<ReplicaScript(const std::string &head, const std::string &body)>;

std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::size_t start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return "";
    }
    const std::size_t value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

/** Answers requests as a test says, and keeps what it got. */
class ScriptedReplica
{
public:
    ScriptedReplica(asio::io_context &context, std::uint16_t port, ReplicaBehaviour behaviour)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.9"), port})
        , m_behaviour(std::move(behaviour))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::vector<std::string> heads;
    std::vector<std::string> bodies;

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string input;
        for (;;) {
            const std::size_t size = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(input), "\r\n\r\n", asio::use_awaitable);
            const std::string head = input.substr(0, size);
            input.erase(0, size);
            const std::string length = fieldOf(head, "Content-Length");
            const std::size_t bodySize = length.empty() ? 0 : std::stoul(length);
            if (input.size() < bodySize) {
                co_await asio::async_read(socket, asio::dynamic_buffer(input),
                                          asio::transfer_exactly(bodySize - input.size()),
                                          asio::use_awaitable);
            }
            const std::string body = input.substr(0, bodySize);
            input.erase(0, bodySize);
            heads.push_back(head);
            bodies.push_back(body);
            const ReplicaScript script = m_behaviour(head, body);
            co_await asio::async_write(socket, asio::buffer(script.answer), asio::use_awaitable);
            if (script.close) {
                socket.close();
                co_return;
            }
        }
    }

    tcp::acceptor m_acceptor;
    ReplicaBehaviour m_behaviour;
};

std::string sealed(const std::string &head, const std::string &extra, const std::string &body)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", fieldOf(head, "Attempt-Id"),
                        "\r\nReplica-Seal: seal\r\n", extra, "\r\n", body);
}

std::string whole(const std::string &head, const std::string &body)
{
    return sealed(head, absl::StrCat("Content-Length: ", body.size(), "\r\n"), body);
}

std::string chunk(const std::string &data)
{
    return absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
}

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: d", id, "\n\n");
}

std::string streamHead(const std::string &head)
{
    return sealed(head, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "");
}

/** Passes calls on to the memory store, whose clock follows the machine's. */
class Session : public testing::Test
{
protected:
    Session()
        : m_manualTimers(m_manualClock)
        , m_store(m_manualTimers, 3)
        , m_timers(m_context)
        , m_health(m_clock)
        , m_replicas(m_clock)
        , m_ledger(m_clock, m_timers, m_store, m_health, 1)
        , m_turns(m_clock, m_timers, m_store, m_health, 1'000'000, 1)
        , m_vms(m_clock, {}, 1)
        , m_grants(m_clock, m_timers, m_ledger, m_health, "vm/1")
        , m_relay(m_clock, m_timers, m_ledger, m_grants, m_vms, nullptr)
        , m_scheduler(
              {m_clock, m_timers, m_replicas, m_relay, m_turns, m_vms, m_health, ZoneId("z")})
        , m_replicaConnections(m_context.get_executor(), m_clock)
        , m_forwarder(m_context, m_scheduler, m_replicaConnections, m_clock, m_counters)
        , m_front(m_context, FrontAt, m_forwarder)
    {
        driveStore();
    }

    void configure()
    {
        const auto table = decodeConfiguration(Configuration);
        ASSERT_NE(table, nullptr);
        m_scheduler.setRouteTable(table);
        m_front.setLimits(table->limits);
    }

    ScriptedReplica &addReplica(ReplicaBehaviour behaviour)
    {
        const auto port = static_cast<std::uint16_t>(FirstReplicaPort + m_scripted.size());
        m_scripted.push_back(
            std::make_unique<ScriptedReplica>(m_context, port, std::move(behaviour)));
        ReplicaEntry entry;
        entry.id = ReplicaId(absl::StrCat("i-", m_scripted.size()));
        entry.service = PoolName("app");
        entry.endpoint = {"127.0.0.9", port};
        entry.zone = ZoneId("z");
        entry.slots = 4;
        m_replicas.put(entry);
        return *m_scripted.back();
    }

    /** Sends bytes on a new connection and reads until the VM closes, or an answer of @p parts. */
    std::string exchange(const std::string &bytes, const std::string &until)
    {
        std::string answer;
        asio::co_spawn(
            m_context,
            [&]() -> asio::awaitable<void> {
                tcp::socket socket(m_context);
                co_await socket.async_connect(
                    {asio::ip::make_address(FrontAt.address), FrontAt.port}, asio::use_awaitable);
                co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
                std::array<char, 4096> part{};
                while (answer.find(until) == std::string::npos) {
                    boost::system::error_code error;
                    const std::size_t size = co_await socket.async_read_some(
                        asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
                    answer.append(part.data(), size);
                    if (error) {
                        answer += "<closed>";
                        break;
                    }
                }
                m_done = true;
            },
            asio::detached);
        m_done = false;
        while (!m_done) {
            m_context.run_one();
        }
        return answer;
    }

    std::string call(const std::string &path, const std::string &id, const std::string &body,
                     const std::string &fields = "")
    {
        return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\nAttempt-Id: ", id,
                            "\r\nDeadline-Ms: 1500\r\n", fields, "Content-Length: ", body.size(),
                            "\r\n\r\n", body);
    }

    void driveStore()
    {
        m_timers.after(StoreStep, [this] {
            m_manualTimers.run(StoreStep);
            driveStore();
        });
    }

    asio::io_context m_context{1};
    SystemClock m_clock;
    ManualClock m_manualClock;
    ManualTimers m_manualTimers;
    MemoryRowStore m_store;
    AsioTimers m_timers;
    StoreHealth m_health;
    ReplicaTable m_replicas;
    ProgramLedger m_ledger;
    TurnArchive m_turns;
    VmDirectory m_vms;
    BudgetGrants m_grants;
    LedgerRelay m_relay;
    CallScheduler m_scheduler;
    ForwardCounters m_counters;
    ReplicaConnectionPool m_replicaConnections;
    CallForwarder m_forwarder;
    FrontServer m_front;
    std::vector<std::unique_ptr<ScriptedReplica>> m_scripted;
    bool m_done = false;
};

} // namespace

TEST_F(Session, BeforeTheFirstConfigurationNothingIsFinal)
{
    const std::string answer = exchange(call("/tool/x", "a", "body"), "\r\n\r\n");
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(answer, testing::HasSubstr("Retry-After: "));
    configure();
    EXPECT_THAT(exchange(call("/nowhere/", "b", "body"), "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 404"));
}

TEST_F(Session, AnAnswerPassesUnchanged)
{
    configure();
    ScriptedReplica &replica = addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{whole(head, "the bytes")};
    });
    const std::string answer = exchange(call("/tool/x?y=z", "a", "body"), "the bytes");
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 200 OK"));
    EXPECT_THAT(answer, testing::HasSubstr("Replica-Seal: seal\r\n"));
    EXPECT_THAT(replica.heads.at(0), testing::StartsWith("POST /tool/x?y=z HTTP/1.1\r\n"));
    EXPECT_EQ(fieldOf(replica.heads.at(0), "Expect-Replica"), "i-1");
    EXPECT_LE(std::stoi(fieldOf(replica.heads.at(0), "Deadline-Ms")), 1'500);
    EXPECT_EQ(replica.bodies.at(0), "body");
}

TEST_F(Session, WhatMayRunOnceIsSentOnce)
{
    configure();
    const ReplicaBehaviour breaksOff = [](const std::string &, const std::string &) {
        return ReplicaScript{"HTTP/1.1 200 OK\r\nContent-Le", true};
    };
    ScriptedReplica &first = addReplica(breaksOff);
    ScriptedReplica &second = addReplica(breaksOff);
    const std::string answer = exchange(call("/tool/x", "a", "body"), "\r\n\r\n");
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 502"));
    EXPECT_EQ(first.heads.size() + second.heads.size(), 1U);
}

TEST_F(Session, AReplicaThatDidNotRunItIsFollowedByAnother)
{
    configure();
    const ReplicaBehaviour declinesFirst =
        [count = std::make_shared<int>(0)](const std::string &head, const std::string &) {
            *count += 1;
            return *count == 1 ? ReplicaScript{"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                                               "Content-Length: 0\r\n\r\n"}
                               : ReplicaScript{whole(head, "served")};
        };
    addReplica(declinesFirst);
    addReplica(declinesFirst);
    EXPECT_THAT(exchange(call("/tool/x", "a", "body"), "served"),
                testing::StartsWith("HTTP/1.1 200"));
}

TEST_F(Session, AnUnclearRefusalIsNoPromiseOfOurs)
{
    configure();
    addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{
            absl::StrCat("HTTP/1.1 503 Busy\r\nAttempt-Id: ", fieldOf(head, "Attempt-Id"),
                         "\r\nContent-Length: 0\r\n\r\n")};
    });
    EXPECT_THAT(exchange(call("/tool/x", "a", "body"), "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 502"));
}

TEST_F(Session, LateAndExtraAnswersBelongToNobody)
{
    configure();
    int requests = 0;
    addReplica([&](const std::string &head, const std::string &) {
        requests += 1;
        const std::string late = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nReplica-Seal: "
                                 "s\r\nContent-Length: 5\r\n\r\nwrong";
        return requests == 1 ? ReplicaScript{late + whole(head, "right")}
                             : ReplicaScript{whole(head, "right") + late};
    });
    for (const char *id : {"a", "b", "c"}) {
        const std::string answer = exchange(call("/tool/x", id, "body"), "right");
        EXPECT_THAT(answer, testing::HasSubstr("right")) << id;
        EXPECT_THAT(answer, testing::Not(testing::HasSubstr("wrong"))) << id;
    }
}

TEST_F(Session, IdempotentCallsMoveOnWithinTheirAttempts)
{
    configure();
    ScriptedReplica *replicas[3] = {};
    for (ScriptedReplica *&replica : replicas) {
        replica = &addReplica([](const std::string &, const std::string &) {
            return ReplicaScript{"", true};
        });
    }
    const std::string answer = exchange(call("/look/x", "a", ""), "\r\n\r\n");
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 502"));
    std::size_t runs = 0;
    for (const ScriptedReplica *replica : replicas) {
        runs += replica->heads.size();
    }
    EXPECT_EQ(runs, 2U);
}

TEST_F(Session, AResumableStreamGoesOnElsewhereWithoutGapOrRepeat)
{
    configure();
    const ReplicaBehaviour behaviour = [](const std::string &head, const std::string &) {
        const std::string after = fieldOf(head, "Last-Event-Id");
        if (after.empty()) {
            // Breaks off in the middle of the third event.
            return ReplicaScript{
                absl::StrCat(streamHead(head), chunk(event(1) + event(2)), chunk("id: 3\nda")),
                true};
        }
        std::string rest;
        for (int id = std::stoi(after) + 1; id <= 4; ++id) {
            rest += event(id);
        }
        return ReplicaScript{absl::StrCat(streamHead(head), chunk(rest), "0\r\n\r\n")};
    };
    addReplica(behaviour);
    addReplica(behaviour);
    const std::string answer = exchange(call("/read/x", "a", "body"), "0\r\n\r\n");
    std::string all = answer;
    for (int id = 1; id <= 4; ++id) {
        const std::size_t place = all.find(event(id));
        ASSERT_NE(place, std::string::npos) << answer;
        all.erase(place, event(id).size());
        EXPECT_EQ(all.find(event(id)), std::string::npos);
    }
    EXPECT_THAT(answer, testing::EndsWith("0\r\n\r\n"));
}

TEST_F(Session, AStreamThatEndsEarlyNeverLooksWhole)
{
    configure();
    addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{absl::StrCat(streamHead(head), chunk(event(1))), true};
    });
    const std::string answer = exchange(call("/turn/x", "a", "body"), "0\r\n\r\n");
    EXPECT_THAT(answer, testing::HasSubstr(event(1)));
    EXPECT_THAT(answer, testing::EndsWith("<closed>"));
}

TEST_F(Session, KeptTurnsAreComposedByteForByte)
{
    configure();
    ScriptedReplica &replica = addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{
            absl::StrCat(streamHead(head), chunk(event(1) + event(2)), "0\r\n\r\n")};
    });
    {
        SCOPED_TRACE("the first turn");
        exchange(call("/turn/x", "t1", "first"), "0\r\n\r\n");
    }
    {
        SCOPED_TRACE("two turns continue from it");
        exchange(call("/turn/x", "t2", "second", "Previous-Turn: t1\r\n"), "0\r\n\r\n");
        exchange(call("/turn/x", "t3", "third", "Previous-Turn: t1\r\n"), "0\r\n\r\n");
    }
    {
        SCOPED_TRACE("a turn after one of them");
        exchange(call("/turn/x", "t4", "fourth", "Previous-Turn: t2\r\n"), "0\r\n\r\n");
    }
    EXPECT_THAT(replica.bodies,
                testing::ElementsAre("first", "firstd1\nd2\nsecond", "firstd1\nd2\nthird",
                                     "firstd1\nd2\nsecondd1\nd2\nfourth"));
    {
        SCOPED_TRACE("a turn that never was");
        EXPECT_THAT(exchange(call("/turn/x", "t5", "x", "Previous-Turn: t9\r\n"), "\r\n\r\n"),
                    testing::StartsWith("HTTP/1.1 404"));
    }
}

TEST_F(Session, TheBudgetIsSpentOnceForAll)
{
    configure();
    addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{absl::StrCat(streamHead(head), chunk(event(1)), "0\r\n\r\n")};
    });
    const std::string budget = "Program-Id: p\r\nToken-Budget: 100\r\nToken-Usage: 10,60\r\n";
    EXPECT_THAT(exchange(call("/read/x", "a", "x", budget), "0\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(exchange(call("/read/x", "b", "x", budget), "0\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(exchange(call("/read/x", "c", "x", budget), "0\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(exchange(call("/read/x", "d", "x", budget), "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 402"));
}

TEST_F(Session, LimitsOfTheConfigurationHaveTheirOwnStatus)
{
    configure();
    EXPECT_THAT(exchange(call("/tool/x", "a", std::string(6'000, 'x')), "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 413"));
    EXPECT_THAT(
        exchange(call("/tool/x", "a", "", absl::StrCat("X: ", std::string(3'000, 'x'), "\r\n")),
                 "\r\n\r\n"),
        testing::StartsWith("HTTP/1.1 431"));
    EXPECT_THAT(exchange("POST /tool/x HTTP/1.1\r\nHost: h\r\n", "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 408"));
    EXPECT_THAT(exchange("no request at all\r\n\r\n", "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 400"));
    EXPECT_THAT(exchange("POST /tool/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
                         "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                         "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 400"));
}

TEST_F(Session, AStoppingVmAnswersAndClosesTheConnection)
{
    configure();
    addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{whole(head, "the bytes")};
    });
    m_front.drain();
    const std::string answer = exchange(call("/tool/x", "a", "body"), "the bytes");
    EXPECT_THAT(answer, testing::HasSubstr("Connection: close\r\n"));
}

} // namespace boragepath::platform
