#pragma once

#include "control/resumption/stream_output.h"
#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "core/ids.h"
#include "peers/gen/messages_types.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace boragepath {

/** The output of a stream before it was taken up again. */
struct EarlierOutput
{
    std::string text;
    /** How often the stream has been taken up, this time included. */
    std::int32_t resumptions = 0;
};

/**
 * Knows the output of streams under way that are to be stored and may be taken up again.
 *
 * Designed for callers that get the beginning of a turn from one VM, which then fails, and the rest
 * from another: the turn's record must have both. The VM at which a stream runs announces each
 * event to a few VMs that rendezvous hashing names for the stream, before it passes the event on;
 * the VM at which the stream is taken up asks these.
 *
 * Messages may be lost and every VM may fail. Then the output is unknown and the stream does not go
 * on; a part of the output is never taken for the whole.
 */
class StreamOutputs
{
public:
    using Send = std::function<void(const Endpoint &to, const peers::StreamOutputNote &note)>;
    using FindCallback = std::function<void(const std::optional<EarlierOutput> &)>;

    /** @param maxBytes limits the output of all streams that this VM remembers. */
    StreamOutputs(Timers &timers, const VmDirectory &vms, std::size_t maxBytes, Send send);

    /** Remembers a part of a stream's output here and at other VMs. */
    void note(const AttemptId &firstAttempt, const OutputPart &part);
    /**
     * Finds the output up to the event @p lastEventId, which the caller has got. @p done gets
     * nothing if that is not known for certain; it may run before this returns.
     */
    void find(const AttemptId &firstAttempt, std::int64_t lastEventId, FindCallback done);
    /** Handles a message from the VM at @p from. */
    void receive(const Endpoint &from, const peers::StreamOutputNote &note);

    /** Bytes of output that this VM remembers. */
    std::size_t rememberedBytes() const { return m_rememberedBytes; }

private:
    struct Remembered
    {
        StreamOutput output;
        std::size_t bytes = 0;
        std::list<AttemptId>::iterator position;
    };
    /** A question to other VMs. */
    struct PendingLookup
    {
        AttemptId firstAttempt;
        std::int64_t lastEventId = 0;
        /** VMs that are asked, and have not answered that they don't know. */
        std::set<Endpoint> awaited;
        /** What the answers have brought so far. */
        StreamOutput output;
        int questions = 0;
        FindCallback done;
    };

    void remember(const AttemptId &firstAttempt, const OutputPart &part);
    void forget(const AttemptId &firstAttempt);
    void ask(std::int64_t id);
    /** All that this VM knows of an output up to an event; nothing unless it is complete. */
    std::optional<OutputPart> wholeUntil(const AttemptId &firstAttempt, std::int64_t eventId) const;
    /** Bytes that answers to questions have brought. */
    std::size_t lookupBytes() const;
    void answer(const Endpoint &to, const peers::StreamOutputNote &question);
    void handleAnswer(const Endpoint &from, const peers::StreamOutputNote &note);
    void finish(std::int64_t id, const std::optional<EarlierOutput> &result);

    Timers &m_timers;
    const VmDirectory &m_vms;
    std::size_t m_maxBytes;
    Send m_send;
    std::map<AttemptId, Remembered> m_outputs;
    /** Least recently changed first. */
    std::list<AttemptId> m_order;
    std::size_t m_rememberedBytes = 0;
    std::map<std::int64_t, PendingLookup> m_lookups;
    std::int64_t m_nextId = 1;
};

} // namespace boragepath
