#include "control/table_reader.h"

#include "control/backoff.h"

#include <vector>

namespace boragepath {

TableReader::TableReader(const Clock &clock, Effects &effects, std::uint64_t seed)
    : m_clock(clock)
    , m_effects(effects)
    , m_random(seed)
{ }

void TableReader::send(std::uint64_t id, Pending &pending)
{
    pending.awaitingAnswer = true;
    m_readsSent += 1;
    m_effects.read(id, pending.request);
}

void TableReader::read(const RangeRequest &request, Callback done)
{
    const std::uint64_t id = m_nextId++;
    Pending &pending = m_pending[id];
    pending.request = request;
    pending.done = std::move(done);
    send(id, pending);
}

void TableReader::readOnce(const RangeRequest &request, Callback done)
{
    const std::uint64_t id = m_nextId++;
    Pending &pending = m_pending[id];
    pending.request = request;
    pending.done = std::move(done);
    pending.once = true;
    send(id, pending);
}

void TableReader::onRange(std::uint64_t id, const RangeOutcome &outcome)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end() || !found->second.awaitingAnswer) {
        return;
    }
    Pending &pending = found->second;
    if (!outcome.answered && !pending.once) {
        pending.awaitingAnswer = false;
        pending.nextSend = m_clock.now() + jitteredBackoff(pending.failures, m_random);
        pending.failures += 1;
        return;
    }
    const Callback done = std::move(pending.done);
    m_pending.erase(found);
    done(outcome);
}

void TableReader::tick()
{
    const SteadyTime now = m_clock.now();
    for (auto &[id, pending] : m_pending) {
        if (!pending.awaitingAnswer && now >= pending.nextSend) {
            send(id, pending);
        }
    }
}

void TableReader::reset()
{
    m_pending.clear();
}

} // namespace boragepath
