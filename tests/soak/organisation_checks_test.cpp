// The soak's checks on organisations: each test shows that a check reports what breaks its promise,
// and nothing that is allowed.

#include "soak/invariant_checker.h"
#include "tests/support/manual_clock.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace boragepath::soak {

namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::StartsWith;

constexpr Milliseconds Step{1};
const Endpoint Front{"127.0.0.1", 1};
const OrganisationEntry Acme{"acme", {"key-a", "key-b"}, 1, 0, 0};
const OrganisationEntry AcmeWithoutKeys{"acme", {}, 1, 0, 0};
const OrganisationEntry Other{"other", {"key-o"}, 1, 0, 0};

class OrganisationChecksTest : public testing::Test
{
protected:
    void send(const std::string &id, const std::string &key, CallKind kind = CallKind::AtMostOnce,
              const std::string &previousTurn = "")
    {
        Attempt attempt;
        attempt.kind = kind;
        attempt.key = key;
        attempt.previousTurn = previousTurn;
        m_checker.recordSent(id, attempt, Front);
    }

    void run(const std::string &id, const std::string &tenant)
    {
        HttpRequest request;
        request.fields = {{"Attempt-Id", id}};
        if (!tenant.empty()) {
            request.fields.push_back({"Tenant", tenant});
        }
        m_checker.recordRun(request, "i-1");
    }

    void answer(const std::string &id, unsigned status)
    {
        AttemptResult result;
        result.status = status;
        m_checker.recordResult(id, result);
    }

    /** Lets a request run at once; @return violations so far. */
    const std::vector<std::string> &sendAndRun(const std::string &id, const std::string &key,
                                               const std::string &tenant,
                                               CallKind kind = CallKind::AtMostOnce)
    {
        send(id, key, kind);
        run(id, tenant);
        return m_checker.violations();
    }

    ManualClock m_clock;
    InvariantChecker m_checker{m_clock};
};

TEST_F(OrganisationChecksTest, KeyMayBeUsedForRevokeTimeAfterItsRemoval)
{
    m_checker.recordConfiguration({Acme});
    m_checker.recordConfiguration({AcmeWithoutKeys});
    m_clock.advance(RevokeTime);
    EXPECT_THAT(sendAndRun("1", "key-a", "acme"), IsEmpty());
    m_clock.advance(Step);
    EXPECT_THAT(sendAndRun("2", "key-a", "acme"),
                ElementsAre(StartsWith("REVOKED request 2"), StartsWith("TENANT request 2")));
}

TEST_F(OrganisationChecksTest, KeyThatIsGivenBackMayBeUsedAgain)
{
    m_checker.recordConfiguration({Acme});
    m_checker.recordConfiguration({AcmeWithoutKeys});
    m_clock.advance(RevokeTime + Step);
    m_checker.recordConfiguration({Acme});
    EXPECT_THAT(sendAndRun("1", "key-a", "acme"), IsEmpty());
}

TEST_F(OrganisationChecksTest, KeysThatNeverExistedMustNotRun)
{
    m_checker.recordConfiguration({Acme});
    sendAndRun("1", "key", "");
    EXPECT_THAT(
        sendAndRun("2", "", ""),
        ElementsAre(StartsWith("UNKNOWN-KEY request 1"), StartsWith("UNKNOWN-KEY request 2")));
}

TEST_F(OrganisationChecksTest, TenantIsTheOrganisationOfTheKey)
{
    m_checker.recordConfiguration({Acme, Other});
    EXPECT_THAT(sendAndRun("1", "key-o", "other"), IsEmpty());
    sendAndRun("2", "key-o", "acme");
    EXPECT_THAT(sendAndRun("3", "key-o", ""),
                ElementsAre(StartsWith("TENANT request 2"), StartsWith("TENANT request 3")));
}

TEST_F(OrganisationChecksTest, PublicRouteHasATenantOnlyWithAKey)
{
    m_checker.recordConfiguration({Acme});
    EXPECT_THAT(sendAndRun("1", "", "", CallKind::Idempotent), IsEmpty());
    sendAndRun("2", "", "acme", CallKind::Idempotent);
    m_clock.advance(ConfigurationApplyTime);
    EXPECT_THAT(sendAndRun("3", "key-a", "", CallKind::Idempotent),
                ElementsAre(StartsWith("TENANT request 2"), StartsWith("TENANT request 3")));
}

TEST_F(OrganisationChecksTest, ProperRequestsMustNotBeUnauthorized)
{
    m_checker.recordConfiguration({Acme});
    m_clock.advance(ConfigurationApplyTime - Step);
    send("1", "key-a");
    answer("1", 401);
    EXPECT_THAT(m_checker.violations(), IsEmpty());
    m_clock.advance(Step);
    send("2", "key-a");
    answer("2", 401);
    EXPECT_THAT(m_checker.violations(), ElementsAre(StartsWith("UNAUTHORIZED request 2")));
}

