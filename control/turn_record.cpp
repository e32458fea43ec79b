#include "control/turn_record.h"

#include "core/json_access.h"

#include <algorithm>

namespace boragepath {

namespace json = boost::json;

namespace {

/** A tail this long is worth a reading of its own: about three turns of a dialogue. */
constexpr std::size_t SegmentBytes = 8'192;
/** More segments than this cost more readings than writing the conversation anew. */
constexpr std::size_t MaxSegments = 8;

bool segmentsServe(const ConversationSnapshotPtr &previous, std::int64_t nowMillis)
{
    return previous != nullptr && previous->segments.size() < MaxSegments
        && std::all_of(previous->segments.begin(), previous->segments.end(),
                       [nowMillis](const SegmentRef &segment) {
                           return nowMillis < segment.recordedAtMillis + SegmentUseMillis;
                       });
}

} // namespace

bool isSegment(const TurnRecord &record)
{
    return record.segments.empty() || record.tail.size() >= SegmentBytes;
}

PlannedTurn planTurn(const AttemptId &turn, const ConversationSnapshotPtr &previous,
                     std::string text, std::int64_t nowMillis)
{
    PlannedTurn planned;
    KeptTurn kept;
    if (segmentsServe(previous, nowMillis)) {
        kept.segments = previous->segments;
        kept.segmentedBytes = previous->segmentedBytes;
    }
    planned.record.recordedAtMillis = nowMillis;
    planned.record.segments = kept.segments;
    planned.record.tail = text.substr(kept.segmentedBytes);
    if (isSegment(planned.record)) {
        kept.segments.push_back({turn, nowMillis});
        kept.segmentedBytes = text.size();
    }
    kept.text = std::make_shared<const std::string>(std::move(text));
    planned.kept = std::make_shared<const KeptTurn>(std::move(kept));
    return planned;
}

std::string encodeTurnRecord(const TurnRecord &record)
{
    json::array segments;
    for (const SegmentRef &segment : record.segments) {
        segments.push_back(json::array{segment.turn.value(), segment.recordedAtMillis});
    }
    const json::object head{{"at", record.recordedAtMillis}, {"segments", std::move(segments)}};
    return json::serialize(head) + '\n' + record.tail;
}

std::optional<TurnRecord> decodeTurnRecord(const std::string &text)
{
    const std::size_t headEnd = text.find('\n');
    if (headEnd == std::string::npos) {
        return std::nullopt;
    }
    json::error_code error;
    const json::value head = json::parse(std::string_view(text).substr(0, headEnd), error);
    if (error || !head.is_object()) {
        return std::nullopt;
    }
    TurnRecord record;
    record.recordedAtMillis = integerAt(head.get_object(), "at");
    for (const json::value &item : arrayAt(head.get_object(), "segments")) {
        const json::array *pair = item.if_array();
        if (pair == nullptr || pair->size() != 2 || !pair->front().is_string()
            || !pair->back().is_int64()) {
            return std::nullopt;
        }
        record.segments.push_back(
            {AttemptId(std::string(pair->front().get_string())), pair->back().get_int64()});
    }
    record.tail = text.substr(headEnd + 1);
    return record;
}

} // namespace boragepath
