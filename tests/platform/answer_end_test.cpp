// Answers of replicas with neither a length nor chunks, which end with their connection.
//
// Guards against such an answer that counts as broken off, and against one that was broken off and
// counts as complete.

#include "tests/support/platform_session.h"

namespace boragepath::platform {

namespace {

const std::string LastChunk = "\r\n0\r\n\r\n";

std::string unframedStreamHead(const std::string &head)
{
    return sealedResponse(head, "Content-Type: text/event-stream\r\n", "");
}

ReplicaScript closingAfter(std::string answer)
{
    return {.answer = std::move(answer), .close = true};
}

} // namespace

class AnswerEndTest : public PlatformSession
{ };

TEST_F(AnswerEndTest, ABodyThatEndsWithItsConnectionIsComplete)
{
    configure();
    ScriptedReplica &replica = addReplica([](const std::string &head, const std::string &) {
        return closingAfter(sealedResponse(head, "", "the whole body"));
    });
    for (const char *path : {"/tool/x", "/look/x"}) {
        const std::string answer = exchange(callRequest(path, "a", "body"), "the whole body");
        EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 200"));
        EXPECT_THAT(answer, testing::HasSubstr("Content-Length: 14\r\n"));
    }
    EXPECT_EQ(replica.heads.size(), 2U);
}

TEST_F(AnswerEndTest, AStreamThatEndsWithItsConnectionIsCompleteAndStored)
{
    configure();
    ScriptedReplica &replica = addReplica([](const std::string &head, const std::string &) {
        return closingAfter(unframedStreamHead(head) + event(1) + event(2));
    });
    for (const char *path : {"/read/x", "/turn/x", "/talk/x"}) {
        SCOPED_TRACE(path);
        const std::string id = std::string("id") + path[1] + path[2];
        EXPECT_THAT(exchange(callRequest(path, id, "input\n"), "<closed>" + LastChunk),
                    testing::HasSubstr(LastChunk));
    }
    exchange(callRequest("/turn/x", "next", "more\n", "Previous-Turn: idtu\r\n"), LastChunk);
    EXPECT_EQ(replica.bodies.back(), "input\nd1\nd2\nmore\n");
}

TEST_F(AnswerEndTest, AStreamThatEndsInsideAnEventIsBrokenOff)
{
    configure();
    addReplica([](const std::string &head, const std::string &) {
        return closingAfter(unframedStreamHead(head) + event(1) + "id: 2\ndata: d");
    });
    for (const char *path : {"/read/x", "/turn/x", "/talk/x"}) {
        SCOPED_TRACE(path);
        const std::string id = std::string("id") + path[1] + path[2];
        const std::string answer = exchange(callRequest(path, id, "input\n"), "<closed>");
        EXPECT_THAT(answer, testing::HasSubstr("data: d1"));
        EXPECT_THAT(answer, testing::Not(testing::HasSubstr("id: 2")));
        EXPECT_THAT(answer, testing::Not(testing::HasSubstr(LastChunk)));
    }
}

TEST_F(AnswerEndTest, AnAnswerWhoseConnectionIsResetIsNotComplete)
{
    configure();
    const auto resets = [](const std::string &head, const std::string &) {
        ReplicaScript script = closingAfter(sealedResponse(head, "", "half of"));
        script.reset = true;
        return script;
    };
    addReplica(resets);
    EXPECT_THAT(exchange(callRequest("/tool/x", "a", "body"), "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 502"));
    addReplica(resets);
    EXPECT_THAT(exchange(callRequest("/look/x", "b", "body"), "\r\n\r\n"),
                testing::StartsWith("HTTP/1.1 502"));
}

/** Bytes that arrive with the end of the connection belong to the answer, not to the next one. */
TEST_F(AnswerEndTest, AConnectionThatEndedAnAnswerIsNotUsedAgain)
{
    configure();
    int requests = 0;
    addReplica([&](const std::string &head, const std::string &) {
        requests += 1;
        return requests % 2 == 1 ? closingAfter(sealedResponse(head, "", "to the end"))
                                 : ReplicaScript{completeResponse(head, "to the end")};
    });
    for (const char *id : {"a", "b", "c", "d", "e"}) {
        EXPECT_THAT(exchange(callRequest("/tool/x", id, "body"), "to the end"),
                    testing::StartsWith("HTTP/1.1 200"))
            << id;
    }
    EXPECT_EQ(requests, 5);
}

} // namespace boragepath::platform
