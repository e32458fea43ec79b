// How calls enter a Node: which are refused, passed on to their owner, or taken.

#include "control/node.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>

namespace boragepath {

namespace {

constexpr Milliseconds RetryAfterTrouble{1'000};
constexpr Milliseconds RetryAfterMove{200};
/** Calls that may wait for the catalogue to be read again; unknown keys cost no more than this. */
constexpr std::size_t MaxConfirming = 256;

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
    if (!m_feed.ready()) {
        return makeRefusal(Verdict::NotRun, Reason::NoLease, "this VM is starting",
                           RetryAfterTrouble);
    }
    if (!m_commits.leaseValid()) {
        return makeRefusal(Verdict::NotRun, Reason::NoLease, "this VM cannot renew its lease",
                           RetryAfterTrouble);
    }
    if (m_safeguards.refuseWhenStale && m_feed.age() > m_settings.maxCatalogueAge) {
        return makeRefusal(Verdict::NotRun, Reason::StaleCatalogue,
                           "this VM has no news of the catalogue", RetryAfterTrouble);
    }
    if (m_commits.full()) {
        return makeRefusal(Verdict::NotRun, Reason::StoreUnavailable,
                           "too much waits to be recorded", RetryAfterTrouble);
    }
    return std::nullopt;
}

std::optional<Endpoint> Node::ownerElsewhere(const ProgramKey &key) const
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
    if (refusal.has_value() && m_feed.ready()) {
        confirmRefusal(std::move(request));
        return;
    }
    if (refusal.has_value()) {
        refuse(handle, *checkReady());
        return;
    }
    submitKnown(std::move(request));
}

/**
 * Asks the store before a key is refused: an accepted edit of the catalogue may
 * not have reached this VM yet, and this refusal is final for the caller.
 */
void Node::confirmRefusal(CallRequest request)
{
    if (m_confirming >= MaxConfirming) {
        refuse(request.handle,
               makeRefusal(Verdict::NotRun, Reason::Overloaded, "too many calls with unknown keys",
                           RetryAfterTrouble));
        return;
    }
    m_confirming += 1;
    m_feed.refresh([this, request = std::move(request)](bool answered) {
        m_confirming -= 1;
        const std::optional<Refusal> refusal =
            m_admission.checkKey(request.program.entry, request.bearerKey);
        if (!refusal.has_value()) {
            submitKnown(request);
            return;
        }
        refuse(request.handle,
               answered ? *refusal
                        : makeRefusal(Verdict::NotRun, Reason::StaleCatalogue,
                                      "the catalogue cannot be read", RetryAfterTrouble));
    });
}

void Node::submitKnown(CallRequest request)
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
        const std::optional<Endpoint> owner = ownerElsewhere(request.program);
        if (request.relayed || !owner.has_value()) {
            refuse(handle,
                   makeRefusal(Verdict::NotRun, m_leaving ? Reason::Leaving : Reason::NotOwner,
                               "the program's owner is changing", RetryAfterMove));
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
        const std::optional<Endpoint> owner = ownerElsewhere(key);
        if (relayed || !owner.has_value()) {
            done(makeRefusal(Verdict::NotRun, Reason::NotOwner, "the program's owner is changing",
                             RetryAfterMove));
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
                                     "a call of the program is under way", RetryAfterTrouble);
        if (ended) {
            result = {};
            result.verdict = Verdict::Ran;
        }
        done(result);
    });
    flush();
}

} // namespace boragepath
