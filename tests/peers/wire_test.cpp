// What leaves a process comes back as it was, and nothing else is taken.

#include "backends/backend_client.h"
#include "peers/datagram_codec.h"
#include "platform/table_client.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <absl/strings/match.h>

namespace boragepath {

namespace {

peers::Envelope sampleEnvelope()
{
    peers::Envelope envelope;
    envelope.vm = "vm-1";
    envelope.fence = 7;
    peers::PermitRequest request;
    request.permit = 3;
    request.replica = "m-1";
    envelope.__set_permitRequests({request});
    return envelope;
}

} // namespace

TEST(DatagramTest, ComesBackAsItWas)
{
    const std::string datagram = encodeDatagram(sampleEnvelope(), "secret");
    const auto envelope = decodeDatagram(datagram, "secret");
    ASSERT_TRUE(envelope.has_value());
    EXPECT_EQ(*envelope, sampleEnvelope());
}

TEST(DatagramTest, ForgedOrDamagedOnesAreDropped)
{
    const std::string datagram = encodeDatagram(sampleEnvelope(), "secret");
    EXPECT_FALSE(decodeDatagram(datagram, "other").has_value());
    for (std::size_t index = 0; index < datagram.size(); ++index) {
        std::string damaged = datagram;
        damaged[index] = static_cast<char>(damaged[index] ^ 1);
        EXPECT_FALSE(decodeDatagram(damaged, "secret").has_value()) << index;
    }
    EXPECT_FALSE(decodeDatagram("", "secret").has_value());
}

RC_GTEST_PROP(DatagramProperty, AnyBytesAreHarmless, (const std::string &bytes))
{
    RC_ASSERT(!decodeDatagram(bytes, "secret").has_value());
}

RC_GTEST_PROP(EventSplitterProperty, AnyCutGivesTheSameEvents, ())
{
    const std::string stream = "data: one\n\ndata: two\n\n: comment\n\ndata: [DONE]\n\n";
    ServerSentEventSplitter splitter;
    std::vector<std::string> events;
    std::size_t place = 0;
    while (place < stream.size()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 12);
        for (const std::string &event : splitter.addBytes(stream.substr(place, size))) {
            events.push_back(event);
        }
        place += size;
    }
    RC_ASSERT(events == (std::vector<std::string>{"one", "two", "[DONE]"}));
}

TEST(TableClientTest, TransactionsAreWrittenInThePublishedForm)
{
    Transaction transaction;
    transaction.conditions.push_back({"a", RowRevision(5)});
    transaction.writes.push_back({"b", "value"});
    transaction.writes.push_back({"c", std::nullopt});
    EXPECT_EQ(encodeTransaction(transaction),
              R"({"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"5"}],)"
              R"("success":[{"request_put":{"key":"Yg==","value":"dmFsdWU="}},)"
              R"({"request_delete_range":{"key":"Yw=="}}],)"
              R"("failure":[{"request_range":{"key":"YQ=="}}]})");
}

TEST(TableClientTest, UnreadableAnswersAreNoAnswers)
{
    for (const std::string body : {"", "{}", "[]", R"({"header":1})"}) {
        EXPECT_EQ(decodeTransactionAnswer(body).kind, TransactionOutcome::Kind::NoAnswer);
        EXPECT_FALSE(decodeRangeAnswer(body).answered);
    }
}

TEST(TableClientTest, EndOfAPrefixIsItsSuccessor)
{
    EXPECT_EQ(endOfPrefix("a/"), "a0");
    EXPECT_EQ(endOfPrefix("a\xff"), "b");
}

} // namespace boragepath
