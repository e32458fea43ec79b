// A replica that stops in the middle of its answer's head, or of what frames the body.
//
// Guards against a success with an empty or short body that is framed as whole.

#include "tests/support/platform_session.h"

namespace boragepath::platform {

namespace {

struct CutAnswer
{
    const char *name;
    /** What arrives before the connection ends, with ID in place of the request's id. */
    std::string bytes;
};

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Sealed = Ok + "Attempt-Id: ID\r\nReplica-Seal: seal\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";

const std::vector<CutAnswer> CutAnswers = {
    {"nothing", ""},
    {"within the status line", "HTTP/1.1 20"},
    {"the status without a line end", "HTTP/1.1 200 OK"},
    {"within the line end of the status", "HTTP/1.1 200 OK\r"},
    {"after the status line", Ok},
    {"after some fields", Sealed},
    {"within a field's name", Sealed + "Content-Le"},
    {"within a field's value", Sealed + "Content-Type: text/eve"},
    {"within the digits of the length", Sealed + "Content-Length: 1"},
    {"a length of 0 before the blank line", Sealed + "Content-Length: 0\r\n"},
    {"within the blank line", Sealed + "Content-Length: 12\r\n\r"},
    {"the head without the body", Sealed + "Content-Length: 12\r\n\r\n"},
    {"a part of the body", Sealed + "Content-Length: 12\r\n\r\nwrong"},
    {"chunks without any", Sealed + Chunked + "\r\n"},
    {"within a chunk's size", Sealed + Chunked + "\r\n1"},
    {"within the line end of a chunk's size", Sealed + Chunked + "\r\n5\r"},
    {"within a chunk", Sealed + Chunked + "\r\n5\r\nwro"},
    {"without the last chunk", Sealed + Chunked + "\r\n5\r\nwrong\r\n"},
    {"within the last chunk", Sealed + Chunked + "\r\n5\r\nwrong\r\n0"},
    {"before the trailer", Sealed + Chunked + "\r\n5\r\nwrong\r\n0\r\n"},
    {"within the trailer", Sealed + Chunked + "\r\n5\r\nwrong\r\n0\r\nDate: x"},
    {"a head without fields", Ok + "\r\n"},
    {"a head without fields, and bytes", Ok + "\r\nwrong"},
    {"HTTP/1.0 within the head", "HTTP/1.0 200 OK\r\nAttempt-Id: ID\r\nReplica-Seal: seal\r\n"},
    {"HTTP/1.0 with a part of the body",
     "HTTP/1.0 200 OK\r\nAttempt-Id: ID\r\nReplica-Seal: seal\r\nContent-Length: 12\r\n\r\nwrong"},
    {"an interim answer alone", Continue},
    {"an interim answer and a part of a head", Continue + Sealed},
    {"two interim answers and a part of a status line", Continue + Continue + "HTTP/1.1 200"},
};

std::string withId(std::string bytes, const std::string &head)
{
    const std::size_t position = bytes.find("ID\r\n");
    return position == std::string::npos ? bytes
                                         : bytes.replace(position, 2, fieldOf(head, "Attempt-Id"));
}

bool mayRunOnce(const std::string &path)
{
    return path == "/tool/x" || path == "/turn/x";
}

/** Statuses that HTTP doesn't know. */
const char *const NoStatuses[] = {"000", "001", "099", "600", "999"};

} // namespace

class BrokenHeadTest : public PlatformSession
{
protected:
    BrokenHeadTest() { configure(); }

    /** Adds replicas that answer as the present check says. */
    void addReplicas(int count)
    {
        for (int number = 0; number < count; ++number) {
            addReplica([this](const std::string &head, const std::string &) {
                m_requests += 1;
                m_connectionsAtRequest = m_scripted.front()->connections;
                return m_answer(head);
            });
        }
    }

    /** Runs @p check for each cut answer, by close and by reset, on each route. */
    void forEachCut(const std::function<void(const std::string &path)> &check)
    {
        for (const CutAnswer &cut : CutAnswers) {
            for (const bool resets : {false, true}) {
                for (const char *path : {"/tool/x", "/look/x", "/read/x", "/turn/x", "/talk/x"}) {
                    SCOPED_TRACE(absl::StrCat(cut.name, resets ? ", reset, " : ", ", path));
                    m_cut = {.answer = cut.bytes, .close = true};
                    m_cut.reset = resets;
                    m_requests = 0;
                    renewReplicas();
                    check(path);
                }
            }
        }
    }

    /** The cut answer of the present check. */
    ReplicaScript cutAnswer(const std::string &head) const
    {
        ReplicaScript script = m_cut;
        script.answer = withId(m_cut.answer, head);
        return script;
    }

