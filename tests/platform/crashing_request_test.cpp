// Requests under which the replicas that run them end, on the platform's wire.
//
// Guards against one request that ends replica after replica: it is sent on within an attempt, and
// its caller comes again with other attempt ids.

#include "tests/support/platform_session.h"

#include <algorithm>

namespace boragepath::platform {

namespace {

const std::string CrashingBody = "crash";
/** A request that has ended so many replicas is sent to no further one. */
constexpr std::ptrdiff_t MaxEndedReplicas = 3;
constexpr int Replicas = 9;

ReplicaScript endOnCrashingBody(const std::string &head, const std::string &body)
{
    if (body == CrashingBody) {
        return {"", false, true};
    }
    return {completeResponse(head, "served")};
}

/** As a model engine: the head of the stream arrives before the replica ends. */
ReplicaScript beginStreamAndEndOnCrashingBody(const std::string &head, const std::string &body)
{
    if (body == CrashingBody) {
        return {streamHead(head), false, true};
    }
    return {streamHead(head) + chunk(event(1)) + "0\r\n\r\n"};
}

class CrashingRequestTest : public PlatformSession
{
protected:
    CrashingRequestTest() { configure(); }

    void addReplicas(const ReplicaBehaviour &behaviour)
    {
        for (int count = 0; count < Replicas; ++count) {
            addReplica(behaviour);
        }
    }

    std::string request(const std::string &path, const std::string &body)
    {
        m_requests += 1;
        return exchange(callRequest(path, absl::StrCat("call-", m_requests), body), "\r\n\r\n");
    }

    std::ptrdiff_t endedReplicas() const
    {
        return std::count_if(m_scripted.begin(), m_scripted.end(),
                             [](const auto &replica) { return !replica->isRunning(); });
    }

    int m_requests = 0;
};

} // namespace

TEST_F(CrashingRequestTest, RequestThatHasEndedThreeReplicasIsSentToNoOther)
{
    struct Case
    {
        const char *what;
        const char *path;
        ReplicaBehaviour behaviour;
    };
    const Case cases[] = {{"a call that may be repeated", "/look/x", endOnCrashingBody},
                          {"a call that may not", "/tool/x", endOnCrashingBody},
                          {"a stream that may be resumed", "/read/x", endOnCrashingBody},
                          {"a stream that has begun", "/read/y", beginStreamAndEndOnCrashingBody},
                          {"a turn", "/turn/x", beginStreamAndEndOnCrashingBody}};
    for (const Case &item : cases) {
        SCOPED_TRACE(item.what);
        addReplicas(item.behaviour);
        const std::ptrdiff_t endedBefore = endedReplicas();
        for (int attempt = 0; attempt < 8; ++attempt) {
            request(item.path, CrashingBody);
        }
        EXPECT_LE(endedReplicas() - endedBefore, MaxEndedReplicas);
        EXPECT_GE(endedReplicas() - endedBefore, 1);
    }
}

// Answers to other programs' turns with the same words cleared the evidence against a turn under
// which replica after replica ended.
TEST_F(CrashingRequestTest,
       ATurnThatEndsReplicasIsToldFromTurnsOfOtherConversationsWithTheSameWords)
{
    addReplicas([](const std::string &head, const std::string &body) {
        return body == "deadly\nd1\nyes\n" ? ReplicaScript{"", false, true}
                                           : beginStreamAndEndOnCrashingBody(head, body);
    });
    exchange(callRequest("/turn/x", "deadly-first", "deadly\n"), "\r\n0\r\n");
    for (int attempt = 0; attempt < 8; ++attempt) {
        const std::string other = absl::StrCat("other-", attempt);
        exchange(callRequest("/turn/x", other, "hello\n"), "\r\n0\r\n");
        const std::string answer =
            exchange(callRequest("/turn/x", other + "-next", "yes\n",
                                 absl::StrCat("Previous-Turn: ", other, "\r\n")),
                     "\r\n\r\n");
        EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 200"));
        exchange(callRequest("/turn/x", absl::StrCat("deadly-", attempt), "yes\n",
                             "Previous-Turn: deadly-first\r\n"),
                 "\r\n\r\n");
    }
    EXPECT_EQ(endedReplicas(), MaxEndedReplicas);
}

// Answers to the same request of other organisations cleared the evidence against one under which
// replica after replica ended, so that it was never held back.
TEST_F(CrashingRequestTest, ARequestThatEndsReplicasForOneOrganisationIsHeldBackForThatOneAlone)
{
    configureOrganisations(10, R"([{"name":"red","apiKeys":["key-red"]},
                                   {"name":"blue","apiKeys":["key-blue"]},
                                   {"name":"green","apiKeys":["key-green"]}])");
    m_lease.setTerm(Seconds(60));
    m_lease.confirm(m_clock.bootNow());
    addReplicas([](const std::string &head, const std::string &) {
        return fieldOf(head, "Tenant") == "red" ? ReplicaScript{"", false, true}
                                                : ReplicaScript{completeResponse(head, "served")};
    });
    const auto send = [&](const std::string &organisation, const std::string &body) {
        m_requests += 1;
        return exchange(callRequest("/look/x", absl::StrCat("call-", m_requests), body,
                                    "Credential: key-" + organisation + "\r\n"),
                        "\r\n\r\n");
    };
    for (int attempt = 0; attempt < 8; ++attempt) {
        for (const std::string other : {"blue", "green"}) {
            EXPECT_THAT(send(other, "status"), testing::StartsWith("HTTP/1.1 200")) << attempt;
        }
        send("red", "status");
    }
    EXPECT_LE(endedReplicas(), MaxEndedReplicas);
}

// Without API keys nobody can tell callers apart: the request with its body is held back, and other
// requests to its target, which are answered, are not.
TEST_F(CrashingRequestTest, WithoutOrganisationsOtherRequestsToTheTargetAreServed)
{
    addReplicas(endOnCrashingBody);
    for (int attempt = 0; attempt < 8; ++attempt) {
        for (const std::string body : {"one", "two", "three"}) {
            EXPECT_THAT(request("/look/x", body), testing::StartsWith("HTTP/1.1 200")) << attempt;
        }
        request("/look/x", CrashingBody);
    }
    EXPECT_LE(endedReplicas(), MaxEndedReplicas);
}

} // namespace boragepath::platform
