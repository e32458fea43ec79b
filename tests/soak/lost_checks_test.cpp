// The soak's checks on calls that were accepted: each test shows that a check reports what is lost,
// and nothing that is allowed.

#include "soak/lost_checks.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace boragepath::soak {

namespace {

using testing::ElementsAre;
using testing::IsEmpty;

const Endpoint Front{"127.0.0.1", 1};
const Endpoint OtherFront{"127.0.0.1", 2};
const SteadyTime Start = SteadyTime() + Seconds(1'000);
constexpr Milliseconds Step{1};
constexpr std::int64_t MaxTokens = 100;

/** A time after the begin of each test. */
SteadyTime at(std::int64_t millis)
{
    return Start + Milliseconds(millis);
}

/** A call that a replica runs until the VM closes its connection without an answer. */
CallFacts cutCall(SteadyTime sentAt, SteadyTime endedAt)
{
    CallFacts call;
    call.id = "call";
    call.firstTry = call.id;
    call.front = Front;
    call.sentAt = sentAt;
    call.connection = {CallEnd::Closed, sentAt, endedAt, 0};
    call.runs = {{"replica", sentAt, endedAt, false}};
    return call;
}

CallFacts answeredCall(SteadyTime sentAt)
{
    CallFacts call = cutCall(sentAt, sentAt + Milliseconds(100));
    call.status = 200;
    call.connection.end = CallEnd::Answered;
    return call;
}

std::vector<std::string> kindsOf(const std::vector<CallFacts> &calls, const FaultHistory &history)
{
    std::vector<std::string> kinds;
    for (const LostCall &call : lostCalls(calls, history)) {
        kinds.push_back(call.kind);
    }
    return kinds;
}

class LostChecksTest : public testing::Test
{
protected:
    LostChecksTest()
    {
        m_history.recordVm(Front, VmEvent::Started, Start - Seconds(100));
        m_history.recordVm(OtherFront, VmEvent::Started, Start - Seconds(100));
        m_history.recordReplicaStart("replica", 0);
    }

    void stopVm(std::int64_t millis) { m_history.recordVm(Front, VmEvent::ToldToStop, at(millis)); }

    FaultHistory m_history;
};

// Stops: a VM that ends before its grace is over cuts what it took late.

TEST_F(LostChecksTest, CallThatIsCutAfterSigtermIsLost)
{
    stopVm(0);
    EXPECT_THAT(kindsOf({cutCall(at(3'100), at(5'000))}, m_history), ElementsAre("LOST-STOP"));
}

TEST_F(LostChecksTest, CallThatWasSentBeforeSigtermIsLostToo)
{
    stopVm(0);
    EXPECT_THAT(kindsOf({cutCall(at(-500), at(1'000))}, m_history), ElementsAre("LOST-STOP"));
}

TEST_F(LostChecksTest, CallThatIsAnsweredAfterSigtermIsKept)
{
    stopVm(0);
    EXPECT_THAT(kindsOf({answeredCall(at(5'000))}, m_history), IsEmpty());
}

TEST_F(LostChecksTest, CallWhoseAnswerEndsMidwayIsLost)
{
    stopVm(0);
    CallFacts call = cutCall(at(3'100), at(5'000));
    call.status = 200;
    EXPECT_THAT(kindsOf({call}, m_history), ElementsAre("LOST-STOP"));
}

TEST_F(LostChecksTest, CutLongAfterTheGraceIsNoPartOfTheStop)
{
    stopVm(0);
    EXPECT_THAT(kindsOf({cutCall(at(8'000), at(9'000))}, m_history), ElementsAre("LOST-STOP"));
    EXPECT_FALSE(isCutByStop(cutCall(at(8'000), at(9'001)), m_history));
}

TEST_F(LostChecksTest, EarlyCallMayBeCutWhileItsReplicaIsAtWorkInTheLastSixth)
{
    stopVm(0);
    CallFacts atWork = cutCall(at(3'000), at(5'900));
    atWork.runs.back().endedAt = at(6'667);
    EXPECT_FALSE(isCutByStop(atWork, m_history));
    atWork.runs.back().endedAt.reset();
    EXPECT_FALSE(isCutByStop(atWork, m_history));
    atWork.sentAt += Step;
    EXPECT_TRUE(isCutByStop(atWork, m_history));
    EXPECT_TRUE(isCutByStop(cutCall(at(3'000), at(5'900)), m_history));
}

TEST_F(LostChecksTest, LateCallMayNotBeCutInTheLastSixth)
{
    stopVm(0);
    EXPECT_TRUE(isCutByStop(cutCall(at(6'900), at(7'100)), m_history));
}

TEST_F(LostChecksTest, CallThatItsReplicaBrokeOffIsNotLost)
{
    stopVm(0);
    CallFacts call = cutCall(at(1'000), at(2'000));
    call.runs.back().brokeOff = true;
    EXPECT_THAT(kindsOf({call}, m_history), IsEmpty());
}

TEST_F(LostChecksTest, CallWhoseTimeIsOverIsNotLost)
{
    stopVm(0);
    EXPECT_FALSE(isCutByStop(cutCall(at(1'000), at(1'000) + CallDeadline), m_history));
    EXPECT_TRUE(isCutByStop(cutCall(at(1'000), at(999) + CallDeadline), m_history));
}

TEST_F(LostChecksTest, CallerThatLeavesLosesNothing)
{
    stopVm(0);
    CallFacts call = cutCall(at(1'000), at(2'000));
    call.connection.end = CallEnd::CallerLeft;
    EXPECT_THAT(kindsOf({call}, m_history), IsEmpty());
}

TEST_F(LostChecksTest, RequestThatCrossesACloseIsNotLost)
{
    stopVm(0);
    CallFacts call = cutCall(at(1'000), at(1'200));
    call.runs.clear();
    EXPECT_THAT(kindsOf({call}, m_history), IsEmpty());
    call.connection.endedAt += Step;
    EXPECT_THAT(kindsOf({call}, m_history), ElementsAre("LOST-STOP"));
    // A reset shows that bytes of the request were left unread.
    call.connection.end = CallEnd::Reset;
    EXPECT_THAT(kindsOf({call}, m_history), IsEmpty());
}

// Disruptions that were not planned excuse a cut, from three seconds before the call on.

TEST_F(LostChecksTest, KillInTheGraceExcusesCuts)
{
    stopVm(0);
    m_history.recordVm(Front, VmEvent::Killed, at(5'000));
    EXPECT_FALSE(isCutByStop(cutCall(at(4'000), at(5'000)), m_history));
}

TEST_F(LostChecksTest, KillAfterTheGraceIsPartOfTheStop)
{
    stopVm(0);
    m_history.recordVm(Front, VmEvent::Killed, at(8'000));
    EXPECT_TRUE(isCutByStop(cutCall(at(7'000), at(8'000)), m_history));
}

TEST_F(LostChecksTest, DisruptionExcusesUntilThreeSecondsAfterItsEnd)
{
    m_history.recordStore(std::nullopt, true, at(-5'000));
    m_history.recordStore(std::nullopt, false, at(-2'000));
    stopVm(0);
    EXPECT_FALSE(isCutByStop(cutCall(at(1'000), at(2'000)), m_history));
    EXPECT_TRUE(isCutByStop(cutCall(at(1'001), at(2'000)), m_history));
}

TEST_F(LostChecksTest, DisruptionOfAnotherPartExcusesNothing)
{
    m_history.recordVm(OtherFront, VmEvent::Paused, at(-1'000));
    m_history.recordStore(OtherFront, true, at(-1'000));
    m_history.recordSite(7, true, at(-1'000));
    stopVm(0);
    EXPECT_TRUE(isCutByStop(cutCall(at(1'000), at(2'000)), m_history));
    m_history.recordSite(0, true, at(1'500));
    EXPECT_FALSE(isCutByStop(cutCall(at(1'000), at(2'000)), m_history));
}

// Reloads and configurations.

TEST_F(LostChecksTest, CallThatIsCutAfterSighupIsLost)
{
    m_history.recordVm(Front, VmEvent::ToldToReload, at(0));
    EXPECT_THAT(kindsOf({cutCall(at(2'000), at(3'000))}, m_history), ElementsAre("LOST-RELOAD"));
    EXPECT_FALSE(isCutByReload(cutCall(at(2'001), at(3'000)), m_history));
    EXPECT_FALSE(isCutByReload(cutCall(at(-500), at(-1)), m_history));
}

TEST_F(LostChecksTest, CutsBesideAConfigurationAreLostIfTheyAreMoreFrequentThanOthers)
{
    m_history.recordConfiguration(at(0));
    const CallFacts cut = cutCall(at(100), at(1'000));
    const CallFacts otherCut = cutCall(at(10'000), at(11'000));
    const CallFacts answered = answeredCall(at(20'000));
    EXPECT_THAT(kindsOf({cut, answered}, m_history), ElementsAre("LOST-CONFIG"));
    EXPECT_THAT(kindsOf({cut, otherCut, answered, answered}, m_history), IsEmpty());
    EXPECT_THAT(kindsOf({cut, otherCut, answered, answered, answered}, m_history),
                ElementsAre("LOST-CONFIG"));
}

TEST_F(LostChecksTest, CallThatHasUsedMostOfItsTimeDoesNotCountBesideAConfiguration)
{
    m_history.recordConfiguration(at(0));
    EXPECT_THAT(kindsOf({cutCall(at(0), at(2'100))}, m_history), IsEmpty());
    EXPECT_THAT(kindsOf({cutCall(at(0), at(2'099))}, m_history), ElementsAre("LOST-CONFIG"));
}

// Kept connections, at any time.

TEST_F(LostChecksTest, MoreThanThreeCutsOnKeptConnectionsAreLost)
{
    CallFacts call = cutCall(at(0), at(500));
    call.connection.callsBefore = 1;
    EXPECT_THAT(kindsOf({call, call, call}, m_history), IsEmpty());
    EXPECT_EQ(kindsOf({call, call, call, call}, m_history).size(), 4U);
    call.connection.callsBefore = 0;
    EXPECT_THAT(kindsOf({call, call, call, call}, m_history), IsEmpty());
}

TEST_F(LostChecksTest, VmThatWasJustStartedIsNotInTouch)
{
    m_history.recordVm(Front, VmEvent::Started, at(-3'000));
    CallFacts call = cutCall(at(0), at(500));
    call.connection.callsBefore = 1;
    EXPECT_FALSE(isCutOnKeptConnection(call, m_history));
    call.sentAt += Step;
    EXPECT_TRUE(isCutOnKeptConnection(call, m_history));
}

/** Turns of a program whose first turn was answered whole, beside programs that are served. */
class LostTurnsTest : public LostChecksTest
{
protected:
    LostTurnsTest()
    {
        CallFacts first = turn("first", "", at(0), 1);
        first.isWhole = true;
        first.tokens = 60;
        m_calls = {first};
        m_history.recordTurnSlots(40);
    }

    static CallFacts turn(const std::string &id, const std::string &previous, SteadyTime sentAt,
                          std::size_t runs)
    {
        CallFacts call;
        call.id = id;
        call.firstTry = id;
        call.front = Front;
        call.sentAt = sentAt;
        call.connection = {CallEnd::Answered, sentAt, sentAt + Milliseconds(100), 0};
        call.isStoredTurn = true;
        call.previousTurn = previous;
        call.program = "program";
        call.budget = 2 * MaxTokens;
        call.maxTokens = MaxTokens;
        call.runs.resize(runs, {"replica", sentAt, call.connection.endedAt, false});
        return call;
    }

    /** Tries of one turn that are refused. */
    void refuse(int tries, SteadyTime from)
    {
        for (int number = 0; number < tries; ++number) {
            const std::string id = "second-" + std::to_string(number);
            CallFacts call = turn(id, "first", from + number * Milliseconds(300), 0);
            call.firstTry = "second-0";
            call.status = 503;
            m_calls.push_back(call);
        }
    }

    /** First turns of other programs, of which some reach no replica. */
    void sendOthers(int count, int unserved, SteadyTime sentAt)
    {
        for (int number = 0; number < count; ++number) {
            const std::string id = "other-" + std::to_string(number);
            CallFacts call = turn(id, "", sentAt, number < unserved ? 0 : 1);
            call.program = id;
            m_calls.push_back(call);
        }
    }

    void losePower(std::int64_t millis)
    {
        m_history.recordPowerLoss(at(millis));
        for (const Endpoint &front : {Front, OtherFront}) {
            m_history.recordVm(front, VmEvent::Killed, at(millis));
            m_history.recordVm(front, VmEvent::Started, at(millis + 1'000));
        }
    }

    std::vector<CallFacts> m_calls;
};

TEST_F(LostTurnsTest, TurnThatReachesNoReplicaInFiveTriesIsLost)
{
    refuse(5, at(10'000));
    sendOthers(10, 1, at(10'000));
    EXPECT_THAT(kindsOf(m_calls, m_history), ElementsAre("LOST-TURN"));
}

TEST_F(LostTurnsTest, FourTriesAreTooFew)
{
    refuse(4, at(10'000));
    sendOthers(10, 0, at(10'000));
    EXPECT_THAT(kindsOf(m_calls, m_history), IsEmpty());
}

TEST_F(LostTurnsTest, TurnThatReachesAReplicaAtLastIsKept)
{
    refuse(6, at(10'000));
    m_calls.back().runs.resize(1);
    sendOthers(10, 0, at(10'000));
    EXPECT_THAT(kindsOf(m_calls, m_history), IsEmpty());
}

TEST_F(LostTurnsTest, TurnsMayWaitWhereFirstTurnsDo)
{
    refuse(5, at(10'000));
    sendOthers(10, 2, at(10'000));
    EXPECT_THAT(kindsOf(m_calls, m_history), IsEmpty());
}

TEST_F(LostTurnsTest, TurnsMayWaitWhileReplicasAreHalfFull)
{
    refuse(5, at(10'000));
    sendOthers(10, 0, at(9'900));
    for (CallFacts &call : m_calls) {
        for (RunFacts &run : call.runs) {
            run.endedAt.reset();
        }
    }
    m_history.recordTurnSlots(22);
    EXPECT_THAT(kindsOf(m_calls, m_history), IsEmpty());
    m_history.recordTurnSlots(23);
    EXPECT_THAT(kindsOf(m_calls, m_history), ElementsAre("LOST-TURN"));
}

TEST_F(LostTurnsTest, TriesAtAVmThatIsToldToStopDoNotCount)
{
    refuse(5, at(10'000));
    sendOthers(10, 0, at(10'000));
    m_history.recordVm(Front, VmEvent::ToldToStop, at(10'100));
    EXPECT_THAT(kindsOf(m_calls, m_history), IsEmpty());
}

// A drain lasts longer than the time that excuses a VM, and must not make its callers wait.
TEST_F(LostTurnsTest, TriesAtAVmThatWasToldToStopLongBeforeCount)
{
    refuse(5, at(10'000));
    sendOthers(10, 0, at(10'000));
    m_history.recordVm(Front, VmEvent::ToldToStop, at(1'000));
    EXPECT_THAT(kindsOf(m_calls, m_history), ElementsAre("LOST-TURN"));
}

TEST_F(LostTurnsTest, AnyDisruptionInTheThreeSecondsBeforeExcuses)
{
    refuse(5, at(10'000));
    sendOthers(10, 0, at(10'000));
    m_history.recordSite(3, true, at(6'000));
    m_history.recordSite(3, false, at(7'000));
    EXPECT_THAT(kindsOf(m_calls, m_history), IsEmpty());
}

TEST_F(LostTurnsTest, BudgetThatMayBeUsedUpExcuses)
{
    refuse(5, at(10'000));
    sendOthers(10, 0, at(10'000));
    // The first turn counts with its most as long as it was not answered whole.
    CallFacts broken = turn("broken", "", at(5'000), 1);
    broken.tokens = 20;
    m_calls.push_back(broken);
    EXPECT_EQ(tokensAtMost(m_calls, "program", at(10'000)), 60 + MaxTokens);
    EXPECT_THAT(kindsOf(m_calls, m_history), IsEmpty());
}

TEST_F(LostTurnsTest, TurnThatNeedNotBeKeptAnyMoreIsNotLost)
{
    refuse(5, at(70'000));
    sendOthers(10, 0, at(70'000));
    EXPECT_THAT(kindsOf(m_calls, m_history), IsEmpty());
}

TEST_F(LostTurnsTest, TurnThatReachesNoReplicaLongAfterAPowerLossIsLost)
{
    losePower(5'000);
    refuse(1, at(18'000));
    sendOthers(5, 1, at(17'000));
    EXPECT_THAT(kindsOf(m_calls, m_history), ElementsAre("LOST-POWER"));
}

TEST_F(LostTurnsTest, TurnSoonAfterAPowerLossMayWait)
{
    losePower(5'000);
    refuse(1, at(17'999));
    sendOthers(5, 1, at(17'000));
    EXPECT_THAT(kindsOf(m_calls, m_history), IsEmpty());
}

TEST_F(LostTurnsTest, TurnAfterAPowerLossMayWaitWhereOthersDo)
{
    losePower(5'000);
    refuse(1, at(18'000));
    sendOthers(5, 2, at(17'000));
    EXPECT_THAT(kindsOf(m_calls, m_history), IsEmpty());
}

} // namespace

} // namespace boragepath::soak
