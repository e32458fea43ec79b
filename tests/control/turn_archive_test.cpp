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
        Conversation found;
        reader.find(AttemptId(turn), clock.now() + Seconds(1),
                    [&](TurnLookup result, const Conversation &conversation) {
                        lookup = result;
                        found = conversation;
                    });
        timers.run(Seconds(3));
        return {lookup.value(), found == nullptr ? std::string() : *found};
    }

    bool record(const std::string &turn, const std::string &text, Seconds keep = Seconds(60))
    {
        bool done = false;
        writer.record(AttemptId(turn), std::make_shared<const std::string>(text), keep,
                      [&] { done = true; });
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
        archives.store.faults().away = true;
        EXPECT_EQ(archives.find("unknown").first, TurnLookup::StoreAway);
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
    RC_ASSERT(*conversationOf(rows) == text);
}

} // namespace boragepath
