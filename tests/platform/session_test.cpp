// Complete calls through one VM in the platform's wire format.

#include "tests/support/platform_session.h"

namespace boragepath::platform {

namespace {

using Session = PlatformSession;

} // namespace

TEST_F(Session, RefusesWithRetryAfterBeforeTheFirstConfiguration)
{
    const std::string answer = exchange(callRequest("/tool/x", "a", "body"), "\r\n\r\n");
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(answer, testing::HasSubstr("Retry-After: "));
    configure();
    EXPECT_THAT(exchange(callRequest("/nowhere/", "b", "body"), "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 404"));
}

TEST_F(Session, ForwardsRequestAndResponseUnchanged)
{
    configure();
    ScriptedReplica &replica = addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{completeResponse(head, "the bytes")};
    });
    const std::string answer = exchange(callRequest("/tool/x?y=z", "a", "body"), "the bytes");
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 200 OK"));
    EXPECT_THAT(answer, testing::HasSubstr("Replica-Seal: seal\r\n"));
    EXPECT_THAT(replica.heads.at(0), testing::StartsWith("POST /tool/x?y=z HTTP/1.1\r\n"));
    EXPECT_EQ(fieldOf(replica.heads.at(0), "Expect-Replica"), "i-1");
    EXPECT_LE(std::stoi(fieldOf(replica.heads.at(0), "Deadline-Ms")), 1'500);
    EXPECT_EQ(replica.bodies.at(0), "body");
}

TEST_F(Session, NonIdempotentCallIsSentToOneReplicaOnly)
{
    configure();
    const ReplicaBehaviour closesMidResponse = [](const std::string &, const std::string &) {
        return ReplicaScript{"HTTP/1.1 200 OK\r\nContent-Le", true};
    };
    ScriptedReplica &first = addReplica(closesMidResponse);
    ScriptedReplica &second = addReplica(closesMidResponse);
    const std::string answer = exchange(callRequest("/tool/x", "a", "body"), "\r\n\r\n");
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 502"));
    EXPECT_EQ(first.heads.size() + second.heads.size(), 1U);
}

TEST_F(Session, RetriesOnAnotherReplicaIfTheFirstDidNotRunTheCall)
{
    configure();
    const ReplicaBehaviour declinesFirst =
        [count = std::make_shared<int>(0)](const std::string &head, const std::string &) {
            *count += 1;
            return *count == 1 ? ReplicaScript{"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                                               "Content-Length: 0\r\n\r\n"}
                               : ReplicaScript{completeResponse(head, "served")};
        };
    addReplica(declinesFirst);
    addReplica(declinesFirst);
    EXPECT_THAT(exchange(callRequest("/tool/x", "a", "body"), "served"),
                testing::StartsWith("HTTP/1.1 200"));
}

TEST_F(Session, UnavailableStatusWithoutNotExecutedBecomesBadGateway)
{
    configure();
    addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{
            absl::StrCat("HTTP/1.1 503 Busy\r\nAttempt-Id: ", fieldOf(head, "Attempt-Id"),
                         "\r\nContent-Length: 0\r\n\r\n")};
    });
    EXPECT_THAT(exchange(callRequest("/tool/x", "a", "body"), "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 502"));
}

TEST_F(Session, LateAndUnrequestedResponsesReachNoCaller)
{
    configure();
    int requests = 0;
    addReplica([&](const std::string &head, const std::string &) {
        requests += 1;
        const std::string staleResponses = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nReplica-Seal: "
                                           "s\r\nContent-Length: 5\r\n\r\nwrong";
        return requests == 1 ? ReplicaScript{staleResponses + completeResponse(head, "right")}
                             : ReplicaScript{completeResponse(head, "right") + staleResponses};
    });
    for (const char *id : {"a", "b", "c"}) {
        const std::string answer = exchange(callRequest("/tool/x", id, "body"), "right");
        EXPECT_THAT(answer, testing::HasSubstr("right")) << id;
        EXPECT_THAT(answer, testing::Not(testing::HasSubstr("wrong"))) << id;
    }
}

// A faulty replica refuses a request once more that it has answered, or writes an earlier refusal
// again. A request that was running was taken for refused, and ran at a second replica.
TEST_F(Session, ALateRefusalIsNotTakenForTheNextRequestsOnTheConnection)
{
    const std::string lateResponses[] = {
        "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nAttempt-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Misdirected\r\nReplica-Id: i-9\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nwrong",
        "HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n",
    };
    configure();
    for (const std::string &late : lateResponses) {
        SCOPED_TRACE(late);
        std::size_t runs = 0;
        // Each second request comes on the connection of the one before.
        addReplica([&](const std::string &head, const std::string &) {
            runs += 1;
            return ReplicaScript{(runs % 2 == 0 ? late : "") + completeResponse(head, "right")};
        });
        const auto caller = connectCaller();
        for (const char *path : {"/tool/x", "/look/x"}) {
            runs = 0;
            for (const char *id : {"a", "b", "c", "d"}) {
                const std::string answer =
                    exchangeOn(*caller, callRequest(path, id, "body"), "right");
                EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 200")) << id;
            }
            EXPECT_EQ(runs, 4U);
        }
        m_replicas.remove(ReplicaId(absl::StrCat("i-", m_scripted.size())), m_clock.now());
    }
}

