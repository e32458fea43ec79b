// A stream that broke off and whose next replica gives no sound continuation.
//
// Guards against the text or the head of an error in the middle of a caller's stream, against a
// stream that ends as if it were complete, and against parts of two answers in one stream.

#include "platform/registry_codec.h"
#include "tests/support/platform_session.h"

namespace boragepath::platform {

namespace {

const std::string LastChunk = "0\r\n\r\n";
const std::string Closed = "<closed>";

/** A resumable stream that may go to three replicas, alone and as a stored turn, and others. */
const std::string Configuration =
    R"({"version":4,"routes":[)"
    R"({"name":"read","host":"h","prefix":"/read/","kind":"streaming","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":2,"resumable":true},)"
    R"({"name":"talk","host":"h","prefix":"/talk/","kind":"streaming","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":3,"resumable":true,"retainContext":true,"keepS":60},)"
    R"({"name":"once","host":"h","prefix":"/once/","kind":"streaming","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":1,"resumable":false},)"
    R"({"name":"look","host":"h","prefix":"/look/","kind":"idempotent","timeoutMs":2000,)"
    R"("targetLatencyMs":60,"service":"app","maxAttempts":3}],)"
    R"("services":[{"name":"app","maxConns":200,"engine":{"tokensPerEvent":20}}],)"
    R"("limits":{"maxHeaderBytes":2000,"maxBodyBytes":5000,"headerTimeoutMs":200,"idleTimeoutMs":1000}})";

/** What replicas answer to a request for the rest of a stream, and then they close. */
struct Continuation
{
    const char *name;
    std::function<std::string(const std::string &head)> answer;
    bool reset = false;
};

std::string eventsFrom(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += chunk(event(id));
    }
    return text;
}

/** A response of the replica with that status line and these fields. */
std::string response(const std::string &head, const std::string &status, const std::string &fields,
                     const std::string &body, bool sealed = true)
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\nAttempt-Id: ", fieldOf(head, "Attempt-Id"),
                        "\r\n", sealed ? "Replica-Seal: seal\r\n" : "", fields, "\r\n", body);
}

std::string withLength(const std::string &head, const std::string &status, const std::string &body,
                       const std::string &fields = "")
{
    return response(head, status, absl::StrCat(fields, "Content-Length: ", body.size(), "\r\n"),
                    body);
}

const std::string EventStream = "Content-Type: text/event-stream\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";

const std::vector<Continuation> ErrorAnswers = {
    {"500", [](const std::string &h) { return withLength(h, "500 Error", "wrong text"); }},
    {"500 without a seal",
     [](const std::string &h) {
         return response(h, "500 Error", "Content-Length: 5\r\n", "wrong", false);
     }},
    {"500 without an id",
     [](const std::string &) {
         return std::string("HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nwrong");
     }},
    {"503", [](const std::string &h) { return withLength(h, "503 Busy", "wrong text"); }},
    {"503 without a body", [](const std::string &h) { return withLength(h, "503 Busy", ""); }},
    {"404", [](const std::string &h) { return withLength(h, "404 Not Found", "wrong text"); }},
    {"429", [](const std::string &h) { return withLength(h, "429 Many", "wrong text"); }},
    {"a redirect",
     [](const std::string &h) {
         return withLength(h, "302 Found", "wrong text", "Location: /read/y\r\n");
     }},
    {"an error in chunks",
     [](const std::string &h) {
         return response(h, "500 Error", Chunked, chunk("wrong text") + LastChunk);
     }},
    {"an error that ends with its connection",
     [](const std::string &h) { return response(h, "500 Error", "", "wrong text"); }},
    {"an event stream of an error",
     [](const std::string &h) {
         return response(h, "500 Error", EventStream + Chunked, eventsFrom(3, 4) + LastChunk);
     }},
    {"an event stream of an error that ends with its connection",
     [](const std::string &h) { return response(h, "500 Error", EventStream, event(3)); }},
};

