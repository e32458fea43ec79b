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

/** How calls are placed and ordered; the first three are baselines to compare with. */
enum class PolicyKind {
    RoundRobin, ///< Replicas in turn, no queue of ours.
    LeastLoad, ///< The replica with the fewest calls, no queue of ours.
    PrefixFifo, ///< The replica with the program's prefix, first come first served.
    Program, ///< Attained service of the whole program, wait against recompute.
};

/** One backend server, as the deployment lists it. */
struct ReplicaSettings
{
    ReplicaId id;
    Endpoint endpoint;
    ZoneId zone;
};

/** One model, or one plain service, and the backend servers that offer it. */
struct PoolSettings
{
    PoolName name;
    /** True for a plain service, false for a model. */
    bool isService = false;
    /** Calls that one replica runs well at once. */
    std::uint32_t maxBatchSize = 8;
    /** Price of one call, in micros. */
    std::int64_t microsPerCall = 0;
    /** Price of a thousand tokens, in micros. */
    std::int64_t microsPerThousandTokens = 0;
    /** Tokens of completion if the call names none. */
    std::int64_t defaultMaxTokens = 256;
    /** Time to compute a thousand prompt tokens. */
    Milliseconds prefillPerThousandTokens{100};
    /** Longest silence of a backend server within a call. */
    Milliseconds responseIdleTimeout{30'000};
    /** True if the backend servers refuse orders with an old fencing number. */
    bool checksFence = false;
    std::vector<ReplicaSettings> replicas;
};

/** All settings of one boragepathd. */
struct Settings
{
    VmId vm;
    ZoneId zone;
    /** Where callers and operators connect (HTTP). */
    Endpoint callers;
    /** Where other VMs send datagrams. */
    Endpoint peers;
    /** Shared by all VMs of the deployment; authenticates datagrams. */
    std::string peerSecret;
    /** Bearer key of operators. */
    std::string operatorKey;
    /** The platform's table service. */
    Endpoint table;
    /** Certificate and key files for TLS towards callers; both or none. */
    std::string tlsCertificateFile;
    std::string tlsKeyFile;

    std::uint32_t shardCount = 1024;
    Milliseconds leaseTerm{6'000};
    Milliseconds leaseMargin{1'000};
    /** Shortest time between two probes of this VM. */
    Milliseconds probeInterval{500};
    /** Row writes a second that the platform grants the whole deployment. */
    std::int64_t tableWritesPerSecond = 400;
    Milliseconds tableTimeout{2'000};
    /** Pause between reads of the catalogue's revision without a hint. */
    Milliseconds cataloguePollInterval{2'000};
    /** After this long without news a VM stops taking new work. */
    Milliseconds maxCatalogueAge{5'000};
    /** How long a call waits for the calls before it. */
    Milliseconds gapTimeout{2'000};
    /** A program without calls for this long is ended. */
    Milliseconds programIdleLimit{900'000};
    /** How long a caller may keep an address. */
    Milliseconds addressTtl{10'000};
    /** Longest wait for a permit before the call is refused. */
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
 * @return the settings, or one line for each error with its field and what is allowed.
 */
absl::StatusOr<Settings> parseSettings(std::string_view text);

/** Reads the settings of @p file; errors name the file. */
absl::StatusOr<Settings> loadSettings(const std::string &file);

} // namespace boragepath
