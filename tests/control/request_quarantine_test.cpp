// Requests under which replica after replica ends.
//
// Guards against one request that ends replica after replica at many VMs, each of which has seen
// one crash; and against requests that are refused because they happened to be in progress there.

#include "tests/support/crash_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace boragepath {

namespace {

constexpr RequestFingerprint Fingerprint{7, 8};
/** A request whose target many others share. */
constexpr RequestIdentity Request{Fingerprint, {1, 2}};
constexpr Milliseconds ContactTime{3'000};
constexpr std::size_t MaxSentAfterThirdCrash = 3;

/** One VM without others. */
class RequestQuarantineTest : public testing::Test
{
protected:
    void crash(std::int64_t replica, Milliseconds after, bool atBeginning = false)
    {
        const SteadyTime sentAt = m_clock.now();
        m_timers.run(after);
        m_quarantine.noteCrash(Request,
                               {ReplicaFingerprint(replica), sentAt, m_clock.now(), atBeginning});
    }
    bool admits(const char *attempt = "attempt")
    {
        return m_quarantine.admits(Request, AttemptId(attempt));
    }

    ManualClock m_clock;
    ManualTimers m_timers{m_clock};
    VmDirectory m_vms{m_clock, {}, 1};
    RequestQuarantine m_quarantine{m_clock, m_timers, m_vms, nullptr};
};

/** Callers send the request to random VMs, 20 times a second. */
void sendFor(CrashFleet &fleet, Duration duration)
{
    constexpr Milliseconds Pause{50};
    for (Duration passed{0}; passed < duration; passed += Pause) {
        fleet.sendCrashing(Request);
        fleet.run(Pause);
    }
}

} // namespace

TEST_F(RequestQuarantineTest, RequestIsQuarantinedAfterItsThirdCrash)
{
    crash(1, Milliseconds(70));
    crash(2, Milliseconds(70));
    EXPECT_TRUE(admits());
    crash(3, Milliseconds(0));
    EXPECT_FALSE(admits());
}

TEST_F(RequestQuarantineTest, RequestThatHadJustBegunAtTwoCrashesIsQuarantined)
{
    crash(1, Milliseconds(70), true);
    EXPECT_TRUE(admits());
    crash(2, Milliseconds(70), true);
    EXPECT_FALSE(admits());
}

TEST_F(RequestQuarantineTest, ReplicasThatLosePowerTogetherDoNotCountAgainstRequestsOnThem)
{
    const SteadyTime sentAt = m_clock.now();
    m_timers.run(Seconds(1));
    for (std::int64_t replica = 1; replica <= 5; ++replica) {
        m_timers.run(Milliseconds(3));
        m_quarantine.noteCrash(Request, {ReplicaFingerprint(replica), sentAt, m_clock.now(), true});
    }
    EXPECT_TRUE(admits());
}

// Soak seed 725: a tool call that all programs make was in progress, each time just sent, when
// another request ended all replicas of a small service one after the other. It was refused then.
TEST_F(RequestQuarantineTest, RequestThatIsAnsweredAgainAndAgainNeedsMoreCrashes)
{
    m_quarantine.noteAnswered(Request);
    m_timers.run(Seconds(1));
    for (std::int64_t replica = 1; replica <= 5; ++replica) {
        crash(replica, Milliseconds(16), true);
        EXPECT_TRUE(admits()) << replica;
    }
    crash(6, Milliseconds(16), true);
    EXPECT_FALSE(admits());
}

TEST(RequestQuarantineFleetTest, OtherVmsTellThatTheyGotAnswersToTheRequestLately)
{
    CrashFleet fleet(11, 1);
    fleet.run(Seconds(1));
    fleet.answer(7, Request);
    fleet.run(Seconds(1));
    for (int attempt = 0; attempt < 4; ++attempt) {
        EXPECT_TRUE(fleet.sendCrashing(0, Request));
        fleet.run(Milliseconds(200));
    }
    EXPECT_TRUE(fleet.sendCrashing(0, Request));
}

TEST_F(RequestQuarantineTest, TheSameCrashSeenByTwoVmsCountsOnce)
{
    for (int vm = 0; vm < 4; ++vm) {
        crash(1, Milliseconds(40), true);
    }
    EXPECT_TRUE(admits());
}

TEST_F(RequestQuarantineTest, AnswerClearsARequest)
{
    crash(1, Milliseconds(70), true);
    m_quarantine.noteAnswered(Request);
    {
        SCOPED_TRACE("the crash before the answer doesn't count any more");
        m_timers.run(Milliseconds(1));
        crash(2, Milliseconds(70), true);
        EXPECT_TRUE(admits());
    }
    {
        SCOPED_TRACE("nor when another VM reports it late");
        peers::RequestCrashNews late = m_quarantine.newsOf(Fingerprint);
        late.crashes[0].replica = 1;
        late.crashes[0].ageMillis = 500;
        late.crashes[0].sentAgeMillis = 600;
        m_quarantine.receive({late});
        EXPECT_TRUE(admits());
    }
}

TEST_F(RequestQuarantineTest, OneAttemptIsLetThroughAfterAWhileAndThenMoreRarely)
{
    crash(1, Milliseconds(70), true);
    crash(2, Milliseconds(70), true);
    m_timers.run(Seconds(19));
    EXPECT_FALSE(admits("first"));
    m_timers.run(Seconds(1));
    {
        SCOPED_TRACE("one attempt, however often it asks, and no other");
        EXPECT_TRUE(admits("first"));
        EXPECT_TRUE(admits("first"));
        EXPECT_FALSE(admits("second"));
    }
    {
        SCOPED_TRACE("its replica ends, too");
        crash(3, Milliseconds(70), true);
        EXPECT_FALSE(admits("first"));
        m_timers.run(Seconds(59));
        EXPECT_FALSE(admits("third"));
        m_timers.run(Seconds(1));
        EXPECT_TRUE(admits("third"));
    }
    {
        SCOPED_TRACE("it is answered: new software has mended it");
        m_quarantine.noteAnswered(Request);
        EXPECT_TRUE(admits("fourth"));
        EXPECT_TRUE(admits("fifth"));
    }
}

TEST(RequestQuarantineFleetTest, NoVmSendsTheRequestOnSoonAfterItsThirdCrash)
{
    for (const std::size_t vms : {11, 77, 295}) {
        for (const double lossRate : {0.0, 0.3}) {
            SCOPED_TRACE(testing::Message() << vms << " VMs, losses " << lossRate);
            CrashFleet fleet(vms, 1);
            fleet.lossRate = lossRate;
            fleet.run(Seconds(1));
            sendFor(fleet, Seconds(15));
            EXPECT_LE(fleet.sentAfterThirdCrash(ContactTime), MaxSentAfterThirdCrash);
            EXPECT_GE(fleet.sent(), 3U);
        }
    }
}

TEST(RequestQuarantineFleetTest, VmsThatRestartLearnOfQuarantinedRequestsFromTheOthers)
{
    CrashFleet fleet(11, 1);
    fleet.storeFaults().unavailable = true;
    sendFor(fleet, Seconds(2));
    const std::size_t sent = fleet.sent();
    // All VMs, a few at a time, before an attempt is due to be let through.
    constexpr std::size_t AtOnce = 3;
    for (std::size_t first = 0; first < fleet.size(); first += AtOnce) {
        const std::size_t end = std::min(first + AtOnce, fleet.size());
        for (std::size_t vm = first; vm < end; ++vm) {
            fleet.restart(vm);
        }
        fleet.run(ContactTime);
        for (std::size_t vm = first; vm < end; ++vm) {
            EXPECT_FALSE(fleet.sendCrashing(vm, Request)) << vm;
        }
    }
    EXPECT_EQ(fleet.sent(), sent);
}

TEST(RequestQuarantineFleetTest, QuarantineOutlastsTheLossOfAllVms)
{
    CrashFleet fleet(11, 1);
    sendFor(fleet, Seconds(2));
    EXPECT_EQ(fleet.rows().size(), 2U);
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        fleet.restart(vm);
    }
    fleet.run(ContactTime);
    const std::size_t sent = fleet.sent();
    sendFor(fleet, Seconds(2));
    EXPECT_EQ(fleet.sent(), sent);
}

