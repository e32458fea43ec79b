#include "control/call_scheduler.h"

// Streams that their callers take up again: the version that may go on, and the output so far.

namespace boragepath {

void CallScheduler::findOriginOrPrepare(CallHandle handle)
{
    const Call &call = m_calls[handle];
    if (call.route->kind == RequestKind::Stream && call.incoming.resumption.has_value()) {
        findStreamOrigin(handle);
        return;
    }
    prepare(handle);
}

void CallScheduler::findStreamOrigin(CallHandle handle)
{
    const Call &call = m_calls[handle];
    const AttemptId &firstAttempt = call.incoming.resumption->firstAttempt;
    if (!firstAttempt.value().empty()) {
        m_dependencies.streams.find(
            firstAttempt, call.service,
            [this, handle](const OriginLookup &lookup) { setStreamOrigin(handle, lookup); });
        return;
    }
    // The caller doesn't say where the stream began, so nobody can be asked.
    OriginLookup lookup;
    const std::optional<SoftwareVersion> version =
        m_dependencies.replicas.presentVersion(call.service);
    if (version.has_value()) {
        lookup = {StreamOrigin{call.service, *version, ReplicaId()}, OriginSource::OnlyVersion};
    }
    setStreamOrigin(handle, lookup);
}

void CallScheduler::setStreamOrigin(CallHandle handle, const OriginLookup &lookup)
{
    Call &call = m_calls[handle];
    call.streamOrigin = lookup.origin;
    call.originSource = lookup.source;
    // A VM that doesn't follow the registry may take a replica for one of an earlier version.
    const bool usable = lookup.origin.has_value() && lookup.origin->service == call.service
        && m_dependencies.streams.isCertain(*lookup.origin)
        && m_dependencies.replicas.isRegistryFollowed();
    if (!usable) {
        refuse(handle, CallRefusalReason::StreamVersionUnknown);
        return;
    }
    if (call.route->storesTurns) {
        findEarlierOutput(handle);
        return;
    }
    prepare(handle);
}

void CallScheduler::findEarlierOutput(CallHandle handle)
{
    const StreamResumption &resumption = *m_calls[handle].incoming.resumption;
    if (resumption.firstAttempt.value().empty()) {
        refuse(handle, CallRefusalReason::StreamOutputUnknown);
        return;
    }
    m_dependencies.outputs.find(resumption.firstAttempt, resumption.lastEventId,
                                [this, handle](const std::optional<EarlierOutput> &earlier) {
                                    if (!earlier.has_value()) {
                                        refuse(handle, CallRefusalReason::StreamOutputUnknown);
                                        return;
                                    }
                                    m_calls[handle].earlier = *earlier;
                                    m_calls[handle].outputBytes = earlier->text.size();
                                    prepare(handle);
                                });
}

void CallScheduler::noteStreamStarted(CallHandle handle)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end() || found->second.streamOrigin.has_value()) {
        return;
    }
    Call &call = found->second;
    const AttemptedReplica &replica = call.attemptedReplicas.back();
    call.streamOrigin = StreamOrigin{call.service, replica.entry.softwareVersion, replica.entry.id};
    call.originSource = OriginSource::Recorded;
    if (call.route->resumable) {
        m_dependencies.streams.note(call.incoming.attempt, *call.streamOrigin);
    }
}

void CallScheduler::noteStreamOutput(CallHandle handle, const std::string &text,
                                     std::optional<std::int64_t> eventId)
{
    Call &call = m_calls.at(handle);
    OutputPart part;
    part.attempt = call.incoming.attempt;
    part.resumptions = call.earlier.resumptions;
    part.attemptBegin = call.earlier.text.size();
    part.offset = call.outputBytes;
    part.bytes = text;
    part.eventId = eventId;
    call.outputBytes += text.size();
    const bool isResumed = call.incoming.resumption.has_value();
    m_dependencies.outputs.note(
        isResumed ? call.incoming.resumption->firstAttempt : call.incoming.attempt, part);
}

} // namespace boragepath