// A caller leaves after the last event of a turn that is stored. Its connection to the replica,
// which another call used by then, was closed, and that call got 502.
TEST_F(Session, ACallerThatLeavesWhileItsTurnIsRecordedCutsNoOtherCall)
{
    constexpr Milliseconds LongEnough{100};
    configure();
    std::shared_ptr<boost::asio::ip::tcp::socket> leaving;
    ScriptedReplica &replica = addReplica([&](const std::string &head, const std::string &) {
        if (head.find("/turn/") != std::string::npos) {
            m_store.faults().unavailable = true;
            return ReplicaScript{streamHead(head) + chunk(event(1)) + "0\r\n\r\n"};
        }
        leaving->close();
        return ReplicaScript{.answer = completeResponse(head, "served"), .delay = LongEnough};
    });
    leaving = connectCaller();
    const std::string turn = exchangeOn(*leaving, callRequest("/turn/x", "a", "input"), "data: d1");
    EXPECT_THAT(turn, testing::HasSubstr("data: d1"));
    EXPECT_THAT(exchange(callRequest("/tool/x", "b", "body"), "served"),
                testing::StartsWith("HTTP/1.1 200"));
    EXPECT_EQ(replica.connections, 1) << "the second call did not use the connection again";
}

TEST_F(Session, IdempotentCallRunsOnAtMostMaxAttemptsReplicas)
{
    configure();
    ScriptedReplica *replicas[3] = {};
    for (ScriptedReplica *&replica : replicas) {
        replica = &addReplica([](const std::string &, const std::string &) {
            return ReplicaScript{"", true};
        });
    }
    const std::string answer = exchange(callRequest("/look/x", "a", ""), "\r\n\r\n");
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 502"));
    std::size_t possibleRuns = 0;
    for (const ScriptedReplica *replica : replicas) {
        possibleRuns += replica->heads.size();
    }
    EXPECT_EQ(possibleRuns, 2U);
}

TEST_F(Session, ResumableStreamContinuesOnAnotherReplicaWithoutGapOrRepeat)
{
    configure();
    const ReplicaBehaviour behaviour = [](const std::string &head, const std::string &) {
        const std::string after = fieldOf(head, "Last-Event-Id");
        if (after.empty()) {
            // The connection ends in the middle of the third event.
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
    const std::string answer = exchange(callRequest("/read/x", "a", "body"), "0\r\n\r\n");
    std::string all = answer;
    for (int id = 1; id <= 4; ++id) {
        const std::size_t position = all.find(event(id));
        ASSERT_NE(position, std::string::npos) << answer;
        all.erase(position, event(id).size());
        EXPECT_EQ(all.find(event(id)), std::string::npos);
    }
    EXPECT_THAT(answer, testing::EndsWith("0\r\n\r\n"));
}

TEST_F(Session, InterruptedStreamIsNotEndedAsComplete)
{
    configure();
    addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{absl::StrCat(streamHead(head), chunk(event(1))), true};
    });
    const std::string answer = exchange(callRequest("/turn/x", "a", "body"), "0\r\n\r\n");
    EXPECT_THAT(answer, testing::HasSubstr(event(1)));
    EXPECT_THAT(answer, testing::EndsWith("<closed>"));
}

TEST_F(Session, StoredTurnsAreConcatenatedByteForByte)
{
    configure();
    ScriptedReplica &replica = addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{
            absl::StrCat(streamHead(head), chunk(event(1) + event(2)), "0\r\n\r\n")};
    });
    {
        SCOPED_TRACE("the first turn");
        exchange(callRequest("/turn/x", "t1", "first"), "0\r\n\r\n");
    }
    {
        SCOPED_TRACE("two turns continue from the first");
        exchange(callRequest("/turn/x", "t2", "second", "Previous-Turn: t1\r\n"), "0\r\n\r\n");
        exchange(callRequest("/turn/x", "t3", "third", "Previous-Turn: t1\r\n"), "0\r\n\r\n");
    }
    {
        SCOPED_TRACE("a turn continues from the second");
        exchange(callRequest("/turn/x", "t4", "fourth", "Previous-Turn: t2\r\n"), "0\r\n\r\n");
    }
    EXPECT_THAT(replica.bodies,
                testing::ElementsAre("first", "firstd1\nd2\nsecond", "firstd1\nd2\nthird",
                                     "firstd1\nd2\nsecondd1\nd2\nfourth"));
    {
        SCOPED_TRACE("the previous turn is unknown");
        EXPECT_THAT(
            exchange(callRequest("/turn/x", "t5", "x", "Previous-Turn: t9\r\n"), "\r\n\r\n"),
            testing::StartsWith("HTTP/1.1 404"));
    }
}

TEST_F(Session, ProgramBudgetIsSharedByItsCalls)
{
    configure();
    addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{absl::StrCat(streamHead(head), chunk(event(1)), "0\r\n\r\n")};
    });
    const std::string budget = "Program-Id: p\r\nToken-Budget: 100\r\nToken-Usage: 10,60\r\n";
    EXPECT_THAT(exchange(callRequest("/read/x", "a", "x", budget), "0\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(exchange(callRequest("/read/x", "b", "x", budget), "0\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(exchange(callRequest("/read/x", "c", "x", budget), "0\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(exchange(callRequest("/read/x", "d", "x", budget), "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 402"));
}

TEST_F(Session, ConfiguredLimitsAreAnsweredWithTheirStatus)
{
    configure();
    EXPECT_THAT(exchange(callRequest("/tool/x", "a", std::string(6'000, 'x')), "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 413"));
    EXPECT_THAT(exchange(callRequest("/tool/x", "a", "",
                                     absl::StrCat("X: ", std::string(3'000, 'x'), "\r\n")),
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

TEST_F(Session, DrainingVmAnswersAndClosesTheConnection)
{
    configure();
    addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{completeResponse(head, "the bytes")};
    });
    m_front.drain();
    const std::string answer = exchange(callRequest("/tool/x", "a", "body"), "the bytes");
    EXPECT_THAT(answer, testing::HasSubstr("Connection: close\r\n"));
}

} // namespace boragepath::platform
