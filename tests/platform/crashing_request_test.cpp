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

} // namespace boragepath::platform
