#pragma once

#include "control/turn_rows.h"
#include "core/ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragepath {

/** A turn whose record holds a part of the conversation for the turns after it. */
struct SegmentRef
{
    AttemptId turn;
    /** Calendar time of its recording in milliseconds. */
    std::int64_t recordedAtMillis = 0;

    friend bool operator==(const SegmentRef &, const SegmentRef &) = default;
};

/** What the store keeps of one turn. */
struct TurnRecord
{
    /** Calendar time of its recording in milliseconds. */
    std::int64_t recordedAtMillis = 0;
    /** Turns that hold the conversation up to the tail, oldest first. */
    std::vector<SegmentRef> segments;
    /** What was said since then, this turn included. */
    std::string tail;
};

/** A conversation in memory, and how the store holds it. */
struct KeptTurn
{
    Conversation text;
    std::vector<SegmentRef> segments;
    /** Bytes of text that the segments hold. */
    std::size_t segmentedBytes = 0;
};

using ConversationSnapshotPtr = std::shared_ptr<const KeptTurn>;

/** A turn as it is to be recorded, and as the turns after it will know it. */
struct PlannedTurn
{
    TurnRecord record;
    ConversationSnapshotPtr kept;
};

/**
 * Decides what of a conversation a turn's record holds.
 *
 * Serves the load pattern of long conversations: written whole with each turn,
 * they fill the store with the square of their length. A record holds what was
 * said since the last segment; one whose tail has grown long becomes a segment
 * itself. Segments in use must not expire, so a turn refers only to young ones,
 * and is else written whole.
 *
 * @param previous the turn that this one continues from, or null.
 * @param text the whole conversation, which begins with that of @p previous.
 */
PlannedTurn planTurn(const AttemptId &turn, const ConversationSnapshotPtr &previous,
                     std::string text, std::int64_t nowMillis);

/** True if later turns may refer to a turn of this record. */
bool isSegment(const TurnRecord &record);

std::string encodeTurnRecord(const TurnRecord &record);
/** Nothing if @p text is no record. */
std::optional<TurnRecord> decodeTurnRecord(const std::string &text);

/** How long after its recording a turn may still be referred to as a segment. */
inline constexpr std::int64_t SegmentUseMillis = 20'000;

} // namespace boragepath
