// Decoding and encoding of the platform's settings, registrations, headers and store rows.

#include "net/event_stream_parser.h"
#include "platform/call_codec.h"
#include "platform/registry_codec.h"
#include "platform/settings_file.h"
#include "platform/store_client.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <absl/strings/match.h>

namespace boragepath::platform {

namespace {

const std::string GoodSettings = "node=front-1\nzone=fukuoka\nip=10.1.0.38\n"
                                 "listen.front=10.1.0.38:8149\nlisten.ready=10.1.0.38:8141\n"
                                 "listen.directory=10.1.0.38:8143\ninternalPorts=7380,7395\n"
                                 "platform.addr=10.200.1.7:8142\nlimits.memoryMb=140\n"
                                 "bounds.graceS=8\nsomething.new=1\n";

const std::string GoodReplica =
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":24,)"
    R"("state":"ready","coldLeftMs":0,"seq":4,"born":1700000000000})";

std::string withoutLine(const std::string &text, const std::string &line)
{
    std::string result = text;
    const std::size_t start = result.find(line);
    return result.erase(start, result.find('\n', start) + 1 - start);
}

HttpRequest turnRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/a/b?c=d";
    request.fields = {
        {"Host", "one.example:80"}, {"Attempt-Id", "id1"},    {"Deadline-Ms", "4000"},
        {"Program-Id", "p1"},       {"Token-Budget", "4704"}, {"Token-Usage", "1840,588"},
        {"Previous-Turn", "id0"},   {"X-Other", "kept"},      {"Connection", "keep-alive, X-Hop"},
        {"Affinity-Key", "17"},     {"X-Hop", "dropped"},     {"Kv-From", "dropped"},
        {"Hold", "dropped"}};
    return request;
}

CallDispatch dispatchTo(const std::string &replica, RouteTable table)
{
    CallDispatch dispatch;
    dispatch.replica.id = ReplicaId(replica);
    dispatch.table = std::make_shared<RouteTable>(std::move(table));
    return dispatch;
}

} // namespace

// --- Settings ----------------------------------------------------------------

TEST(PlatformSettings, ParsesKnownKeysAndIgnoresUnknownOnes)
{
    const auto settings = parseNodeSettings(GoodSettings);
    ASSERT_TRUE(settings.ok()) << settings.status().message();
    EXPECT_EQ(settings->front.text(), "10.1.0.38:8149");
    EXPECT_EQ(settings->peers.text(), "10.1.0.38:7380");
    EXPECT_EQ(settings->stopGrace, Seconds(8));
}

/** VMs whose secrets differ drop each other's datagrams and never learn of each other. */
TEST(PlatformSettings, VmsThatReachTheStoreAtDifferentAddressesCanShareASecret)
{
    EXPECT_EQ(parseNodeSettings(GoodSettings)->peerSecret, "10.200.1.7:8142");
    EXPECT_EQ(parseNodeSettings(GoodSettings + "peers.secret=shared\n")->peerSecret, "shared");
}

TEST(PlatformSettings, ErrorNamesTheKey)
{
    for (const std::string key :
         {"node", "zone", "listen.front", "listen.ready", "listen.directory", "platform.addr"}) {
        const auto missing = parseNodeSettings(withoutLine(GoodSettings, key + "="));
        ASSERT_FALSE(missing.ok()) << key;
        EXPECT_TRUE(absl::StartsWith(std::string(missing.status().message()), key));
    }
    const auto wrong = parseNodeSettings(GoodSettings + "bounds.graceS=soon\n");
    ASSERT_FALSE(wrong.ok());
    EXPECT_TRUE(absl::StrContains(std::string(wrong.status().message()), "bounds.graceS"));
}

RC_GTEST_PROP(PlatformSettingsProperty, AnyTextIsParsedOrRejectedWithAMessage,
              (const std::string &text))
{
    const auto settings = parseNodeSettings(text);
    RC_ASSERT(settings.ok() || !settings.status().message().empty());
}

// --- Registrations -----------------------------------------------------------

TEST(ReplicaCodec, DecodesCompleteRegistration)
{
    const auto entry = decodeReplica(ReplicaId("i-1"), GoodReplica);
    ASSERT_TRUE(entry.has_value());
    EXPECT_EQ(entry->endpoint.text(), "10.0.0.9:8080");
    EXPECT_EQ(entry->slots, 24);
    EXPECT_EQ(entry->startedAtMillis, 1'700'000'000'000);
    EXPECT_FALSE(entry->draining);
}

