#include "net/event_stream_parser.h"

#include <absl/strings/numbers.h>

#include <string_view>

namespace boragepath {

namespace {

std::string_view withoutReturn(std::string_view line)
{
    return !line.empty() && line.back() == '\r' ? line.substr(0, line.size() - 1) : line;
}

/** The value of a line "name: value", or nothing if it is of another field. */
std::optional<std::string_view> valueOf(std::string_view line, std::string_view name)
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

void takeLine(std::string_view line, StreamEvent &event, bool &hasData)
{
    if (const auto data = valueOf(line, "data")) {
        event.data += hasData ? "\n" : "";
        event.data += *data;
        hasData = true;
    } else if (const auto id = valueOf(line, "id")) {
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
    bool hasData = false;
    std::size_t position = m_start;
    for (;;) {
        const std::size_t end = pending.find('\n', position);
        if (end == std::string_view::npos) {
            // Dropping what was handed out keeps memory at the size of one event.
            m_pending.erase(0, m_start);
            m_start = 0;
            return std::nullopt;
        }
        const std::string_view line = withoutReturn(pending.substr(position, end - position));
        position = end + 1;
        if (line.empty()) {
            event.text = std::string(pending.substr(m_start, position - m_start));
            m_start = position;
            return event;
        }
        takeLine(line, event, hasData);
    }
}

} // namespace boragepath
