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

/** State changes of a VM from this long before a request's start until its end may have caused its
 * outcome. */
constexpr absl::Duration StateChangeWindow = absl::Seconds(10);
/** A replica's other requests are counted within this time before and after the request. */
constexpr absl::Duration ReplicaCallWindow = absl::Seconds(5);
constexpr const char *TimeFormat = "%Y-%m-%dT%H:%M:%E*S";

struct OutcomeMeaning
{
    const char *outcome;
    const char *meaning;
};

/** The first entry that is a prefix of an outcome explains it, so longer prefixes come first. */
constexpr OutcomeMeaning OutcomeMeanings[] = {
    {"answered", "the caller received the replica's complete answer"},
    {"no-configuration", "this VM had just started and had no configuration yet"},
    {"no-route", "no route of the configuration matches the request's host and path"},
    {"budget-spent",
     "according to the program's row in the store, its budget does not cover another turn"},
    {"unknown-turn", "the store has no turn with the id that this turn continues"},
    {"store-away", "the store did not answer this VM, and a turn needs it"},
    {"unknown-key",
     "the configuration of this VM gives the request's API key to nobody, or it has none"},
    {"keys-unconfirmed",
     "this VM has not read the configuration for so long that API keys may have been taken away"},
    {"over-quota", "the organisation has used up its quota of requests over all VMs"},
    {"overloaded", "programs under way needed all slots, so no further program could begin"},
    {"no-replica", "no replica of the service could be tried any more"},
    {"version-unknown",
     "nobody knew which software version had begun the stream that the request continues"},
    {"version-gone", "no replica of the software version that began the stream is left"},
    {"output-unknown",
     "no VM that can be reached knows what the caller got before, and the turn would be stored"},
    {"out-of-time", "the request's deadline passed before a replica was chosen"},
    {"bad-call", "the request could not be parsed as a call"},
    {"caller-gone", "the caller closed its connection before the answer was complete"},
    {"failed:unclear refusal",
     "the replica refused without stating that it had not run the request"},
    {"failed:stream broke off", "the replica's stream ended early and must not be resumed"},
    {"failed", "the replica may have run the request but sent no complete answer"},
};

std::string textOf(const LogRecord &record, const char *field)
{
    return stringAt(record.fields, field);
}

std::string timeOfDayText(absl::Time at)
{
    return absl::FormatTime("%H:%M:%E3S", at, absl::UTCTimeZone());
}

std::string meaningOf(const std::string &outcome)
{
    for (const OutcomeMeaning &cause : OutcomeMeanings) {
        if (absl::StartsWith(outcome, cause.outcome)) {
            return cause.meaning;
        }
    }
    return "";
}

/** All fields as name=value, except those that formatRecord() prints itself or leaves out. */
std::string formatFields(const LogRecord &record)
{
    static const std::set<std::string> shownElsewhere = {"time", "level", "event", "vm"};
    std::string text;
    for (const auto &item : record.fields) {
        const std::string name(item.key());
        if (shownElsewhere.contains(name)) {
            continue;
        }
        const std::string value = item.value().is_string() ? std::string(item.value().get_string())
                                                           : json::serialize(item.value());
        absl::StrAppend(&text, " ", name, "=", value);
    }
    return text;
}

std::string formatRecord(const LogRecord &record)
{
    return absl::StrCat(timeOfDayText(record.at), " ", record.vm, " ", record.event,
                        formatFields(record), "\n");
}

bool namesId(const LogRecord &record, const std::string &id)
{
    return textOf(record, "request") == id || textOf(record, "program") == id;
}

absl::Time startTimeOf(const LogRecord &call)
{
    return call.at - absl::Milliseconds(integerAt(call.fields, "ms"));
}

/** State changes and refused store calls of the call's VM shortly before and during the call. */
std::string describeStateChanges(const std::vector<LogRecord> &log, const LogRecord &call)
{
    static const std::set<std::string> stateChangeEvents = {
        "started", "stopping", "stopped", "reload", "dependency", "configuration"};
    std::string text;
    std::map<std::int64_t, int> refusals;
    for (const LogRecord &record : log) {
        const bool inTime =
            record.at >= startTimeOf(call) - StateChangeWindow && record.at <= call.at;
        if (!inTime || record.vm != call.vm) {
            continue;
        }
        if (stateChangeEvents.contains(record.event)) {
            absl::StrAppend(&text, "    ", formatRecord(record));
        } else if (record.event == "store") {
            refusals[integerAt(record.fields, "status")] += 1;
        }
    }
    for (const auto &[status, count] : refusals) {
        absl::StrAppend(&text, "    the store answered ", status, " to ", count, " of its calls\n");
    }
    return text;
}

/** How many requests to a replica, from all VMs, succeeded around the time of @p call, and which
 * registration changes of the replica the call's VM logged. */
std::string describeReplica(const std::vector<LogRecord> &log, const LogRecord &call,
                            const std::string &replica)
{
    int answered = 0;
    int unanswered = 0;
    std::set<std::string> vms;
    std::string registrations;
    for (const LogRecord &record : log) {
        if (record.at < startTimeOf(call) - ReplicaCallWindow
            || record.at > call.at + ReplicaCallWindow) {
            continue;
        }
        if (record.event == "replica" && textOf(record, "replica") == replica
            && record.vm == call.vm) {
            absl::StrAppend(&registrations, "    ", formatRecord(record));
        }
        const std::vector<std::string> tried = absl::StrSplit(textOf(record, "replicas"), ',');
        if (record.event == "call"
            && std::find(tried.begin(), tried.end(), replica) != tried.end()) {
            vms.insert(record.vm);
            (textOf(record, "outcome") == "answered" ? answered : unanswered) += 1;
        }
    }
    return absl::StrCat("    replica ", replica, ": of all its calls within ",
                        absl::FormatDuration(ReplicaCallWindow), ", ", answered,
                        " were answered and ", unanswered, " were not, through ", vms.size(),
                        " VMs\n", registrations);
}

std::string describeCall(const std::vector<LogRecord> &log, const LogRecord &call)
{
    const std::string outcome = textOf(call, "outcome");
    std::string text = absl::StrCat(formatRecord(call), "  meaning: ", meaningOf(outcome), "\n");
    if (outcome == "answered") {
        return text;
    }
    const std::string stateChanges = describeStateChanges(log, call);
    if (!stateChanges.empty()) {
        absl::StrAppend(&text, "  state changes of ", call.vm, " before and during it:\n",
                        stateChanges);
    }
    const std::string replicas = textOf(call, "replicas");
    if (replicas.empty()) {
        absl::StrAppend(&text, "  no replica was sent the request\n");
        return text;
    }
    for (const auto replica : absl::StrSplit(replicas, ',')) {
        absl::StrAppend(&text, describeReplica(log, call, std::string(replica)));
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

std::string explainRequest(const std::vector<LogRecord> &log, const std::string &id)
{
    std::string text;
    int answered = 0;
    int calls = 0;
    for (const LogRecord &record : log) {
        if (!namesId(record, id)) {
            continue;
        }
        if (record.event != "call") {
            absl::StrAppend(&text, formatRecord(record));
            continue;
        }
        calls += 1;
        answered += textOf(record, "outcome") == "answered" ? 1 : 0;
        absl::StrAppend(&text, describeCall(log, record));
    }
    if (calls > 1) {
        absl::StrAppend(&text, calls, " requests, ", answered, " of them answered\n");
    }
    return text;
}

} // namespace boragepath
