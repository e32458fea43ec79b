// Calls through a VM that stops as planned.

#include "tests/support/platform_session.h"

#include <boost/asio/write.hpp>

namespace boragepath::platform {

namespace {

/** One VM that stops, with a replica that answers at once. */
class PlannedStop : public PlatformSession
{
protected:
    PlannedStop()
    {
        configure();
        m_replica = &addReplica([this](const std::string &head, const std::string &) {
            return ReplicaScript{.answer = completeResponse(head, "served"), .delay = m_delay};
        });
    }

    /** The VM has got its signal that long ago. */
    void stop(Milliseconds ago, Milliseconds grace)
    {
        m_front.drain();
        m_scheduler.setStopPlan(planStop(m_clock.now() - ago, grace));
    }

    std::string call(const std::string &path, const std::string &id)
    {
        return exchange(callRequest(path, id, "body"), "\r\n\r\n");
    }

    /** Sends bytes that the VM does not read before runFor() or an exchange. */
    static void sendUnread(boost::asio::ip::tcp::socket &socket, const std::string &bytes)
    {
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }

    void runFor(Milliseconds duration) { m_context.run_for(duration); }

    ScriptedReplica *m_replica = nullptr;
    Milliseconds m_delay{0};
};

constexpr Milliseconds Grace{8'000};

} // namespace

// Calls that came late were passed on and then cut without an answer, also those that may run only
// once. Each kind of route is sent with 1.5 s.
TEST_F(PlannedStop, LateCallsThatMayOutlastItAreRefusedAtOnceAndReachNoReplica)
{
    stop(Milliseconds(6'000), Grace);
    for (const char *path : {"/tool/x", "/look/x", "/read/x", "/turn/x", "/talk/x"}) {
        SCOPED_TRACE(path);
        const std::string answer = call(path, "a");
        EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 503"));
        EXPECT_THAT(answer, testing::HasSubstr("Retry-After: 0.010\r\n"));
        EXPECT_THAT(answer, testing::HasSubstr("Connection: close\r\n"));
    }
    EXPECT_TRUE(m_replica->heads.empty());
}

TEST_F(PlannedStop, CallsThatEndBeforeItAreServed)
{
    stop(Milliseconds(5'000), Grace);
    EXPECT_THAT(call("/tool/x", "a"), testing::StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(call("/look/x", "b"), testing::StartsWith("HTTP/1.1 200"));
}

// The route's timeout bounds a call as its deadline does.
TEST_F(PlannedStop, ACallWithoutADeadlineEndsAtTheTimeoutOfItsRoute)
{
    const std::string request = "POST /tool/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
                                "Content-Length: 0\r\n\r\n";
    stop(Milliseconds(4'900), Grace);
    EXPECT_THAT(exchange(request, "\r\n\r\n"), testing::StartsWith("HTTP/1.1 200"));
    stop(Milliseconds(5'200), Grace);
    EXPECT_THAT(exchange(request, "\r\n\r\n"), testing::StartsWith("HTTP/1.1 503"));
}

TEST_F(PlannedStop, CallersThatStillUseTheAddressAreServedWhateverTheirDeadlines)
{
    stop(Milliseconds(1'000), Milliseconds(2'500));
    EXPECT_THAT(call("/tool/x", "a"), testing::StartsWith("HTTP/1.1 200"));
    stop(Milliseconds(1'500), Milliseconds(2'500));
    EXPECT_THAT(call("/tool/x", "b"), testing::StartsWith("HTTP/1.1 503"));
}

// A replica that declines makes the VM send the call to another one, later than it was taken.
TEST_F(PlannedStop, ARetryThatMayOutlastItIsRefused)
{
    const auto declines = [this](const std::string &, const std::string &) {
        stop(Milliseconds(6'000), Grace);
        return ReplicaScript{"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
    };
    m_replicas.remove(ReplicaId("i-1"), m_clock.now());
    ScriptedReplica &first = addReplica(declines);
    ScriptedReplica &second = addReplica(declines);
    EXPECT_THAT(call("/tool/x", "a"), testing::StartsWith("HTTP/1.1 503"));
    EXPECT_EQ(first.heads.size() + second.heads.size(), 1U);
}

// A call waited for a free slot when the stop began, and got one late in the grace.
TEST_F(PlannedStop, AQueuedCallThatMayOutlastItIsRefused)
{
    m_replicas.remove(ReplicaId("i-1"), m_clock.now());
    ScriptedReplica &busy = addReplica(
        [this](const std::string &head, const std::string &) {
            m_timers.after(Milliseconds(100), [this] { stop(Milliseconds(6'000), Grace); });
            return ReplicaScript{.answer = completeResponse(head, "served"),
                                 .delay = Milliseconds(300)};
        },
        "v1", 1);
    exchangeAtOnce(4, [](int number) {
        return callRequest("/tool/x", absl::StrCat("q", number), "body", "Connection: close\r\n");
    });
    EXPECT_LT(busy.heads.size(), 4U);
    EXPECT_EQ(m_counters.served + m_counters.refused, 4U);
    EXPECT_EQ(m_counters.served, busy.heads.size());
}

// The process ended as soon as no call was under way. What came on open connections in that moment
// was read and got no answer.
TEST_F(PlannedStop, ARequestThatCrossesTheEndOnAKeptConnectionIsRefused)
{
    const auto caller = connectCaller();
    exchangeOn(*caller, callRequest("/tool/x", "a", "body"), "served");
    m_front.close();
    sendUnread(*caller, callRequest("/tool/x", "b", "body"));
    const std::string answer = exchangeOn(*caller, "", "<closed>");
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(answer, testing::HasSubstr("Retry-After: 0.010\r\n"));
    EXPECT_THAT(answer, testing::HasSubstr("Connection: close\r\n"));
    EXPECT_EQ(m_replica->heads.size(), 1U);
}

TEST_F(PlannedStop, ARequestOnAConnectionThatWasNotAcceptedYetIsRefused)
{
    runFor(Milliseconds(10));
    const auto caller = connectCaller();
    m_front.close();
    sendUnread(*caller, callRequest("/tool/x", "a", "body"));
    EXPECT_THAT(exchangeOn(*caller, "", "<closed>"), testing::StartsWith("HTTP/1.1 503"));
    EXPECT_TRUE(m_replica->heads.empty());
}

TEST_F(PlannedStop, IdleConnectionsAreClosedAtTheEndAndCallsUnderWayAreServed)
{
    const auto idle = connectCaller();
    exchangeOn(*idle, callRequest("/tool/x", "a", "body"), "served");
    m_delay = Milliseconds(100);
    m_timers.after(Milliseconds(50), [this] { m_front.close(); });
    EXPECT_THAT(call("/tool/x", "b"), testing::StartsWith("HTTP/1.1 200"));
    EXPECT_EQ(exchangeOn(*idle, "", "<closed>"), "<closed>");
    EXPECT_FALSE(m_front.isClosed());
    idle->close();
    runFor(Milliseconds(500));
    EXPECT_TRUE(m_front.isClosed());
}

TEST_F(PlannedStop, ARequestWhoseBodyDoesNotArriveIsAnsweredAsNotRun)
{
    const auto caller = connectCaller();
    sendUnread(*caller,
               "POST /tool/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
               "Content-Length: 9\r\n\r\npart");
    runFor(Milliseconds(20));
    m_front.close();
    EXPECT_THAT(exchangeOn(*caller, "", "<closed>"), testing::StartsWith("HTTP/1.1 408"));
    EXPECT_TRUE(m_replica->heads.empty());
}

// The connections of calls that were left at the end of the grace were closed without an answer.
TEST_F(PlannedStop, CallsThatAreLeftAtTheEndAreAnsweredAsFailed)
{
    m_delay = Milliseconds(1'000);
    m_timers.after(Milliseconds(50), [this] {
        stop(Milliseconds(8'000), Grace);
        m_front.close();
        m_front.breakOffCalls();
    });
    const SteadyTime sentAt = m_clock.now();
    const std::string answer = call("/tool/x", "a");
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 502"));
    EXPECT_LT(m_clock.now() - sentAt, Milliseconds(500));
    EXPECT_EQ(m_replica->heads.size(), 1U);
}

TEST_F(PlannedStop, AStreamThatIsLeftAtTheEndIsNotEndedAsComplete)
{
    m_replicas.remove(ReplicaId("i-1"), m_clock.now());
    addReplica([this](const std::string &head, const std::string &) {
        m_timers.after(Milliseconds(50), [this] {
            stop(Milliseconds(8'000), Grace);
            m_front.close();
            m_front.breakOffCalls();
        });
        return ReplicaScript{streamHead(head) + chunk(event(1))};
    });
    const SteadyTime sentAt = m_clock.now();
    const std::string answer = exchange(callRequest("/read/x", "a", "body"), "<closed>");
    EXPECT_LT(m_clock.now() - sentAt, Milliseconds(500));
    EXPECT_THAT(answer, testing::HasSubstr("data: d1"));
    EXPECT_THAT(answer, testing::HasSubstr("<closed>"));
    EXPECT_THAT(answer, testing::Not(testing::HasSubstr("0\r\n\r\n")));
}

// The connection was closed with the next request unread. The system then resets it, and what of
// the answer had not reached the caller yet was lost.
TEST_F(PlannedStop, AnAnswerIsNotLostIfTheNextRequestHasBeenSentAlready)
{
    constexpr std::size_t MoreThanTheCallerBuffers = 1'000'000;
    constexpr int SmallBuffer = 4'096;
    m_replicas.remove(ReplicaId("i-1"), m_clock.now());
    ScriptedReplica &replica = addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{
            .answer = completeResponse(head, std::string(MoreThanTheCallerBuffers, 'x') + "<end>"),
            .delay = Milliseconds(50)};
    });
    m_front.drain();
    const auto caller = connectCaller();
    caller->set_option(boost::asio::socket_base::receive_buffer_size(SmallBuffer));
    sendUnread(*caller, callRequest("/tool/x", "a", "body"));
    runFor(Milliseconds(20));
    sendUnread(*caller, callRequest("/tool/x", "b", "body"));
    runFor(Milliseconds(100));
    EXPECT_EQ(exchangeOn(*caller, "", "<end>").find("<closed>"), std::string::npos);
    EXPECT_EQ(replica.heads.size(), 1U);
}

// Two requests arrive together. The second one has been read with the first, and its connection was
// closed without an answer to it.
TEST_F(PlannedStop, ARequestThatWasReadTogetherWithTheOneBeforeIsAnswered)
{
    stop(Milliseconds(100), Grace);
    m_delay = Milliseconds(400);
    const auto caller = connectCaller();
    const std::string both =
        callRequest("/tool/x", "a", "body") + callRequest("/tool/x", "b", "body");
    const std::string answer = exchangeOn(*caller, both, "<closed>");
    EXPECT_EQ(m_counters.served, 2U);
    EXPECT_THAT(answer, testing::HasSubstr("Attempt-Id: b\r\n"));
}

// The same at the end of the stop: neither served nor refused.
TEST_F(PlannedStop, ARequestThatWasReadTogetherWithTheOneBeforeIsRefusedAtTheEnd)
{
    m_delay = Milliseconds(400);
    const auto caller = connectCaller();
    m_timers.after(Milliseconds(100), [this] { m_front.close(); });
    const std::string both =
        callRequest("/tool/x", "a", "body") + callRequest("/tool/x", "b", "body");
    const std::string answer = exchangeOn(*caller, both, "<closed>");
    EXPECT_THAT(answer, testing::HasSubstr("HTTP/1.1 200"));
    EXPECT_THAT(answer, testing::HasSubstr("HTTP/1.1 503"));
}

} // namespace boragepath::platform