const std::vector<Continuation> OtherAnswers = {
    {"200 of another type",
     [](const std::string &h) { return withLength(h, "200 OK", "wrong text"); }},
    {"200 of another type in chunks",
     [](const std::string &h) {
         return response(h, "200 OK", Chunked, chunk("wrong text") + LastChunk);
     }},
    {"200 without a seal",
     [](const std::string &h) {
         return response(h, "200 OK", EventStream + Chunked, eventsFrom(3, 4) + LastChunk, false);
     }},
    {"206 as an event stream",
     [](const std::string &h) {
         return response(h, "206 Partial", EventStream + Chunked, eventsFrom(3, 4) + LastChunk);
     }},
    {"206 of another type",
     [](const std::string &h) { return withLength(h, "206 Partial", "wrong text"); }},
    {"204 as an event stream",
     [](const std::string &h) { return response(h, "204 No Content", EventStream, ""); }},
    {"an answer of another request",
     [](const std::string &) {
         return response("\r\nAttempt-Id: other\r\n", "200 OK", EventStream + Chunked,
                         eventsFrom(3, 4) + LastChunk);
     }},
    {"an encoded stream",
     [](const std::string &h) {
         return response(h, "200 OK", "Content-Encoding: gzip\r\n" + EventStream + Chunked,
                         eventsFrom(3, 4) + LastChunk);
     }},
};

const std::vector<Continuation> EarlierPositions = {
    {"from the start",
     [](const std::string &h) { return streamHead(h) + eventsFrom(1, 4) + LastChunk; }},
    {"a repeat", [](const std::string &h) { return streamHead(h) + eventsFrom(2, 4) + LastChunk; }},
    {"events without an id",
     [](const std::string &h) { return streamHead(h) + chunk("data: d3\n\n") + LastChunk; }},
};

const std::vector<Continuation> LaterPositions = {
    {"a gap", [](const std::string &h) { return streamHead(h) + eventsFrom(4, 5) + LastChunk; }},
    {"a gap that ends with its connection",
     [](const std::string &h) { return sealedResponse(h, EventStream, event(4) + event(5)); }},
};

} // namespace

class BrokenStreamTest : public PlatformSession
{
protected:
    BrokenStreamTest()
    {
        const auto table = decodeConfiguration(Configuration, KeyHasher("secret"));
        m_scheduler.setRouteTable(*table);
        m_front.setLimits((*table)->limits);
        for (int count = 0; count < 3; ++count) {
            addReplica([this](const std::string &head, const std::string &body) {
                m_requests += 1;
                m_lastBody = body;
                return m_answer(head);
            });
        }
    }

    /** The first replica breaks off within the third event. */
    static ReplicaScript brokenStream(const std::string &head)
    {
        return {.answer = streamHead(head) + eventsFrom(1, 2) + chunk("id: 3\ndata: d"),
                .close = true};
    }

    static ReplicaScript script(const Continuation &continuation, const std::string &head)
    {
        ReplicaScript result{.answer = continuation.answer(head), .close = true};
        result.reset = continuation.reset;
        return result;
    }

    /** A replica that is asked to go on answers like this. */
    void answerWith(const Continuation &continuation)
    {
        renewReplicas();
        m_requests = 0;
        m_answer = [continuation](const std::string &head) {
            return fieldOf(head, "Last-Event-Id").empty() ? brokenStream(head)
                                                          : script(continuation, head);
        };
    }

    static std::string bodyOf(const std::string &answer)
    {
        return answer.substr(answer.find("\r\n\r\n") + 4);
    }

    /** The caller gets the first events and nothing else, and its connection ends without an end
     * of the stream. */
    void expectBrokenOff(const std::vector<Continuation> &continuations)
    {
        int number = 0;
        for (const Continuation &continuation : continuations) {
            SCOPED_TRACE(continuation.name);
            for (const char *path : {"/read/x", "/talk/x"}) {
                answerWith(continuation);
                const std::string id = absl::StrCat("id", ++number);
                const std::string answer = exchange(callRequest(path, id, "input\n"), LastChunk);
                EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 200"));
                EXPECT_EQ(bodyOf(answer), eventsFrom(1, 2) + Closed) << path;
                expectNoRecordOf(path, id);
            }
        }
    }

