// Quotas of organisations on the platform's wire: what callers beyond the quota get.

#include "tests/support/platform_session.h"

namespace boragepath::platform {

namespace {

const std::string SmallQuota =
    R"([{"name":"a","apiKeys":["key-a"],"ratePerS":2,"burst":2},{"name":"b","apiKeys":["key-b"]}])";

constexpr Seconds StartTime{4};

class OrganisationQuotaTest : public PlatformSession
{
protected:
    OrganisationQuotaTest()
    {
        configure();
        configureOrganisations(10, SmallQuota);
        m_vms.markRowsRead();
        m_quotas.setTolerance({Milliseconds(1'000), 0.1, 20});
        // A VM that has just started grants a small amount only.
        m_context.run_for(StartTime);
    }

    /** Sends 30 requests at once; the number of those that were served. */
    int servedOf(const std::string &key, const std::string &path)
    {
        int served = 0;
        for (int index = 0; index < 30; ++index) {
            m_last = exchange(callRequest(path, absl::StrCat(key, "-", index), "body",
                                          "Credential: " + key + "\r\n"),
                              "\r\n\r\n");
            served += m_last.starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        return served;
    }

    std::string m_last;
};

} // namespace

TEST_F(OrganisationQuotaTest, WhatIsBeyondTheQuotaIsRefusedWithATimeToComeBack)
{
    const ScriptedReplica &replica = addReplica([](const std::string &head, const std::string &) {
        return ReplicaScript{completeResponse(head, "served")};
    });
    const int served = servedOf("key-a", "/look/x");
    EXPECT_GE(served, 1);
    EXPECT_LE(served, 4);
    EXPECT_THAT(m_last, testing::StartsWith("HTTP/1.1 429"));
    EXPECT_GT(std::stod(fieldOf(m_last, "Retry-After")), 0);
    EXPECT_EQ(replica.heads.size(), static_cast<std::size_t>(served));
    EXPECT_EQ(servedOf("key-b", "/look/x"), 30);
}

/** Calls that reach no replica must not use up the quota of those that could. */
TEST_F(OrganisationQuotaTest, CallsThatReachNoReplicaDoNotCount)
{
    EXPECT_EQ(servedOf("key-a", "/look/x"), 0);
    EXPECT_THAT(m_last, testing::StartsWith("HTTP/1.1 503"));
}

} // namespace boragepath::platform
