// What was said, kept in the store under each turn.

#include "control/turn_archive.h"
#include "tests/support/memory_row_store.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <optional>

namespace boragepath {

namespace {

constexpr std::size_t CacheBytes = 100'000;

class Archives
{
public:
    explicit Archives(std::uint64_t seed = 5)
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
                    [&](TurnLookup result, const ConversationSnapshotPtr &kept) {
                        lookup = result;
                        found = kept;
                    });
        timers.run(Seconds(3));
        return {lookup.value(), found == nullptr ? std::string() : *found->text};
    }

    bool record(const std::string &turn, const std::string &text, Seconds keep = Seconds(60))
    {
        bool done = false;
        writer.record(AttemptId(turn), nullptr, text, keep, [&] { done = true; });
        timers.run(Seconds(30));
        return done;
    }

    ManualClock clock;
    ManualTimers timers;
    MemoryRowStore store;
    StoreHealth health;
    TurnArchive writer;
    TurnArchive reader;
};

} // namespace

TEST(TurnArchive, AnotherVmFindsWhatOneRecorded)
{
    Archives archives;
    ASSERT_TRUE(archives.record("turn", "what was said"));
    EXPECT_EQ(archives.find("turn"), std::pair(TurnLookup::Found, std::string("what was said")));
}

TEST(TurnArchive, AbsentOnlyWhenTheStoreHasAnswered)
{
    Archives archives;
    {
        SCOPED_TRACE("the store knows no such turn");
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

TEST(TurnArchive, ARecordSurvivesLostAnswersAndRefusals)
{
    Archives archives;
    archives.store.faults() = {0.4, 0.4, 0.2, false};
    ASSERT_TRUE(archives.record("turn", std::string(120'000, 'x')));
    archives.store.faults() = {};
    EXPECT_EQ(archives.find("turn").second.size(), 120'000U);
}

TEST(TurnArchive, TurnsArePrunedAfterTheirTime)
{
    Archives archives;
    ASSERT_TRUE(archives.record("old", "text", Seconds(10)));
    archives.timers.run(Seconds(60));
    ASSERT_TRUE(archives.record("new", "text", Seconds(10)));
    EXPECT_EQ(archives.find("old").first, TurnLookup::Absent);
    EXPECT_EQ(archives.find("new").first, TurnLookup::Found);
}

/** A dialogue whose turns come through two VMs by turns; each VM has a small memory. */
class Dialogue
{
public:
    explicit Dialogue(Archives &archives)
        : m_archives(archives)
    { }

    /** Says something more, and checks that the VM of this turn knows all that was said before. */
    void say(const std::string &words)
    {
        const AttemptId previous("turn-" + std::to_string(m_turns));
        ConversationSnapshotPtr before;
        if (m_turns > 0) {
            vm().find(previous, m_archives.clock.now() + Seconds(2),
                      [&](TurnLookup, const ConversationSnapshotPtr &kept) { before = kept; });
            m_archives.timers.run(Seconds(1));
            ASSERT_NE(before, nullptr) << previous.value();
            ASSERT_EQ(*before->text, text);
        }
        m_turns += 1;
        text += words;
        bool done = false;
        vm().record(AttemptId("turn-" + std::to_string(m_turns)), before, text, Seconds(60),
                    [&] { done = true; });
        m_archives.timers.run(Milliseconds(100));
        ASSERT_TRUE(done);
    }

    std::string text;

private:
    TurnArchive &vm() { return m_turns % 2 == 0 ? m_archives.writer : m_archives.reader; }

    Archives &m_archives;
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

TEST(TurnArchive, ALongDialogueIsNotStoredWholeWithEachTurn)
{
    Archives archives;
    Dialogue dialogue(archives);
    dialogue.say(std::string(13'000, 'a'));
    for (int turn = 0; turn < 11; ++turn) {
        dialogue.say(std::string(2'500, static_cast<char>('b' + turn)));
        if (testing::Test::HasFatalFailure()) {
            return;
        }
    }
    // Whole, the twelve turns take 321 KB.
    EXPECT_LT(storedBytes(archives.store), dialogue.text.size() * 5 / 2);
}

TEST(TurnArchive, WhatATurnNeedsIsKeptAsLongAsTheTurn)
{
    Archives archives;
    Dialogue dialogue(archives);
    // Pauses of 25 s: all segments grow old while the dialogue goes on.
    for (int turn = 0; turn < 20; ++turn) {
        dialogue.say(std::string(9'000, static_cast<char>('a' + turn)));
        if (testing::Test::HasFatalFailure()) {
            return;
        }
        archives.timers.run(Seconds(25));
    }
    for (int pause = 0; pause < 3; ++pause) {
        archives.timers.run(Seconds(55));
        dialogue.say("later");
    }
}

TEST(TurnArchive, ExpiredTurnsGoAtAPaceThatTheStoreHardlyNotices)
{
    Archives archives;
    for (int turn = 0; turn < 80; ++turn) {
        archives.writer.record(AttemptId("turn-" + std::to_string(turn)), nullptr, "text",
                               Seconds(10), [] {});
    }
    archives.timers.run(Seconds(5));
    int before = archives.store.transactions();
    int mostInASecond = 0;
    for (int second = 0; second < 60; ++second) {
        archives.timers.run(Seconds(1));
        mostInASecond = std::max(mostInASecond, archives.store.transactions() - before);
        before = archives.store.transactions();
    }
    EXPECT_TRUE(archives.store.rows().empty());
    EXPECT_LE(mostInASecond, 11);
}

/** Dialogues that branch, through VMs with little memory, while the store is faulty. */
RC_GTEST_PROP(TurnArchiveProperty, EveryTurnIsComposedByteForByte, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    Archives archives(seed);
    struct Said
    {
        AttemptId turn;
        std::string text;
    };
    std::vector<Said> said;
    for (int step = 0; step < 30; ++step) {
        archives.store.faults() = {0.1, 0.1, 0, false};
        TurnArchive &vm = random() % 2 == 0 ? archives.writer : archives.reader;
        ConversationSnapshotPtr before;
        std::string text;
        if (!said.empty() && random() % 4 != 0) {
            const Said previous = said[random() % said.size()];
            vm.find(previous.turn, archives.clock.now() + Seconds(20),
                    [&](TurnLookup, const ConversationSnapshotPtr &kept) { before = kept; });
            archives.timers.run(Seconds(21));
            if (before == nullptr) {
                continue;
            }
            const bool same = *before->text == previous.text;
            RC_ASSERT(same);
            text = previous.text;
        }
        text += std::string(random() % 12'000, static_cast<char>('a' + step % 26));
        const AttemptId turn("turn-" + std::to_string(step));
        vm.record(turn, before, text, Seconds(3'600), [&, turn, text] {
            said.push_back({turn, text});
        });
        archives.timers.run(Seconds(random() % 8));
    }
    archives.store.faults() = {};
    archives.timers.run(Seconds(20));
    TurnArchive fresh(archives.clock, archives.timers, archives.store, archives.health, 0, 1);
    for (const Said &turn : said) {
        ConversationSnapshotPtr found;
        fresh.find(turn.turn, archives.clock.now() + Seconds(2),
                   [&](TurnLookup, const ConversationSnapshotPtr &kept) { found = kept; });
        archives.timers.run(Seconds(1));
        const bool wasFound = found != nullptr;
        RC_ASSERT(wasFound);
        const bool same = *found->text == turn.text;
        RC_ASSERT(same);
    }
}

RC_GTEST_PROP(TurnRowsProperty, ConversationsOfAnySizeComeBack, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    std::string text(random() % 200'000, '\0');
    for (char &c : text) {
        c = static_cast<char>(random());
    }
    std::vector<StoreRow> rows;
    for (const RowPut &put : turnRows(AttemptId("turn"), text)) {
        RC_ASSERT(put.value.size() <= 65'536U);
        rows.push_back({put.name, put.value, RowRevision(1), false});
    }
    RC_ASSERT(joinRows(rows) == text);
}

} // namespace boragepath
