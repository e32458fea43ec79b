// Replicas that send bytes without end, in the head or the body of an answer.
//
// Guards against a VM that reads until the call's time is over or its memory is used up.

#include "tests/support/peak_memory.h"
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

/** Events without ids, each of them valid, that never end. */
ReplicaScript eventsWithoutEnd(const std::string &head, const std::string &)
{
    return {.answer = streamHead(head),
            .endless = chunk("data: " + std::string(16'000, 'x') + "\n\n")};
}

ReplicaScript smallEventsWithoutEnd(const std::string &head, const std::string &)
{
    return {.answer = streamHead(head), .endless = chunk("data: x\n\n")};
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        count += 1;
    }
    return count;
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

// The output of a turn that is stored was collected without a limit until the call's deadline.
TEST_F(EndlessAnswerTest, AStoredTurnWithoutEndEndsBeforeItsDeadline)
{
    configure();
    addReplica(eventsWithoutEnd);
    const SteadyTime startedAt = m_clock.now();
    const std::string answer = exchange(callRequest("/turn/x", "a", "body"), "never");
    EXPECT_LT(m_clock.now() - startedAt, PromptEnd);
    EXPECT_THAT(answer, testing::HasSubstr("<closed>"));
    EXPECT_THAT(answer, testing::Not(testing::HasSubstr("\r\n0\r\n")));
    EXPECT_EQ(m_received.held(), 0U);
}

// A stream that is only passed on takes no memory, and its caller reads as fast as it comes.
TEST_F(EndlessAnswerTest, EventsWithoutEndEndAtTheDeadline)
{
    constexpr Milliseconds CallerTimeout{1'500};
    configure();
    addReplica(eventsWithoutEnd);
    const SteadyTime startedAt = m_clock.now();
    exchangeAtOnce(1, [](int) { return callRequest("/read/x", "a", "body"); });
    EXPECT_GE(m_clock.now() - startedAt, CallerTimeout);
    EXPECT_LT(m_clock.now() - startedAt, CallerTimeout + PromptEnd);
    EXPECT_EQ(m_received.held(), 0U);
}

// Each answer alone is limited; all of them at once must be, too, and others must go on meanwhile.
TEST_F(EndlessAnswerTest, ManyAnswersWithoutEndAtOnceHoldNoMoreThanTheProcessMay)
{
    struct Case
    {
        const char *what;
        const char *path;
        ReplicaBehaviour behaviour;
    };
    const Case cases[] = {
        {"turns", "/turn/x", eventsWithoutEnd},
        {"events", "/read/x",
         [](const std::string &head, const std::string &) {
             return ReplicaScript{.answer = streamHead(head) + chunk("data: "),
                                  .endless = chunk(std::string(16'000, 'x'))};
         }},
        {"bodies", "/tool/x",
         [](const std::string &head, const std::string &) {
             return ReplicaScript{.answer = sealedResponse(head, "", ""),
                                  .endless = std::string(16'000, 'x')};
         }},
        {"fields", "/tool/x",
         [](const std::string &, const std::string &) {
             return ReplicaScript{.answer = "HTTP/1.1 200 OK\r\n",
                                  .endless = repeated("Field: x\r\n", 1'000)};
         }},
        {"trailers", "/turn/x",
         [](const std::string &head, const std::string &) {
             return ReplicaScript{.answer = streamHead(head) + chunk(event(1)) + "0\r\n",
                                  .endless = repeated("Field: x\r\n", 1'000)};
         }},
        {"no answer", "/look/x",
         [](const std::string &, const std::string &) {
             return ReplicaScript{.answer = "", .endless = std::string(16'000, 'x')};
         }},
    };
    constexpr int CallsAtOnce = 30;
    configure();
    for (const Case &item : cases) {
        SCOPED_TRACE(item.what);
        addReplica(item.behaviour, "v1", CallsAtOnce);
        PeakMemory memory(m_context);
        exchangeAtOnce(CallsAtOnce, [&](int number) {
            return callRequest(item.path, absl::StrCat(item.what, number), "body");
        });
        EXPECT_LT(memory.grownBytes(), 2 * ReceiveLimit);
        EXPECT_EQ(m_received.held(), 0U);
        m_replicas.remove(ReplicaId(absl::StrCat("i-", m_scripted.size())), m_clock.now());
    }
}

// Valid events without end gave a caller more tokens than its program's budget holds.
TEST_F(EndlessAnswerTest, ATurnGetsNoMoreEventsThanItsTokensFill)
{
    constexpr std::size_t EventsOfSixtyTokens = 3;
    configure();
    addReplica(smallEventsWithoutEnd);
    for (const char *path : {"/turn/x", "/read/x"}) {
        SCOPED_TRACE(path);
        const std::string answer =
            exchange(callRequest(path, std::string("id") + path[1], "body",
                                 "Token-Usage: 10,60\r\nToken-Budget: 600\r\nProgram-Id: p\r\n"),
                     "<closed>");
        EXPECT_GE(countOf(answer, "data: x"), EventsOfSixtyTokens);
        EXPECT_LE(countOf(answer, "data: x"), EventsOfSixtyTokens + 1);
        EXPECT_THAT(answer, testing::Not(testing::HasSubstr("\r\n0\r\n")));
    }
}

} // namespace boragepath::platform
