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
 * The rows that boragepath stores in the table service: their keys, and their values as JSON.
 * A decoder returns std::nullopt for a value that it cannot read.
 */
namespace boragepath {

/** Keys of rows. Every VM keeps a copy of all rows under sharedPrefix(). */
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
/** Marks a program that was ended in another way than by a call that is marked as its last. */
std::string ended(ShardIndex shard, const ProgramKey &key);
/** Prefix of the rows of programs that are under way or not yet released everywhere. */
std::string openProgramPrefix(ShardIndex shard);
std::string openProgram(ShardIndex shard, const ProgramKey &key);
/**
 * Prefix of an index of the intents of all shards, for operators. The entry of a call whose
 * outcome is unknown stays until an operator resolves it.
 */
std::string intentIndexPrefix();
std::string intentIndex(const ProgramKey &key, CallNumber number);
std::string ledger(const EntryName &entry, std::int64_t period);
std::string grantPrefix(const VmId &vm, FenceNumber fence);
std::string grant(const VmId &vm, FenceNumber fence, const EntryName &entry, std::int64_t period);
/** Prefix of the rows that mark incarnations whose grants must be closed. */
std::string grantsToClosePrefix();
std::string grantsToClose(const VmId &vm, FenceNumber fence);
std::string burnPrefix();
std::string burn(const EntryName &entry, std::int64_t bucket, const VmId &vm, FenceNumber fence);

} // namespace keys

/** Membership state of a VM. */
enum class MemberState {
    Live,
    Leaving, ///< Hands its shards over and accepts no new work.
    Gone, ///< Has left or was fenced. Other VMs may take everything that it owned.
};

/** Identity and addresses of a VM. Written only when the VM joins, leaves or is fenced. */
struct MemberRecord
{
    VmId vm;
    FenceNumber fence;
    MemberState state = MemberState::Live;
    ZoneId zone;
    Endpoint callers;
    Endpoint peers;
};

/** A VM's own row. Every commit of the VM writes it and is conditional on its revision. */
struct VmRecord
{
    FenceNumber fence;
    /** Identifies the commit that wrote the row. Grows by one with each commit. */
    std::uint64_t attempt = 0;
    /** Set by another VM when it fences this one. */
    bool fenced = false;
};

/** The owner of a program shard. */
struct ShardRecord
{
    VmId owner;
    FenceNumber fence;
    std::uint64_t epoch = 0;
};

/** Number of tokens that a model call used. */
struct Usage
{
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t completionTokens = 0;
};

/**
 * Most bytes that the input of a call, and its answer, may take in the turn's row, with escapes.
 * Table services take requests of 1.5 MB, in which the row is encoded as Base64.
 */
inline constexpr std::size_t MaxStoredTextBytes = 524'288;

/** The durable record of one finished call. */
struct TurnRecord
{
    CallNumber number;
    std::uint64_t bodyHash = 0;
    Verdict verdict = Verdict::Ran;
    bool isService = false;
    bool idempotent = true;
    /** The new messages of a model call: JSON objects joined by commas. */
    std::string messages;
    /** The text that the model generated, or the body of the service's response. */
    std::string answer;
    std::string finishReason;
    unsigned status = 200;
    PoolName pool;
    ReplicaId replica;
    VmId vm;
    Usage usage;
    Amount cost;
    /** Time that the call spent at a backend server, in milliseconds. */
    std::int64_t serviceMillis = 0;
    std::int64_t startedUnixMillis = 0;
    std::int64_t endedUnixMillis = 0;
    /** True for the last call of its program. */
    bool last = false;
    /** Explains to operators why the call ran at this replica and at this time. */
    std::string decision;
};

/**
 * Written before a non-idempotent call may be sent. Once the call may have been sent, the row is
 * deleted only together with the write of its turn.
 */
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

/** A program that is under way, or that has ended but is not yet released at all its replicas. */
struct OpenProgramRecord
{
    std::int64_t startedUnixMillis = 0;
    std::optional<ProgramId> parent;
    bool ended = false;
    std::set<ReplicaId> replicas;
};

/** The amount that all VMs together have drawn from an entry's budget in one period. */
struct LedgerRecord
{
    /** Sum of all grants minus returned amounts. No draw may raise it above the budget in force. */
    Amount granted;
    /** Spent part of closed grants. */
    Amount closedSpent;
    /** Part of closed grants whose use is unknown. It counts as spent. */
    Amount unaccounted;
};

/** The amount that one incarnation of a VM may spend of an entry's budget, and has spent. */
struct GrantRecord
{
    EntryName entry;
    std::int64_t period = 0;
    Amount amount;
    Amount spent;
};

/** Counts of one entry's programs on one VM in one time window, for the burn report. */
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

/** Returns the program of a key under openProgramPrefix(), or std::nullopt if it is malformed. */
std::optional<ProgramKey> programFromOpenKey(const std::string &key);

} // namespace boragepath
