#include "operators/tables.h"

#include "core/json_access.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <unistd.h>

namespace boragepath {

namespace json = boost::json;

namespace {

constexpr const char *Red = "\x1b[31m";
constexpr const char *Yellow = "\x1b[33m";
constexpr const char *Green = "\x1b[32m";
constexpr const char *ResetColour = "\x1b[0m";
/** Burn rates at which a 30-day error budget lasts 30 days (warning) and about 2 days (alarm). */
constexpr double BurnRateWarning = 1.0;
constexpr double BurnRateAlarm = 14.4;

/** The value of a field as text; empty if the field is absent. */
std::string cellText(const json::value &row, const char *field)
{
    const json::object *object = row.if_object();
    const json::value *value = object == nullptr ? nullptr : object->if_contains(field);
    if (value == nullptr) {
        return "";
    }
    if (value->is_string()) {
        return {value->get_string().data(), value->get_string().size()};
    }
    if (value->is_double()) {
        return absl::StrFormat("%g", value->get_double());
    }
    if (value->is_object() && value->get_object().contains("tokens")) {
        return absl::StrCat(cellText(*value, "tokens"), " / ", cellText(*value, "micros"));
    }
    return json::serialize(*value);
}

std::string renderFields(const json::array &list, const std::vector<const char *> &fields)
{
    std::vector<std::string> titles;
    for (const char *field : fields) {
        titles.emplace_back(field);
    }
    std::vector<std::vector<std::string>> rows;
    for (const json::value &item : list) {
        std::vector<std::string> row;
        for (const char *field : fields) {
            row.push_back(cellText(item, field));
        }
        rows.push_back(std::move(row));
    }
    return renderTable(titles, rows);
}

std::string coloured(double burn, const std::string &text)
{
    if (isatty(STDOUT_FILENO) == 0) {
        return text;
    }
    const char *colour = burn >= BurnRateAlarm ? Red : burn >= BurnRateWarning ? Yellow : Green;
    return absl::StrCat(colour, text, ResetColour);
}

std::string burnCell(const json::object &windows, const char *window)
{
    const json::value *value = windows.if_contains(window);
    if (value == nullptr || !value->is_object()) {
        return "-";
    }
    json::error_code error;
    const double burn = value->get_object().at("burn").to_number<double>(error);
    return coloured(burn,
                    absl::StrFormat("%.2f (%s/%s)", burn, cellText(*value, "missed"),
                                    cellText(*value, "programs")));
}

std::string renderBurn(const json::object &answer)
{
    std::vector<std::vector<std::string>> rows;
    for (const json::value &item : arrayAt(answer, "entries")) {
        const json::object &windows = item.get_object().at("windows").get_object();
        rows.push_back({cellText(item, "entry"), cellText(item, "class"),
                        cellText(item, "objective_ms"), cellText(item, "objective_share"),
                        burnCell(windows, "5m"), burnCell(windows, "1h"), burnCell(windows, "6h"),
                        burnCell(windows, "3d")});
    }
    return renderTable({"entry", "class", "objective_ms", "share", "5m", "1h", "6h", "3d"}, rows)
        + "a burn of 1.00 uses up exactly the error budget; in parentheses: missed/all programs\n";
}

std::string renderStatus(const json::object &answer)
{
    const std::string revision = cellText(answer, "catalogue_revision");
    std::size_t current = 0;
    std::size_t live = 0;
    for (const json::value &item : arrayAt(answer, "vms")) {
        if (cellText(item, "state") == "gone") {
            continue;
        }
        live += 1;
        current += cellText(item, "catalogue_revision") == revision ? 1 : 0;
    }
    return absl::StrCat("revision ", revision, " is in force on ", current, " of ", live, " VMs\n",
                        renderFields(arrayAt(answer, "vms"),
                                     {"vm", "state", "zone", "catalogue_revision", "silence_ms"}));
}

std::string renderCatalogue(const CommandLine &command, const json::object &answer)
{
    if (command.verb == "show") {
        return absl::StrCat("revision ", cellText(answer, "revision"), "\n",
                            renderFields(arrayAt(answer, "entries"),
                                         {"name", "owner", "enabled", "class", "objective_ms",
                                          "budget_tokens", "budget_micros", "calls_per_second"}));
    }
    if (command.verb == "status") {
        return renderStatus(answer);
    }
    std::string text;
    for (const json::value &line : arrayAt(answer, "changes")) {
        absl::StrAppend(&text, std::string(line.get_string().c_str()), "\n");
    }
    if (answer.contains("result")) {
        absl::StrAppend(&text, cellText(answer, "result"), ", revision ",
                        cellText(answer, "revision"), "\n");
    }
    return text;
}

} // namespace

std::string renderTable(const std::vector<std::string> &titles,
                        const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < titles.size(); ++column) {
        std::size_t width = titles[column].size();
        for (const std::vector<std::string> &row : rows) {
            width = std::max(width, row[column].size());
        }
        widths.push_back(width);
    }
    std::string text;
    const auto append = [&](const std::vector<std::string> &row) {
        std::vector<std::string> cells;
        for (std::size_t column = 0; column < row.size(); ++column) {
            cells.push_back(absl::StrFormat("%-*s", static_cast<int>(widths[column]), row[column]));
        }
        absl::StrAppend(&text, absl::StrJoin(cells, "  "), "\n");
    };
    append(titles);
    for (const std::vector<std::string> &row : rows) {
        append(row);
    }
    return text;
}

std::string renderAnswer(const CommandLine &command, const json::object &answer)
{
    if (command.subject == "catalogue") {
        return renderCatalogue(command, answer);
    }
    if (command.subject == "vms") {
        return renderFields(arrayAt(answer, "vms"),
                            {"vm", "state", "zone", "fence", "callers", "silence_ms"});
    }
    if (command.subject == "programs") {
        return renderFields(arrayAt(answer, "programs"),
                            {"entry", "program", "started_unix_ms", "ended", "replicas"});
    }
    if (command.subject == "explain") {
        return renderFields(arrayAt(answer, "calls"),
                            {"call", "verdict", "pool", "replica", "vm", "took_ms", "at_backend_ms",
                             "prompt_tokens", "cached_tokens", "decision"});
    }
    if (command.subject == "intents" && command.verb == "list") {
        return renderFields(
            arrayAt(answer, "intents"),
            {"entry", "program", "call", "idempotency_key", "pool", "replica", "vm"});
    }
    if (command.subject == "budgets") {
        return renderFields(arrayAt(answer, "budgets"),
                            {"entry", "period", "granted", "spent", "unaccounted"});
    }
    if (command.subject == "report") {
        return renderBurn(answer);
    }
    return json::serialize(answer) + "\n";
}

} // namespace boragepath
