#include "control/turn_archive.h"

#include "control/backoff.h"
#include "core/logging.h"

namespace boragepath {

namespace {

/** A turn is dropped this much later than it must be kept; nobody compares clocks closely. */
constexpr Milliseconds ExpiryMargin{8'000};
/** A VM drops up to ten turns a second: more than it serves, and no burst for the store. */
constexpr Milliseconds DropPause{100};

std::size_t bytesOf(const ConversationSnapshotPtr &kept)
{
    return kept->text->size();
}

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
    const auto search = std::make_shared<Search>();
    search->turn = turn;
    search->deadline = deadline;
    search->done = std::move(done);
    fetch(turn, deadline, 0,
          [this, search](TurnLookup lookup, const std::optional<TurnRecord> &record) {
              if (!record.has_value()) {
                  search->done(lookup, nullptr);
                  return;
              }
              search->record = *record;
              gatherSegments(search);
          });
}

/** Reads one turn's record, again and again until it is known or too late. */
void TurnArchive::fetch(const AttemptId &turn, SteadyTime deadline, int failures,
                        std::function<void(TurnLookup, const std::optional<TurnRecord> &)> done)
{
    if (m_health.unavailable()) {
        done(TurnLookup::StoreUnavailable, std::nullopt);
        return;
    }
    m_store.read(
        turnRange(turn),
        [this, turn, deadline, failures, done = std::move(done)](const ReadResult &result) {
            if (result.answer == StoreAnswer::Done && result.rows.empty()) {
                done(TurnLookup::Absent, std::nullopt);
                return;
            }
            if (result.answer == StoreAnswer::Done) {
                const auto record = decodeTurnRecord(joinRows(result.rows));
                if (!record.has_value()) {
                    LogLine("turn").add("turn", turn.value()).add("outcome", "unreadable").error();
                }
                done(record.has_value() ? TurnLookup::Found : TurnLookup::Absent, record);
                return;
            }
            const Duration pause = jitteredBackoff(failures, m_random);
            if (m_health.unavailable() || m_clock.now() + pause >= deadline) {
                done(TurnLookup::StoreUnavailable, std::nullopt);
                return;
            }
            m_timers.after(pause, [this, turn, deadline, failures, done] {
                fetch(turn, deadline, failures + 1, done);
            });
        });
}

void TurnArchive::gatherSegments(const std::shared_ptr<Search> &search)
{
    const std::vector<SegmentRef> &segments = search->record.segments;
    std::size_t first = segments.size();
    // A segment that is known in memory stands for all before it, too.
    while (first > 0 && !m_kept.contains(segments[first - 1].turn)) {
        first -= 1;
    }
    if (first > 0) {
        search->known = *m_kept.at(segments[first - 1].turn)->text;
    }
    search->missing = segments.size() - first;
    search->tails.resize(search->missing);
    if (search->missing == 0) {
        assemble(*search);
        return;
    }
    for (std::size_t index = first; index < segments.size(); ++index) {
        fetch(segments[index].turn, search->deadline, 0,
              [this, search, place = index - first](TurnLookup lookup,
                                                    const std::optional<TurnRecord> &record) {
                  takeSegment(search, place, lookup, record);
              });
    }
}

void TurnArchive::takeSegment(const std::shared_ptr<Search> &search, std::size_t index,
                              TurnLookup lookup, const std::optional<TurnRecord> &record)
{
    if (search->ended) {
        return;
    }
    if (!record.has_value()) {
        search->ended = true;
        if (lookup == TurnLookup::Absent) {
            // Segments outlive the turns that need them.
            LogLine("turn")
                .add("turn", search->turn.value())
                .add("outcome", "a segment is missing")
                .error();
        }
        search->done(lookup, nullptr);
        return;
    }
    search->tails[index] = record->tail;
    search->missing -= 1;
    if (search->missing == 0) {
        assemble(*search);
    }
}

void TurnArchive::assemble(Search &search)
{
    std::string text = std::move(search.known);
    for (const std::string &tail : search.tails) {
        text += tail;
    }
    KeptTurn kept;
    kept.segments = search.record.segments;
    kept.segmentedBytes = text.size();
    text += search.record.tail;
    if (isSegment(search.record)) {
        kept.segments.push_back({search.turn, search.record.recordedAtMillis});
        kept.segmentedBytes = text.size();
    }
    kept.text = std::make_shared<const std::string>(std::move(text));
    const auto shared = std::make_shared<const KeptTurn>(std::move(kept));
    keep(search.turn, shared);
    search.done(TurnLookup::Found, shared);
}

void TurnArchive::record(const AttemptId &turn, const ConversationSnapshotPtr &previous,
                         std::string text, Duration turnRetention, std::function<void()> done)
{
    m_pending += 1;
    PlannedTurn planned = planTurn(turn, previous, std::move(text), unixMillis(m_clock.wallNow()));
    write(std::make_shared<Recording>(
        Recording{turn, std::move(planned), turnRetention, std::move(done)}));
}

void TurnArchive::write(const std::shared_ptr<Recording> &recording)
{
    RowTransaction transaction;
    transaction.puts = turnRows(recording->turn, encodeTurnRecord(recording->planned.record));
    const std::size_t rows = transaction.puts.size();
    m_store.transact(std::move(transaction),
                     [this, recording, rows](const TransactionResult &result) {
                         if (result.answer != StoreAnswer::Done) {
                             // The same rows again: whether the first call took effect does not
                             // matter.
                             const Duration pause = jitteredBackoff(recording->failures, m_random);
                             recording->failures += 1;
                             m_timers.after(pause, [this, recording] { write(recording); });
                             return;
                         }
                         m_pending -= 1;
                         keep(recording->turn, recording->planned.kept);
                         planExpiry(*recording, rows);
                         recording->done();
                     });
}

void TurnArchive::keep(const AttemptId &turn, const ConversationSnapshotPtr &kept)
{
    if (m_kept.contains(turn) || bytesOf(kept) > m_maxBytes) {
        return;
    }
    m_ages.push_back(turn);
    m_kept[turn] = kept;
    m_bytes += bytesOf(kept);
    while (m_bytes > m_maxBytes) {
        const auto oldest = m_kept.find(m_ages.front());
        m_bytes -= bytesOf(oldest->second);
        m_kept.erase(oldest);
        m_ages.pop_front();
    }
}

void TurnArchive::planExpiry(const Recording &recording, std::size_t rows)
{
    // The last turn that may refer to a segment must outlive its own keep time with it.
    const Duration use =
        isSegment(recording.planned.record) ? Milliseconds(SegmentUseMillis) : Milliseconds(0);
    const SteadyTime due = m_clock.now() + recording.turnRetention + use + ExpiryMargin;
    m_expiries.emplace(due, Expiry{recording.turn, rows});
    planDrop();
}

void TurnArchive::planDrop()
{
    if (m_dropPlanned || m_expiries.empty()) {
        return;
    }
    m_dropPlanned = true;
    const SteadyTime now = m_clock.now();
    const SteadyTime due = std::max(m_expiries.begin()->first, now) + DropPause;
    m_timers.after(due - now, [this] {
        m_dropPlanned = false;
        dropExpired();
        planDrop();
    });
}

/** Removes a turn that this VM recorded and that nobody may continue from any more. */
void TurnArchive::dropExpired()
{
    if (m_health.unavailable() || m_expiries.empty() || m_clock.now() < m_expiries.begin()->first) {
        return;
    }
    const Expiry expiry = m_expiries.begin()->second;
    m_expiries.erase(m_expiries.begin());
    RowTransaction transaction;
    transaction.removals = turnRowNames(expiry.turn, expiry.rows);
    // Rows that stay, since this call fails, are swept later.
    m_store.transact(std::move(transaction), [](const TransactionResult &) {});
}

} // namespace boragepath
