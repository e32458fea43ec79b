#pragma once

#include "net/event_stream_parser.h"

#include <cstdint>
#include <optional>

namespace boragepath {

/** How far a caller has got a stream, which several replicas may write one after another. */
struct StreamPosition
{
    /** Id of the last event that the caller has; another replica goes on after it. */
    std::optional<std::int64_t> lastEventId;
    /** Each id has been one more than the one before; not known before two events of this answer.
     */
    std::optional<bool> isConsecutive;
    /** The last event has data and no id, so that no replica can go on after it. */
    bool endsWithoutId = false;
};

/** Place of a replica's event in the stream of its caller. */
enum class EventPlace {
    Next,
    Repeated, ///< The same replica has sent an event with this id or a later one.
    Elsewhere, ///< The replica does not go on where the stream stands.
};

/** @param continues a replica was asked to go on at @p position, and has sent no event yet. */
EventPlace placeOf(const StreamEvent &event, const StreamPosition &position, bool continues);

/** Notes that the caller has got @p event. */
void advance(StreamPosition &position, const StreamEvent &event);

/**
 * True for a block of lines without data and id, which is no event by the format: a comment, which
 * keeps a connection open. It is passed on, and is no part of what the turn says.
 */
bool isComment(const StreamEvent &event);

} // namespace boragepath
