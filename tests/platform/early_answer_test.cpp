// A replica that answers an upload at once, with a success that has no length, sends a part of its
// body, and resets the connection.
//
// Guards against that part as a complete answer: such an answer ends with its connection, and the
// error of the reset may be taken by the write of the upload.

#include "tests/support/early_server.h"
#include "tests/support/platform_session.h"

namespace boragepath::platform {

namespace {

const Endpoint EarlyEndpoint{"127.0.0.9", 17'931};
/** More than the sockets on the way hold, and an upload that they hold whole. */
constexpr std::size_t LongUpload = 12UL << 20;
constexpr std::size_t ShortUpload = 500;

const std::string Head = "HTTP/1.1 200 OK\r\nAttempt-Id: call\r\nReplica-Seal: seal\r\n";
const std::string Event = "id: 1\ndata: d1\n\n";

struct EarlyAnswer
{
    const char *name;
    std::string bytes;
};

const EarlyAnswer EarlyAnswers[] = {
    {"a part of a body", Head + "\r\npart"},
    {"a head alone", Head + "\r\n"},
    {"an event", Head + "Content-Type: text/event-stream\r\n\r\n" + Event},
    {"an event of HTTP/1.0",
     "HTTP/1.0 200 OK\r\nAttempt-Id: call\r\nReplica-Seal: seal\r\n"
     "Content-Type: text/event-stream\r\n\r\n"
         + Event},
};

} // namespace

class EarlyAnswerTest : public PlatformSession
{
protected:
    EarlyAnswerTest()
    {
        configure();
        CallerLimits limits;
        limits.maxBodyBytes = 2 * LongUpload;
        limits.idleTimeout = Milliseconds(100);
        m_front.setLimits(limits);
    }

    /** Registers the early replica, under an id that nothing is known of. */
    void renewEarlyReplica()
    {
        m_replicas.remove(m_entry.id, m_clock.now());
        m_count += 1;
        m_entry.id = ReplicaId(absl::StrCat("early-", m_count));
        m_entry.service = PoolName("app");
        m_entry.endpoint = EarlyEndpoint;
        m_entry.zone = ZoneId("z");
        m_entry.slots = 4;
        m_replicas.put(m_entry);
    }

    EarlyServer m_early{m_context, EarlyEndpoint};

private:
    ReplicaEntry m_entry;
    int m_count = 0;
};

TEST_F(EarlyAnswerTest, APartOfAnAnswerIsNotCompleteIfTheConnectionIsResetDuringTheUpload)
{
    for (const EarlyAnswer &early : EarlyAnswers) {
        for (const char *path : {"/tool/x", "/look/x", "/read/x", "/turn/x", "/talk/x"}) {
            for (const std::size_t bytes : {ShortUpload, LongUpload}) {
                SCOPED_TRACE(absl::StrCat(early.name, ", ", path, ", ", bytes, " B"));
                m_early.answer = early.bytes;
                m_early.requests = 0;
                renewEarlyReplica();
                const std::string answer =
                    exchange(callRequest(path, "call", std::string(bytes, 'x')), "<closed>");
                EXPECT_GT(m_early.requests, 0);
                const bool isBrokenStream = answer.starts_with("HTTP/1.1 200")
                    && answer.find("Transfer-Encoding: chunked") != std::string::npos
                    && answer.find("\r\n0\r\n") == std::string::npos
                    && answer.ends_with("<closed>");
                EXPECT_TRUE(isBrokenStream || answer.starts_with("HTTP/1.1 502")) << answer;
            }
        }
    }
}

} // namespace boragepath::platform
