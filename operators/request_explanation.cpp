#include "operators/request_explanation.h"

#include "core/json_access.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <map>
#include <set>

namespace boragepath {

namespace json = boost::json;

namespace {

/** What a VM believed this long before a request ended may have decided it. */
constexpr absl::Duration Before = absl::Seconds(10);
/** How a replica did with other requests this close in time. */
constexpr absl::Duration Around = absl::Seconds(5);
constexpr const char *TimeFormat = "%Y-%m-%dT%H:%M:%E*S";

struct Cause
{
    const char *outcome;
    const char *meaning;
};

/** Longest prefixes first: the first entry that an outcome begins with explains it. */
constexpr Cause Causes[] = {
    {"answered", "the caller got the replica's whole answer"},
    {"no-configuration", "this VM had no configuration yet; it had just started"},
    {"no-route", "no route of that configuration matches host and path"},
    {"budget-spent",
     "the program's budget does not cover one more turn; the row in the store says so"},
    {"unknown-turn", "the store has no turn of the id that this one continues from"},
    {"store-away", "the store did not answer this VM, and a turn needs it"},
    {"no-replica", "no replica of the service was left to try"},
    {"out-of-time", "the request's time was over before a replica was chosen"},
    {"bad-call", "the request could not be read as a call"},
    {"caller-gone", "the caller closed its connection first"},
    {"failed:unclear refusal",
     "the replica refused without saying that it had not run the request"},
    {"failed:stream broke off", "the replica's stream ended early and may not be resumed"},
    {"failed", "the replica may have run the request, and gave no whole answer"},
};

std::string textOf(const LogRecord &record, const char *field)
{
    return stringAt(record.fields, field);
}

std::string clockText(absl::Time at)
{
    return absl::FormatTime("%H:%M:%E3S", at, absl::UTCTimeZone());
}

std::string meaningOf(const std::string &outcome)
{
    for (const Cause &cause : Causes) {
        if (absl::StartsWith(outcome, cause.outcome)) {
            return cause.meaning;
        }
    }
    return "";
}

/** All fields but those that say what and where, as name=value. */
std::string fieldsText(const LogRecord &record)
{
    static const std::set<std::string> shownBefore = {"time", "level", "event", "vm"};
    std::string text;
    for (const auto &item : record.fields) {
        const std::string name(item.key());
        if (shownBefore.contains(name)) {
            continue;
        }
        const std::string value = item.value().is_string() ? std::string(item.value().get_string())
                                                           : json::serialize(item.value());
        absl::StrAppend(&text, " ", name, "=", value);
    }
    return text;
}

std::string lineOf(const LogRecord &record)
{
    return absl::StrCat(clockText(record.at), " ", record.vm, " ", record.event, fieldsText(record),
                        "\n");
}

bool concerns(const LogRecord &record, const std::string &id)
{
    return textOf(record, "request") == id || textOf(record, "program") == id;
}

absl::Time beginOf(const LogRecord &call)
{
    return call.at - absl::Milliseconds(integerAt(call.fields, "ms"));
}

/** What the VM of a call came to believe shortly before and during it. */
std::string beliefsText(const std::vector<LogRecord> &log, const LogRecord &call)
{
    static const std::set<std::string> beliefs = {"started", "stopping",   "stopped",
                                                  "reload",  "dependency", "configuration"};
    std::string text;
    std::map<std::int64_t, int> refusals;
    for (const LogRecord &record : log) {
        const bool inTime = record.at >= beginOf(call) - Before && record.at <= call.at;
        if (!inTime || record.vm != call.vm) {
            continue;
        }
        if (beliefs.contains(record.event)) {
            absl::StrAppend(&text, "    ", lineOf(record));
        } else if (record.event == "store") {
            refusals[integerAt(record.fields, "status")] += 1;
        }
    }
    for (const auto &[status, count] : refusals) {
        absl::StrAppend(&text, "    the store answered ", status, " to ", count, " of its calls\n");
    }
    return text;
}

/** How a replica did with all requests of that time, on all VMs, and what was registered of it. */
std::string replicaText(const std::vector<LogRecord> &log, const LogRecord &call,
                        const std::string &replica)
{
    int answered = 0;
    int others = 0;
    std::set<std::string> vms;
    std::string registrations;
    for (const LogRecord &record : log) {
        if (record.at < beginOf(call) - Around || record.at > call.at + Around) {
            continue;
        }
        if (record.event == "replica" && textOf(record, "replica") == replica
            && record.vm == call.vm) {
            absl::StrAppend(&registrations, "    ", lineOf(record));
        }
        const std::vector<std::string> tried = absl::StrSplit(textOf(record, "replicas"), ',');
        if (record.event == "call"
            && std::find(tried.begin(), tried.end(), replica) != tried.end()) {
            vms.insert(record.vm);
            (textOf(record, "outcome") == "answered" ? answered : others) += 1;
        }
    }
    return absl::StrCat("    replica ", replica, ": of all its calls within ",
                        absl::FormatDuration(Around), ", ", answered, " were answered and ", others,
                        " were not, through ", vms.size(), " VMs\n", registrations);
}

std::string callText(const std::vector<LogRecord> &log, const LogRecord &call)
{
    const std::string outcome = textOf(call, "outcome");
    std::string text = absl::StrCat(lineOf(call), "  that is: ", meaningOf(outcome), "\n");
    if (outcome == "answered") {
        return text;
    }
    const std::string beliefs = beliefsText(log, call);
    if (!beliefs.empty()) {
        absl::StrAppend(&text, "  what ", call.vm, " had just learnt:\n", beliefs);
    }
    const std::string replicas = textOf(call, "replicas");
    if (replicas.empty()) {
        absl::StrAppend(&text, "  no replica was sent the request\n");
        return text;
    }
    for (const auto replica : absl::StrSplit(replicas, ',')) {
        absl::StrAppend(&text, replicaText(log, call, std::string(replica)));
    }
    return text;
}

} // namespace

std::vector<LogRecord> readLog(std::istream &input, std::size_t &unreadable)
{
    std::vector<LogRecord> log;
    std::string line;
    unreadable = 0;
    while (std::getline(input, line)) {
        const std::size_t start = line.find('{');
        json::error_code error;
        const json::value value = start == std::string::npos
            ? json::value()
            : json::parse(std::string_view(line).substr(start), error);
        LogRecord record;
        std::string parseError;
        if (error || !value.is_object()
            || !absl::ParseTime(TimeFormat, stringAt(value.get_object(), "time"), &record.at,
                                &parseError)) {
            unreadable += 1;
            continue;
        }
        record.fields = value.get_object();
        record.event = stringAt(record.fields, "event");
        record.vm = stringAt(record.fields, "vm");
        log.push_back(std::move(record));
    }
    std::stable_sort(log.begin(), log.end(), [](const LogRecord &left, const LogRecord &right) {
        return left.at < right.at;
    });
    return log;
}

std::string tellStory(const std::vector<LogRecord> &log, const std::string &id)
{
    std::string text;
    int answered = 0;
    int calls = 0;
    for (const LogRecord &record : log) {
        if (!concerns(record, id)) {
            continue;
        }
        if (record.event != "call") {
            absl::StrAppend(&text, lineOf(record));
            continue;
        }
        calls += 1;
        answered += textOf(record, "outcome") == "answered" ? 1 : 0;
        absl::StrAppend(&text, callText(log, record));
    }
    if (calls > 1) {
        absl::StrAppend(&text, calls, " requests, ", answered, " of them answered\n");
    }
    return text;
}

} // namespace boragepath
