#include "control/turn_archive.h"

#include "control/backoff.h"
#include "core/logging.h"

namespace boragepath {

namespace {

/** A turn is removed this much after its retention, to allow for clock differences between VMs. */
constexpr Milliseconds ExpiryMargin{8'000};
/**
 * A VM removes up to ten expired turns a second. This is more than it serves, and causes no burst
 * of writes at the store.
 */
constexpr Milliseconds PruneInterval{100};
/** Rows of one call: with their encoding well below the 1 MB that the store takes. */
constexpr std::size_t MaxRowsPerWrite = 12;
/** Below the 100 entries of a call. */
constexpr std::size_t MaxRemovalsPerCall = 90;

std::size_t textBytes(const ConversationSnapshotPtr &snapshot)
{
    return snapshot->text->size();
}

} // namespace

TurnArchive::TurnArchive(const Clock &clock, Timers &timers, RowStore &store, StoreHealth &health,
                         std::size_t maxCachedBytes, std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_health(health)
    , m_random(seed)
    , m_maxCachedBytes(maxCachedBytes)
{ }

void TurnArchive::find(const AttemptId &turn, SteadyTime deadline, FindCallback done)
{
    const auto cached = m_cache.find(turn);
    if (cached != m_cache.end()) {
        done(TurnLookup::Found, cached->second);
        return;
    }
    if (!isRowKeyText(turn.value())) {
        // Such an id can't be a row key, so no turn was recorded under it.
        done(TurnLookup::Absent, nullptr);
        return;
    }
    const auto search = std::make_shared<Search>();
    search->turn = turn;
    search->deadline = deadline;
    search->done = std::move(done);
    readRecord(turn, deadline, 0,
               [this, search](TurnLookup lookup, const std::optional<ArchivedTurn> &record) {
                   if (!record.has_value()) {
                       search->done(lookup, nullptr);
                       return;
                   }
                   search->record = *record;
                   readSegments(search);
               });
}

/** Reads one turn's record, and retries failed reads until the deadline. */
void TurnArchive::readRecord(
    const AttemptId &turn, SteadyTime deadline, int failures,
    std::function<void(TurnLookup, const std::optional<ArchivedTurn> &)> done)
{
    if (m_health.unavailable()) {
        done(TurnLookup::StoreUnavailable, std::nullopt);
        return;
    }
    m_store.read(
        turnRowRange(turn),
        [this, turn, deadline, failures, done = std::move(done)](const ReadResult &result) {
            if (result.answer == StoreAnswer::Done && result.rows.empty()) {
                done(TurnLookup::Absent, std::nullopt);
                return;
            }
            if (result.answer == StoreAnswer::Done) {
                const auto record = decodeTurnRecord(joinRows(turn, result.rows));
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
                readRecord(turn, deadline, failures + 1, done);
            });
        });
}

void TurnArchive::readSegments(const std::shared_ptr<Search> &search)
{
    const std::vector<SegmentRef> &segments = search->record.segments;
    std::size_t first = segments.size();
    // The cached text of a segment's turn includes all segments before it.
    while (first > 0 && !m_cache.contains(segments[first - 1].turn)) {
        first -= 1;
    }
    if (first > 0) {
        search->knownText = *m_cache.at(segments[first - 1].turn)->text;
    }
    search->missing = segments.size() - first;
    search->tails.resize(search->missing);
    if (search->missing == 0) {
        assemble(*search);
        return;
    }
    for (std::size_t index = first; index < segments.size(); ++index) {
        readRecord(segments[index].turn, search->deadline, 0,
                   [this, search, position = index - first](
                       TurnLookup lookup, const std::optional<ArchivedTurn> &record) {
                       onSegmentRead(search, position, lookup, record);
                   });
    }
}

void TurnArchive::onSegmentRead(const std::shared_ptr<Search> &search, std::size_t index,
                                TurnLookup lookup, const std::optional<ArchivedTurn> &record)
{
    if (search->finished) {
        return;
    }
    if (!record.has_value()) {
        search->finished = true;
        if (lookup == TurnLookup::Absent) {
            // An error: segments are kept longer than the turns that refer to them.
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
    std::string text = std::move(search.knownText);
    for (const std::string &tail : search.tails) {
        text += tail;
    }
    ConversationSnapshot snapshot;
    snapshot.segments = search.record.segments;
    snapshot.segmentedBytes = text.size();
    text += search.record.tail;
    if (isSegment(search.record)) {
        snapshot.segments.push_back(
            {search.turn, search.record.recordedAtMillis, search.record.keptUntilMillis});
        snapshot.segmentedBytes = text.size();
    }
    snapshot.text = std::make_shared<const std::string>(std::move(text));
    const auto sharedSnapshot = std::make_shared<const ConversationSnapshot>(std::move(snapshot));
    addToCache(search.turn, sharedSnapshot);
    search.done(TurnLookup::Found, sharedSnapshot);
}

void TurnArchive::record(const AttemptId &turn, const ConversationSnapshotPtr &previous,
                         std::string text, Duration turnRetention, std::function<void()> done)
{
    m_pending += 1;
    const PlannedTurn planned =
        planTurn(turn, previous, std::move(text), unixMillis(m_clock.wallNow()),
                 std::chrono::ceil<Milliseconds>(turnRetention));
    PendingRecord pendingRecord{turn,
                                encodeTurnRecord(planned.record),
                                planned.snapshot,
                                isSegment(planned.record),
                                turnRetention,
                                std::move(done)};
    pendingRecord.rowsLeft = turnRowCount(pendingRecord.text.size());
    write(std::make_shared<PendingRecord>(std::move(pendingRecord)));
}

void TurnArchive::write(const std::shared_ptr<PendingRecord> &pendingRecord)
{
    const std::size_t end = pendingRecord->rowsLeft;
    const std::size_t first = end > MaxRowsPerWrite ? end - MaxRowsPerWrite : 0;
    RowTransaction transaction;
    transaction.puts = turnRows(pendingRecord->turn, pendingRecord->text, first, end);
    m_store.transact(std::move(transaction),
                     [this, pendingRecord, first](const TransactionResult &result) {
                         onWritten(pendingRecord, first, result);
                     });
}

void TurnArchive::onWritten(const std::shared_ptr<PendingRecord> &pendingRecord,
                            std::size_t firstRow, const TransactionResult &result)
{
    if (result.answer != StoreAnswer::Done) {
        // The retry writes the same rows, so it does not matter whether this call took effect.
        const Duration pause = jitteredBackoff(pendingRecord->failures, m_random);
        pendingRecord->failures += 1;
        m_timers.after(pause, [this, pendingRecord] { write(pendingRecord); });
        return;
    }
    pendingRecord->failures = 0;
    pendingRecord->rowsLeft = firstRow;
    if (firstRow > 0) {
        write(pendingRecord);
        return;
    }
    m_pending -= 1;
    addToCache(pendingRecord->turn, pendingRecord->snapshot);
    scheduleExpiry(*pendingRecord);
    pendingRecord->done();
}

void TurnArchive::addToCache(const AttemptId &turn, const ConversationSnapshotPtr &snapshot)
{
    if (m_cache.contains(turn) || textBytes(snapshot) > m_maxCachedBytes) {
        return;
    }
    m_cacheOrder.push_back(turn);
    m_cache[turn] = snapshot;
    m_cachedBytes += textBytes(snapshot);
    while (m_cachedBytes > m_maxCachedBytes) {
        const auto oldest = m_cache.find(m_cacheOrder.front());
        m_cachedBytes -= textBytes(oldest->second);
        m_cache.erase(oldest);
        m_cacheOrder.pop_front();
    }
}

void TurnArchive::scheduleExpiry(const PendingRecord &pendingRecord)
{
    // A segment is kept at least until the time that its record names (planTurn()).
    const Duration reusePeriod = pendingRecord.isSegment ? SegmentReusePeriod : Milliseconds(0);
    const SteadyTime due = m_clock.now() + pendingRecord.turnRetention + reusePeriod + ExpiryMargin;
    m_expiries.emplace(due, Expiry{pendingRecord.turn, turnRowCount(pendingRecord.text.size())});
    schedulePrune();
}

void TurnArchive::schedulePrune()
{
    if (m_pruneScheduled || m_expiries.empty()) {
        return;
    }
    m_pruneScheduled = true;
    const SteadyTime now = m_clock.now();
    const SteadyTime due = std::max(m_expiries.begin()->first, now) + PruneInterval;
    m_timers.after(due - now, [this] {
        m_pruneScheduled = false;
        pruneExpiredTurn();
        schedulePrune();
    });
}

/** Removes the turn that expired first of those that this VM recorded, if any has expired. */
void TurnArchive::pruneExpiredTurn()
{
    if (m_health.unavailable() || m_expiries.empty() || m_clock.now() < m_expiries.begin()->first) {
        return;
    }
    const Expiry expiry = m_expiries.begin()->second;
    m_expiries.erase(m_expiries.begin());
    const std::vector<RowName> names = turnRowNames(expiry.turn, expiry.rows);
    for (std::size_t first = 0; first < names.size(); first += MaxRemovalsPerCall) {
        const std::size_t end = std::min(names.size(), first + MaxRemovalsPerCall);
        RowTransaction transaction;
        transaction.removals.assign(names.begin() + static_cast<std::ptrdiff_t>(first),
                                    names.begin() + static_cast<std::ptrdiff_t>(end));
        // If this call fails, the row sweeper removes the rows later.
        m_store.transact(std::move(transaction), [](const TransactionResult &) {});
    }
}

} // namespace boragepath
