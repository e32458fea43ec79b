// API keys on the platform's wire: who is served, what replicas get, and keys that are taken away.

#include "tests/support/platform_session.h"

namespace boragepath::platform {

namespace {

const std::string TwoOrganisations =
    R"([{"name":"a","apiKeys":["key-a","key-a2"]},{"name":"b","apiKeys":["key-b"]}])";

ReplicaScript answer(const std::string &head, const std::string &)
{
    return {completeResponse(head, "served")};
}

ReplicaScript stream(const std::string &head, const std::string &)
{
    return {streamHead(head) + chunk(event(1)) + "0\r\n\r\n"};
}

ReplicaScript decline(const std::string &, const std::string &)
{
    return {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
}

class ApiKeyTest : public PlatformSession
{
protected:
    ApiKeyTest()
    {
        configure();
        configureOrganisations(10, TwoOrganisations);
        m_lease.setTerm(Seconds(5));
        m_lease.confirm(m_clock.bootNow());
    }

    std::string request(const std::string &path, const std::string &key,
                        const std::string &more = "")
    {
        m_requests += 1;
        const std::string fields = key.empty() ? more : "Credential: " + key + "\r\n" + more;
        return exchange(callRequest(path, absl::StrCat("call-", m_requests), "body", fields),
                        "\r\n\r\n");
    }

    int m_requests = 0;
};

} // namespace

TEST_F(ApiKeyTest, OnlyKnownKeysAndPublicRoutesAreServed)
{
    const ScriptedReplica &replica = addReplica(answer);
    EXPECT_THAT(request("/look/x", "key-a2"), testing::StartsWith("HTTP/1.1 200"));
    EXPECT_EQ(fieldOf(replica.heads.back(), "Tenant"), "a");
    EXPECT_EQ(fieldOf(replica.heads.back(), "Credential"), "");
    for (const std::string key : {"", "key-c", "key", "key-a2x"}) {
        EXPECT_THAT(request("/look/x", key), testing::StartsWith("HTTP/1.1 401")) << key;
    }
    EXPECT_EQ(replica.heads.size(), 1U);
    EXPECT_THAT(request("/open/x", "", "Tenant: b\r\n"), testing::StartsWith("HTTP/1.1 200"));
    EXPECT_EQ(fieldOf(replica.heads.back(), "Tenant"), "");
}

/** A retry must not bring back the caller's headers. */
TEST_F(ApiKeyTest, EachReplicaThatIsTriedGetsTheOrganisation)
{
    const ScriptedReplica &first = addReplica(decline);
    const ScriptedReplica &second = addReplica(decline);
    request("/look/x", "key-b", "Tenant: a\r\n");
    for (const ScriptedReplica *replica : {&first, &second}) {
        ASSERT_EQ(replica->heads.size(), 1U);
        EXPECT_EQ(fieldOf(replica->heads.front(), "Tenant"), "b");
        EXPECT_EQ(replica->heads.front().find("key-b"), std::string::npos);
    }
}

/** A VM that can't know whether a key was taken away must not let it open anything. */
TEST_F(ApiKeyTest, NothingButPublicRoutesIsServedOnceTheKeysAreUnconfirmed)
{
    const ScriptedReplica &replica = addReplica(answer);
    m_lease.setTerm(Milliseconds(0));
    const std::string refused = request("/look/x", "key-a");
    EXPECT_THAT(refused, testing::StartsWith("HTTP/1.1 503"));
    EXPECT_NE(fieldOf(refused, "Retry-After"), "");
    EXPECT_THAT(request("/look/x", "key-c"), testing::StartsWith("HTTP/1.1 503"));
    EXPECT_TRUE(replica.heads.empty());
    EXPECT_THAT(request("/open/x", "key-a"), testing::StartsWith("HTTP/1.1 200"));
}

/** A call that waits for a replica must not outlast the key that it came with. */
TEST_F(ApiKeyTest, CallThatWaitsIsRefusedOnceItsKeyIsTakenAway)
{
    const ScriptedReplica &replica = addReplica([this](const std::string &, const std::string &) {
        configureOrganisations(11, R"([{"name":"a","apiKeys":["key-a2"]}])");
        return ReplicaScript{decline("", "")};
    });
    const ScriptedReplica &other = addReplica([this](const std::string &, const std::string &) {
        configureOrganisations(11, R"([{"name":"a","apiKeys":["key-a2"]}])");
        return ReplicaScript{decline("", "")};
    });
    EXPECT_THAT(request("/look/x", "key-a"), testing::StartsWith("HTTP/1.1 401"));
    EXPECT_EQ(replica.heads.size() + other.heads.size(), 1U);
}

TEST_F(ApiKeyTest, TurnsOfAnotherOrganisationDoNotExist)
{
    addReplica(stream);
    const std::string turn =
        callRequest("/turn/x", "call-0", "body", "Credential: key-a\r\nToken-Usage: 1,20\r\n");
    EXPECT_THAT(exchange(turn, "0\r\n\r\n"), testing::StartsWith("HTTP/1.1 200"));
    const std::string next = "Token-Usage: 1,20\r\nPrevious-Turn: call-0\r\n";
    EXPECT_THAT(request("/turn/x", "key-b", next), testing::StartsWith("HTTP/1.1 404"));
    EXPECT_THAT(request("/turn/x", "key-a2", next), testing::StartsWith("HTTP/1.1 200"));
}

} // namespace boragepath::platform
