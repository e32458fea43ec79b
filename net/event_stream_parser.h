#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragepath {

/** One whole event of a text/event-stream. */
struct StreamEvent
{
    /** As it arrived, with the blank line that ends it. */
    std::string text;
    /** Its data lines, joined by line feeds. */
    std::string data;
    /** Its id if it is a number. */
    std::optional<std::int64_t> id;
};

/** Cuts a stream into whole events; a part of an event at the end stays inside. */
class EventStreamParser
{
public:
    void add(const std::string &bytes) { m_pending += bytes; }
    /** The next whole event, if there is one. */
    std::optional<StreamEvent> next();
    /** Bytes of an event that has not ended. */
    bool hasPartialEvent() const { return m_start < m_pending.size(); }

private:
    std::string m_pending;
    std::size_t m_start = 0;
};

} // namespace boragepath
