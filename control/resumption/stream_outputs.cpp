#include "control/resumption/stream_outputs.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace boragepath {

namespace {

/** VMs to which output is announced. */
constexpr std::size_t AnnouncedVms = 3;
/** VMs that are asked: one more, as the VM at which the stream ran may be among the first. */
constexpr std::size_t AskedVms = AnnouncedVms + 1;
/** Several round trips between zones; a VM that is alive has answered by then. */
constexpr Milliseconds AnswerTimeout{60};
/** Answers that were lost are asked for again. */
constexpr int MaxQuestions = 3;
/** Bytes of output in one datagram. */
constexpr std::size_t MaxPartBytes = 32'768;
/** What a remembered stream, and each of its parts, takes beside the output. */
constexpr std::size_t StreamOverheadBytes = 512;
constexpr std::size_t PartOverheadBytes = 128;
/** Longest output of a stream that is remembered. */
constexpr std::size_t MaxOutputBytes = 1UL * 1024 * 1024;

peers::StreamOutputNote makeNote(peers::StreamOutputNoteKind::type kind,
                                 const AttemptId &firstAttempt, const OutputPart &part)
{
    peers::StreamOutputNote note;
    note.kind = kind;
    note.firstAttempt = firstAttempt.value();
    note.attempt = part.attempt.value();
    note.resumptions = part.resumptions;
    note.attemptBegin = static_cast<std::int64_t>(part.attemptBegin);
    note.offset = static_cast<std::int64_t>(part.offset);
    note.bytes = part.bytes;
    if (part.eventId.has_value()) {
        note.__set_eventId(*part.eventId);
    }
    return note;
}

/** Nothing if the note's numbers are none that an output can have. */
std::optional<OutputPart> partOf(const peers::StreamOutputNote &note)
{
    const auto most = static_cast<std::int64_t>(MaxOutputBytes);
    if (note.attemptBegin < 0 || note.offset < note.attemptBegin || note.offset > most
        || note.resumptions < 0) {
        return std::nullopt;
    }
    OutputPart part{AttemptId(note.attempt),
                    note.resumptions,
                    static_cast<std::size_t>(note.attemptBegin),
                    static_cast<std::size_t>(note.offset),
                    note.bytes,
                    std::nullopt};
    if (note.__isset.eventId) {
        part.eventId = note.eventId;
    }
    return part;
}

/** Splits a part into those that fit into datagrams; only the last one ends the event. */
std::vector<OutputPart> splitPart(const OutputPart &part)
{
    std::vector<OutputPart> parts;
    std::size_t position = 0;
    do {
        OutputPart next = part;
        next.offset = part.offset + position;
        next.bytes = part.bytes.substr(position, MaxPartBytes);
        position += next.bytes.size();
        next.eventId = position == part.bytes.size() ? part.eventId : std::nullopt;
        parts.push_back(std::move(next));
    } while (position < part.bytes.size());
    return parts;
}

} // namespace

StreamOutputs::StreamOutputs(Timers &timers, const VmDirectory &vms, std::size_t maxBytes,
                             Send send)
    : m_timers(timers)
    , m_vms(vms)
    , m_maxBytes(maxBytes)
    , m_send(std::move(send))
{ }

void StreamOutputs::note(const AttemptId &firstAttempt, const OutputPart &part)
{
    remember(firstAttempt, part);
    const std::vector<Endpoint> vms = m_vms.rankedFor(firstAttempt.value(), AnnouncedVms);
    for (const OutputPart &piece : splitPart(part)) {
        const peers::StreamOutputNote note =
            makeNote(peers::StreamOutputNoteKind::ANNOUNCEMENT, firstAttempt, piece);
        for (const Endpoint &vm : vms) {
            m_send(vm, note);
        }
    }
}

void StreamOutputs::remember(const AttemptId &firstAttempt, const OutputPart &part)
{
    const auto [found, isNew] = m_outputs.try_emplace(firstAttempt);
    Remembered &item = found->second;
    if (isNew) {
        item.position = m_order.insert(m_order.end(), firstAttempt);
    } else {
        m_order.splice(m_order.end(), m_order, item.position);
    }
    addPart(item.output, part);
    m_rememberedBytes -= item.bytes;
    item.bytes =
        StreamOverheadBytes + PartOverheadBytes * item.output.bytes.size() + item.output.size();
    m_rememberedBytes += item.bytes;
    if (item.output.size() > MaxOutputBytes) {
        forget(firstAttempt);
    }
    while (m_rememberedBytes > m_maxBytes) {
        const AttemptId oldest = m_order.front();
        forget(oldest);
    }
}

void StreamOutputs::forget(const AttemptId &firstAttempt)
{
    const auto found = m_outputs.find(firstAttempt);
    m_rememberedBytes -= found->second.bytes;
    m_order.erase(found->second.position);
    m_outputs.erase(found);
}