    /** A turn that no caller has got whole is no turn that another can continue. */
    void expectNoRecordOf(const std::string &path, const std::string &id)
    {
        if (path != "/talk/x") {
            return;
        }
        const std::string answer = exchange(
            callRequest(path, id + "-next", "more\n", absl::StrCat("Previous-Turn: ", id, "\r\n")),
            "\r\n\r\n");
        EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 404"));
    }

    /** A caller takes up a stream of another VM after its second event. */
    void expectNothingTakenUp(const std::vector<Continuation> &continuations)
    {
        for (const Continuation &continuation : continuations) {
            SCOPED_TRACE(continuation.name);
            answerWith(continuation);
            const std::string answer =
                exchange(callRequest("/read/x", "a", "input\n", "Last-Event-Id: 2\r\n"), Closed);
            EXPECT_THAT(answer, testing::Not(testing::HasSubstr("data: ")));
            EXPECT_THAT(answer, testing::Not(testing::HasSubstr("\r\n" + LastChunk)));
        }
    }

    std::function<ReplicaScript(const std::string &head)> m_answer;
    /** Requests that the replicas have got of the present call. */
    int m_requests = 0;
    /** Body of the last one. */
    std::string m_lastBody;
};

TEST_F(BrokenStreamTest, AnErrorOfTheNextReplicaBreaksTheStreamOff)
{
    expectBrokenOff(ErrorAnswers);
}

TEST_F(BrokenStreamTest, AnAnswerThatIsNoContinuationBreaksTheStreamOff)
{
    expectBrokenOff(OtherAnswers);
}

// The caller got a stream without its third event, or the events of a run that had begun anew
// after those of the run before.
TEST_F(BrokenStreamTest, AStreamThatGoesOnAtAnotherPositionIsBrokenOff)
{
    expectBrokenOff(EarlierPositions);
    expectBrokenOff(LaterPositions);
}

TEST_F(BrokenStreamTest, AStreamThatItsCallerTakesUpDoesNotGoOnAtAnEarlierPosition)
{
    expectNothingTakenUp(EarlierPositions);
}

// From the second event on it is known whether the ids of such a stream grow by one.
TEST_F(BrokenStreamTest, AStreamThatItsCallerHasTakenUpDoesNotGoOnBehindAGap)
{
    m_answer = [this](const std::string &head) {
        return m_requests == 1
            ? ReplicaScript{.answer = streamHead(head) + eventsFrom(3, 4), .close = true}
            : ReplicaScript{streamHead(head) + eventsFrom(6, 7) + LastChunk};
    };
    const std::string answer =
        exchange(callRequest("/read/x", "a", "input\n", "Last-Event-Id: 2\r\n"), Closed);
    EXPECT_EQ(bodyOf(answer), eventsFrom(3, 4) + Closed);
}

TEST_F(BrokenStreamTest, ANextReplicaThatStopsInItsHeadBreaksTheStreamOff)
{
    std::vector<Continuation> continuations;
    const std::vector<std::string> cutHeads = {"",
                                               "HTTP/1.1 200 OK",
                                               "HTTP/1.1 200 OK\r\n",
                                               "HTTP/1.1 200 OK\r\nContent-Ty",
                                               "HTTP/1.1 500 Error\r\nContent-Length: 1",
                                               "HTTP/1.1 100 Continue\r\n\r\n",
                                               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
                                               "HTTP/1.1 200 OK\r\n\r\n",
                                               "HTTP/1.0 200 OK\r\n\r\nwrong text"};
    for (const std::string &bytes : cutHeads) {
        for (const bool reset : {false, true}) {
            continuations.push_back(
                {bytes.c_str(), [bytes](const std::string &) { return bytes; }, reset});
        }
    }
    const auto cutAfterSeal = [](const std::string &h) {
        const std::string head = streamHead(h);
        return head.substr(0, head.size() - 2);
    };
    continuations.push_back({"cut before the last line end", cutAfterSeal, false});
    continuations.push_back({"reset before the last line end", cutAfterSeal, true});
    expectBrokenOff(continuations);
}

