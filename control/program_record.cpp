#include "control/program_record.h"

#include "core/hash.h"
#include "core/json_access.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace boragepath {

namespace json = boost::json;

namespace {

constexpr const char *ProgramTable = "programs";
constexpr const char *TurnTable = "turns";
/** Below the platform's limit of 65,536 bytes a row. */
constexpr std::size_t ConversationRowBytes = 49'152;
constexpr std::size_t MaxKeyTextBytes = 128;

} // namespace

std::int64_t committedTokens(const ProgramRecord &record)
{
    std::int64_t total = record.spent;
    for (const auto &[turn, most] : record.reserved) {
        total += most;
    }
    return total;
}

std::string encodeProgramRecord(const ProgramRecord &record)
{
    json::object reserved;
    for (const auto &[turn, most] : record.reserved) {
        reserved[turn.value()] = most;
    }
    return json::serialize(json::object{{"spent", record.spent}, {"reserved", reserved}});
}

std::optional<ProgramRecord> decodeProgramRecord(const std::string &text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::object &object = value.get_object();
    const json::value *spent = object.if_contains("spent");
    const json::object *reserved = objectAt(object, "reserved");
    if (spent == nullptr || !spent->is_int64() || reserved == nullptr) {
        return std::nullopt;
    }
    ProgramRecord record;
    record.spent = spent->get_int64();
    for (const auto &item : *reserved) {
        if (!item.value().is_int64()) {
            return std::nullopt;
        }
        record.reserved[AttemptId(std::string(item.key()))] = item.value().get_int64();
    }
    return record;
}

std::string partOfProgram(const ProgramId &program)
{
    return absl::StrCat("p", hashOf(program.value()) % StorePartCount);
}

std::vector<std::string> allParts()
{
    std::vector<std::string> parts;
    for (std::size_t index = 0; index < StorePartCount; ++index) {
        parts.push_back(absl::StrCat("p", index));
    }
    return parts;
}

RowName programRow(const ProgramId &program)
{
    return {ProgramTable, partOfProgram(program), program.value()};
}

std::vector<RowPut> conversationRows(const std::string &part, const AttemptId &turn,
                                     const std::string &conversation)
{
    std::vector<RowPut> rows;
    std::size_t offset = 0;
    do {
        const std::string key = absl::StrFormat("%s/%03d", turn.value(), rows.size());
        rows.push_back({{TurnTable, part, key}, conversation.substr(offset, ConversationRowBytes)});
        offset += ConversationRowBytes;
    } while (offset < conversation.size());
    return rows;
}

RowRange conversationRange(const std::string &part, const AttemptId &turn)
{
    // '0' is the character behind '/'.
    return {TurnTable, part, turn.value() + "/", turn.value() + "0"};
}

bool isRowKeyText(const std::string &text)
{
    return !text.empty() && text.size() <= MaxKeyTextBytes
        && std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return absl::ascii_isgraph(c) && c != '/'; });
}

} // namespace boragepath