TEST_F(OrganisationChecksTest, VmWithoutTheStoreNeedNotKnowANewKey)
{
    m_checker.recordStoreDisruption(Front, true);
    m_checker.recordConfiguration({Acme});
    m_clock.advance(ConfigurationApplyTime);
    send("1", "key-a");
    answer("1", 401);
    m_checker.recordStoreDisruption(Front, false);
    m_clock.advance(ConfigurationApplyTime - Step);
    send("2", "key-a");
    answer("2", 401);
    EXPECT_THAT(m_checker.violations(), IsEmpty());
    m_clock.advance(Step);
    send("3", "key-a");
    answer("3", 401);
    EXPECT_THAT(m_checker.violations(), ElementsAre(StartsWith("UNAUTHORIZED request 3")));
}

TEST_F(OrganisationChecksTest, TurnsOfOthersAreNotFound)
{
    m_checker.recordConfiguration({Acme, Other});
    send("turn", "key-a", CallKind::StoredTurn);
    send("1", "key-o", CallKind::StoredTurn, "turn");
    answer("1", 404);
    EXPECT_THAT(m_checker.violations(), IsEmpty());
    send("2", "key-b", CallKind::StoredTurn, "turn");
    answer("2", 404);
    send("3", "key-o", CallKind::StoredTurn, "turn");
    run("3", "other");
    EXPECT_THAT(m_checker.violations(),
                ElementsAre(StartsWith("LOST request 2"), StartsWith("FOREIGN request 3")));
}

TEST_F(OrganisationChecksTest, ReplicasMustNotReceiveKeys)
{
    HttpRequest request;
    request.fields = {{"Attempt-Id", "1"}, {"credential", "anything"}};
    m_checker.recordReceived(request, "i-1");
    request.fields = {{"Attempt-Id", "2"}, {"Forwarded-For", std::string(KeyMark) + "7"}};
    m_checker.recordReceived(request, "i-1");
    m_checker.checkHasNoKey("log", std::string("a line with ") + KeyMark);
    EXPECT_THAT(m_checker.violations(),
                ElementsAre(StartsWith("CREDENTIAL request 1"), StartsWith("CREDENTIAL request 2"),
                            StartsWith("LEAK log")));
}

TEST_F(OrganisationChecksTest, RunsBeyondTheQuotaAreReported)
{
    // (2 x 5 + 10) x 1.1 + 20
    constexpr int Allowed = 42;
    m_checker.recordConfiguration({{"acme", {"key-a"}, 1, 2, 10}});
    for (int request = 0; request < Allowed; ++request) {
        sendAndRun(std::to_string(request), "key-a", "acme");
    }
    EXPECT_THAT(m_checker.violations(), IsEmpty());
    EXPECT_THAT(sendAndRun("excess", "key-a", "acme"),
                ElementsAre(StartsWith("QUOTA request excess")));
    m_clock.advance(QuotaWindow + Step);
    EXPECT_EQ(sendAndRun("later", "key-a", "acme").size(), 1U);
}

TEST(QuotaHistoryTest, RequestsSentBeforeTheWindowDoNotCount)
{
    const SteadyTime start{std::chrono::hours(1)};
    QuotaHistory quotas;
    EXPECT_EQ(quotas.recordRun("acme", start, start + QuotaWindow), 1U);
    EXPECT_EQ(quotas.recordRun("acme", start, start + QuotaWindow + Step), 0U);
}

TEST(QuotaHistoryTest, LoweredQuotaCountsOneWindowAfterAllVmsCouldReadIt)
{
    const SteadyTime start{std::chrono::hours(1)};
    StoreAccess access;
    QuotaHistory quotas;
    quotas.apply({{"acme", {}, 1, 20, 0}}, start);
    quotas.apply({{"acme", {}, 1, 10, 0}}, start);
    access.recordVm(Front, true, start);
    const SteadyTime resumed = start + Seconds(4);
    quotas.settle(access.allSince(), resumed);
    access.recordVm(Front, false, resumed);
    const SteadyTime settled = resumed + ConfigurationApplyTime;
    quotas.settle(access.allSince(), settled + QuotaWindow);
    EXPECT_DOUBLE_EQ(quotas.allowed("acme", settled + QuotaWindow - Step), 130);
    EXPECT_DOUBLE_EQ(quotas.allowed("acme", settled + QuotaWindow), 75);
}

TEST(QuotaHistoryTest, RaisedQuotaCountsAtOnce)
{
    const SteadyTime start{std::chrono::hours(1)};
    QuotaHistory quotas;
    quotas.apply({{"acme", {}, 1, 10, 0}}, start);
    quotas.settle(start, start + ConfigurationApplyTime);
    const SteadyTime raised = start + Seconds(60);
    EXPECT_DOUBLE_EQ(quotas.allowed("acme", raised), 75);
    quotas.apply({{"acme", {}, 1, 20, 0}}, raised);
    EXPECT_DOUBLE_EQ(quotas.allowed("acme", raised), 130);
}

} // namespace

} // namespace boragepath::soak
