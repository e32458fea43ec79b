// Turns that are stored and that their callers take up again after a broken connection.
//
// Guards against a conversation that goes on without the events before the resumption.

#include "tests/support/platform_session.h"

namespace boragepath::platform {

namespace {

constexpr int EventsBeforeTheBreak = 2;
constexpr int Events = 4;

std::string eventsFrom(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += chunk(event(id));
    }
    return text;
}

/** Breaks off after some events, unless the stream is taken up there. */
ReplicaScript breaksOffOnce(const std::string &head, const std::string &)
{
    const std::string lastEvent = fieldOf(head, "Last-Event-Id");
    if (lastEvent.empty()) {
        return {.answer = streamHead(head) + eventsFrom(1, EventsBeforeTheBreak), .close = true};
    }
    return {streamHead(head) + eventsFrom(std::stoi(lastEvent) + 1, Events) + "0\r\n\r\n"};
}

std::string turnFields(const std::string &fields)
{
    return "Program-Id: p\r\nSession-Id: s\r\nToken-Usage: 10,200\r\n" + fields;
}

} // namespace

class ResumedTurnTest : public PlatformSession
{ };

TEST_F(ResumedTurnTest, TheNextTurnGetsAllEventsThatTheCallerGot)
{
    configure();
    ScriptedReplica &replica = addReplica(breaksOffOnce);
    {
        SCOPED_TRACE("the replica breaks off, and no other one is left");
        const std::string answer =
            exchange(callRequest("/talk/x", "first", "input\n", turnFields("")), "<closed>");
        EXPECT_THAT(answer, testing::HasSubstr("data: d2"));
        EXPECT_THAT(answer, testing::Not(testing::HasSubstr("\r\n0\r\n")));
    }
    {
        SCOPED_TRACE("the caller takes the stream up");
        EXPECT_THAT(exchange(callRequest("/talk/x", "second", "input\n",
                                         turnFields("Last-Event-Id: 2\r\nResumes: first\r\n")),
                             "\r\n0\r\n"),
                    testing::HasSubstr("data: d4"));
    }
    exchange(callRequest("/talk/x", "third", "more\n", turnFields("Previous-Turn: second\r\n")),
             "<closed>");
    EXPECT_EQ(replica.bodies.back(), "input\nd1\nd2\nd3\nd4\nmore\n");
}

TEST_F(ResumedTurnTest, AReplicaThatTakesOverWithinOneAnswerAddsToTheOutput)
{
    configure();
    ScriptedReplica &first = addReplica(breaksOffOnce);
    ScriptedReplica &second = addReplica(breaksOffOnce);
    EXPECT_THAT(exchange(callRequest("/talk/x", "first", "input\n", turnFields("")), "\r\n0\r\n"),
                testing::HasSubstr("data: d4"));
    exchange(callRequest("/talk/x", "next", "more\n", turnFields("Previous-Turn: first\r\n")),
             "\r\n0\r\n");
    const bool isLastAtFirst = first.bodies.size() > second.bodies.size();
    EXPECT_EQ((isLastAtFirst ? first : second).bodies.back(), "input\nd1\nd2\nd3\nd4\nmore\n");
}

// The next turn's body had a line feed too many for each comment that kept the connection open, and
// comments used tokens of the program's budget.
TEST_F(ResumedTurnTest, CommentsInAStreamAreNoPartOfTheConversation)
{
    configure();
    const std::string comment = chunk(": still at work\n\n");
    ScriptedReplica &replica = addReplica([&](const std::string &head, const std::string &) {
        return ReplicaScript{streamHead(head) + comment + eventsFrom(1, 1) + comment + comment
                             + chunk("id: 2\ndata:\n\n") + comment + eventsFrom(3, 3) + comment
                             + "0\r\n\r\n"};
    });
    for (const char *path : {"/turn/x", "/talk/x"}) {
        SCOPED_TRACE(path);
        const std::string first = std::string("first") + path[2];
        const std::string budget = "Token-Budget: 60\r\n";
        const std::string answer =
            exchange(callRequest(path, first, "input\n",
                                 "Program-Id: " + first + "\r\nToken-Usage: 10,60\r\n" + budget),
                     "\r\n0\r\n");
        EXPECT_THAT(answer, testing::HasSubstr("data: d3"));
        EXPECT_THAT(answer, testing::HasSubstr(": still at work"));
        exchange(callRequest(path, first + "-next", "more\n",
                             turnFields("Previous-Turn: " + first + "\r\n")),
                 "\r\n0\r\n");
        EXPECT_EQ(replica.bodies.back(), "input\nd1\n\nd3\nmore\n");
    }
}

// Recording what is known would lose the rest; answering 404 later would lose the conversation.
TEST_F(ResumedTurnTest, AStreamWhoseBeginningNobodyKnowsIsRefusedAsNotRun)
{
    configure();
    ScriptedReplica &replica = addReplica(breaksOffOnce);
    for (const char *fields :
         {"Last-Event-Id: 2\r\nResumes: unknown\r\n", "Last-Event-Id: 2\r\n"}) {
        const std::string answer =
            exchange(callRequest("/talk/x", "second", "input\n", turnFields(fields)), "\r\n\r\n");
        EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 503"));
    }
    EXPECT_TRUE(replica.bodies.empty());
}

} // namespace boragepath::platform
