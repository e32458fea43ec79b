// Replicas that send bytes without end, in the head or the body of an answer.
//
// Guards against a VM that reads until the call's time is over or its memory is used up.

#include "tests/support/platform_session.h"

namespace boragepath::platform {

namespace {

/** Less than a VM waits for a silent replica: the call must end because of the bytes. */
constexpr Milliseconds PromptEnd{700};
/** More than any event, head or body may have. */
constexpr std::size_t ManyBytes = 1UL << 20;
constexpr std::size_t MoreThanAnyBody = 9UL << 20;

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int index = 0; index < count; ++index) {
        result += text;
    }
    return result;
}

ReplicaScript eventWithoutEnd(const std::string &head, const std::string &)
{
    return {streamHead(head) + chunk("id: 1\ndata: " + std::string(ManyBytes, 'x'))};
}

ReplicaScript manyLinesWithoutEnd(const std::string &head, const std::string &)
{
    return {streamHead(head) + chunk(repeated("data: x\n", 100'000))};
}

ReplicaScript fieldWithoutEnd(const std::string &, const std::string &)
{
    return {"HTTP/1.1 200 OK\r\nField: " + std::string(ManyBytes, 'x')};
}

ReplicaScript fieldsWithoutEnd(const std::string &, const std::string &)
{
    return {"HTTP/1.1 200 OK\r\n" + repeated("Field: x\r\n", 100'000)};
}

ReplicaScript interimHeadsWithoutEnd(const std::string &, const std::string &)
{
    return {repeated("HTTP/1.1 102 Processing\r\n\r\n", 10'000)};
}

ReplicaScript chunkExtensionWithoutEnd(const std::string &head, const std::string &)
{
    return {streamHead(head) + "5;" + std::string(ManyBytes, 'x')};
}

ReplicaScript bodyWithoutEnd(const std::string &head, const std::string &)
{
    return {sealedResponse(head, "", std::string(MoreThanAnyBody, 'x'))};
}

ReplicaScript otherAnswerWithoutEnd(const std::string &, const std::string &)
{
    return {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nReplica-Seal: s\r\n\r\n"
            + std::string(2 * ManyBytes, 'x')};
}

} // namespace

class EndlessAnswerTest : public PlatformSession
{ };

TEST_F(EndlessAnswerTest, BytesWithoutEndEndTheCallAtOnceAsAFailure)
{
    struct Case
    {
        const char *what;
        const char *path;
        ReplicaBehaviour behaviour;
    };
    const Case cases[] = {
        {"an event", "/turn/x", eventWithoutEnd},
        {"the lines of an event", "/turn/x", manyLinesWithoutEnd},
        {"a field of the head", "/tool/x", fieldWithoutEnd},
        {"the fields of the head", "/tool/x", fieldsWithoutEnd},
        {"heads with a status of 1xx", "/tool/x", interimHeadsWithoutEnd},
        {"the extension of a chunk", "/turn/x", chunkExtensionWithoutEnd},
        {"a body", "/tool/x", bodyWithoutEnd},
        {"the answer to another request", "/tool/x", otherAnswerWithoutEnd},
    };
    configure();
    for (const Case &item : cases) {
        SCOPED_TRACE(item.what);
        addReplica(item.behaviour);
        const SteadyTime startedAt = m_clock.now();
        const std::string answer =
            exchange(callRequest(item.path, item.what[0] == 'a' ? "a" : "b", "body"), "\r\n\r\n");
        EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 502"));
        EXPECT_LT(m_clock.now() - startedAt, PromptEnd);
        m_replicas.remove(ReplicaId(absl::StrCat("i-", m_scripted.size())), m_clock.now());
    }
}

} // namespace boragepath::platform
