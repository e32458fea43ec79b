#include "control/records.h"

#include "core/object_reader.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <boost/json.hpp>

namespace boragepath {

namespace json = boost::json;

namespace {

std::string formatShard(ShardIndex shard)
{
    return absl::StrFormat("%05u", shard.value());
}

std::string formatCallNumber(CallNumber number)
{
    return absl::StrFormat("%08u", number.value());
}

std::int64_t toSigned(std::uint64_t number)
{
    return static_cast<std::int64_t>(number);
}

/** Reads the fields of a record. Ignores unknown fields, which newer versions may have written. */
class RecordReader
{
public:
    explicit RecordReader(const std::string &text)
    {
        json::error_code error;
        m_value = json::parse(text, error);
        m_valid = !error && m_value.is_object();
    }

    bool valid() const { return m_valid; }

    std::int64_t number(std::string_view field)
    {
        const json::value *value = find(field);
        if (value == nullptr || !value->is_int64()) {
            m_valid = false;
            return 0;
        }
        return value->get_int64();
    }

    std::uint64_t unsignedNumber(std::string_view field)
    {
        return static_cast<std::uint64_t>(number(field));
    }

    bool boolean(std::string_view field)
    {
        const json::value *value = find(field);
        return value != nullptr && value->is_bool() && value->get_bool();
    }

    std::string text(std::string_view field)
    {
        const json::value *value = find(field);
        if (value == nullptr || !value->is_string()) {
            m_valid = false;
            return {};
        }
        return {value->get_string().data(), value->get_string().size()};
    }

    std::optional<std::string> optionalText(std::string_view field)
    {
        if (find(field) == nullptr) {
            return std::nullopt;
        }
        return text(field);
    }

    Amount amount(std::string_view field)
    {
        const json::value *value = find(field);
        if (value == nullptr || !value->is_array() || value->get_array().size() != 2
            || !value->get_array()[0].is_int64() || !value->get_array()[1].is_int64()) {
            m_valid = false;
            return {};
        }
        return {value->get_array()[0].get_int64(), value->get_array()[1].get_int64()};
    }

    Endpoint endpoint(std::string_view field)
    {
        const absl::StatusOr<Endpoint> result = parseEndpoint(text(field));
        if (!result.ok()) {
            m_valid = false;
            return {};
        }
        return *result;
    }

    std::vector<std::string> textList(std::string_view field)
    {
        std::vector<std::string> result;
        const json::value *value = find(field);
        if (value == nullptr || !value->is_array()) {
            m_valid = false;
            return result;
        }
        for (const json::value &item : value->get_array()) {
            if (item.is_string()) {
                result.emplace_back(item.get_string().data(), item.get_string().size());
            }
        }
        return result;
    }

private:
    const json::value *find(std::string_view field) const
    {
        if (!m_value.is_object()) {
            return nullptr;
        }
        return m_value.get_object().if_contains(json::string_view(field.data(), field.size()));
    }

