#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace boragepath {

/** Bytes of a stream's output: the data of its events, each followed by a line feed. */
struct OutputPart
{
    /** The caller's attempt in which the bytes were sent. */
    AttemptId attempt;
    /** How often the stream had been taken up before that attempt. */
    std::int32_t resumptions = 0;
    /** Length of the output when the attempt began. */
    std::size_t attemptBegin = 0;
    /** Position of the bytes in the output. */
    std::size_t offset = 0;
    std::string bytes;
    /** The event that ends with these bytes. */
    std::optional<std::int64_t> eventId;
};

/** What a VM knows of the output of one stream. Parts may be missing, and may arrive in any order.
 */
struct StreamOutput
{
    /** The latest attempt that a part came from. */
    AttemptId attempt;
    std::int32_t resumptions = 0;
    /** Two attempts took the stream up at the same point, so that one of them is not known to be
     * the one that its caller got. */
    bool isAmbiguous = false;
    /** Bytes by their positions; no two overlap. */
    std::map<std::size_t, std::string> bytes;
    /** Where each event ends. */
    std::map<std::int64_t, std::size_t> eventEnds;

    std::size_t size() const;
};

/**
 * Adds a part. The first part of a later attempt removes what earlier ones sent after the point at
 * which it took the stream up; parts of earlier attempts after that point are ignored.
 */
void addPart(StreamOutput &output, const OutputPart &part);

/** The output up to the end of an event; nothing unless all of it is known for certain. */
std::optional<std::string> outputUntil(const StreamOutput &output, std::int64_t eventId);

} // namespace boragepath
