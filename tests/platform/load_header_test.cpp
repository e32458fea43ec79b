// How the load that replicas report in their answers is read.

#include "platform/call_codec.h"

#include <gtest/gtest.h>

namespace boragepath::platform {

namespace {

std::optional<ReportedLoad> loadOf(const std::string &value)
{
    HttpResponse response;
    response.status = 200;
    response.fields.push_back({"replica-load", value});
    return replicaCodec(HttpRequest(), AttemptId("call-1")).readHead(response, true).load;
}

} // namespace

// Guards against a fourth field that makes the scheduler work without any load reports.
TEST(LoadHeaderTest, PaceIsTheOptionalFourthField)
{
    const auto load = loadOf("3,1,8,250");
    ASSERT_TRUE(load.has_value());
    EXPECT_EQ(load->running, 3);
    EXPECT_EQ(load->waiting, 1);
    EXPECT_EQ(load->slots, 8);
    EXPECT_EQ(load->pace, ReplicaPace(250));
    EXPECT_EQ(loadOf("3,1,8,1")->pace, ReplicaPace(1));
    EXPECT_EQ(loadOf("3,1,8,10000")->pace, ReplicaPace(10'000));
    {
        SCOPED_TRACE("replicas that run on machines of their own report three fields");
        ASSERT_TRUE(loadOf("3,1,8").has_value());
        EXPECT_EQ(loadOf("3,1,8")->pace, std::nullopt);
    }
}

// Guards against a wrong pace that hides the load, or that attracts or repels all requests.
TEST(LoadHeaderTest, PaceThatCannotBeUsedIsUnknownAndTheLoadStillCounts)
{
    for (const char *pace : {"", "0", "00", "-1", "+100", " 100", "100 ", "1e2", "0x64", "99.5",
                             "nan", "slow", "10001", "99999999999999999999"}) {
        const auto load = loadOf(std::string("3,1,8,") + pace);
        ASSERT_TRUE(load.has_value()) << pace;
        EXPECT_EQ(load->running, 3) << pace;
        EXPECT_EQ(load->pace, std::nullopt) << pace;
    }
}

TEST(LoadHeaderTest, HeaderWithAnotherNumberOfFieldsOrABrokenLoadIsNoReport)
{
    for (const char *value : {"", "3", "3,1", "3,1,8,100,", "3,1,8,100,7", "x,1,8,100",
                              "3,-1,8,100", "3,1,,100", ",,,"}) {
        EXPECT_FALSE(loadOf(value).has_value()) << value;
    }
}

} // namespace boragepath::platform