void StreamOutputs::find(const AttemptId &firstAttempt, std::int64_t lastEventId, FindCallback done)
{
    const std::vector<Endpoint> vms = m_vms.rankedFor(firstAttempt.value(), AskedVms);
    const std::int64_t id = m_nextId++;
    PendingLookup &lookup = m_lookups[id];
    lookup.firstAttempt = firstAttempt;
    lookup.lastEventId = lastEventId;
    lookup.awaited = {vms.begin(), vms.end()};
    lookup.done = std::move(done);
    if (const std::optional<OutputPart> known = wholeUntil(firstAttempt, lastEventId)) {
        addPart(lookup.output, *known);
    }
    ask(id);
}

/** Ends a lookup once all VMs that are left have answered, or asks these again. */
void StreamOutputs::ask(std::int64_t id)
{
    PendingLookup &lookup = m_lookups.at(id);
    const std::optional<std::string> text = outputUntil(lookup.output, lookup.lastEventId);
    const bool isLast = lookup.awaited.empty() || lookup.questions == MaxQuestions;
    if (isLast || (text.has_value() && lookup.questions > 0)) {
        finish(id,
               text.has_value() ? std::optional(EarlierOutput{*text, lookup.output.resumptions + 1})
                                : std::nullopt);
        return;
    }
    lookup.questions += 1;
    peers::StreamOutputNote question;
    question.kind = peers::StreamOutputNoteKind::QUESTION;
    question.id = id;
    question.firstAttempt = lookup.firstAttempt.value();
    question.__set_eventId(lookup.lastEventId);
    for (const Endpoint &vm : std::set<Endpoint>(lookup.awaited)) {
        m_send(vm, question);
    }
    m_timers.after(AnswerTimeout, [this, id, questions = lookup.questions] {
        const auto found = m_lookups.find(id);
        if (found != m_lookups.end() && found->second.questions == questions) {
            ask(id);
        }
    });
}

void StreamOutputs::receive(const Endpoint &from, const peers::StreamOutputNote &note)
{
    switch (note.kind) {
    case peers::StreamOutputNoteKind::ANNOUNCEMENT:
        if (const std::optional<OutputPart> part = partOf(note); part.has_value()) {
            remember(AttemptId(note.firstAttempt), *part);
        }
        break;
    case peers::StreamOutputNoteKind::QUESTION:
        answer(from, note);
        break;
    case peers::StreamOutputNoteKind::ANSWER:
        handleAnswer(from, note);
        break;
    }
}

std::optional<OutputPart> StreamOutputs::wholeUntil(const AttemptId &firstAttempt,
                                                    std::int64_t eventId) const
{
    const auto known = m_outputs.find(firstAttempt);
    if (known == m_outputs.end()) {
        return std::nullopt;
    }
    const StreamOutput &output = known->second.output;
    const std::optional<std::string> text = outputUntil(output, eventId);
    if (!text.has_value()) {
        return std::nullopt;
    }
    return OutputPart{output.attempt, output.resumptions, 0, 0, *text, eventId};
}

void StreamOutputs::answer(const Endpoint &to, const peers::StreamOutputNote &question)
{
    const AttemptId firstAttempt(question.firstAttempt);
    const std::optional<OutputPart> whole = wholeUntil(firstAttempt, question.eventId);
    for (const OutputPart &part : splitPart(whole.value_or(OutputPart()))) {
        peers::StreamOutputNote note =
            makeNote(peers::StreamOutputNoteKind::ANSWER, firstAttempt, part);
        note.id = question.id;
        note.isKnown = whole.has_value();
        m_send(to, note);
    }
}

void StreamOutputs::handleAnswer(const Endpoint &from, const peers::StreamOutputNote &note)
{
    const auto found = m_lookups.find(note.id);
    if (found == m_lookups.end() || found->second.firstAttempt.value() != note.firstAttempt) {
        return;
    }
    PendingLookup &lookup = found->second;
    const std::optional<OutputPart> part = partOf(note);
    if (note.isKnown && part.has_value()) {
        addPart(lookup.output, *part);
    }
    if (lookupBytes() > m_maxBytes) {
        finish(note.id, std::nullopt);
        return;
    }
    const bool isWhole = outputUntil(lookup.output, lookup.lastEventId).has_value();
    const bool isLastPart = part.has_value() && part->eventId.has_value();
    if (!note.isKnown || (isLastPart && isWhole)) {
        lookup.awaited.erase(from);
    }
    if (lookup.awaited.empty()) {
        ask(note.id);
    }
}

std::size_t StreamOutputs::lookupBytes() const
{
    std::size_t total = 0;
    for (const auto &[id, lookup] : m_lookups) {
        total += lookup.output.size();
    }
    return total;
}

void StreamOutputs::finish(std::int64_t id, const std::optional<EarlierOutput> &result)
{
    const FindCallback done = std::move(m_lookups.extract(id).mapped().done);
    done(result);
}

} // namespace boragepath
