// How the limits that replicas name in their answers are read.

#include "platform/call_codec.h"

#include <gtest/gtest.h>

namespace boragepath::platform {

namespace {

using Kind = LimitStatement::Kind;

LimitStatement statementOf(const std::vector<std::string> &values, unsigned status = 200)
{
    HttpResponse response;
    response.status = status;
    for (const std::string &value : values) {
        response.fields.push_back({"server-limit", value});
    }
    return replicaCodec(HttpRequest(), AttemptId("call-1")).readHead(response, true).limit;
}

} // namespace

TEST(LimitHeaderTest, LimitIsReadFromAnswersOfEveryStatus)
{
    for (const unsigned status : {200U, 421U, 429U, 500U, 503U, 504U}) {
        const LimitStatement statement = statementOf({"3.5"}, status);
        EXPECT_EQ(statement.kind, Kind::Limited);
        EXPECT_EQ(statement.limit, RequestRate(3.5));
    }
    EXPECT_EQ(statementOf({}).kind, Kind::NoLimit);
    EXPECT_EQ(statementOf({"0"}).limit, RequestRate(0));
    EXPECT_EQ(statementOf({"1000000"}).limit, RequestRate(1'000'000));
}

TEST(LimitHeaderTest, LimitThatIsNoSingleDecimalNumberIsUnreadable)
{
    const std::vector<std::string> unreadable[] = {
        {""},        {"-1"},        {"+1"},     {"nan"},    {"inf"},
        {"1e3"},     {"0x3"},       {"1,5"},    {"1.2.3"},  {".5"},
        {"5 per s"}, {"1000000.1"}, {"3", "3"}, {"3", "4"}, {std::string(400, '9')},
    };
    for (const std::vector<std::string> &values : unreadable) {
        EXPECT_EQ(statementOf(values).kind, Kind::Unreadable) << values.front();
    }
}

} // namespace boragepath::platform
