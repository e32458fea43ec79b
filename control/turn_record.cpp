#include "control/turn_record.h"

#include "core/json_access.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace boragepath {

namespace json = boost::json;

namespace {

/** A tail this long justifies a separate read: it is about three turns of a dialogue. */
constexpr std::size_t MinSegmentBytes = 8'192;
/** With more segments, reading them would cost more than writing the whole conversation again. */
constexpr std::size_t MaxSegments = 8;

constexpr const char *RowCountField = "rows";
/** Older versions read neither of these, and ignore them. */
constexpr const char *KeptUntilField = "kept_until";
constexpr const char *SegmentsKeptUntilField = "segments_kept_until";
/** The count is written with this many digits, so that it doesn't change the record's length. */
constexpr std::size_t RowCountDigits = 4;

std::string headOf(const ArchivedTurn &record, std::optional<std::size_t> rowCount)
{
    json::array segments;
    json::array segmentsKeptUntil;
    for (const SegmentRef &segment : record.segments) {
        segments.push_back(json::array{segment.turn.value(), segment.recordedAtMillis});
        segmentsKeptUntil.push_back(segment.keptUntilMillis);
    }
    json::object head{{"at", record.recordedAtMillis}, {"segments", std::move(segments)}};
    if (record.keptUntilMillis != 0) {
        head[KeptUntilField] = record.keptUntilMillis;
    }
    if (!segmentsKeptUntil.empty()) {
        head[SegmentsKeptUntilField] = std::move(segmentsKeptUntil);
    }
    if (rowCount.has_value()) {
        head[RowCountField] = absl::StrFormat("%0*d", RowCountDigits, *rowCount);
    }
    return json::serialize(head) + '\n';
}

/** True if the head says nothing of a number of rows, or @p text takes as many. */
bool hasAllRows(const json::object &head, const std::string &text)
{
    if (!head.contains(RowCountField)) {
        return true;
    }
    std::size_t count = 0;
    return absl::SimpleAtoi(stringAt(head, RowCountField), &count)
        && count == turnRowCount(text.size());
}

bool segmentsReusable(const ConversationSnapshotPtr &previous, std::int64_t neededUntilMillis)
{
    return previous != nullptr && previous->segments.size() < MaxSegments
        && std::all_of(previous->segments.begin(), previous->segments.end(),
                       [neededUntilMillis](const SegmentRef &segment) {
                           return neededUntilMillis < segment.keptUntilMillis;
                       });
}

} // namespace

bool isSegment(const ArchivedTurn &record)
{
    return record.segments.empty() || record.tail.size() >= MinSegmentBytes;
}

PlannedTurn planTurn(const AttemptId &turn, const ConversationSnapshotPtr &previous,
                     std::string text, std::int64_t nowMillis, Milliseconds retention)
{
    PlannedTurn planned;
    ConversationSnapshot snapshot;
    const std::int64_t neededUntilMillis = nowMillis + retention.count();
    if (segmentsReusable(previous, neededUntilMillis)) {
        snapshot.segments = previous->segments;
        snapshot.segmentedBytes = previous->segmentedBytes;
    }
    planned.record.recordedAtMillis = nowMillis;
    planned.record.segments = snapshot.segments;
    planned.record.tail = text.substr(snapshot.segmentedBytes);
    if (isSegment(planned.record)) {
        planned.record.keptUntilMillis = neededUntilMillis + SegmentReusePeriod.count();
        snapshot.segments.push_back({turn, nowMillis, planned.record.keptUntilMillis});
        snapshot.segmentedBytes = text.size();
    }
    snapshot.text = std::make_shared<const std::string>(std::move(text));
    planned.snapshot = std::make_shared<const ConversationSnapshot>(std::move(snapshot));
    return planned;
}

std::string encodeTurnRecord(const ArchivedTurn &record)
{
    const std::string head = headOf(record, std::nullopt);
    if (turnRowCount(head.size() + record.tail.size()) == 1) {
        return head + record.tail;
    }
    const std::size_t size = headOf(record, 0).size() + record.tail.size();
    return headOf(record, turnRowCount(size)) + record.tail;
}

std::optional<ArchivedTurn> decodeTurnRecord(const std::string &text)
{
    const std::size_t headEnd = text.find('\n');
    if (headEnd == std::string::npos) {
        return std::nullopt;
    }
    json::error_code error;
    const json::value head = json::parse(std::string_view(text).substr(0, headEnd), error);
    if (error || !head.is_object() || !hasAllRows(head.get_object(), text)) {
        return std::nullopt;
    }
    ArchivedTurn record;
    record.recordedAtMillis = integerAt(head.get_object(), "at");
    record.keptUntilMillis = integerAt(head.get_object(), KeptUntilField);
    const json::array &keptUntil = arrayAt(head.get_object(), SegmentsKeptUntilField);
    for (const json::value &item : arrayAt(head.get_object(), "segments")) {
        const json::array *pair = item.if_array();
        if (pair == nullptr || pair->size() != 2 || !pair->front().is_string()
            || !pair->back().is_int64()) {
            return std::nullopt;
        }
        const json::value *until = keptUntil.if_contains(record.segments.size());
        record.segments.push_back({AttemptId(std::string(pair->front().get_string())),
                                   pair->back().get_int64(),
                                   until != nullptr && until->is_int64() ? until->get_int64() : 0});
    }
    record.tail = text.substr(headEnd + 1);
    return record;
}

} // namespace boragepath
