#include "core/settings.h"

#include "core/object_reader.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <set>
#include <sstream>

namespace boragepath {

namespace {

constexpr std::int64_t MaxMillis = 86'400'000;
constexpr std::int64_t MaxCount = 1'000'000'000;
constexpr std::int64_t MaxBytes = 1LL << 40;

Endpoint readEndpoint(ObjectReader &reader, const std::string &field)
{
    const std::string text = reader.requiredText(field);
    const absl::StatusOr<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint.ok()) {
        reader.addError(field, std::string(endpoint.status().message()));
        return {};
    }
    return *endpoint;
}

Milliseconds readMillis(ObjectReader &reader, const std::string &field, Milliseconds fallback,
                        std::int64_t least)
{
    return Milliseconds(reader.number(field, fallback.count(), least, MaxMillis));
}

ReplicaSettings readReplica(ObjectReader &reader)
{
    ReplicaSettings replica;
    replica.id = ReplicaId(reader.requiredText("id"));
    replica.endpoint = readEndpoint(reader, "endpoint");
    replica.zone = ZoneId(reader.requiredText("zone"));
    return replica;
}

PoolSettings readPool(ObjectReader &reader)
{
    PoolSettings pool;
    pool.name = PoolName(reader.requiredText("name"));
    pool.isService = reader.choice("kind", "model", {"model", "service"}) == 1;
    pool.maxBatchSize =
        static_cast<std::uint32_t>(reader.number("useful_batch", pool.maxBatchSize, 1, 4096));
    pool.microsPerCall = reader.number("micros_per_call", pool.microsPerCall, 0, MaxCount);
    pool.microsPerThousandTokens =
        reader.number("micros_per_thousand_tokens", pool.microsPerThousandTokens, 0, MaxCount);
    pool.defaultMaxTokens =
        reader.number("default_max_tokens", pool.defaultMaxTokens, 1, 1'000'000);
    pool.prefillPerThousandTokens =
        readMillis(reader, "prefill_per_thousand_tokens_ms", pool.prefillPerThousandTokens, 0);
    pool.responseIdleTimeout = readMillis(reader, "silence_limit_ms", pool.responseIdleTimeout, 1);
    pool.checksFence = reader.flag("checks_fence", pool.checksFence);
    for (ObjectReader &part : reader.objects("replicas")) {
        pool.replicas.push_back(readReplica(part));
        reader.collect(part);
    }
    if (pool.replicas.empty()) {
        reader.addError("replicas", "must name at least one backend server");
    }
    return pool;
}

void readTimes(ObjectReader &reader, Settings &settings)
{
    settings.leaseTerm = readMillis(reader, "lease_term_ms", settings.leaseTerm, 300);
    settings.leaseMargin = readMillis(reader, "lease_margin_ms", settings.leaseMargin, 50);
    settings.probeInterval = readMillis(reader, "probe_interval_ms", settings.probeInterval, 10);
    settings.tableTimeout = readMillis(reader, "table_timeout_ms", settings.tableTimeout, 50);
    settings.cataloguePollInterval =
        readMillis(reader, "catalogue_poll_interval_ms", settings.cataloguePollInterval, 50);
    settings.maxCatalogueAge =
        readMillis(reader, "catalogue_stale_limit_ms", settings.maxCatalogueAge, 100);
    settings.gapTimeout = readMillis(reader, "gap_limit_ms", settings.gapTimeout, 0);
    settings.programIdleLimit =
        readMillis(reader, "program_idle_limit_ms", settings.programIdleLimit, 100);
    settings.addressTtl = readMillis(reader, "address_ttl_ms", settings.addressTtl, 0);
    settings.queueTimeout = readMillis(reader, "queue_limit_ms", settings.queueTimeout, 1);
    settings.connectionIdleTimeout =
        readMillis(reader, "idle_connection_limit_ms", settings.connectionIdleTimeout, 100);
}

void readSizes(ObjectReader &reader, Settings &settings)
{
    settings.shardCount =
        static_cast<std::uint32_t>(reader.number("shard_count", settings.shardCount, 1, 65'536));
    settings.tableWritesPerSecond =
        reader.number("table_writes_per_second", settings.tableWritesPerSecond, 1, MaxCount);
    settings.historyCacheBytes =
        reader.number("history_cache_bytes", settings.historyCacheBytes, 1024, MaxBytes);
    settings.pendingCommitBytes =
        reader.number("pending_commit_bytes", settings.pendingCommitBytes, 1024, MaxBytes);
    settings.maxBodyBytes = reader.number("max_body_bytes", settings.maxBodyBytes, 256, MaxBytes);
    settings.maxConnections = reader.number("max_connections", settings.maxConnections, 1, 65'536);
    settings.trafficThreads = static_cast<std::uint32_t>(
        reader.number("traffic_threads", settings.trafficThreads, 1, 64));
}

void checkPools(ObjectReader &reader, const Settings &settings)
{
    std::set<std::string> pools;
    std::set<std::string> replicas;
    for (const PoolSettings &pool : settings.pools) {
        if (!pools.insert(pool.name.value()).second) {
            reader.addError("pools", absl::StrCat("names ", pool.name.value(), " twice"));
        }
        for (const ReplicaSettings &replica : pool.replicas) {
            if (!replicas.insert(replica.id.value()).second) {
                reader.addError("pools",
                                absl::StrCat("names replica ", replica.id.value(), " twice"));
            }
        }
    }
}

} // namespace

const std::vector<std::string> &policyNames()
{
    static const std::vector<std::string> names = {"round-robin", "least-load", "prefix-fifo",
                                                   "program"};
    return names;
}

absl::StatusOr<Settings> parseSettings(std::string_view text)
{
    boost::json::value value;
    const absl::Status parsed = parseCommentedJson(text, value);
    if (!parsed.ok()) {
        return parsed;
    }
    ObjectReader reader(value, "");
    Settings settings;
    settings.vm = VmId(reader.requiredText("vm"));
    settings.zone = ZoneId(reader.requiredText("zone"));
    settings.callers = readEndpoint(reader, "callers");
    settings.peers = readEndpoint(reader, "peers");
    settings.peerSecret = reader.requiredText("peer_secret");
    settings.operatorKey = reader.requiredText("operator_key");
    settings.table = readEndpoint(reader, "table");
    settings.tlsCertificateFile = reader.text("tls_certificate_file", "");
    settings.tlsKeyFile = reader.text("tls_key_file", "");
    if (settings.tlsCertificateFile.empty() != settings.tlsKeyFile.empty()) {
        reader.addError("tls_key_file", "must be given together with tls_certificate_file");
    }
    readTimes(reader, settings);
    readSizes(reader, settings);
    settings.policy = static_cast<PolicyKind>(reader.choice("policy", "program", policyNames()));
    settings.logLevel = reader.text("log_level", settings.logLevel);
    for (ObjectReader &part : reader.objects("pools")) {
        settings.pools.push_back(readPool(part));
        reader.collect(part);
    }
    checkPools(reader, settings);
    const absl::Status status = reader.finish();
    if (!status.ok()) {
        return status;
    }
    return settings;
}

absl::StatusOr<Settings> loadSettings(const std::string &file)
{
    std::ifstream input(file);
    if (!input) {
        return absl::NotFoundError(absl::StrCat(file, ": cannot be read"));
    }
    std::ostringstream text;
    text << input.rdbuf();
    absl::StatusOr<Settings> settings = parseSettings(text.str());
    if (!settings.ok()) {
        return absl::InvalidArgumentError(absl::StrCat(file, ": ", settings.status().message()));
    }
    return settings;
}

} // namespace boragepath
