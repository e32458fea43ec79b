// Encodings between processes: what is encoded decodes to the same, anything else is rejected.

#include "net/event_stream_parser.h"
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

TEST(DatagramTest, DecodesToTheEncodedEnvelope)
{
    const std::string datagram = encodeDatagram(sampleEnvelope(), "secret");
    const auto envelope = decodeDatagram(datagram, "secret");
    ASSERT_TRUE(envelope.has_value());
    EXPECT_EQ(*envelope, sampleEnvelope());
}

TEST(DatagramTest, ForgedOrDamagedDatagramsAreRejected)
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

RC_GTEST_PROP(DatagramProperty, ArbitraryBytesAreRejected, (const std::string &bytes))
{
    RC_ASSERT(!decodeDatagram(bytes, "secret").has_value());
}

RC_GTEST_PROP(EventSplitterProperty, EventsDoNotDependOnChunkBoundaries, ())
{
    const std::string stream = "data: one\n\ndata: two\n\n: comment\n\ndata: [DONE]\n\n";
    EventStreamParser parser;
    std::vector<std::string> events;
    std::size_t position = 0;
    while (position < stream.size()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 12);
        parser.add(stream.substr(position, size));
        while (const std::optional<StreamEvent> event = parser.next()) {
            events.push_back(event->data);
        }
        position += size;
    }
    RC_ASSERT(events == (std::vector<std::string>{"one", "two", "", "[DONE]"}));
    RC_ASSERT(!parser.hasPartialEvent());
}

TEST(TableClientTest, TransactionIsEncodedAsThePublishedApiRequires)
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

TEST(TableClientTest, MalformedAnswersDecodeToNoAnswer)
{
    for (const std::string body : {"", "{}", "[]", R"({"header":1})"}) {
        EXPECT_EQ(decodeTransactionAnswer(body).kind, TransactionOutcome::Kind::NoAnswer);
        EXPECT_FALSE(decodeRangeAnswer(body).answered);
    }
}

TEST(TableClientTest, EndOfPrefixIsTheNextKeyAfterThePrefix)
{
    EXPECT_EQ(endOfPrefix("a/"), "a0");
    EXPECT_EQ(endOfPrefix("a\xff"), "b");
}

} // namespace boragepath
