// Conversations that are stored in the records of their turns.

#include "control/turn_archive.h"
#include "tests/support/memory_row_store.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <optional>

namespace boragepath {

namespace {

constexpr std::size_t CacheBytes = 100'000;

/** The archives of two VMs that share one store. */
class TwoArchives
{
public:
    explicit TwoArchives(std::uint64_t seed = 5)
        : timers(clock)
        , store(timers, seed)
        , health(clock)
        , writer(clock, timers, store, health, CacheBytes, seed)
        , reader(clock, timers, store, health, CacheBytes, seed + 1)
    { }

    std::pair<TurnLookup, std::string> find(const std::string &turn)
    {
        std::optional<TurnLookup> lookup;
        ConversationSnapshotPtr found;
        reader.find(AttemptId(turn), clock.now() + Seconds(1),
                    [&](TurnLookup result, const ConversationSnapshotPtr &snapshot) {
                        lookup = result;
                        found = snapshot;
                    });
        timers.run(Seconds(3));
        return {lookup.value(), found == nullptr ? std::string() : *found->text};
    }

    bool record(const std::string &turn, const std::string &text,
                Seconds turnRetention = Seconds(60))
    {
        bool done = false;
        writer.record(AttemptId(turn), nullptr, text, turnRetention, [&] { done = true; });
        timers.run(Seconds(30));
        return done;
    }

    /** The text up to a turn as a VM reads it that has started since; empty if it is not found. */
    std::string findWithoutCache(const std::string &turn)
    {
        TurnArchive archive(clock, timers, store, health, 0, 1);
        std::string text;
        archive.find(AttemptId(turn), clock.now() + Seconds(1),
                     [&](TurnLookup, const ConversationSnapshotPtr &snapshot) {
                         text = snapshot == nullptr ? std::string() : *snapshot->text;
                     });
        timers.run(Seconds(1));
        return text;
    }

