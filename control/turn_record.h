#pragma once

#include "control/turn_rows.h"
#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragepath {

/** A turn whose record holds a part of the conversation that later turns refer to. */
struct SegmentRef
{
    AttemptId turn;
    /** Wall-clock time of the recording, in milliseconds since the Unix epoch. */
    std::int64_t recordedAtMillis = 0;
    /** Until when the record is in the store, on the same clock; 0 if that is not known. */
    std::int64_t keptUntilMillis = 0;

    friend bool operator==(const SegmentRef &, const SegmentRef &) = default;
};

/** The record of one turn in the store. */
struct ArchivedTurn
{
    /** Wall-clock time of the recording, in milliseconds since the Unix epoch. */
    std::int64_t recordedAtMillis = 0;
    /** Until when the record is in the store if it is a segment; 0 if that is not known. */
    std::int64_t keptUntilMillis = 0;
    /** Turns whose records hold the conversation before the tail, oldest first. */
    std::vector<SegmentRef> segments;
    /** The rest of the conversation, including this turn. */
    std::string tail;

    friend bool operator==(const ArchivedTurn &, const ArchivedTurn &) = default;
};

/** The conversation up to one turn, and the segments in which the store holds it. */
struct ConversationSnapshot
{
    Conversation text;
    std::vector<SegmentRef> segments;
    /** Length of the part of the text that the segments hold, in bytes. */
    std::size_t segmentedBytes = 0;
};

using ConversationSnapshotPtr = std::shared_ptr<const ConversationSnapshot>;

/** The record to write for a turn, and the snapshot that later turns continue from. */
struct PlannedTurn
{
    ArchivedTurn record;
    ConversationSnapshotPtr snapshot;
};

/**
 * Decides which part of a conversation a turn's record holds.
 *
 * Designed for long conversations: if each turn stored the whole conversation, the
 * space needed would grow with the square of its length. Instead a record holds only
 * the text after the last segment, and a record with a long tail becomes a segment
 * itself. A segment must not expire while it is referred to, and the turns of a conversation
 * may have different retentions, so a turn refers only to segments that are kept for as long
 * as itself; otherwise it stores the whole conversation.
 *
 * @param previous the conversation that this turn continues, or null.
 * @param text the whole conversation, which begins with that of @p previous.
 * @param retention how long this turn is kept.
 */
PlannedTurn planTurn(const AttemptId &turn, const ConversationSnapshotPtr &previous,
                     std::string text, std::int64_t nowMillis, Milliseconds retention);

/** True if later turns may refer to the turn of this record as a segment. */
bool isSegment(const ArchivedTurn &record);

/** A record that takes several rows says of how many it consists. */
std::string encodeTurnRecord(const ArchivedTurn &record);
/** Empty if @p text is not a valid record, or not all of it. */
std::optional<ArchivedTurn> decodeTurnRecord(const std::string &text);

/** How much longer than its own retention a segment is kept, for later turns that refer to it. */
inline constexpr Milliseconds SegmentReusePeriod{20'000};

} // namespace boragepath