TEST_F(BrokenStreamTest, ANextReplicaThatBreaksOffTooBreaksTheStreamOff)
{
    const std::vector<Continuation> continuations = {
        {"a head alone", [](const std::string &h) { return streamHead(h); }},
        {"within a chunk's size", [](const std::string &h) { return streamHead(h) + "1"; }},
        {"within a chunk", [](const std::string &h) { return streamHead(h) + "40\r\nid: 3\nd"; }},
        {"within the trailer",
         [](const std::string &h) { return streamHead(h) + "0\r\nTrailer: x"; }},
        {"without the last chunk's end",
         [](const std::string &h) { return streamHead(h) + "0\r\n"; }},
        {"a head in place of a chunk",
         [](const std::string &h) { return streamHead(h) + completeResponse(h, "wrong"); }},
        {"within an event, without a length",
         [](const std::string &h) { return sealedResponse(h, EventStream, "id: 3\ndata: d3\n"); }},
        {"a reset without a length",
         [](const std::string &h) { return sealedResponse(h, EventStream, ""); }, true},
        {"a length that isn't reached",
         [](const std::string &h) {
             return sealedResponse(h, EventStream + "Content-Length: 90\r\n", "id: 3\nda");
         }},
    };
    expectBrokenOff(continuations);
}

// A head in a body that ends with its connection was passed on as an event.
TEST_F(BrokenStreamTest, AHeadInTheMiddleOfAStreamIsNoEvent)
{
    for (const bool isChunked : {false, true}) {
        m_answer = [isChunked](const std::string &head) {
            const std::string first = event(1) + event(2);
            const std::string second = completeResponse(head, "wrong text\n\n");
            const std::string body =
                isChunked ? chunk(first) + chunk(second) + LastChunk : first + second;
            return ReplicaScript{
                .answer = sealedResponse(head, EventStream + (isChunked ? Chunked : ""), body),
                .close = true};
        };
        const std::string answer = exchange(callRequest("/once/x", "a", "input\n"), Closed);
        EXPECT_EQ(bodyOf(answer), eventsFrom(1, 2) + Closed);
    }
}

// The next replica repeated such a stream from its start.
TEST_F(BrokenStreamTest, AStreamWithoutIdsDoesNotGoOnElsewhere)
{
    m_answer = [](const std::string &head) {
        return ReplicaScript{.answer = streamHead(head) + chunk("data: d1\n\n"), .close = true};
    };
    const std::string answer = exchange(callRequest("/read/x", "a", "input\n"), LastChunk);
    EXPECT_EQ(bodyOf(answer), chunk("data: d1\n\n") + Closed);
    EXPECT_EQ(m_requests, 1);
}

// The first replica sent events on a route whose answers are no streams. The next one began anew,
// and its later events followed those of the first.
TEST_F(BrokenStreamTest, AStreamOnARouteWithoutStreamsDoesNotGoOnElsewhere)
{
    m_answer = [this](const std::string &head) {
        return m_requests == 1
            ? ReplicaScript{.answer = streamHead(head) + eventsFrom(1, 2), .close = true}
            : ReplicaScript{streamHead(head) + eventsFrom(1, 4) + LastChunk};
    };
    const std::string answer = exchange(callRequest("/look/x", "a", "body"), LastChunk);
    EXPECT_EQ(bodyOf(answer), eventsFrom(1, 2) + Closed);
    EXPECT_EQ(m_requests, 1);
}