    ManualClock clock;
    ManualTimers timers;
    MemoryRowStore store;
    StoreHealth health;
    TurnArchive writer;
    TurnArchive reader;
};

} // namespace

TEST(TurnArchive, FindsATurnThatAnotherVmRecorded)
{
    TwoArchives archives;
    ASSERT_TRUE(archives.record("turn", "what was said"));
    EXPECT_EQ(archives.find("turn"), std::pair(TurnLookup::Found, std::string("what was said")));
}

TEST(TurnArchive, ReportsAbsentOnlyIfTheStoreHasAnswered)
{
    TwoArchives archives;
    {
        SCOPED_TRACE("the store has no such turn");
        EXPECT_EQ(archives.find("never").first, TurnLookup::Absent);
    }
    {
        SCOPED_TRACE("an id that no turn can have");
        EXPECT_EQ(archives.find("a/b").first, TurnLookup::Absent);
    }
    {
        SCOPED_TRACE("the store does not answer");
        archives.store.faults().unavailable = true;
        EXPECT_EQ(archives.find("unknown").first, TurnLookup::StoreUnavailable);
    }
}

TEST(TurnArchive, RecordsDespiteLostAnswersAndRefusals)
{
    TwoArchives archives;
    archives.store.faults() = {0.4, 0.4, 0.2, false};
    ASSERT_TRUE(archives.record("turn", std::string(120'000, 'x')));
    archives.store.faults() = {};
    EXPECT_EQ(archives.find("turn").second.size(), 120'000U);
}

// The store takes 1 MB and 100 rows in a call. The record of a longer conversation was written in
// one, was never stored, and the answer of its turn never ended.
TEST(TurnArchive, RecordsAConversationThatIsLongerThanACallToTheStore)
{
    for (const std::size_t size : {1'000'000, 1'200'000, 5'000'000}) {
        SCOPED_TRACE(size);
        TwoArchives archives;
        archives.store.faults() = {0.1, 0.1, 0, false};
        const std::string text(size, 'x');
        ASSERT_TRUE(archives.record("turn", text, Seconds(100)));
        archives.store.faults() = {};
        const auto found = archives.find("turn");
        EXPECT_EQ(found.first, TurnLookup::Found);
        EXPECT_TRUE(found.second == text);
        archives.timers.run(Seconds(150));
        EXPECT_TRUE(archives.store.rows().empty()) << archives.store.rows().size();
    }
}

// A VM is killed while it writes a record in several calls, or the rows are removed in several.
TEST(TurnArchive, APartOfARecordIsNotTakenForTheWhole)
{
    constexpr std::size_t Size = 1'200'000;
    TwoArchives archives;
    bool recorded = false;
    archives.writer.record(AttemptId("turn"), nullptr, std::string(Size, 'x'), Seconds(60),
                           [&] { recorded = true; });
    while (!recorded) {
        archives.timers.run(Milliseconds(2));
        if (!recorded) {
            EXPECT_EQ(archives.find("turn").first, TurnLookup::Absent);
        }
    }
    const std::vector<RowName> names = turnRowNames(AttemptId("turn"), turnRowCount(Size));
    const std::map<RowName, StoreRow> rows = archives.store.rows();
    for (const RowName &missing : names) {
        archives.store.remove(missing);
        EXPECT_EQ(archives.find("turn").first, TurnLookup::Absent) << missing.key;
        archives.store.put(missing, rows.at(missing).value);
    }
    EXPECT_EQ(archives.find("turn").first, TurnLookup::Found);
}

TEST(TurnArchive, RemovesTurnsAfterTheirRetention)
{
    TwoArchives archives;
    ASSERT_TRUE(archives.record("old", "text", Seconds(10)));
    archives.timers.run(Seconds(60));
    ASSERT_TRUE(archives.record("new", "text", Seconds(10)));
    EXPECT_EQ(archives.find("old").first, TurnLookup::Absent);
    EXPECT_EQ(archives.find("new").first, TurnLookup::Found);
}

/** A dialogue whose turns alternate between two VMs, each with a small cache. */
class Dialogue
{
public:
    explicit Dialogue(TwoArchives &archives)
        : m_archives(archives)
    { }

    /** Adds a turn, and checks that the VM of this turn finds the whole conversation before it. */
    void addTurn(const std::string &addedText, Seconds turnRetention = Seconds(60))
    {
        const AttemptId previous("turn-" + std::to_string(m_turns));
        ConversationSnapshotPtr previousSnapshot;
        if (m_turns > 0) {
            vm().find(previous, m_archives.clock.now() + Seconds(2),
                      [&](TurnLookup, const ConversationSnapshotPtr &snapshot) {
                          previousSnapshot = snapshot;
                      });
            m_archives.timers.run(Seconds(1));
            ASSERT_NE(previousSnapshot, nullptr) << previous.value();
            ASSERT_EQ(*previousSnapshot->text, text);
        }
        m_turns += 1;
        text += addedText;
        bool done = false;
        vm().record(AttemptId("turn-" + std::to_string(m_turns)), previousSnapshot, text,
                    turnRetention, [&] { done = true; });
        m_archives.timers.run(Milliseconds(100));
        ASSERT_TRUE(done);
    }

    std::string text;

private:
    TurnArchive &vm() { return m_turns % 2 == 0 ? m_archives.writer : m_archives.reader; }

    TwoArchives &m_archives;
    int m_turns = 0;
};

std::size_t storedBytes(const MemoryRowStore &store)
{
    std::size_t bytes = 0;
    for (const auto &[name, row] : store.rows()) {
        bytes += row.value.size();
    }
    return bytes;
}

TEST(TurnArchive, DoesNotStoreTheWholeDialogueWithEachTurn)
{
    TwoArchives archives;
    Dialogue dialogue(archives);
    dialogue.addTurn(std::string(13'000, 'a'));
    for (int turn = 0; turn < 11; ++turn) {
        dialogue.addTurn(std::string(2'500, static_cast<char>('b' + turn)));
        if (testing::Test::HasFatalFailure()) {
            return;
        }
    }
    // If each turn stored the whole conversation, the twelve turns would take 321 KB.
    EXPECT_LT(storedBytes(archives.store), dialogue.text.size() * 5 / 2);
}

TEST(TurnArchive, KeepsSegmentsAsLongAsTheTurnsThatReferToThem)
{
    TwoArchives archives;
    Dialogue dialogue(archives);
    // With pauses of 25 s, all segments reach their maximum age while the dialogue goes on.
    for (int turn = 0; turn < 20; ++turn) {
        dialogue.addTurn(std::string(9'000, static_cast<char>('a' + turn)));
        if (testing::Test::HasFatalFailure()) {
            return;
        }
        archives.timers.run(Seconds(25));
    }
    for (int pause = 0; pause < 3; ++pause) {
        archives.timers.run(Seconds(55));
        dialogue.addTurn("later");
    }
}

// A turn was not found within its retention, since a turn before it, on a route that keeps turns
// for a shorter time, held a part of its text and was removed.
TEST(TurnArchive, KeepsTheTextOfEarlierTurnsThatAreKeptForAShorterTime)
{
    for (const Seconds pause : {Seconds(0), Seconds(15)}) {
        SCOPED_TRACE(pause.count());
        TwoArchives archives;
        Dialogue dialogue(archives);
        dialogue.addTurn(std::string(9'000, 'a'), Seconds(10));
        archives.timers.run(pause);
        dialogue.addTurn("short", Seconds(60));
        archives.timers.run(Seconds(58));
        EXPECT_EQ(archives.findWithoutCache("turn-2"), dialogue.text);
    }
}

// A daemon of an earlier version has written the segment, and it is not known how long that is
// kept.
TEST(TurnArchive, RefersToNoSegmentThatMayBeRemovedBeforeTheTurn)
{
    const auto text = std::make_shared<const std::string>(9'000, 'a');
    for (const std::int64_t keptUntil : {0, 69'999, 70'001}) {
        ConversationSnapshot previous{
            text, {{AttemptId("turn-1"), 1'000, keptUntil}}, text->size()};
        const PlannedTurn planned =
            planTurn(AttemptId("turn-2"), std::make_shared<const ConversationSnapshot>(previous),
                     *text + "more", 10'000, Seconds(60));
        EXPECT_EQ(planned.record.segments.size(), keptUntil > 70'000 ? 1U : 0U) << keptUntil;
        EXPECT_EQ(decodeTurnRecord(encodeTurnRecord(planned.record)), planned.record);
    }
    const auto older = decodeTurnRecord(R"({"at":1,"segments":[["turn-1",1000]]})"
                                        "\nmore");
    ASSERT_TRUE(older.has_value());
    EXPECT_EQ(older->segments.front().keptUntilMillis, 0);
}

TEST(TurnArchive, RemovesExpiredTurnsAtALimitedRate)
{
    TwoArchives archives;
    for (int turn = 0; turn < 80; ++turn) {
        archives.writer.record(AttemptId("turn-" + std::to_string(turn)), nullptr, "text",
                               Seconds(10), [] {});
    }
    archives.timers.run(Seconds(5));
    int transactionsBefore = archives.store.transactions();
    int maxPerSecond = 0;
    for (int second = 0; second < 60; ++second) {
        archives.timers.run(Seconds(1));
        maxPerSecond = std::max(maxPerSecond, archives.store.transactions() - transactionsBefore);
        transactionsBefore = archives.store.transactions();
    }
    EXPECT_TRUE(archives.store.rows().empty());
    EXPECT_LE(maxPerSecond, 11);
}

/** Dialogues that branch, at VMs with small caches, while the store is faulty. */
RC_GTEST_PROP(TurnArchiveProperty, FindsTheExactTextOfEveryTurn, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    TwoArchives archives(seed);
    struct RecordedTurn
    {
        AttemptId turn;
        std::string text;
    };
    std::vector<RecordedTurn> recordedTurns;
    for (int step = 0; step < 30; ++step) {
        archives.store.faults() = {0.1, 0.1, 0, false};
        TurnArchive &vm = random() % 2 == 0 ? archives.writer : archives.reader;
        ConversationSnapshotPtr previousSnapshot;
        std::string text;
        if (!recordedTurns.empty() && random() % 4 != 0) {
            const RecordedTurn previous = recordedTurns[random() % recordedTurns.size()];
            vm.find(previous.turn, archives.clock.now() + Seconds(20),
                    [&](TurnLookup, const ConversationSnapshotPtr &snapshot) {
                        previousSnapshot = snapshot;
                    });
            archives.timers.run(Seconds(21));
            if (previousSnapshot == nullptr) {
                continue;
            }
            const bool same = *previousSnapshot->text == previous.text;
            RC_ASSERT(same);
            text = previous.text;
        }
        text += std::string(random() % 12'000, static_cast<char>('a' + step % 26));
        const AttemptId turn("turn-" + std::to_string(step));
        vm.record(turn, previousSnapshot, text, Seconds(3'600), [&, turn, text] {
            recordedTurns.push_back({turn, text});
        });
        archives.timers.run(Seconds(random() % 8));
    }
    archives.store.faults() = {};
    archives.timers.run(Seconds(20));
    TurnArchive emptyCacheArchive(archives.clock, archives.timers, archives.store, archives.health,
                                  0, 1);
    for (const RecordedTurn &turn : recordedTurns) {
        ConversationSnapshotPtr found;
        emptyCacheArchive.find(
            turn.turn, archives.clock.now() + Seconds(2),
            [&](TurnLookup, const ConversationSnapshotPtr &snapshot) { found = snapshot; });
        archives.timers.run(Seconds(1));
        const bool wasFound = found != nullptr;
        RC_ASSERT(wasFound);
        const bool same = *found->text == turn.text;
        RC_ASSERT(same);
    }
}

RC_GTEST_PROP(TurnRowsProperty, JoinedRowsGiveTheOriginalRecord, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    std::string text(random() % 200'000, '\0');
    for (char &c : text) {
        c = static_cast<char>(random());
    }
    std::vector<StoreRow> rows;
    for (const RowPut &put : turnRows(AttemptId("turn"), text, 0, turnRowCount(text.size()))) {
        RC_ASSERT(put.value.size() <= 65'536U);
        rows.push_back({put.name, put.value, RowRevision(1), false});
    }
    RC_ASSERT(joinRows(AttemptId("turn"), rows) == text);
}

} // namespace boragepath
