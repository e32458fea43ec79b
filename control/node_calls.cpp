// How a Node handles arriving calls: it refuses them, relays them to their owner or accepts them.

#include "control/node.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>

namespace boragepath {

namespace {

constexpr Milliseconds RetryAfterUnavailable{1'000};
constexpr Milliseconds RetryAfterOwnerChange{200};
/** Limit of calls that wait for the catalogue to be read again; bounds the cost of bad keys. */
constexpr std::size_t MaxKeyRechecks = 256;

} // namespace

void Node::refuse(CallHandle handle, const Refusal &refusal)
{
    m_effects.log("refused",
                  absl::StrCat(std::string(reasonName(refusal.reason)), ": ", refusal.message));
    CallAnswer answer;
    answer.refusal = refusal;
    m_effects.answer(handle, answer);
}

std::optional<Refusal> Node::checkReady() const
{
    if (!m_sharedRows.ready()) {
        return makeRefusal(Verdict::NotRun, Reason::NoLease, "this VM is starting",
                           RetryAfterUnavailable);
    }
    if (!m_commits.leaseValid()) {
        return makeRefusal(Verdict::NotRun, Reason::NoLease, "this VM cannot renew its lease",
                           RetryAfterUnavailable);
    }
    if (m_safeguards.refuseWhenStale && m_sharedRows.age() > m_settings.maxCatalogueAge) {
        return makeRefusal(Verdict::NotRun, Reason::StaleCatalogue,
                           "this VM has no news of the catalogue", RetryAfterUnavailable);
    }
    if (m_commits.full()) {
        return makeRefusal(Verdict::NotRun, Reason::StoreUnavailable,
                           "too much waits to be recorded", RetryAfterUnavailable);
    }
    return std::nullopt;
}

std::optional<Endpoint> Node::findRemoteOwner(const ProgramKey &key) const
{
    const ShardRecord &shard = m_shards.recordOf(shardOf(key, m_settings.shardCount));
    const MemberRecord *owner = m_members.find(shard.owner);
    const bool reachable = owner != nullptr && shard.owner != m_settings.vm
        && owner->fence == shard.fence && owner->state != MemberState::Gone;
    if (!reachable) {
        return std::nullopt;
    }
    return owner->callers;
}

void Node::submit(CallRequest request)
{
    const CallHandle handle = request.handle;
    std::optional<Refusal> refusal = m_admission.checkKey(request.program.entry, request.bearerKey);
    if (refusal.has_value() && m_sharedRows.ready()) {
        recheckUnknownKey(std::move(request));
        return;
    }
    if (refusal.has_value()) {
        refuse(handle, *checkReady());
        return;
    }
    submitAuthorized(std::move(request));
}

/**
 * Reads the catalogue again before a key is refused. An accepted edit may not have reached this
 * VM yet, and the caller does not retry after this refusal.
 */
void Node::recheckUnknownKey(CallRequest request)
{
    if (m_keyRechecks >= MaxKeyRechecks) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::Overloaded, "too many calls with unknown keys",
                           RetryAfterUnavailable));
        return;
    }
    m_keyRechecks += 1;
    m_sharedRows.refresh([this, request = std::move(request)](bool answered) {
        m_keyRechecks -= 1;
        const std::optional<Refusal> refusal =
            m_admission.checkKey(request.program.entry, request.bearerKey);
        if (!refusal.has_value()) {
            submitAuthorized(request);
            return;
        }
        refuse(request.handle,
               answered ? *refusal
                        : makeRefusal(Verdict::NotRun, Reason::StaleCatalogue,
                                      "the catalogue cannot be read", RetryAfterUnavailable));
    });
}

void Node::submitAuthorized(CallRequest request)
{
    const CallHandle handle = request.handle;
    std::optional<Refusal> refusal;
    const CatalogueEntry &entry = *m_catalogue.find(request.program.entry);
    refusal = m_admission.checkEntry(entry, request.pool);
    if (refusal.has_value()) {
        refuse(handle, *refusal);
        return;
    }
    const ShardIndex shard = shardOf(request.program, m_settings.shardCount);
    if (!m_shards.owns(shard)) {
        const std::optional<Endpoint> owner = findRemoteOwner(request.program);
        if (request.relayed || !owner.has_value()) {
            refuse(handle,
                   makeRefusal(Verdict::NotRun, m_leaving ? Reason::Leaving : Reason::NotOwner,
                               "the program's owner is changing", RetryAfterOwnerChange));
            return;
        }
        m_effects.relay(handle, *owner);
        return;
    }
    refusal = checkReady();
    if (!refusal.has_value()) {
        refusal = m_admission.checkRate(entry);
    }
    if (refusal.has_value()) {
        refuse(handle, *refusal);
        return;
    }
    m_engine.submit(std::move(request));
    flush();
}

void Node::onCallerDisconnected(CallHandle handle)
{
    m_engine.onCallerDisconnected(handle);
    flush();
}

void Node::endProgram(CallHandle handle, const ProgramKey &key, const std::string &bearerKey,
                      bool relayed, std::function<void(const Refusal &)> done)
{
    std::optional<Refusal> refusal = m_admission.checkKey(key.entry, bearerKey);
    if (refusal.has_value()) {
        done(*refusal);
        return;
    }
    if (!m_shards.owns(shardOf(key, m_settings.shardCount))) {
        const std::optional<Endpoint> owner = findRemoteOwner(key);
        if (relayed || !owner.has_value()) {
            done(makeRefusal(Verdict::NotRun, Reason::NotOwner, "the program's owner is changing",
                             RetryAfterOwnerChange));
            return;
        }
        m_effects.relay(handle, *owner);
        return;
    }
    refusal = checkReady();
    if (refusal.has_value()) {
        done(*refusal);
        return;
    }
    m_engine.endProgram(key, [done](bool ended) {
        Refusal result = makeRefusal(Verdict::NotRun, Reason::Cancelled,
                                     "a call of the program is under way", RetryAfterUnavailable);
        if (ended) {
            result = {};
            result.verdict = Verdict::Ran;
        }
        done(result);
    });
    flush();
}

} // namespace boragepath
