#pragma once

#include "control/turn_rows.h"
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

    friend bool operator==(const SegmentRef &, const SegmentRef &) = default;
};

/** The record of one turn in the store. */
struct ArchivedTurn
{
    /** Wall-clock time of the recording, in milliseconds since the Unix epoch. */
    std::int64_t recordedAtMillis = 0;
    /** Turns whose records hold the conversation before the tail, oldest first. */
    std::vector<SegmentRef> segments;
    /** The rest of the conversation, including this turn. */
    std::string tail;
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
 * itself. A segment must not expire while it is referred to, so a turn refers only to
 * segments younger than MaxSegmentAgeMillis; otherwise it stores the whole conversation.
 *
 * @param previous the conversation that this turn continues, or null.
 * @param text the whole conversation, which begins with that of @p previous.
 */
PlannedTurn planTurn(const AttemptId &turn, const ConversationSnapshotPtr &previous,
                     std::string text, std::int64_t nowMillis);

/** True if later turns may refer to the turn of this record as a segment. */
bool isSegment(const ArchivedTurn &record);

/** A record that takes several rows says of how many it consists. */
std::string encodeTurnRecord(const ArchivedTurn &record);
/** Empty if @p text is not a valid record, or not all of it. */
std::optional<ArchivedTurn> decodeTurnRecord(const std::string &text);

/** How long after its recording new turns may refer to a turn as a segment. */
inline constexpr std::int64_t MaxSegmentAgeMillis = 20'000;

} // namespace boragepath
