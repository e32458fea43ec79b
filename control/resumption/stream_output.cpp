#include "control/resumption/stream_output.h"

#include <algorithm>
#include <iterator>

namespace boragepath {

namespace {

/** Removes the bytes after @p length and the events that end there. */
void truncate(StreamOutput &output, std::size_t length)
{
    output.bytes.erase(output.bytes.lower_bound(length), output.bytes.end());
    if (!output.bytes.empty()) {
        const auto last = std::prev(output.bytes.end());
        last->second.resize(std::min(last->second.size(), length - last->first));
    }
    std::erase_if(output.eventEnds, [length](const auto &item) { return item.second > length; });
}

/** Makes the part's attempt the latest one, if it is; false if the part is of an earlier one. */
bool beginAttempt(StreamOutput &output, const OutputPart &part)
{
    if (part.resumptions < output.resumptions) {
        return false;
    }
    const bool isFirstPart = output.attempt.value().empty();
    if (part.resumptions == output.resumptions && !isFirstPart) {
        output.isAmbiguous = output.isAmbiguous || part.attempt != output.attempt;
        return part.attempt == output.attempt;
    }
    truncate(output, part.attemptBegin);
    output.attempt = part.attempt;
    output.resumptions = part.resumptions;
    output.isAmbiguous = false;
    return true;
}

} // namespace

std::size_t StreamOutput::size() const
{
    std::size_t total = 0;
    for (const auto &[offset, text] : bytes) {
        total += text.size();
    }
    return total;
}

void addPart(StreamOutput &output, const OutputPart &part)
{
    if (!beginAttempt(output, part) || part.bytes.empty()) {
        return;
    }
    const std::size_t end = part.offset + part.bytes.size();
    const auto next = output.bytes.lower_bound(part.offset);
    const bool overlapsNext = next != output.bytes.end() && next->first < end;
    const bool overlapsPrevious = next != output.bytes.begin()
        && std::prev(next)->first + std::prev(next)->second.size() > part.offset;
    if (!overlapsNext && !overlapsPrevious) {
        output.bytes.emplace(part.offset, part.bytes);
    }
    if (part.eventId.has_value()) {
        output.eventEnds[*part.eventId] = end;
    }
}

std::optional<std::string> outputUntil(const StreamOutput &output, std::int64_t eventId)
{
    const auto end = output.eventEnds.find(eventId);
    if (output.isAmbiguous || end == output.eventEnds.end()) {
        return std::nullopt;
    }
    std::string text;
    for (const auto &[offset, part] : output.bytes) {
        if (offset != text.size() || offset >= end->second) {
            break;
        }
        text += part;
    }
    if (text.size() < end->second) {
        return std::nullopt;
    }
    text.resize(end->second);
    return text;
}

} // namespace boragepath
