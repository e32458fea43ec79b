#include "net/event_stream_parser.h"

#include <absl/strings/numbers.h>

#include <string_view>

namespace boragepath {

namespace {

/** No field of an event has a name that begins so. */
constexpr std::string_view HttpVersion = "HTTP/1.";

std::string_view withoutCarriageReturn(std::string_view line)
{
    return !line.empty() && line.back() == '\r' ? line.substr(0, line.size() - 1) : line;
}

/** The value of a line "name: value", or nothing if the line holds another field. */
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (line.substr(0, name.size()) != name || line.size() <= name.size()
        || line[name.size()] != ':') {
        return std::nullopt;
    }
    std::string_view value = line.substr(name.size() + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    return value;
}

void parseLine(std::string_view line, StreamEvent &event)
{
    if (const auto data = fieldValue(line, "data")) {
        event.data += event.hasData ? "\n" : "";
        event.data += *data;
        event.hasData = true;
    } else if (const auto id = fieldValue(line, "id")) {
        std::int64_t number = 0;
        if (absl::SimpleAtoi(std::string(*id), &number)) {
            event.id = number;
        }
    }
}

} // namespace

std::optional<StreamEvent> EventStreamParser::next()
{
    const std::string_view pending(m_pending);
    StreamEvent event;
    std::size_t position = m_start;
    for (;;) {
        const std::size_t end = pending.find('\n', position);
        if (end == std::string_view::npos) {
            // Discarding the events returned so far limits the buffer to one incomplete event.
            m_pending.erase(0, m_start);
            m_start = 0;
            return std::nullopt;
        }
        const std::string_view line =
            withoutCarriageReturn(pending.substr(position, end - position));
        position = end + 1;
        if (line.empty()) {
            event.text = std::string(pending.substr(m_start, position - m_start));
            m_start = position;
            return event;
        }
        event.hasStatusLine =
            event.hasStatusLine || line.substr(0, HttpVersion.size()) == HttpVersion;
        parseLine(line, event);
    }
}

} // namespace boragepath
