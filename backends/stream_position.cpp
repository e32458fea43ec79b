#include "backends/stream_position.h"

namespace boragepath {

namespace {

bool followsDirectly(std::int64_t id, std::int64_t lastId)
{
    return id > lastId && id - 1 == lastId;
}

} // namespace

bool isComment(const StreamEvent &event)
{
    return !event.id.has_value() && !event.hasData;
}

EventPlace placeOf(const StreamEvent &event, const StreamPosition &position, bool continues)
{
    if (isComment(event) || !position.lastEventId.has_value()) {
        return EventPlace::Next;
    }
    if (!continues) {
        const bool isLater = !event.id.has_value() || *event.id > *position.lastEventId;
        return isLater ? EventPlace::Next : EventPlace::Repeated;
    }
    if (!event.id.has_value()) {
        return EventPlace::Elsewhere;
    }
    const bool isNext = position.isConsecutive.value_or(false)
        ? followsDirectly(*event.id, *position.lastEventId)
        : *event.id > *position.lastEventId;
    return isNext ? EventPlace::Next : EventPlace::Elsewhere;
}

void advance(StreamPosition &position, const StreamEvent &event)
{
    if (isComment(event)) {
        return;
    }
    position.endsWithoutId = !event.id.has_value();
    if (!event.id.has_value()) {
        return;
    }
    if (position.lastEventId.has_value()) {
        position.isConsecutive = position.isConsecutive.value_or(true)
            && followsDirectly(*event.id, *position.lastEventId);
    }
    position.lastEventId = event.id;
}

} // namespace boragepath
