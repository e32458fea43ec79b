// Permits to send requests to replicas that have named a limit.

#include "control/send_permits.h"
#include "tests/support/manual_timers.h"

#include <gtest/gtest.h>

#include <vector>

namespace boragepath {

namespace {

const ReplicaFingerprint Replica(7);
constexpr RequestRate TenPerSecond(10);
/** Longer than permits of an earlier issuer may be used. */
constexpr Milliseconds QuietTime = MaxPermitDelay + PermitValidity;

/** One VM that issues its permits itself, as it knows of no other one. */
class SendPermitsTest : public testing::Test
{
protected:
    SendPermitsTest()
    {
        m_vms.markRowsRead();
        m_permits.onChange([this] { m_changes += 1; });
        m_limits.noteAnswer(Replica, {LimitStatement::Kind::Limited, TenPerSecond}, m_clock.now());
    }

    SendOutlook::Kind outlook() const { return m_permits.outlook(Replica).kind; }
    void passQuietTime()
    {
        m_permits.ask(Replica, Milliseconds(0));
        m_timers.run(QuietTime + Seconds(1));
    }

    ManualClock m_clock;
    ManualTimers m_timers{m_clock};
    ReplicaLimits m_limits{m_clock};
    VmDirectory m_vms{m_clock, {}, 1};
    SendPermits m_permits{m_clock, m_timers, m_limits, m_vms, nullptr, 1};
    int m_changes = 0;
};

} // namespace

TEST_F(SendPermitsTest, VmThatWasPausedDoesNotUseAPermitThatHasExpired)
{
    using Kind = SendOutlook::Kind;
    passQuietTime();
    m_permits.ask(Replica, Milliseconds(0));
    EXPECT_EQ(outlook(), Kind::Permitted);
    {
        SCOPED_TRACE("the VM is paused for some seconds");
        m_clock.advance(Seconds(3));
        EXPECT_EQ(outlook(), Kind::Askable);
    }
    {
        SCOPED_TRACE("it asks again, and sends in time");
        m_permits.ask(Replica, Milliseconds(0));
        EXPECT_EQ(outlook(), Kind::Permitted);
        EXPECT_EQ(m_permits.use(Replica), m_clock.now() + PermitValidity);
        EXPECT_EQ(outlook(), Kind::Askable);
    }
    {
        SCOPED_TRACE("the next permit is one interval later");
        m_permits.ask(Replica, Milliseconds(100));
        EXPECT_EQ(outlook(), Kind::Awaited);
        m_timers.run(Milliseconds(100));
        EXPECT_EQ(outlook(), Kind::Permitted);
        EXPECT_EQ(m_changes, 1);
    }
    {
        SCOPED_TRACE("a limit that has ended needs no permit");
        m_limits.noteAnswer(Replica, {}, m_clock.now());
        EXPECT_EQ(outlook(), Kind::Free);
    }
}

TEST(SendPermitIssuerTest, PermitsAreSpacedEvenlyAndNoneIsSavedDuringAPause)
{
    ManualClock clock;
    SendPermitIssuer issuer(clock, 1);
    {
        SCOPED_TRACE("an issuer that knows nothing waits until earlier permits have expired");
        EXPECT_FALSE(issuer.decide(Replica, TenPerSecond, MaxPermitDelay).granted);
        clock.advance(PermitValidity);
        const SendPermitDecision first = issuer.decide(Replica, TenPerSecond, MaxPermitDelay);
        EXPECT_TRUE(first.granted);
        EXPECT_EQ(first.delay, MaxPermitDelay);
    }
    clock.advance(Seconds(60));
    std::vector<std::int64_t> delays;
    for (int vm = 0; vm < 12; ++vm) {
        const SendPermitDecision decision = issuer.decide(Replica, TenPerSecond, MaxPermitDelay);
        if (decision.granted) {
            delays.push_back(toMillis(decision.delay));
        }
    }
    EXPECT_EQ(delays, (std::vector<std::int64_t>{0, 100, 200, 300, 400, 500, 600, 700, 800}));
}

TEST(SendPermitIssuerTest, ReplicaThatTakesNoRequestsGetsOneNowAndThenToNoticeTheEnd)
{
    ManualClock clock;
    SendPermitIssuer issuer(clock, 1);
    issuer.decide(Replica, RequestRate(0), MaxPermitDelay);
    int granted = 0;
    for (int step = 0; step < 200; ++step) {
        clock.advance(Milliseconds(100));
        granted += issuer.decide(Replica, RequestRate(0), Milliseconds(0)).granted ? 1 : 0;
    }
    EXPECT_EQ(granted, 4);
}

} // namespace boragepath
