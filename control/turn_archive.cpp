#include "control/turn_archive.h"

#include "control/backoff.h"

namespace boragepath {

namespace {

constexpr Milliseconds SearchRetryPause{60};
/** A turn is dropped this much later than it must be kept; nobody compares clocks. */
constexpr Milliseconds ExpiryMargin{15'000};
/** Expired turns dropped at once, so that clearing up stays a trickle. */
constexpr int MaxDropsAtOnce = 2;

} // namespace

TurnArchive::TurnArchive(const Clock &clock, Timers &timers, RowStore &store, StoreHealth &health,
                         std::size_t maxBytes, std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_health(health)
    , m_random(seed)
    , m_maxBytes(maxBytes)
{ }

void TurnArchive::find(const AttemptId &turn, SteadyTime deadline, Found done)
{
    const auto kept = m_kept.find(turn);
    if (kept != m_kept.end()) {
        done(TurnLookup::Found, kept->second);
        return;
    }
    if (!isRowKeyText(turn.value())) {
        // No turn can have been recorded under such an id.
        done(TurnLookup::Absent, nullptr);
        return;
    }
    if (m_health.away()) {
        done(TurnLookup::StoreAway, nullptr);
        return;
    }
    search(turn, deadline, std::move(done));
}

void TurnArchive::search(const AttemptId &turn, SteadyTime deadline, Found done)
{
    m_store.read(turnRange(turn), [this, turn, deadline, done](const ReadResult &result) {
        if (result.answer == StoreAnswer::Done && result.rows.empty()) {
            done(TurnLookup::Absent, nullptr);
            return;
        }
        if (result.answer == StoreAnswer::Done) {
            const Conversation conversation = conversationOf(result.rows);
            keep(turn, conversation);
            done(TurnLookup::Found, conversation);
            return;
        }
        if (m_health.away() || m_clock.now() + SearchRetryPause >= deadline) {
            done(TurnLookup::StoreAway, nullptr);
            return;
        }
        m_timers.after(SearchRetryPause,
                       [this, turn, deadline, done] { search(turn, deadline, done); });
    });
}

void TurnArchive::record(const AttemptId &turn, const Conversation &conversation, Duration keepTime,
                         std::function<void()> done)
{
    m_pending += 1;
    write(std::make_shared<Recording>(Recording{turn, conversation, keepTime, std::move(done)}));
}

void TurnArchive::write(const std::shared_ptr<Recording> &recording)
{
    RowTransaction transaction;
    transaction.puts = turnRows(recording->turn, *recording->conversation);
    const std::size_t rows = transaction.puts.size();
    m_store.transact(
        std::move(transaction), [this, recording, rows](const TransactionResult &result) {
            if (result.answer != StoreAnswer::Done) {
                // The same rows again: whether the first call took effect does not matter.
                const Duration pause = jitteredBackoff(recording->failures, m_random);
                recording->failures += 1;
                m_timers.after(pause, [this, recording] { write(recording); });
                return;
            }
            m_pending -= 1;
            keep(recording->turn, recording->conversation);
            const SteadyTime expiry = m_clock.now() + recording->keepTime + ExpiryMargin;
            m_expiries.push_back({expiry, recording->turn, rows});
            recording->done();
            dropExpired();
        });
}

void TurnArchive::keep(const AttemptId &turn, const Conversation &conversation)
{
    if (m_kept.contains(turn) || conversation->size() > m_maxBytes) {
        return;
    }
    m_ages.push_back(turn);
    m_kept[turn] = conversation;
    m_bytes += conversation->size();
    while (m_bytes > m_maxBytes) {
        const auto oldest = m_kept.find(m_ages.front());
        m_bytes -= oldest->second->size();
        m_kept.erase(oldest);
        m_ages.pop_front();
    }
}

/** Removes a few turns that this VM recorded and that nobody may continue from any more. */
void TurnArchive::dropExpired()
{
    for (int dropped = 0; dropped < MaxDropsAtOnce; ++dropped) {
        if (m_expiries.empty() || m_clock.now() < m_expiries.front().at || m_health.away()) {
            return;
        }
        RowTransaction transaction;
        transaction.removals = turnRowNames(m_expiries.front().turn, m_expiries.front().rows);
        m_expiries.pop_front();
        m_store.transact(std::move(transaction), [](const TransactionResult &) {});
    }
}

} // namespace boragepath