// Another writer's entries without a version made two software versions count as the same one, so
// that streams went on at the other.
TEST(ReplicaCodec, RejectsMissingOrMistypedFields)
{
    const std::vector<std::pair<std::string, std::string>> changes = {
        {R"("addr":"10.0.0.9:8080",)", ""},
        {R"("10.0.0.9:8080")", "17"},
        {R"("ready")", R"("resting")"},
        {R"("slots":24)", R"("slots":"24")"},
        {R"("seq":4)", R"("seq":"x")"},
        {R"("born":1700000000000)", R"("born":1.5)"},
        {R"("zone":"z")", R"("zone":null)"},
        {R"({"service)", R"(["service)"},
        {R"("version":"v1",)", ""},
        {R"("version":"v1")", R"("version":1)"},
        {R"("version":"v1")", R"("version":"")"},
        {R"("coldLeftMs":0,)", ""},
        {R"("coldLeftMs":0)", R"("coldLeftMs":"0")"},
    };
    for (const auto &[from, to] : changes) {
        std::string text = GoodReplica;
        text.replace(text.find(from), from.size(), to);
        EXPECT_FALSE(decodeReplica(ReplicaId("i-1"), text).has_value()) << text;
    }
}

TEST(ConfigurationCodec, DecodesRoutesServicesAndLimits)
{
    const auto decoded = decodeConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"one.example","prefix":"/a/",)"
        R"("kind":"streaming","timeoutMs":4000,"targetLatencyMs":250,"priority":1,)"
        R"("split":[{"service":"x","weight":90},{"service":"y","weight":10}],"maxAttempts":2,)"
        R"("retainContext":true,"keepS":60.5,"sticky":true,"resumable":false}],)"
        R"("services":[{"name":"x","maxConns":210,"engine":{"tokensPerEvent":20}}],)"
        R"("limits":{"maxHeaderBytes":100,"idleTimeoutMs":15000},"unknown":1})",
        KeyHasher("secret"));
    ASSERT_TRUE(decoded.ok()) << decoded.status().message();
    const RouteTable *table = decoded->get();
    EXPECT_EQ(table->version, ConfigurationVersion(7));
    const RoutePolicy &route = table->routes.at(0);
    EXPECT_EQ(route.kind, RequestKind::Stream);
    EXPECT_EQ(route.turnRetention, Milliseconds(60'500));
    EXPECT_EQ(route.services.size(), 2U);
    EXPECT_EQ(table->services.at(PoolName("x")).tokensPerEvent, 20);
    EXPECT_EQ(table->limits.maxHeaderBytes, 100);
    EXPECT_FALSE(decodeConfiguration("no json", KeyHasher("secret")).ok());
}

TEST(ConfigurationCodec, DecodesOrganisations)
{
    const KeyHasher hasher("secret");
    const auto decoded = decodeConfiguration(
        R"({"version":1,"tenants":[{"name":"a","apiKeys":["k1","k2"],"priority":1,"ratePerS":362,)"
        R"("burst":40.5},{"name":"b","apiKeys":[]}]})",
        hasher);
    ASSERT_TRUE(decoded.ok()) << decoded.status().message();
    const OrganisationTable &table = *(*decoded)->organisations;
    EXPECT_EQ(table.findByKey(hasher.digestOf("k1")), table.findByKey(hasher.digestOf("k2")));
    EXPECT_EQ(table.findByKey(hasher.digestOf("k3")), nullptr);
    const Organisation &first = *table.findByKey(hasher.digestOf("k1"));
    EXPECT_EQ(first.priority, 1);
    EXPECT_EQ(first.quota, (RequestQuota{RequestRate(362), 40.5}));
    EXPECT_FALSE(table.find(OrganisationId("b"))->quota.isLimited());
    EXPECT_FALSE((*decodeConfiguration(R"({"version":1})", hasher))->organisations.has_value());
}

TEST(ConfigurationCodec, RejectsInvalidOrganisationsAndNamesTheField)
{
    const std::pair<const char *, const char *> cases[] = {
        {R"({"name":"","apiKeys":["k"]})", "tenants[1].name"},
        {R"({"name":"b","apiKeys":["k",""]})", "tenants[1].apiKeys[1]"},
        {R"({"name":"b","apiKeys":["k0"]})", "tenants[1]"},
        {R"({"name":"a","apiKeys":["k"]})", "tenants[1]"},
        {R"({"name":"b","ratePerS":-1})", "tenants[1].ratePerS"},
        {R"({"name":"b","burst":"many"})", "tenants[1].burst"},
        {R"(["b"])", "tenants[1]"},
        {R"({"name":"b","apiKeys":"k"})", "tenants[1].apiKeys"},
        {R"({"name":"b","priority":"high"})", "tenants[1].priority"},
    };
    for (const auto &[item, path] : cases) {
        const auto decoded = decodeConfiguration(
            absl::StrCat(R"({"version":1,"tenants":[{"name":"a","apiKeys":["k0"]},)", item, "]}"),
            KeyHasher("secret"));
        ASSERT_FALSE(decoded.ok()) << item;
        EXPECT_TRUE(absl::StartsWith(std::string(decoded.status().message()), path))
            << decoded.status().message();
    }
}

TEST(Routes, LongestMatchingPrefixOfTheHostIsUsed)
{
    RouteTable table;
    for (const char *prefix : {"/a/", "/a/b/", "/"}) {
        RoutePolicy route;
        route.host = "one.example";
        route.prefix = prefix;
        table.routes.push_back(route);
    }
    EXPECT_EQ(matchRoute(table, "one.example", "/a/b/c")->prefix, "/a/b/");
    EXPECT_EQ(matchRoute(table, "ONE.example", "/a/bc")->prefix, "/a/");
    EXPECT_EQ(matchRoute(table, "one.example", "/x")->prefix, "/");
    EXPECT_EQ(matchRoute(table, "two.example", "/a/"), nullptr);
}

// --- Calls -------------------------------------------------------------------

TEST(CallCodec, DecodesHeadersOfATurn)
{
    const DecodedCall decoded =
        decodeCall(turnRequest(), "input", SteadyTime(), KeyHasher("secret"));
    ASSERT_EQ(decoded.problem, "");
    EXPECT_EQ(decoded.call.host, "one.example");
    EXPECT_EQ(decoded.call.path, "/a/b");
    EXPECT_EQ(decoded.call.callerTimeout, Milliseconds(4'000));
    EXPECT_EQ(decoded.call.tokenBudget, 4'704);
    EXPECT_EQ(decoded.call.maxTurnTokens, 588);
    EXPECT_EQ(decoded.call.previousTurn, AttemptId("id0"));
    EXPECT_EQ(decoded.call.object, "17");
    EXPECT_EQ(*decoded.call.input, "input");
}

TEST(CallCodec, RejectsMissingOrRepeatedIdOrHost)
{
    for (const char *name : {"Attempt-Id", "Host"}) {
        HttpRequest twice = turnRequest();
        twice.fields.push_back({name, "another"});
        EXPECT_NE(decodeCall(twice, "", SteadyTime(), KeyHasher("secret")).problem, "") << name;
        HttpRequest none = turnRequest();
        std::erase_if(none.fields, [&](const HttpField &field) { return field.name == name; });
        EXPECT_NE(decodeCall(none, "", SteadyTime(), KeyHasher("secret")).problem, "") << name;
    }
}

TEST(CallCodec, ForwardsRequestWithoutHopByHopAndReservedHeaders)
{
    const ReplicaCodec codec = replicaCodec(turnRequest(), AttemptId("id1"));
    const std::string head =
        codec.requestHead(dispatchTo("i-1", RouteTable()), Milliseconds(900), 5, 12);
    EXPECT_EQ(head,
              "POST /a/b?c=d HTTP/1.1\r\nHost: one.example:80\r\nAttempt-Id: id1\r\n"
              "Program-Id: p1\r\nToken-Budget: 4704\r\nToken-Usage: 1840,588\r\n"
              "Previous-Turn: id0\r\nX-Other: kept\r\nAffinity-Key: 17\r\nDeadline-Ms: 900\r\n"
              "Expect-Replica: i-1\r\nLast-Event-Id: 12\r\nContent-Length: 5\r\n\r\n");
}

/** Replicas must not get keys, and must not trust what a caller says about its organisation. */
TEST(CallCodec, ReplicasGetTheOrganisationInPlaceOfTheKey)
{
    HttpRequest request = turnRequest();
    request.fields.push_back({"Credential", "k1"});
    request.fields.push_back({"tenant", "forged"});
    const ReplicaCodec codec = replicaCodec(request, AttemptId("id1"));
    RouteTable table;
    {
        SCOPED_TRACE("without organisations, both headers are the caller's own business");
        const std::string head =
            codec.requestHead(dispatchTo("i-1", table), Milliseconds(900), 0, std::nullopt);
        EXPECT_THAT(head, testing::HasSubstr("Credential: k1\r\ntenant: forged\r\n"));
    }
    table.organisations.emplace();
    CallDispatch dispatch = dispatchTo("i-1", table);
    for (const bool known : {true, false}) {
        SCOPED_TRACE(known ? "of a known key" : "on a public route");
        if (!known) {
            dispatch.organisation.reset();
        } else {
            dispatch.organisation = OrganisationId("a");
        }
        const std::string head = codec.requestHead(dispatch, Milliseconds(900), 0, 3);
        EXPECT_EQ(head.find("k1"), std::string::npos);
        EXPECT_EQ(head.find("forged"), std::string::npos);
        EXPECT_EQ(head.find("Tenant: a\r\n") != std::string::npos, known);
    }
}

TEST(CallCodec, RequestWithTwoKeysCountsAsWithoutKey)
{
    const KeyHasher hasher("secret");
    HttpRequest request = turnRequest();
    EXPECT_FALSE(decodeCall(request, "", SteadyTime(), hasher).call.key.has_value());
    request.fields.push_back({"Credential", "k1"});
    EXPECT_EQ(decodeCall(request, "", SteadyTime(), hasher).call.key, hasher.digestOf("k1"));
    request.fields.push_back({"Credential", "k2"});
    EXPECT_FALSE(decodeCall(request, "", SteadyTime(), hasher).call.key.has_value());
}

TEST(CallCodec, DecodesExecutionStateAndLoadFromResponseHead)
{
    const ReplicaCodec codec = replicaCodec(turnRequest(), AttemptId("id1"));
    const auto read = [&](unsigned status, std::vector<HttpField> fields) {
        HttpResponse response;
        response.status = status;
        response.fields = std::move(fields);
        return codec.readHead(response, true);
    };
    EXPECT_TRUE(read(200, {{"Attempt-Id", "id1"}, {"Replica-Seal", "s"}}).hasSeal);
    EXPECT_FALSE(read(200, {{"Attempt-Id", "id1"}}).hasSeal);
    EXPECT_FALSE(read(200, {{"Attempt-Id", "id2"}, {"Replica-Seal", "s"}}).matchesCall);
    EXPECT_TRUE(read(503, {{"Not-Executed", "1"}}).notExecuted);
    EXPECT_FALSE(read(503, {{"Attempt-Id", "id1"}}).notExecuted);
    EXPECT_TRUE(read(421, {}).wrongReplica);
    EXPECT_TRUE(read(200, {{"Content-Encoding", "gzip"}}).hasContentEncoding);
    const auto load = read(200, {{"Replica-Load", "3,1,8"}}).load;
    ASSERT_TRUE(load.has_value());
    EXPECT_EQ(load->waiting, 1);
}

TEST(CallCodec, RefusalsCarryStatusAndRetryAfter)
{
    const auto fields =
        refusalHeaders({CallRefusalReason::StoreUnavailable, Milliseconds(1'500)}, "id1");
    ASSERT_EQ(fields.size(), 2U);
    EXPECT_EQ(fields[1].value, "1.500");
    EXPECT_EQ(refusalStatus(CallRefusalReason::BudgetExhausted), 402U);
    EXPECT_EQ(refusalStatus(CallRefusalReason::UnknownTurn), 404U);
    EXPECT_EQ(refusalStatus(CallRefusalReason::NoConfiguration), 503U);
}

// --- The store ---------------------------------------------------------------

TEST(StoreCodec, EncodesTransaction)
{
    RowTransaction transaction;
    transaction.conditions.push_back({{"my", "p7", "owner"}, RowRevision(0)});
    transaction.puts.push_back({{"my", "p7", "owner"}, "node-1"});
    EXPECT_EQ(
        encodeTransaction(transaction),
        R"({"expected":[{"table":"my","part":"p7","key":"owner","ver":0}],)"
        R"("puts":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x"}],"remove":[]})");
}

TEST(StoreCodec, DecodesRows)
{
    const auto response = decodeRows(
        R"({"rows":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x","ver":412},)"
        R"({"table":"my","part":"","key":"gone","ver":413,"deleted":true}],)"
        R"("morePages":true,"ver":530,"nowMs":51230})");
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->rows.at(0).value, "node-1");
    EXPECT_TRUE(response->rows.at(1).removed);
    EXPECT_EQ(response->version, RowRevision(530));
    EXPECT_EQ(response->storeTime, Milliseconds(51'230));
    EXPECT_TRUE(response->more);
    EXPECT_FALSE(decodeRows("<html>").has_value());
}

// --- Events ------------------------------------------------------------------

RC_GTEST_PROP(EventScannerProperty, EventsDoNotDependOnChunkBoundaries, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    std::string text;
    std::vector<std::string> expected;
    for (int event = 0; event < 8; ++event) {
        const std::string data(random() % 50, 'x');
        expected.push_back(data);
        text += "id: " + std::to_string(event) + "\ndata: " + data + "\n\n";
    }
    const std::string cutOff = "id: 8\ndata: cut o";
    text += cutOff;
    EventStreamParser scanner;
    std::vector<std::string> found;
    std::string joined;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t size = 1 + random() % 40;
        scanner.add(text.substr(start, size));
        start += size;
        while (const auto event = scanner.next()) {
            RC_ASSERT(event->id == static_cast<std::int64_t>(found.size()));
            found.push_back(event->data);
            joined += event->text;
        }
    }
    RC_ASSERT(found == expected);
    RC_ASSERT(joined + cutOff == text);
    RC_ASSERT(scanner.hasPartialEvent());
}

} // namespace boragepath::platform
