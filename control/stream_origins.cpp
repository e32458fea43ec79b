#include "control/stream_origins.h"

#include <utility>
#include <vector>

namespace boragepath {

namespace {

/** Streams whose origin a VM remembers; each takes about 300 bytes. */
constexpr std::size_t MaxOrigins = 4'000;
/** VMs to which an origin is announced. */
constexpr std::size_t AnnouncedVms = 3;
/** VMs that are asked: one more, as the VM at which the stream began may be among the first. */
constexpr std::size_t AskedVms = AnnouncedVms + 1;
/** Several round trips between zones; a VM that is alive has answered by then. */
constexpr Milliseconds AnswerTimeout{60};

peers::StreamOriginNote makeNote(peers::StreamOriginNoteKind::type kind, std::int64_t id,
                                 const AttemptId &firstAttempt, const PoolName &service)
{
    peers::StreamOriginNote note;
    note.kind = kind;
    note.id = id;
    note.firstAttempt = firstAttempt.value();
    note.pool = service.value();
    return note;
}

StreamOrigin originOf(const peers::StreamOriginNote &note)
{
    return {PoolName(note.pool), SoftwareVersion(note.version), ReplicaId(note.replica)};
}

peers::OriginKnowledge::type knowledgeOf(OriginSource source)
{
    switch (source) {
    case OriginSource::Recorded:
        return peers::OriginKnowledge::RECORDED;
    case OriginSource::OnlyVersion:
        return peers::OriginKnowledge::ONLY_VERSION;
    case OriginSource::Peer:
    case OriginSource::Unknown:
        break;
    }
    return peers::OriginKnowledge::UNKNOWN;
}

} // namespace

std::string_view originSourceName(OriginSource source)
{
    switch (source) {
    case OriginSource::Unknown:
        return "unknown";
    case OriginSource::Recorded:
        return "recorded";
    case OriginSource::OnlyVersion:
        return "only-version";
    case OriginSource::Peer:
        return "peer";
    }
    return "unknown";
}

StreamOrigins::StreamOrigins(Timers &timers, const ReplicaTable &replicas, const VmDirectory &vms,
                             Send send)
    : m_timers(timers)
    , m_replicas(replicas)
    , m_vms(vms)
    , m_send(std::move(send))
    , m_origins(MaxOrigins)
{ }

void StreamOrigins::note(const AttemptId &firstAttempt, const StreamOrigin &origin)
{
    m_origins.put(firstAttempt) = origin;
    if (m_replicas.onlyVersion(origin.service).has_value()) {
        return;
    }
    peers::StreamOriginNote note =
        makeNote(peers::StreamOriginNoteKind::ANNOUNCEMENT, 0, firstAttempt, origin.service);
    note.version = origin.version.value();
    note.replica = origin.replica.value();
    for (const Endpoint &vm : m_vms.rankedFor(firstAttempt.value(), AnnouncedVms)) {
        m_send(vm, note);
    }
}

bool StreamOrigins::isCertain(const StreamOrigin &origin) const
{
    const ReplicaState *replica = m_replicas.find(origin.replica);
    return replica == nullptr || replica->entry.softwareVersion == origin.version;
}

OriginLookup StreamOrigins::findHere(const AttemptId &firstAttempt, const PoolName &service) const
{
    const StreamOrigin *recorded = m_origins.find(firstAttempt);
    if (recorded != nullptr) {
        return {*recorded, OriginSource::Recorded};
    }
    const std::optional<SoftwareVersion> version = m_replicas.onlyVersion(service);
    if (version.has_value()) {
        return {StreamOrigin{service, *version, ReplicaId()}, OriginSource::OnlyVersion};
    }
    return {};
}

void StreamOrigins::find(const AttemptId &firstAttempt, const PoolName &service, FindCallback done)
{
    const OriginLookup lookup = findHere(firstAttempt, service);
    if (lookup.source == OriginSource::Recorded) {
        done(lookup);
        return;
    }
    askPeers(firstAttempt, lookup, service, std::move(done));
}

void StreamOrigins::askPeers(const AttemptId &firstAttempt, const OriginLookup &known,
                             const PoolName &service, FindCallback done)
{
    const std::vector<Endpoint> vms = m_vms.rankedFor(firstAttempt.value(), AskedVms);
    if (vms.empty()) {
        done(known);
        return;
    }
    const std::int64_t id = m_nextId++;
    PendingLookup &lookup = m_lookups[id];
    lookup.firstAttempt = firstAttempt;
    lookup.service = service;
    lookup.awaited = {vms.begin(), vms.end()};
    lookup.onlyVersion = known.origin;
    lookup.done = std::move(done);
    for (const Endpoint &vm : vms) {
        m_send(vm, makeNote(peers::StreamOriginNoteKind::QUESTION, id, firstAttempt, service));
    }
    m_timers.after(AnswerTimeout, [this, id] {
        const auto found = m_lookups.find(id);
        if (found != m_lookups.end()) {
            finish(id, agreedVersion(found->second));
        }
    });
}

void StreamOrigins::receive(const Endpoint &from, const peers::StreamOriginNote &note)
{
    switch (note.kind) {
    case peers::StreamOriginNoteKind::ANNOUNCEMENT:
        m_origins.put(AttemptId(note.firstAttempt)) = originOf(note);
        break;
    case peers::StreamOriginNoteKind::QUESTION:
        answer(from, note);
        break;
    case peers::StreamOriginNoteKind::ANSWER:
        handleAnswer(from, note);
        break;
    }
}

void StreamOrigins::answer(const Endpoint &to, const peers::StreamOriginNote &question)
{
    const AttemptId firstAttempt(question.firstAttempt);
    const OriginLookup lookup = findHere(firstAttempt, PoolName(question.pool));
    peers::StreamOriginNote note = makeNote(peers::StreamOriginNoteKind::ANSWER, question.id,
                                            firstAttempt, PoolName(question.pool));
    note.knowledge = knowledgeOf(lookup.source);
    if (lookup.source == OriginSource::Unknown
        && m_replicas.hasSeveralVersions(PoolName(question.pool))) {
        note.knowledge = peers::OriginKnowledge::SEVERAL_VERSIONS;
    }
    if (lookup.origin.has_value()) {
        note.pool = lookup.origin->service.value();
        note.version = lookup.origin->version.value();
        note.replica = lookup.origin->replica.value();
    }
    m_send(to, note);
}

void StreamOrigins::handleAnswer(const Endpoint &from, const peers::StreamOriginNote &note)
{
    const auto found = m_lookups.find(note.id);
    if (found == m_lookups.end() || found->second.firstAttempt.value() != note.firstAttempt) {
        return;
    }
    PendingLookup &lookup = found->second;
    lookup.awaited.erase(from);
    lookup.isAnswered = true;
    if (note.knowledge == peers::OriginKnowledge::RECORDED) {
        m_origins.put(lookup.firstAttempt) = originOf(note);
        finish(note.id, originOf(note));
        return;
    }
    // A record that another VM holds is better evidence, so all answers are awaited.
    if (note.knowledge == peers::OriginKnowledge::ONLY_VERSION) {
        noteOnlyVersion(lookup, originOf(note));
    }
    if (note.knowledge == peers::OriginKnowledge::SEVERAL_VERSIONS) {
        lookup.isContradicted = true;
    }
    if (lookup.awaited.empty()) {
        finish(note.id, agreedVersion(lookup));
    }
}

void StreamOrigins::noteOnlyVersion(PendingLookup &lookup, const StreamOrigin &origin)
{
    lookup.isContradicted = lookup.isContradicted
        || (lookup.onlyVersion.has_value() && lookup.onlyVersion->version != origin.version);
    lookup.onlyVersion = origin;
}

std::optional<StreamOrigin> StreamOrigins::agreedVersion(const PendingLookup &lookup)
{
    return lookup.isAnswered && !lookup.isContradicted ? lookup.onlyVersion : std::nullopt;
}

void StreamOrigins::finish(std::int64_t id, const std::optional<StreamOrigin> &origin)
{
    const OriginLookup result{origin,
                              origin.has_value() ? OriginSource::Peer : OriginSource::Unknown};
    const FindCallback done = std::move(m_lookups.extract(id).mapped().done);
    done(result);
}

} // namespace boragepath
