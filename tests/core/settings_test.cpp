#include "core/settings.h"

#include <gtest/gtest.h>

#include <absl/strings/match.h>

namespace boragepath {

namespace {

const std::string ValidSettings = R"({
    // Comments are allowed.
    "vm": "vm-1", "zone": "fukuoka",
    "callers": "127.0.0.11:7001", "peers": "127.0.0.11:7002",
    "peer_secret": "s", "operator_key": "k", "table": "127.0.0.2:7100",
    "pools": [ { "name": "m", "replicas": [
        { "id": "m-1", "endpoint": "127.0.1.1:8000", "zone": "fukuoka" } ] } ]
})";

std::string withReplaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t position = text.find(from);
    return position == std::string::npos ? text : text.replace(position, from.size(), to);
}

void expectErrorContaining(const std::string &text, const std::string &expected)
{
    const auto settings = parseSettings(text);
    ASSERT_FALSE(settings.ok()) << text;
    EXPECT_TRUE(absl::StrContains(std::string(settings.status().message()), expected))
        << settings.status().message();
}

} // namespace

TEST(Settings, ValidSettingsAreReadWithDefaults)
{
    const auto settings = parseSettings(ValidSettings);
    ASSERT_TRUE(settings.ok()) << settings.status().message();
    EXPECT_EQ(settings->vm, VmId("vm-1"));
    EXPECT_EQ(settings->leaseTerm, Milliseconds(6'000));
    EXPECT_EQ(settings->shardCount, 1024U);
    EXPECT_EQ(settings->pools.front().replicas.front().endpoint.port, 8000);
}

TEST(Settings, ErrorsNameTheFieldAndTheAllowedValues)
{
    expectErrorContaining(withReplaced(ValidSettings, "\"zone\": \"fukuoka\",",
                                       "\"zone\": \"fukuoka\", \"zoen\": 1,"),
                          "zoen: unknown field");
    expectErrorContaining(withReplaced(ValidSettings, "\"vm\": \"vm-1\"", "\"vm\": 7"),
                          "vm: must be a text in quotes");
    expectErrorContaining(withReplaced(ValidSettings, "\"vm\": \"vm-1\"", "\"vm\": \"\""),
                          "vm: is required");
    expectErrorContaining(withReplaced(ValidSettings, "\"zone\"", "\"lease_term_ms\": 5, \"zone\""),
                          "lease_term_ms: must be a whole number from 300");
    expectErrorContaining(withReplaced(ValidSettings, "127.0.0.2:7100", "table.example:7100"),
                          "table: \"table.example:7100\" must be an IP address in numbers");
    expectErrorContaining(withReplaced(ValidSettings, "127.0.0.2:7100", "127.0.0.2:99999"),
                          "table:");
    expectErrorContaining(withReplaced(ValidSettings, "\"zone\"", "\"policy\": \"best\", \"zone\""),
                          "policy: must be one of round-robin");
    expectErrorContaining(
        withReplaced(ValidSettings, "\"endpoint\": \"127.0.1.1:8000\"", "\"endpoint\": \"x\""),
        "pools[0].replicas[0].endpoint");
    expectErrorContaining(
        withReplaced(ValidSettings, "\"table\"", "\"tls_key_file\": \"k\", \"table\""),
        "tls_key_file: must be given together");
}

TEST(Settings, JsonErrorsNameTheLine)
{
    expectErrorContaining("{\n  \"vm\": \"a\"\n  \"zone\": \"b\"\n}", "line 3");
    expectErrorContaining("{} {}", "extra data");
}

TEST(Settings, AllErrorsAreReportedAtOnce)
{
    const auto settings = parseSettings("{}");
    ASSERT_FALSE(settings.ok());
    const std::string message(settings.status().message());
    for (const char *field : {"vm:", "zone:", "callers:", "peers:", "table:", "operator_key:"}) {
        EXPECT_TRUE(absl::StrContains(message, field)) << field;
    }
}

} // namespace boragepath