TEST_F(BrokenStreamTest, AfterAnErrorTheStreamGoesOnWhereAttemptsAreLeft)
{
    std::vector<Continuation> failures = ErrorAnswers;
    failures.insert(failures.end(), OtherAnswers.begin(), OtherAnswers.end());
    failures.insert(failures.end(), EarlierPositions.begin(), EarlierPositions.end());
    failures.insert(failures.end(), LaterPositions.begin(), LaterPositions.end());
    failures.push_back({"declined", [](const std::string &h) {
                            return withLength(h, "503 Busy", "wrong", "Not-Executed: 1\r\n");
                        }});
    failures.push_back({"another replica", [](const std::string &h) {
                            return withLength(h, "421 Misdirected", "wrong");
                        }});
    int number = 0;
    for (const Continuation &failure : failures) {
        SCOPED_TRACE(failure.name);
        renewReplicas();
        m_requests = 0;
        m_answer = [this, failure](const std::string &head) {
            return m_requests == 1 ? brokenStream(head)
                : m_requests == 2  ? script(failure, head)
                                   : ReplicaScript{streamHead(head) + eventsFrom(3, 4) + LastChunk};
        };
        const std::string id = absl::StrCat("id", ++number);
        const std::string answer = exchange(callRequest("/talk/x", id, "input\n"), LastChunk);
        EXPECT_EQ(bodyOf(answer), eventsFrom(1, 4) + LastChunk);
        EXPECT_EQ(m_requests, 3);
        exchange(callRequest("/talk/x", id + "-next", "more\n",
                             absl::StrCat("Previous-Turn: ", id, "\r\n")),
                 LastChunk);
        EXPECT_EQ(m_lastBody, "input\nd1\nd2\nd3\nd4\nmore\n");
    }
}

// Ids only have to increase: those of some replicas do so by more than one.
TEST_F(BrokenStreamTest, AStreamWhoseIdsGrowByStepsGoesOnAtItsNextEvent)
{
    m_answer = [this](const std::string &head) {
        return m_requests == 1
            ? ReplicaScript{.answer = streamHead(head) + chunk(event(10)) + chunk(event(20)),
                            .close = true}
            : ReplicaScript{streamHead(head) + chunk(event(30)) + LastChunk};
    };
    const std::string answer = exchange(callRequest("/read/x", "a", "input\n"), LastChunk);
    EXPECT_EQ(bodyOf(answer), chunk(event(10)) + chunk(event(20)) + chunk(event(30)) + LastChunk);
}

// Ids only have to increase. A caller that takes up a sound stream got 502, though it had run.
TEST_F(BrokenStreamTest, AStreamWhoseIdsGrowByStepsCanBeTakenUpByItsCaller)
{
    m_answer = [](const std::string &head) {
        return ReplicaScript{streamHead(head) + chunk(event(30)) + chunk(event(40)) + LastChunk};
    };
    const std::string answer =
        exchange(callRequest("/read/x", "a", "input\n", "Last-Event-Id: 20\r\n"), LastChunk);
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(answer, testing::HasSubstr(chunk(event(30)) + chunk(event(40)) + LastChunk));
    EXPECT_EQ(m_requests, 1);
}

// The same after the first event, when no second id has shown how the ids grow.
TEST_F(BrokenStreamTest, AStreamWhoseIdsGrowByStepsGoesOnAfterItsFirstEvent)
{
    m_answer = [this](const std::string &head) {
        return m_requests == 1
            ? ReplicaScript{.answer = streamHead(head) + chunk(event(10)), .close = true}
            : ReplicaScript{streamHead(head) + chunk(event(20)) + LastChunk};
    };
    const std::string answer = exchange(callRequest("/read/x", "a", "input\n"), LastChunk);
    EXPECT_EQ(bodyOf(answer), chunk(event(10)) + chunk(event(20)) + LastChunk);
}

// The first replica ended after its last event and before the end of the stream.
TEST_F(BrokenStreamTest, AfterTheLastEventTheNextReplicaOnlyEndsTheStream)
{
    answerWith({"nothing is left", [](const std::string &h) { return streamHead(h) + LastChunk; }});
    const std::string answer = exchange(callRequest("/read/x", "a", "input\n"), LastChunk);
    EXPECT_EQ(bodyOf(answer), eventsFrom(1, 2) + LastChunk);
}

} // namespace boragepath::platform