    std::string call(const std::string &path)
    {
        m_calls += 1;
        return exchange(callRequest(path, absl::StrCat("call", m_calls), "input\n"), "\r\n\r\n");
    }

    std::function<ReplicaScript(const std::string &head)> m_answer;
    ReplicaScript m_cut;
    /** Requests that the replicas have got in the present check. */
    int m_requests = 0;
    /** Connections to the first replica by its last request. */
    int m_connectionsAtRequest = 0;

private:
    int m_calls = 0;
};

TEST_F(BrokenHeadTest, NoPartOfAnAnswerReachesTheCaller)
{
    addReplicas(3);
    m_answer = [this](const std::string &head) { return cutAnswer(head); };
    forEachCut([this](const std::string &path) {
        const std::string answer = call(path);
        EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 502"));
        EXPECT_THAT(answer, testing::HasSubstr("Content-Length: 0\r\n"));
        EXPECT_THAT(answer, testing::Not(testing::HasSubstr("Replica-Seal")));
        EXPECT_EQ(m_requests, mayRunOnce(path) ? 1 : 2);
    });
}

TEST_F(BrokenHeadTest, ARepeatableCallIsAnsweredWholeByTheNextReplica)
{
    addReplicas(2);
    m_answer = [this](const std::string &head) {
        return m_requests == 1 ? cutAnswer(head) : ReplicaScript{completeResponse(head, "whole")};
    };
    forEachCut([this](const std::string &path) {
        EXPECT_THAT(call(path),
                    testing::StartsWith(mayRunOnce(path) ? "HTTP/1.1 502" : "HTTP/1.1 200"));
    });
}

TEST_F(BrokenHeadTest, AnAnswerThatStopsOnAKeptConnectionReachesNoCaller)
{
    addReplicas(1);
    m_answer = [this](const std::string &head) {
        return m_requests == 1 ? ReplicaScript{completeResponse(head, "whole")} : cutAnswer(head);
    };
    forEachCut([this](const std::string &path) {
        EXPECT_THAT(call(path), testing::StartsWith("HTTP/1.1 200"));
        const int connections = m_connectionsAtRequest;
        EXPECT_THAT(call(path), testing::StartsWith("HTTP/1.1 502"));
        EXPECT_EQ(m_requests, 2);
        EXPECT_EQ(m_connectionsAtRequest, connections) << "not on the kept connection";
    });
}

// Callers got "HTTP/1.1 0 <unknown-status>" and the body of a replica in trouble as an answer.
TEST_F(BrokenHeadTest, AHeadWithAStatusThatHttpDoesNotKnowIsNoAnswer)
{
    addReplicas(3);
    for (const char *status : NoStatuses) {
        for (const char *fields :
             {"Content-Length: 5\r\n", "Not-Executed: 1\r\nContent-Length: 5\r\n",
              "Content-Type: text/event-stream\r\nContent-Length: 5\r\n"}) {
            const std::string bytes =
                absl::StrCat("HTTP/1.1 ", status, " x\r\nAttempt-Id: ID\r\nReplica-Seal: seal\r\n",
                             fields, "\r\nwrong");
            m_answer = [bytes](const std::string &head) {
                return ReplicaScript{withId(bytes, head)};
            };
            for (const char *path : {"/tool/x", "/look/x", "/read/x", "/turn/x", "/talk/x"}) {
                SCOPED_TRACE(absl::StrCat(status, ", ", path));
                m_requests = 0;
                renewReplicas();
                const std::string answer = call(path);
                EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 502"));
                EXPECT_THAT(answer, testing::Not(testing::HasSubstr("wrong")));
                EXPECT_EQ(m_requests, mayRunOnce(path) ? 1 : 2);
            }
        }
    }
}

TEST_F(BrokenHeadTest, WholeAnswersAfterInterimHeadsAndOfHttp10AreDelivered)
{
    addReplicas(1);
    for (const std::string &bytes : {
             Continue + Sealed + "Content-Length: 5\r\n\r\nwhole",
             Continue + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + Sealed + "\r\nwhole",
             std::string("HTTP/1.0 200 OK\r\nAttempt-Id: ID\r\nReplica-Seal: seal\r\n\r\nwhole"),
         }) {
        SCOPED_TRACE(bytes);
        m_answer = [bytes](const std::string &head) {
            return ReplicaScript{.answer = withId(bytes, head), .close = true};
        };
        const std::string answer = exchange(callRequest("/tool/x", "a", "body"), "whole");
        EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 200"));
        EXPECT_THAT(answer, testing::HasSubstr("Content-Length: 5\r\n"));
    }
}

} // namespace boragepath::platform
