#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/ids.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace boragepath {

/** How calls are assigned to replicas and queued; the first three are baselines to compare with. */
enum class PolicyKind {
    RoundRobin, ///< Replicas in turn; calls are not queued here.
    LeastLoad, ///< The replica with the fewest running calls; calls are not queued here.
    PrefixFifo, ///< The replica that caches the program's prompt prefix; first in, first out.
    Program, ///< Orders by the program's attained service; weighs waiting against recomputing.
};

/** One backend server as listed in the settings. */
struct ReplicaSettings
{
    ReplicaId id;
    Endpoint endpoint;
    ZoneId zone;
};

/** A model or a plain service, and the backend servers that offer it. */
struct PoolSettings
{
    PoolName name;
    /** True for a plain service, false for a model. */
    bool isService = false;
    /** Calls that one replica can run at once without loss of efficiency. */
    std::uint32_t maxBatchSize = 8;
    /** Price of one call, in millionths of the deployment's currency. */
    std::int64_t microsPerCall = 0;
    /** Price of a thousand tokens, in millionths of the deployment's currency. */
    std::int64_t microsPerThousandTokens = 0;
    /** Completion token limit of a call that sets none. */
    std::int64_t defaultMaxTokens = 256;
    /** Time that a replica takes to prefill a thousand prompt tokens. */
    Milliseconds prefillPerThousandTokens{100};
    /** Longest time without data from a backend server during a call. */
    Milliseconds responseIdleTimeout{30'000};
    /** True if the backend servers reject requests with a stale fencing number. */
    bool checksFence = false;
    std::vector<ReplicaSettings> replicas;
};

/** All settings of one boragepathd process. */
struct Settings
{
    VmId vm;
    ZoneId zone;
    /** Address that callers and operators connect to (HTTP). */
    Endpoint callers;
    /** Address that other VMs send datagrams to. */
    Endpoint peers;
    /** Secret shared by all VMs of the deployment; authenticates datagrams. */
    std::string peerSecret;
    /** Bearer key that operators authenticate with. */
    std::string operatorKey;
    /** Address of the platform's table service. */
    Endpoint table;
    /** Certificate and key files for TLS towards callers; set both or neither. */
    std::string tlsCertificateFile;
    std::string tlsKeyFile;

    std::uint32_t shardCount = 1024;
    Milliseconds leaseTerm{6'000};
    Milliseconds leaseMargin{1'000};
    /** Shortest time between two liveness probes that this VM sends. */
    Milliseconds probeInterval{500};
    /** Row writes per second that the platform allows the whole deployment. */
    std::int64_t tableWritesPerSecond = 400;
    Milliseconds tableTimeout{2'000};
    /** Interval between polls of the catalogue's revision while no VM reports a newer one. */
    Milliseconds cataloguePollInterval{2'000};
    /** A VM whose copy of the catalogue is older than this accepts no new work. */
    Milliseconds maxCatalogueAge{5'000};
    /** How long a call waits for missing calls with lower numbers of its program. */
    Milliseconds gapTimeout{2'000};
    /** A program that makes no calls for this long is ended. */
    Milliseconds programIdleLimit{900'000};
    /** How long a caller may cache the address of an owner. */
    Milliseconds addressTtl{10'000};
    /** Longest wait for a permit; then the call is refused. */
    Milliseconds queueTimeout{20'000};
    std::int64_t historyCacheBytes = 64LL * 1024 * 1024;
    std::int64_t pendingCommitBytes = 32LL * 1024 * 1024;
    std::int64_t maxBodyBytes = 4LL * 1024 * 1024;
    std::int64_t maxConnections = 4'000;
    Milliseconds connectionIdleTimeout{60'000};
    std::uint32_t trafficThreads = 2;
    PolicyKind policy = PolicyKind::Program;
    std::string logLevel = "info";
    std::vector<PoolSettings> pools;
};

/** The names of the policies, in the order of PolicyKind. */
const std::vector<std::string> &policyNames();

/**
 * Reads settings from JSON with comments.
 *
 * @return the settings, or one line for each error, with the field and its allowed values.
 */
absl::StatusOr<Settings> parseSettings(std::string_view text);

/** Reads settings from @p file; errors name the file. */
absl::StatusOr<Settings> loadSettings(const std::string &file);

} // namespace boragepath
