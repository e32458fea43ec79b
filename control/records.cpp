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

std::string shardText(ShardIndex shard)
{
    return absl::StrFormat("%05u", shard.value());
}

std::string numberText(CallNumber number)
{
    return absl::StrFormat("%08u", number.value());
}

std::int64_t signedOf(std::uint64_t number)
{
    return static_cast<std::int64_t>(number);
}

/** Reads the fields of a record; unknown fields are left for newer versions to know. */
class RecordReader
{
public:
    explicit RecordReader(const std::string &text)
    {
        json::error_code error;
        m_value = json::parse(text, error);
        m_good = !error && m_value.is_object();
    }

    bool good() const { return m_good; }

    std::int64_t number(std::string_view field)
    {
        const json::value *value = find(field);
        if (value == nullptr || !value->is_int64()) {
            m_good = false;
            return 0;
        }
        return value->get_int64();
    }

    std::uint64_t counter(std::string_view field)
    {
        return static_cast<std::uint64_t>(number(field));
    }

    bool flag(std::string_view field)
    {
        const json::value *value = find(field);
        return value != nullptr && value->is_bool() && value->get_bool();
    }

    std::string text(std::string_view field)
    {
        const json::value *value = find(field);
        if (value == nullptr || !value->is_string()) {
            m_good = false;
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
            m_good = false;
            return {};
        }
        return {value->get_array()[0].get_int64(), value->get_array()[1].get_int64()};
    }

    Endpoint endpoint(std::string_view field)
    {
        const absl::StatusOr<Endpoint> result = parseEndpoint(text(field));
        if (!result.ok()) {
            m_good = false;
            return {};
        }
        return *result;
    }

    std::vector<std::string> texts(std::string_view field)
    {
        std::vector<std::string> result;
        const json::value *value = find(field);
        if (value == nullptr || !value->is_array()) {
            m_good = false;
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
    bool m_good = false;
};

json::array amountToJson(Amount amount)
{
    return {amount.tokens, amount.micros};
}

template <typename Record>
std::optional<Record> ifGood(const RecordReader &reader, const Record &record)
{
    if (!reader.good()) {
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
    return absl::StrCat(shardPrefix(), shardText(shard));
}

std::string entry(const EntryName &entry)
{
    return absl::StrCat(entryPrefix(), entry.value());
}

std::string program(ShardIndex shard, const ProgramKey &key)
{
    return absl::StrCat("prog/", shardText(shard), "/", key.entry.value(), "/", key.program.value(),
                        "/");
}

std::string turn(ShardIndex shard, const ProgramKey &key, CallNumber number)
{
    return absl::StrCat(program(shard, key), "turn/", numberText(number));
}

std::string intent(ShardIndex shard, const ProgramKey &key, CallNumber number)
{
    return absl::StrCat(program(shard, key), "intent/", numberText(number));
}

std::string ended(ShardIndex shard, const ProgramKey &key)
{
    return absl::StrCat(program(shard, key), "ended");
}

std::string openPrefix(ShardIndex shard)
{
    return absl::StrCat("open/", shardText(shard), "/");
}

std::string open(ShardIndex shard, const ProgramKey &key)
{
    return absl::StrCat(openPrefix(shard), key.entry.value(), "/", key.program.value());
}

std::string intentIndexPrefix()
{
    return "intent/";
}

std::string intentIndex(const ProgramKey &key, CallNumber number)
{
    return absl::StrCat(intentIndexPrefix(), key.entry.value(), "/", key.program.value(), "/",
                        numberText(number));
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
        {"fence", signedOf(record.fence.value())},
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
    record.fence = FenceNumber(reader.counter("fence"));
    record.state = static_cast<MemberState>(reader.number("state"));
    record.zone = ZoneId(reader.text("zone"));
    record.callers = reader.endpoint("callers");
    record.peers = reader.endpoint("peers");
    return ifGood(reader, record);
}

std::string encode(const VmRecord &record)
{
    return json::serialize(json::object{
        {"fence", signedOf(record.fence.value())},
        {"attempt", signedOf(record.attempt)},
        {"fenced", record.fenced},
    });
}

std::optional<VmRecord> decodeVm(const std::string &value)
{
    RecordReader reader(value);
    VmRecord record;
    record.fence = FenceNumber(reader.counter("fence"));
    record.attempt = reader.counter("attempt");
    record.fenced = reader.flag("fenced");
    return ifGood(reader, record);
}

std::string encode(const ShardRecord &record)
{
    return json::serialize(json::object{
        {"owner", record.owner.value()},
        {"fence", signedOf(record.fence.value())},
        {"epoch", signedOf(record.epoch)},
    });
}

std::optional<ShardRecord> decodeShard(const std::string &value)
{
    RecordReader reader(value);
    ShardRecord record;
    record.owner = VmId(reader.text("owner"));
    record.fence = FenceNumber(reader.counter("fence"));
    record.epoch = reader.counter("epoch");
    return ifGood(reader, record);
}

std::string encode(const TurnRecord &record)
{
    return json::serialize(json::object{
        {"number", record.number.value()},
        {"hash", signedOf(record.bodyHash)},
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
    record.bodyHash = reader.counter("hash");
    record.verdict = static_cast<Verdict>(reader.number("verdict"));
    record.isService = reader.flag("service");
    record.idempotent = reader.flag("idempotent");
    record.messages = reader.text("messages");
    record.answer = reader.text("answer");
    if (record.isService) {
        // A service may answer with any bytes; JSON holds only text.
        const std::string coded = std::exchange(record.answer, {});
        absl::Base64Unescape(coded, &record.answer);
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
    record.last = reader.flag("last");
    record.decision = reader.text("decision");
    return ifGood(reader, record);
}

std::string encode(const IntentRecord &record)
{
    return json::serialize(json::object{
        {"number", record.number.value()},
        {"hash", signedOf(record.bodyHash)},
        {"key", record.idempotencyKey},
        {"replica", record.replica.value()},
        {"pool", record.pool.value()},
        {"service", record.isService},
        {"vm", record.vm.value()},
        {"fence", signedOf(record.fence.value())},
        {"reserved", amountToJson(record.reserved)},
        {"at", record.unixMillis},
    });
}

std::optional<IntentRecord> decodeIntent(const std::string &value)
{
    RecordReader reader(value);
    IntentRecord record;
    record.number = CallNumber(static_cast<std::uint32_t>(reader.number("number")));
    record.bodyHash = reader.counter("hash");
    record.idempotencyKey = reader.text("key");
    record.replica = ReplicaId(reader.text("replica"));
    record.pool = PoolName(reader.text("pool"));
    record.isService = reader.flag("service");
    record.vm = VmId(reader.text("vm"));
    record.fence = FenceNumber(reader.counter("fence"));
    record.reserved = reader.amount("reserved");
    record.unixMillis = reader.number("at");
    return ifGood(reader, record);
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
    record.ended = reader.flag("ended");
    for (const std::string &replica : reader.texts("replicas")) {
        record.replicas.insert(ReplicaId(replica));
    }
    const std::optional<std::string> parent = reader.optionalText("parent");
    if (parent.has_value()) {
        record.parent = ProgramId(*parent);
    }
    return ifGood(reader, record);
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
    return ifGood(reader, record);
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
    return ifGood(reader, record);
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
    return ifGood(reader, record);
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
