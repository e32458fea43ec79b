#include "control/program_record.h"

#include "control/turn_rows.h"
#include "core/json_access.h"

namespace boragepath {

namespace json = boost::json;

namespace {

constexpr const char *ProgramTable = "programs";

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

RowName programRow(const ProgramId &program)
{
    return {ProgramTable, partOf(program.value()), program.value()};
}

} // namespace boragepath