TEST(RequestQuarantineFleetTest, VmsThatSeeOnlyTheStoreLearnOfQuarantinedRequests)
{
    CrashFleet fleet(11, 1);
    fleet.run(Seconds(1));
    fleet.cutAt(6);
    for (int attempt = 0; attempt < 6; ++attempt) {
        fleet.sendCrashing(0, Request);
        fleet.run(Milliseconds(100));
    }
    fleet.run(ContactTime);
    EXPECT_FALSE(fleet.sendCrashing(8, Request));
}

TEST(RequestQuarantineFleetTest, OneVmTriesARequestAgainWhoseBodyAndTargetAreQuarantined)
{
    for (const std::size_t vms : {3, 11}) {
        SCOPED_TRACE(vms);
        CrashFleet fleet(vms, 1);
        sendFor(fleet, Seconds(2));
        fleet.run(Seconds(20));
        std::size_t tries = 0;
        for (int round = 0; round < 3; ++round) {
            for (std::size_t vm = 0; vm < vms; ++vm) {
                tries += fleet.sendCrashing(vm, Request) ? 1 : 0;
            }
            fleet.run(Seconds(1));
        }
        EXPECT_EQ(tries, 1U);
    }
}

TEST(RequestQuarantineFleetTest, OperatorReleasesARequestByRemovingItsRow)
{
    CrashFleet fleet(3, 1);
    sendFor(fleet, Seconds(2));
    EXPECT_FALSE(fleet.sendCrashing(0, Request));
    const RowName row{QuarantineTable, "", Fingerprint.text()};
    const RowName targetRow{QuarantineTable, "", Request.target.text()};
    fleet.removeRow(row);
    fleet.removeRow(targetRow);
    fleet.run(ContactTime);
    EXPECT_TRUE(fleet.sendCrashing(0, Request));
    EXPECT_TRUE(fleet.sendCrashing(2, Request));
}

