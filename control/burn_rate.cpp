#include "control/burn_rate.h"

namespace boragepath {

namespace {

constexpr Seconds WriteInterval{5};
constexpr double DefaultObjectiveShare = 0.99;

std::int64_t bucketOf(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::minutes>(time.time_since_epoch())
        / BurnRateBucket;
}

} // namespace

BurnRateCounter::BurnRateCounter(VmId vm, const Clock &clock, CommitQueue &commits)
    : m_vm(std::move(vm))
    , m_clock(clock)
    , m_commits(commits)
{ }

void BurnRateCounter::count(const EntryName &entry, bool late, bool refused)
{
    const Key key{entry, bucketOf(m_clock.wallNow())};
    BurnRecord &record = m_records[key];
    record.entry = entry;
    record.bucket = key.second;
    record.programs += 1;
    record.late += late ? 1 : 0;
    record.refused += refused ? 1 : 0;
    m_changed.insert(key);
}

void BurnRateCounter::tick()
{
    const SteadyTime now = m_clock.now();
    if (m_changed.empty() || now < m_nextWrite) {
        return;
    }
    m_nextWrite = now + WriteInterval;
    for (const Key &key : std::exchange(m_changed, {})) {
        CommitItem item;
        item.writes.push_back(
            {keys::burn(key.first, key.second, m_vm, m_commits.fence()), encode(m_records[key])});
        item.done = [](const CommitResult &) {};
        m_commits.enqueue(std::move(item));
    }
    const std::int64_t current = bucketOf(m_clock.wallNow());
    std::erase_if(m_records, [&](const auto &item) { return item.first.second + 1 < current; });
}

void BurnRateCounter::reset()
{
    m_records.clear();
    m_changed.clear();
}

std::vector<EntryBurnRate> burnRates(const std::vector<BurnRecord> &records,
                                     const std::map<EntryName, double> &objectiveShares,
                                     WallTime now, std::chrono::minutes window)
{
    const std::int64_t newest = bucketOf(now);
    const std::int64_t oldest = newest - window / BurnRateBucket;
    std::map<EntryName, EntryBurnRate> lines;
    for (const BurnRecord &record : records) {
        if (record.bucket <= oldest || record.bucket > newest) {
            continue;
        }
        EntryBurnRate &line = lines[record.entry];
        line.entry = record.entry;
        line.programs += record.programs;
        line.missed += record.late + record.refused;
    }
    std::vector<EntryBurnRate> result;
    for (auto &[entry, line] : lines) {
        const auto share = objectiveShares.find(entry);
        const double allowed =
            1.0 - (share == objectiveShares.end() ? DefaultObjectiveShare : share->second);
        line.burn = line.programs == 0
            ? 0
            : static_cast<double>(line.missed) / static_cast<double>(line.programs) / allowed;
        result.push_back(line);
    }
    return result;
}

} // namespace boragepath
