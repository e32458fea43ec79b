// Streams while replicas of several software versions serve side by side.

#include "tests/support/platform_session.h"

#include <algorithm>
#include <set>

namespace boragepath::platform {

namespace {

/** Ends in the middle of the third event unless it is asked to go on after an event. */
ReplicaScript breakOffThenComplete(const std::string &head, const std::string &)
{
    const std::string after = fieldOf(head, "Last-Event-Id");
    if (after.empty()) {
        return {absl::StrCat(streamHead(head), chunk(event(1) + event(2)), chunk("id: 3\nda")),
                true};
    }
    std::string rest;
    for (int id = std::stoi(after) + 1; id <= 4; ++id) {
        rest += event(id);
    }
    return {absl::StrCat(streamHead(head), chunk(rest), "0\r\n\r\n")};
}

/** Runs streams on replicas of two versions; what two versions write does not fit together. */
class SoftwareVersionTest : public PlatformSession
{
protected:
    SoftwareVersionTest() { configure(); }

    /** Sends a new stream, which breaks off after its second event. */
    std::string begin(const std::string &attempt)
    {
        return exchange(callRequest("/read/x", attempt, "body"), "0\r\n\r\n");
    }

    /** Takes up the stream that @p first began. */
    std::string takeUp(const std::string &attempt, const std::string &first)
    {
        return exchange(callRequest("/read/x", attempt, "body",
                                    absl::StrCat("Resumes: ", first, "\r\nLast-Event-Id: 2\r\n")),
                        "\r\n\r\n");
    }

    /** Versions of the replicas that were sent this attempt. */
    std::set<std::string> versionsThatServed(const std::string &attempt) const
    {
        std::set<std::string> versions;
        for (std::size_t index = 0; index < m_scripted.size(); ++index) {
            const ReplicaId id(absl::StrCat("i-", index + 1));
            for (const std::string &head : m_scripted[index]->heads) {
                if (fieldOf(head, "Attempt-Id") == attempt) {
                    versions.insert(m_replicas.find(id)->entry.softwareVersion.value());
                }
            }
        }
        return versions;
    }

    static std::size_t resumedRequests(const ScriptedReplica &replica)
    {
        return static_cast<std::size_t>(
            std::count_if(replica.heads.begin(), replica.heads.end(), [](const std::string &head) {
                return !fieldOf(head, "Last-Event-Id").empty();
            }));
    }
};

} // namespace

TEST_F(SoftwareVersionTest, StreamDoesNotGoOnAtAnotherVersionWithinOneAnswer)
{
    ScriptedReplica &first = addReplica(breakOffThenComplete, "v1.2");
    ScriptedReplica &second = addReplica(breakOffThenComplete, "v1");
    {
        SCOPED_TRACE("no other replica of its version: the answer ends as broken off");
        EXPECT_THAT(begin("a"), testing::EndsWith("<closed>"));
        EXPECT_EQ(first.heads.size() + second.heads.size(), 1U);
    }
    {
        SCOPED_TRACE("replicas of both versions: it goes on at its own");
        addReplica(breakOffThenComplete, "v1.2");
        addReplica(breakOffThenComplete, "v1");
        for (const char *attempt : {"b", "c", "d", "e", "f"}) {
            EXPECT_THAT(begin(attempt), testing::EndsWith("0\r\n\r\n"));
            EXPECT_EQ(versionsThatServed(attempt).size(), 1U);
        }
    }
}

TEST_F(SoftwareVersionTest, StreamThatItsCallerTakesUpGoesOnAtTheVersionThatBeganIt)
{
    addReplica(breakOffThenComplete, "v1.2");
    begin("a");
    ScriptedReplica &old = addReplica(breakOffThenComplete, "v1");
    {
        SCOPED_TRACE("every replica of its version is gone: refused at once, run by none");
        m_replicas.remove(ReplicaId("i-1"), m_clock.now());
        EXPECT_THAT(takeUp("b", "a"), testing::StartsWith("HTTP/1.1 503"));
        EXPECT_TRUE(old.heads.empty());
    }
    {
        SCOPED_TRACE("a replica of its version serves again");
        ScriptedReplica &same = addReplica(breakOffThenComplete, "v1.2");
        EXPECT_THAT(takeUp("c", "a"), testing::StartsWith("HTTP/1.1 200"));
        EXPECT_EQ(resumedRequests(same), 1U);
        EXPECT_TRUE(old.heads.empty());
    }
}

/** Two positions in one request would let the replica choose where it goes on. */
TEST_F(SoftwareVersionTest, TakenUpStreamThatBreaksOffAgainGoesOnAfterItsNewestEvent)
{
    const ReplicaBehaviour oneEventAtATime = [](const std::string &head, const std::string &) {
        const std::string after = fieldOf(head, "Last-Event-Id");
        const int next = after.empty() ? 1 : std::stoi(after) + 1;
        if (next == 4) {
            return ReplicaScript{absl::StrCat(streamHead(head), chunk(event(next)), "0\r\n\r\n")};
        }
        return ReplicaScript{absl::StrCat(streamHead(head), chunk(event(next))), true};
    };
    ScriptedReplica &first = addReplica(oneEventAtATime);
    ScriptedReplica &second = addReplica(oneEventAtATime);
    const std::string answer =
        exchange(callRequest("/read/x", "b", "body", "Last-Event-Id: 2\r\n"), "0\r\n\r\n");
    EXPECT_THAT(answer, testing::HasSubstr(chunk(event(3)) + chunk(event(4))));
    ASSERT_EQ(first.heads.size(), 1U);
    ASSERT_EQ(second.heads.size(), 1U);
    std::multiset<std::string> positions;
    for (const std::string &head : {first.heads.at(0), second.heads.at(0)}) {
        positions.insert(fieldOf(head, "Last-Event-Id"));
        EXPECT_EQ(head.find("Last-Event-Id"), head.rfind("Last-Event-Id")) << head;
    }
    EXPECT_EQ(positions, (std::multiset<std::string>{"2", "3"}));
}

TEST_F(SoftwareVersionTest, StreamOfUnknownVersionIsRefusedWhileVersionsServeSideBySide)
{
    ScriptedReplica &first = addReplica(breakOffThenComplete, "v1.2");
    ScriptedReplica &second = addReplica(breakOffThenComplete, "v1");
    EXPECT_THAT(takeUp("b", "begun-elsewhere"), testing::StartsWith("HTTP/1.1 503"));
    EXPECT_TRUE(first.heads.empty());
    EXPECT_TRUE(second.heads.empty());
}

} // namespace boragepath::platform
