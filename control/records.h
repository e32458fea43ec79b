#pragma once

#include "control/table_types.h"
#include "core/ids.h"
#include "core/settings.h"
#include "core/units.h"
#include "core/verdict.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

/**
 * The rows that boragepath keeps in the table service: their keys, and their
 * values as JSON. A decoder gives nothing for a value that it cannot read.
 */
namespace boragepath {

/** Keys of rows. Everything under sharedPrefix() is followed by every VM. */
namespace keys {

std::string sharedPrefix();
std::string memberPrefix();
std::string shardPrefix();
std::string entryPrefix();
std::string catalogueRevision();
std::string fenceCounter();
std::string vm(const VmId &vm);
std::string member(const VmId &vm);
std::string shard(ShardIndex shard);
std::string entry(const EntryName &entry);
/** Prefix of all rows of a program. */
std::string program(ShardIndex shard, const ProgramKey &key);
std::string turn(ShardIndex shard, const ProgramKey &key, CallNumber number);
std::string intent(ShardIndex shard, const ProgramKey &key, CallNumber number);
/** Marks a program that was ended other than by its last call. */
std::string ended(ShardIndex shard, const ProgramKey &key);
std::string openPrefix(ShardIndex shard);
std::string open(ShardIndex shard, const ProgramKey &key);
std::string intentIndexPrefix();
std::string intentIndex(const ProgramKey &key, CallNumber number);
std::string ledger(const EntryName &entry, std::int64_t period);
std::string grantPrefix(const VmId &vm, FenceNumber fence);
std::string grant(const VmId &vm, FenceNumber fence, const EntryName &entry, std::int64_t period);
std::string grantsToClosePrefix();
std::string grantsToClose(const VmId &vm, FenceNumber fence);
std::string burnPrefix();
std::string burn(const EntryName &entry, std::int64_t bucket, const VmId &vm, FenceNumber fence);

} // namespace keys

/** State of a VM in the membership. */
enum class MemberState {
    Live,
    Leaving, ///< Hands its shards over; takes no new work.
    Gone, ///< Left or fenced; everything it held is free.
};

/** Who a VM is and where it is reached; written only when it joins, leaves or is fenced. */
struct MemberRecord
{
    VmId vm;
    FenceNumber fence;
    MemberState state = MemberState::Live;
    ZoneId zone;
    Endpoint callers;
    Endpoint peers;
};

/** A VM's own row; every commit of the VM writes it and is conditional on it. */
struct VmRecord
{
    FenceNumber fence;
    /** Identifies the commit that wrote the row; grows by one with each. */
    std::uint64_t attempt = 0;
    /** Set by the VM that fenced this one. */
    bool fenced = false;
};

/** Who owns a program shard. */
struct ShardRecord
{
    VmId owner;
    FenceNumber fence;
    std::uint64_t epoch = 0;
};

/** Who used how many tokens. */
struct Usage
{
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t completionTokens = 0;
};

/** The record of one finished call. */
struct TurnRecord
{
    CallNumber number;
    std::uint64_t bodyHash = 0;
    Verdict verdict = Verdict::Ran;
    bool isService = false;
    bool idempotent = true;
    /** The new messages of a model call: JSON objects joined by commas. */
    std::string messages;
    /** The model's text, or the service's body. */
    std::string answer;
    std::string finishReason;
    unsigned status = 200;
    PoolName pool;
    ReplicaId replica;
    VmId vm;
    Usage usage;
    Amount cost;
    /** Time at a backend server, in milliseconds. */
    std::int64_t serviceMillis = 0;
    std::int64_t startedUnixMillis = 0;
    std::int64_t endedUnixMillis = 0;
    /** True for the last call of its program. */
    bool last = false;
    /** Why the call ran where and when it did, for operators. */
    std::string decision;
};

/** Written before a non-idempotent call may leave; never removed before its turn is recorded. */
struct IntentRecord
{
    CallNumber number;
    std::uint64_t bodyHash = 0;
    std::string idempotencyKey;
    ReplicaId replica;
    PoolName pool;
    bool isService = false;
    VmId vm;
    FenceNumber fence;
    Amount reserved;
    std::int64_t unixMillis = 0;
};

/** A program under way, or one that ended and whose memory is not yet released. */
struct OpenProgramRecord
{
    std::int64_t startedUnixMillis = 0;
    std::optional<ProgramId> parent;
    bool ended = false;
    std::set<ReplicaId> replicas;
};

/** What all VMs together have taken from an entry's budget in one period. */
struct LedgerRecord
{
    /** Sum of all grants, less what was returned; never above the limit at its time. */
    Amount granted;
    /** Spent part of grants that are closed. */
    Amount closedSpent;
    /** Part of closed grants whose use is unknown; counts as spent. */
    Amount unaccounted;
};

/** What one incarnation of a VM may spend, and has spent. */
struct GrantRecord
{
    EntryName entry;
    std::int64_t period = 0;
    Amount amount;
    Amount spent;
};

/** Counts of one entry's programs in one window of one VM, for the burn report. */
struct BurnRecord
{
    EntryName entry;
    std::int64_t bucket = 0;
    std::int64_t programs = 0;
    std::int64_t late = 0;
    std::int64_t refused = 0;
};

std::string encode(const MemberRecord &record);
std::string encode(const VmRecord &record);
std::string encode(const ShardRecord &record);
std::string encode(const TurnRecord &record);
std::string encode(const IntentRecord &record);
std::string encode(const OpenProgramRecord &record);
std::string encode(const LedgerRecord &record);
std::string encode(const GrantRecord &record);
std::string encode(const BurnRecord &record);
std::string encodeNumber(std::uint64_t number);

std::optional<MemberRecord> decodeMember(const std::string &value);
std::optional<VmRecord> decodeVm(const std::string &value);
std::optional<ShardRecord> decodeShard(const std::string &value);
std::optional<TurnRecord> decodeTurn(const std::string &value);
std::optional<IntentRecord> decodeIntent(const std::string &value);
std::optional<OpenProgramRecord> decodeOpenProgram(const std::string &value);
std::optional<LedgerRecord> decodeLedger(const std::string &value);
std::optional<GrantRecord> decodeGrant(const std::string &value);
std::optional<BurnRecord> decodeBurn(const std::string &value);
std::optional<std::uint64_t> decodeNumber(const std::string &value);

/** The program named by a key under openPrefix(); nothing if it is none. */
std::optional<ProgramKey> programFromOpenKey(const std::string &key);

} // namespace boragepath
