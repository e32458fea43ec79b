// What the witnesses of lenders of budgets remember, and how many of them are needed.

#include "control/outage/lending_witness.h"
#include "tests/support/manual_clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace boragepath {

TEST(LendingWitness, AcknowledgesNothingOfAListThatIsClosed)
{
    ManualClock clock;
    LendingWitness witness(clock);
    EXPECT_FALSE(witness.close("silent", 1));
    EXPECT_FALSE(witness.noteLending("silent", 1, 1));
    EXPECT_TRUE(witness.noteLending("silent", 2, 1)) << "a list that was written after it";

    EXPECT_TRUE(witness.noteLending("lender", 1, 1));
    EXPECT_TRUE(witness.close("lender", 1));
    witness.noteCleared("lender", 1);
    EXPECT_FALSE(witness.close("lender", 1));
    witness.noteLending("lender", 2, 3);
    witness.noteCleared("lender", 2);
    EXPECT_TRUE(witness.close("lender", 2)) << "a message about an earlier notice came late";
}

TEST(LendingWitness, SomebodyKnowsAmongThoseWhoAreAsked)
{
    for (std::size_t otherVms = 1; otherVms <= 400; ++otherVms) {
        for (std::size_t count = 1; count <= std::min(otherVms, MaxWitnesses); ++count) {
            WitnessList list{1, std::vector<std::string>(count, "vm"), 0};
            list.testimonies = testimoniesFor(count, otherVms);
            EXPECT_GT(acknowledgementsNeeded(list) + list.testimonies, count);
            EXPECT_GE(acknowledgementsNeeded(list), 1U);
            EXPECT_GE(list.testimonies, 1U);
        }
    }
    const WitnessList list{7, {"vm-1/3", "vm-2/9"}, 1};
    EXPECT_EQ(decodeWitnessList(encodeWitnessList(list)), list);
    EXPECT_EQ(decodeWitnessList(R"({"revision":"7"})"), std::nullopt);
    EXPECT_EQ(decodeWitnessList(R"({"revision":1,"witnesses":[3]})"), std::nullopt);
    EXPECT_EQ(decodeWitnessList(R"({"revision":1,"witnesses":["a"],"testimonies":0})"),
              std::nullopt);
    EXPECT_EQ(decodeWitnessList(R"({"revision":1,"witnesses":["a"],"testimonies":2})"),
              std::nullopt);
}

/** A lender of an older version lends once one of two has acknowledged that. */
TEST(LendingWitness, AListWithoutANumberAsksForTheTestimoniesThatItsWriterCountedOn)
{
    const auto needed = [](const std::string &witnesses) {
        return decodeWitnessList(R"({"revision":1,"witnesses":[)" + witnesses + "]}")->testimonies;
    };
    EXPECT_EQ(needed(R"("a")"), 1U);
    EXPECT_EQ(needed(R"("a","b")"), 2U);
    EXPECT_EQ(needed(R"("a","b","c","d","e")"), 2U);
}

/** A VM of an older version that replaces a lender asks for two testimonies whatever its list says.
 */
TEST(LendingWitness, SomebodyKnowsAmongTheTwoThatAnOlderVersionAsks)
{
    constexpr std::size_t MaxReadable = 5;
    for (std::size_t otherVms = 1; otherVms <= 400; ++otherVms) {
        for (std::size_t count = 1; count <= std::min(otherVms, MaxReadable); ++count) {
            WitnessList list{1, std::vector<std::string>(count, "vm"), 0};
            list.testimonies = testimoniesFor(count, otherVms);
            EXPECT_GT(acknowledgementsNeeded(list) + std::min<std::size_t>(count, 2), count);
        }
    }
}

/** Half of the VMs, or all of a zone, are lost with the lender. */
TEST(LendingWitness, EnoughAreLeftWhenHalfOfTheVmsAreLost)
{
    for (std::size_t otherVms = 1; otherVms <= MaxWitnesses; ++otherVms) {
        EXPECT_LE(testimoniesFor(otherVms, otherVms), otherVms - otherVms / 2);
    }
    std::mt19937_64 random(3);
    const std::vector<std::string> own(20, "own");
    const std::vector<std::string> other(20, "other");
    const std::vector<std::string> witnesses = chooseWitnesses(own, other, random);
    EXPECT_EQ(witnesses.size(), MaxWitnesses);
    EXPECT_GE(std::count(witnesses.begin(), witnesses.end(), "other"),
              static_cast<std::ptrdiff_t>(testimoniesFor(MaxWitnesses, 40)));
    EXPECT_EQ(chooseWitnesses({"a"}, {"b", "c"}, random).size(), 3U);
    EXPECT_EQ(chooseWitnesses(own, {}, random).size(), MaxWitnesses);
}

} // namespace boragepath
