// Replicas that say in an answer that they leave, while the registry still has them as ready.

#include "tests/support/platform_session.h"

namespace boragepath::platform {

namespace {

const std::string LeavingField = "Server-Leaving: 1\r\n";

ReplicaScript answer(const std::string &head, const std::string &)
{
    return {completeResponse(head, "served")};
}

ReplicaScript answerAndLeave(const std::string &head, const std::string &)
{
    return {sealedResponse(head, LeavingField + "Content-Length: 6\r\n", "served")};
}

ReplicaScript declineAndLeave(const std::string &, const std::string &)
{
    return {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + LeavingField
            + "Content-Length: 0\r\n\r\n"};
}

ReplicaScript streamAndLeave(const std::string &head, const std::string &)
{
    return {sealedResponse(head,
                           LeavingField
                               + "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n",
                           chunk(event(1)) + "0\r\n\r\n")};
}

class LeavingReplicaTest : public PlatformSession
{
protected:
    LeavingReplicaTest() { configure(); }

    std::string request(const std::string &path = "/look/x")
    {
        m_requests += 1;
        return exchange(callRequest(path, absl::StrCat("call-", m_requests), "body"), "\r\n\r\n");
    }

    ReplicaEntry entryOf(const std::string &id) const
    {
        return m_replicas.find(ReplicaId(id))->entry;
    }

    int m_requests = 0;
};

} // namespace

TEST_F(LeavingReplicaTest, ReplicaThatSaysThatItLeavesGetsNoNewRequests)
{
    struct Case
    {
        const char *what;
        const char *path;
        ReplicaBehaviour behaviour;
    };
    const Case cases[] = {{"in a whole answer", "/look/x", answerAndLeave},
                          {"in the head of a stream", "/read/x", streamAndLeave},
                          {"in a refusal", "/look/x", declineAndLeave}};
    for (const Case &item : cases) {
        SCOPED_TRACE(item.what);
        ScriptedReplica &leaving = addReplica(item.behaviour);
        EXPECT_FALSE(request(item.path).empty());
        const std::size_t before = leaving.heads.size();
        EXPECT_EQ(before, 1U);
        EXPECT_THAT(request(item.path), testing::StartsWith("HTTP/1.1 503"));
        EXPECT_EQ(leaving.heads.size(), before);
    }
    {
        SCOPED_TRACE("others serve");
        addReplica(answer);
        EXPECT_THAT(request(), testing::StartsWith("HTTP/1.1 200"));
    }
}

TEST_F(LeavingReplicaTest, NoNewsOfTheRegistryBringsALeavingReplicaBack)
{
    ScriptedReplica &leaving = addReplica(answerAndLeave);
    const ReplicaEntry entry = entryOf("i-1");
    request();
    {
        SCOPED_TRACE("a heartbeat that says ready");
        m_replicas.put(entry);
        EXPECT_THAT(request(), testing::StartsWith("HTTP/1.1 503"));
    }
    {
        SCOPED_TRACE("its registration lapses and comes back");
        m_replicas.remove(entry.id, m_clock.now());
        m_replicas.put(entry);
        EXPECT_THAT(request(), testing::StartsWith("HTTP/1.1 503"));
    }
    {
        SCOPED_TRACE("the whole registry is read anew");
        m_replicas.replaceAll({}, m_clock.now());
        m_replicas.replaceAll({entry}, m_clock.now());
        EXPECT_THAT(request(), testing::StartsWith("HTTP/1.1 503"));
    }
    EXPECT_EQ(leaving.heads.size(), 1U);
    {
        SCOPED_TRACE("it has started again under its id");
        ReplicaEntry restarted = entry;
        restarted.startedAtMillis += 1;
        m_replicas.put(restarted);
        EXPECT_THAT(request(), testing::StartsWith("HTTP/1.1 200"));
        EXPECT_EQ(leaving.heads.size(), 2U);
    }
    {
        SCOPED_TRACE("its address is used under another id");
        ReplicaEntry other = entry;
        other.id = ReplicaId("i-other");
        m_replicas.put(other);
        EXPECT_THAT(request(), testing::StartsWith("HTTP/1.1 200"));
        EXPECT_EQ(leaving.heads.size(), 3U);
    }
}

} // namespace boragepath::platform
