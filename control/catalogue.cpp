#include "control/catalogue.h"

#include "core/object_reader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace boragepath {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxAmount = 1'000'000'000'000'000;
constexpr std::int64_t MaxPeriodHours = 24LL * 366;
constexpr std::int64_t MaxObjectiveMillis = 86'400'000;

bool isPlainName(std::string_view name)
{
    const auto plain = [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= 128 && std::all_of(name.begin(), name.end(), plain);
}

void readLimits(ObjectReader &reader, CatalogueEntry &entry)
{
    entry.budget.tokens = reader.number("budget_tokens", entry.budget.tokens, 0, MaxAmount);
    entry.budget.micros = reader.number("budget_micros", entry.budget.micros, 0, MaxAmount);
    entry.budgetPeriod = std::chrono::hours(
        reader.number("budget_period_hours", entry.budgetPeriod.count(), 1, MaxPeriodHours));
    entry.callsPerSecond = reader.realNumber("calls_per_second", entry.callsPerSecond, 0.001, 1e6);
    entry.programsUnderWay =
        reader.number("programs_under_way", entry.programsUnderWay, 1, 1'000'000);
    entry.callsPerProgram = reader.number("calls_per_program", entry.callsPerProgram, 1, 100'000);
    entry.tokensPerProgram =
        reader.number("tokens_per_program", entry.tokensPerProgram, 1, MaxAmount);
}

} // namespace

const std::vector<std::string> &serviceClassNames()
{
    static const std::vector<std::string> names = {"alert", "interactive", "conversation", "batch"};
    return names;
}

absl::StatusOr<CatalogueEntry> parseEntry(const json::value &value, const std::string &path)
{
    ObjectReader reader(value, path);
    CatalogueEntry entry;
    entry.name = EntryName(reader.requiredText("name"));
    if (!entry.name.value().empty() && !isPlainName(entry.name.value())) {
        reader.addError("name", "may hold letters, digits, '-', '_' and '.', 128 at most");
    }
    entry.owner = reader.requiredText("owner");
    entry.enabled = reader.flag("enabled", entry.enabled);
    entry.serviceClass =
        static_cast<ServiceClass>(reader.choice("class", "conversation", serviceClassNames()));
    entry.objective =
        Milliseconds(reader.number("objective_ms", entry.objective.count(), 1, MaxObjectiveMillis));
    entry.objectiveShare = reader.realNumber("objective_share", entry.objectiveShare, 0.5, 0.99999);
    for (const std::string &pool : reader.stringList("pools")) {
        entry.pools.insert(PoolName(pool));
    }
    if (entry.pools.empty()) {
        reader.addError("pools", "must name at least one model or service");
    }
    readLimits(reader, entry);
    entry.keySalt = reader.requiredText("key_salt");
    entry.keyHash = reader.requiredText("key_hash");
    entry.revision =
        CatalogueRevision(static_cast<std::uint64_t>(reader.number("revision", 0, 0, MaxAmount)));
    const absl::Status status = reader.finish();
    if (!status.ok()) {
        return status;
    }
    return entry;
}

json::object entryToJson(const CatalogueEntry &entry)
{
    json::array pools;
    for (const PoolName &pool : entry.pools) {
        pools.emplace_back(pool.value());
    }
    return {
        {"name", entry.name.value()},
        {"owner", entry.owner},
        {"enabled", entry.enabled},
        {"class", serviceClassNames()[static_cast<std::size_t>(entry.serviceClass)]},
        {"objective_ms", entry.objective.count()},
        {"objective_share", entry.objectiveShare},
        {"pools", std::move(pools)},
        {"budget_tokens", entry.budget.tokens},
        {"budget_micros", entry.budget.micros},
        {"budget_period_hours", entry.budgetPeriod.count()},
        {"calls_per_second", entry.callsPerSecond},
        {"programs_under_way", entry.programsUnderWay},
        {"calls_per_program", entry.callsPerProgram},
        {"tokens_per_program", entry.tokensPerProgram},
        {"key_salt", entry.keySalt},
        {"key_hash", entry.keyHash},
        {"revision", static_cast<std::int64_t>(entry.revision.value())},
    };
}

absl::StatusOr<std::vector<CatalogueEntry>> parseCatalogueFile(std::string_view text)
{
    json::value value;
    const absl::Status parsed = parseCommentedJson(text, value);
    if (!parsed.ok()) {
        return parsed;
    }
    const json::object *top = value.if_object();
    const json::value *list = top == nullptr ? nullptr : top->if_contains("entries");
    if (list == nullptr || !list->is_array()) {
        return absl::InvalidArgumentError("entries: must be a list of objects");
    }
    std::vector<CatalogueEntry> entries;
    std::vector<std::string> errors;
    std::set<EntryName> names;
    for (std::size_t index = 0; index < list->get_array().size(); ++index) {
        const std::string path = absl::StrCat("entries[", index, "]");
        absl::StatusOr<CatalogueEntry> entry = parseEntry(list->get_array()[index], path);
        if (!entry.ok()) {
            errors.emplace_back(entry.status().message());
            continue;
        }
        if (!names.insert(entry->name).second) {
            errors.push_back(absl::StrCat(path, ".name: ", entry->name.value(), " stands twice"));
        }
        entries.push_back(*std::move(entry));
    }
    if (!errors.empty()) {
        return absl::InvalidArgumentError(absl::StrJoin(errors, "\n"));
    }
    return entries;
}

std::vector<std::string> describeChange(const CatalogueEntry *before, const CatalogueEntry &after)
{
    const json::object now = entryToJson(after);
    std::vector<std::string> lines;
    if (before == nullptr) {
        lines.push_back(absl::StrCat("+ ", after.name.value()));
        return lines;
    }
    const json::object then = entryToJson(*before);
    for (const auto &field : now) {
        if (field.key() == "revision" || then.at(field.key()) == field.value()) {
            continue;
        }
        const std::string name(field.key().data(), field.key().size());
        lines.push_back(absl::StrCat("~ ", after.name.value(), ".", name, ": ",
                                     std::string(json::serialize(then.at(field.key()))), " -> ",
                                     std::string(json::serialize(field.value()))));
    }
    return lines;
}

std::int64_t budgetPeriodOf(const CatalogueEntry &entry, WallTime now)
{
    const auto hours = std::chrono::duration_cast<std::chrono::hours>(now.time_since_epoch());
    return hours.count() / entry.budgetPeriod.count();
}

bool Catalogue::applyEntry(const CatalogueEntry &entry, RowRevision row)
{
    const auto found = m_entries.find(entry.name);
    if (found != m_entries.end() && found->second.row >= row) {
        return false;
    }
    m_entries[entry.name] = {entry, row};
    return true;
}

void Catalogue::applyRevision(CatalogueRevision revision, RowRevision row)
{
    if (row < m_revisionRow || revision < m_revision) {
        return;
    }
    m_revision = revision;
    m_revisionRow = row;
}

const CatalogueEntry *Catalogue::find(const EntryName &name) const
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second.entry;
}

RowRevision Catalogue::rowRevisionOf(const EntryName &name) const
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? RowRevision() : found->second.row;
}

} // namespace boragepath
