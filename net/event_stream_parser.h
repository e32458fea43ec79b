#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragepath {

/** One complete event of a text/event-stream. */
struct StreamEvent
{
    /** The bytes of the event as received, including the blank line that ends it. */
    std::string text;
    /** The data lines of the event, joined by line feeds. */
    std::string data;
    /** It has a data line, if only an empty one. */
    bool hasData = false;
    /** The id of the event, if it is an integer. */
    std::optional<std::int64_t> id;
    /** One of its lines is the status line of a response: its sender has begun another answer. */
    bool hasStatusLine = false;
};

/** Longest event of a stream. */
inline constexpr std::size_t MaxEventBytes = 262'144;

/** Splits a text/event-stream into events; buffers an incomplete event until the rest arrives. */
class EventStreamParser
{
public:
    void add(const std::string &bytes) { m_pending += bytes; }
    /** Removes and returns the next complete event, if there is one. */
    std::optional<StreamEvent> next();
    /** True if bytes are buffered that next() has not returned. */
    bool hasPartialEvent() const { return m_start < m_pending.size(); }
    std::size_t pendingBytes() const { return m_pending.size(); }
    /** True if the event that is incomplete has more than MaxEventBytes; it is not an event. */
    bool isTooLong() const { return m_pending.size() - m_start > MaxEventBytes; }

private:
    std::string m_pending;
    std::size_t m_start = 0;
};

} // namespace boragepath