TEST(RequestQuarantineFleetTest, TargetThatOthersUseIsClearedByTheirAnswers)
{
    CrashFleet fleet(11, 1);
    const RequestIdentity other{{9, 9}, Request.target};
    for (int round = 0; round < 40; ++round) {
        fleet.sendCrashing(Request);
        fleet.run(Milliseconds(50));
        fleet.answer(static_cast<std::size_t>(round) % fleet.size(), other);
        fleet.run(Milliseconds(50));
    }
    EXPECT_FALSE(fleet.sendCrashing(3, Request));
    EXPECT_TRUE(fleet.sendCrashing(3, other));
}

TEST(QuarantineRowTest, RowsAreReadAsTheyWereWritten)
{
    ManualClock clock;
    peers::RequestCrashNews news;
    news.high = -5;
    news.low = 6;
    peers::RequestCrash crash;
    crash.replica = 12;
    crash.ageMillis = 100;
    crash.sentAgeMillis = 170;
    crash.atBeginning = true;
    news.crashes = {crash};
    StoreRow row;
    row.name.key = RequestFingerprint{static_cast<std::uint64_t>(-5), 6}.text();
    row.value = encodeQuarantineRow(news, clock.wallNow());
    EXPECT_EQ(decodeQuarantineRow(row, clock.wallNow()), news);
    for (const char *value :
         {"", "[]", "{}", R"({"crashes":[3]})", R"({"crashes":[{"at":"x"}]})"}) {
        row.value = value;
        EXPECT_EQ(decodeQuarantineRow(row, clock.wallNow()), std::nullopt) << value;
    }
}

RC_GTEST_PROP(RequestQuarantineProperty, NewsOfCrashesMergesInAnyOrderAndAnyNumberOfTimes,
              (const std::vector<std::uint8_t> &order))
{
    ManualClock clock;
    ManualTimers timers(clock);
    VmDirectory vms(clock, {}, 1);
    RequestQuarantine reference(clock, timers, vms, nullptr);
    RequestQuarantine shuffled(clock, timers, vms, nullptr);
    std::vector<peers::RequestCrashNews> items;
    for (std::int64_t replica = 1; replica <= 4; ++replica) {
        RequestQuarantine source(clock, timers, vms, nullptr);
        const SteadyTime at = clock.now() - Milliseconds(100 * replica);
        source.noteCrash(Request, {ReplicaFingerprint(replica), at - Milliseconds(70), at, false});
        items.push_back(source.newsOf(Fingerprint));
    }
    peers::RequestCrashNews answered = items.front();
    answered.crashes.clear();
    answered.__set_answeredAgeMillis(250);
    items.push_back(answered);
    reference.receive(items);
    for (const std::uint8_t index : order) {
        shuffled.receive({items[index % items.size()]});
    }
    std::reverse(items.begin(), items.end());
    shuffled.receive(items);
    RC_ASSERT(reference.newsOf(Fingerprint) == shuffled.newsOf(Fingerprint));
}

} // namespace boragepath
