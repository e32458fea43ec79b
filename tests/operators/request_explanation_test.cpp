// One request's story, told from the logs of all VMs.

#include "operators/request_explanation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

namespace boragepath {

namespace {

constexpr const char *Log = R"(
collector noise without JSON
   1.2 vm-2 {"time":"2026-04-20T10:00:04.500","event":"call","vm":"vm-2","request":"b","program":"p","outcome":"answered","status":200,"ms":300,"route":"turn","replicas":"i-2"}
{"time":"2026-04-20T10:00:01.000","level":"WARNING","event":"dependency","vm":"vm-1","name":"store","outcome":"lost"}
{"time":"2026-04-20T10:00:01.500","event":"store","vm":"vm-1","call":"/v1/rows-tx","status":507}
{"time":"2026-04-20T09:59:00.000","event":"dependency","vm":"vm-1","name":"store","outcome":"regained"}
{"time":"2026-04-20T10:00:01.100","event":"dependency","vm":"vm-2","name":"other","outcome":"lost"}
{"time":"2026-04-20T10:00:02.000","event":"call","vm":"vm-1","request":"a","program":"p","outcome":"store-away","status":0,"ms":1,"store_silent_ms":950}
{"time":"2026-04-20T10:00:06.000","event":"attempt","vm":"vm-1","request":"c","replica":"i-1","outcome":"no answer","attempt":1}
{"time":"2026-04-20T10:00:06.200","event":"call","vm":"vm-1","request":"c","program":"q","outcome":"failed:no answer","status":0,"ms":900,"replicas":"i-1"}
{"time":"2026-04-20T10:00:06.300","event":"call","vm":"vm-2","request":"d","program":"r","outcome":"failed:no answer","status":0,"ms":900,"replicas":"i-1,i-3"}
{"time":"2026-04-20T10:00:05.900","event":"replica","vm":"vm-1","replica":"i-1","service":"app","outcome":"draining"}
)";

std::vector<LogRecord> exampleLog()
{
    std::istringstream input(Log);
    std::size_t unreadable = 0;
    return readLog(input, unreadable);
}

} // namespace

TEST(LogStory, LinesAreSortedAndWhatIsNoLineIsCounted)
{
    std::istringstream input(Log);
    std::size_t unreadable = 0;
    const auto log = readLog(input, unreadable);
    EXPECT_EQ(unreadable, 2U);
    ASSERT_EQ(log.size(), 10U);
    EXPECT_TRUE(std::is_sorted(log.begin(), log.end(), [](const auto &left, const auto &right) {
        return left.at < right.at;
    }));
}

TEST(LogStory, ARefusalIsExplainedByWhatItsVmHadLearnt)
{
    const std::string story = tellStory(exampleLog(), "a");
    EXPECT_THAT(story, testing::HasSubstr("store_silent_ms=950"));
    EXPECT_THAT(story, testing::HasSubstr("the store did not answer this VM"));
    EXPECT_THAT(story, testing::HasSubstr("10:00:01.000 vm-1 dependency name=store outcome=lost"));
    EXPECT_THAT(story, testing::HasSubstr("the store answered 507 to 1 of its calls"));
    EXPECT_THAT(story, testing::HasSubstr("no replica was sent the request"));
    // Neither what was long before, nor what another VM learnt.
    EXPECT_THAT(story, testing::Not(testing::HasSubstr("regained")));
    EXPECT_THAT(story, testing::Not(testing::HasSubstr("name=other")));
}

TEST(LogStory, AFailureIsExplainedByHowItsReplicaDidElsewhere)
{
    const std::string story = tellStory(exampleLog(), "c");
    EXPECT_THAT(story, testing::HasSubstr("attempt request=c replica=i-1 outcome=no answer"));
    EXPECT_THAT(story, testing::HasSubstr("0 were answered and 2 were not, through 2 VMs"));
    EXPECT_THAT(story, testing::HasSubstr("replica=i-1 service=app outcome=draining"));
}

TEST(LogStory, AProgramIsToldInTheOrderOfItsRequests)
{
    const std::string story = tellStory(exampleLog(), "p");
    EXPECT_LT(story.find("request=a"), story.find("request=b"));
    EXPECT_THAT(story, testing::EndsWith("2 requests, 1 of them answered\n"));
}

TEST(LogStory, AnIdThatNoLineNamesHasNoStory)
{
    EXPECT_EQ(tellStory(exampleLog(), "nobody"), "");
}

} // namespace boragepath