    json::value m_value;
    bool m_valid = false;
};

json::array amountToJson(Amount amount)
{
    return {amount.tokens, amount.micros};
}

template <typename Record>
std::optional<Record> recordIfValid(const RecordReader &reader, const Record &record)
{
    if (!reader.valid()) {
        return std::nullopt;
    }
    return record;
}

} // namespace

namespace keys {

std::string sharedPrefix()
{
    return "shared/";
}

std::string memberPrefix()
{
    return "shared/member/";
}

std::string shardPrefix()
{
    return "shared/shard/";
}

std::string entryPrefix()
{
    return "shared/entry/";
}

std::string catalogueRevision()
{
    return "shared/catalogue";
}

std::string fenceCounter()
{
    return "fence";
}

std::string vm(const VmId &vm)
{
    return absl::StrCat("vm/", vm.value());
}

std::string member(const VmId &vm)
{
    return absl::StrCat(memberPrefix(), vm.value());
}

std::string shard(ShardIndex shard)
{
    return absl::StrCat(shardPrefix(), formatShard(shard));
}

std::string entry(const EntryName &entry)
{
    return absl::StrCat(entryPrefix(), entry.value());
}

std::string program(ShardIndex shard, const ProgramKey &key)
{
    return absl::StrCat("prog/", formatShard(shard), "/", key.entry.value(), "/",
                        key.program.value(), "/");
}

std::string turn(ShardIndex shard, const ProgramKey &key, CallNumber number)
{
    return absl::StrCat(program(shard, key), "turn/", formatCallNumber(number));
}

std::string intent(ShardIndex shard, const ProgramKey &key, CallNumber number)
{
    return absl::StrCat(program(shard, key), "intent/", formatCallNumber(number));
}

std::string ended(ShardIndex shard, const ProgramKey &key)
{
    return absl::StrCat(program(shard, key), "ended");
}

std::string openProgramPrefix(ShardIndex shard)
{
    return absl::StrCat("open/", formatShard(shard), "/");
}

std::string openProgram(ShardIndex shard, const ProgramKey &key)
{
    return absl::StrCat(openProgramPrefix(shard), key.entry.value(), "/", key.program.value());
}

std::string intentIndexPrefix()
{
    return "intent/";
}

std::string intentIndex(const ProgramKey &key, CallNumber number)
{
    return absl::StrCat(intentIndexPrefix(), key.entry.value(), "/", key.program.value(), "/",
                        formatCallNumber(number));
}

std::string ledger(const EntryName &entry, std::int64_t period)
{
    return absl::StrCat("ledger/", entry.value(), "/", period);
}

std::string grantPrefix(const VmId &vm, FenceNumber fence)
{
    return absl::StrCat("grant/", vm.value(), "/", fence.value(), "/");
}

std::string grant(const VmId &vm, FenceNumber fence, const EntryName &entry, std::int64_t period)
{
    return absl::StrCat(grantPrefix(vm, fence), entry.value(), "/", period);
}

std::string grantsToClosePrefix()
{
    return "closing/";
}

std::string grantsToClose(const VmId &vm, FenceNumber fence)
{
    return absl::StrCat(grantsToClosePrefix(), vm.value(), "/", fence.value());
}

std::string burnPrefix()
{
    return "burn/";
}

std::string burn(const EntryName &entry, std::int64_t bucket, const VmId &vm, FenceNumber fence)
{
    return absl::StrCat(burnPrefix(), entry.value(), "/", bucket, "/", vm.value(), "/",
                        fence.value());
}

} // namespace keys

std::string encode(const MemberRecord &record)
{
    return json::serialize(json::object{
        {"vm", record.vm.value()},
        {"fence", toSigned(record.fence.value())},
        {"state", static_cast<int>(record.state)},
        {"zone", record.zone.value()},
        {"callers", record.callers.text()},
        {"peers", record.peers.text()},
    });
}

std::optional<MemberRecord> decodeMember(const std::string &value)
{
    RecordReader reader(value);
    MemberRecord record;
    record.vm = VmId(reader.text("vm"));
    record.fence = FenceNumber(reader.unsignedNumber("fence"));
    record.state = static_cast<MemberState>(reader.number("state"));
    record.zone = ZoneId(reader.text("zone"));
    record.callers = reader.endpoint("callers");
    record.peers = reader.endpoint("peers");
    return recordIfValid(reader, record);
}

std::string encode(const VmRecord &record)
{
    return json::serialize(json::object{
        {"fence", toSigned(record.fence.value())},
        {"attempt", toSigned(record.attempt)},
        {"fenced", record.fenced},
    });
}

std::optional<VmRecord> decodeVm(const std::string &value)
{
    RecordReader reader(value);
    VmRecord record;
    record.fence = FenceNumber(reader.unsignedNumber("fence"));
    record.attempt = reader.unsignedNumber("attempt");
    record.fenced = reader.boolean("fenced");
    return recordIfValid(reader, record);
}

std::string encode(const ShardRecord &record)
{
    return json::serialize(json::object{
        {"owner", record.owner.value()},
        {"fence", toSigned(record.fence.value())},
        {"epoch", toSigned(record.epoch)},
    });
}

std::optional<ShardRecord> decodeShard(const std::string &value)
{
    RecordReader reader(value);
    ShardRecord record;
    record.owner = VmId(reader.text("owner"));
    record.fence = FenceNumber(reader.unsignedNumber("fence"));
    record.epoch = reader.unsignedNumber("epoch");
    return recordIfValid(reader, record);
}

std::string encode(const TurnRecord &record)
{
    return json::serialize(json::object{
        {"number", record.number.value()},
        {"hash", toSigned(record.bodyHash)},
        {"verdict", static_cast<int>(record.verdict)},
        {"service", record.isService},
        {"idempotent", record.idempotent},
        {"messages", record.messages},
        {"answer", record.isService ? absl::Base64Escape(record.answer) : record.answer},
        {"finish", record.finishReason},
        {"status", record.status},
        {"pool", record.pool.value()},
        {"replica", record.replica.value()},
        {"vm", record.vm.value()},
        {"prompt", record.usage.promptTokens},
        {"cached", record.usage.cachedTokens},
        {"completion", record.usage.completionTokens},
        {"cost", amountToJson(record.cost)},
        {"service_ms", record.serviceMillis},
        {"started", record.startedUnixMillis},
        {"ended", record.endedUnixMillis},
        {"last", record.last},
        {"decision", record.decision},
    });
}

std::optional<TurnRecord> decodeTurn(const std::string &value)
{
    RecordReader reader(value);
    TurnRecord record;
    record.number = CallNumber(static_cast<std::uint32_t>(reader.number("number")));
    record.bodyHash = reader.unsignedNumber("hash");
    record.verdict = static_cast<Verdict>(reader.number("verdict"));
    record.isService = reader.boolean("service");
    record.idempotent = reader.boolean("idempotent");
    record.messages = reader.text("messages");
    record.answer = reader.text("answer");
    if (record.isService) {
        // A service may respond with arbitrary bytes, which JSON strings cannot hold.
        const std::string encoded = std::exchange(record.answer, {});
        absl::Base64Unescape(encoded, &record.answer);
    }
    record.finishReason = reader.text("finish");
    record.status = static_cast<unsigned>(reader.number("status"));
    record.pool = PoolName(reader.text("pool"));
    record.replica = ReplicaId(reader.text("replica"));
    record.vm = VmId(reader.text("vm"));
    record.usage.promptTokens = reader.number("prompt");
    record.usage.cachedTokens = reader.number("cached");
    record.usage.completionTokens = reader.number("completion");
    record.cost = reader.amount("cost");
    record.serviceMillis = reader.number("service_ms");
    record.startedUnixMillis = reader.number("started");
    record.endedUnixMillis = reader.number("ended");
    record.last = reader.boolean("last");
    record.decision = reader.text("decision");
    return recordIfValid(reader, record);
}

std::string encode(const IntentRecord &record)
{
    return json::serialize(json::object{
        {"number", record.number.value()},
        {"hash", toSigned(record.bodyHash)},
        {"key", record.idempotencyKey},
        {"replica", record.replica.value()},
        {"pool", record.pool.value()},
        {"service", record.isService},
        {"vm", record.vm.value()},
        {"fence", toSigned(record.fence.value())},
        {"reserved", amountToJson(record.reserved)},
        {"at", record.unixMillis},
    });
}

std::optional<IntentRecord> decodeIntent(const std::string &value)
{
    RecordReader reader(value);
    IntentRecord record;
    record.number = CallNumber(static_cast<std::uint32_t>(reader.number("number")));
    record.bodyHash = reader.unsignedNumber("hash");
    record.idempotencyKey = reader.text("key");
    record.replica = ReplicaId(reader.text("replica"));
    record.pool = PoolName(reader.text("pool"));
    record.isService = reader.boolean("service");
    record.vm = VmId(reader.text("vm"));
    record.fence = FenceNumber(reader.unsignedNumber("fence"));
    record.reserved = reader.amount("reserved");
    record.unixMillis = reader.number("at");
    return recordIfValid(reader, record);
}

std::string encode(const OpenProgramRecord &record)
{
    json::array replicas;
    for (const ReplicaId &replica : record.replicas) {
        replicas.emplace_back(replica.value());
    }
    json::object object{
        {"started", record.startedUnixMillis},
        {"ended", record.ended},
        {"replicas", std::move(replicas)},
    };
    if (record.parent.has_value()) {
        object["parent"] = record.parent->value();
    }
    return json::serialize(object);
}

std::optional<OpenProgramRecord> decodeOpenProgram(const std::string &value)
{
    RecordReader reader(value);
    OpenProgramRecord record;
    record.startedUnixMillis = reader.number("started");
    record.ended = reader.boolean("ended");
    for (const std::string &replica : reader.textList("replicas")) {
        record.replicas.insert(ReplicaId(replica));
    }
    const std::optional<std::string> parent = reader.optionalText("parent");
    if (parent.has_value()) {
        record.parent = ProgramId(*parent);
    }
    return recordIfValid(reader, record);
}

std::string encode(const LedgerRecord &record)
{
    return json::serialize(json::object{
        {"granted", amountToJson(record.granted)},
        {"closed_spent", amountToJson(record.closedSpent)},
        {"unaccounted", amountToJson(record.unaccounted)},
    });
}

std::optional<LedgerRecord> decodeLedger(const std::string &value)
{
    RecordReader reader(value);
    LedgerRecord record;
    record.granted = reader.amount("granted");
    record.closedSpent = reader.amount("closed_spent");
    record.unaccounted = reader.amount("unaccounted");
    return recordIfValid(reader, record);
}

std::string encode(const GrantRecord &record)
{
    return json::serialize(json::object{
        {"entry", record.entry.value()},
        {"period", record.period},
        {"amount", amountToJson(record.amount)},
        {"spent", amountToJson(record.spent)},
    });
}

std::optional<GrantRecord> decodeGrant(const std::string &value)
{
    RecordReader reader(value);
    GrantRecord record;
    record.entry = EntryName(reader.text("entry"));
    record.period = reader.number("period");
    record.amount = reader.amount("amount");
    record.spent = reader.amount("spent");
    return recordIfValid(reader, record);
}

std::string encode(const BurnRecord &record)
{
    return json::serialize(json::object{
        {"entry", record.entry.value()},
        {"bucket", record.bucket},
        {"programs", record.programs},
        {"late", record.late},
        {"refused", record.refused},
    });
}

std::optional<BurnRecord> decodeBurn(const std::string &value)
{
    RecordReader reader(value);
    BurnRecord record;
    record.entry = EntryName(reader.text("entry"));
    record.bucket = reader.number("bucket");
    record.programs = reader.number("programs");
    record.late = reader.number("late");
    record.refused = reader.number("refused");
    return recordIfValid(reader, record);
}

std::string encodeNumber(std::uint64_t number)
{
    return absl::StrCat(number);
}

std::optional<std::uint64_t> decodeNumber(const std::string &value)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(value, &number)) {
        return std::nullopt;
    }
    return number;
}

std::optional<ProgramKey> programFromOpenKey(const std::string &key)
{
    const std::vector<std::string> parts = absl::StrSplit(key, '/');
    if (parts.size() != 4) {
        return std::nullopt;
    }
    return ProgramKey{EntryName(parts[2]), ProgramId(parts[3])};
}

} // namespace boragepath
