#include "control/admission.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace boragepath {

namespace {

constexpr double MillisPerSecond = 1'000.0;
/** Seconds of its share that an entry may use at once. */
constexpr double BurstSeconds = 2.0;

Refusal notRun(Reason reason, std::string field, std::string message)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.field = std::move(field);
    refusal.message = std::move(message);
    return refusal;
}

} // namespace

Admission::Admission(const Settings &settings, const Clock &clock, const Catalogue &catalogue,
                     const Members &members)
    : m_settings(settings)
    , m_clock(clock)
    , m_catalogue(catalogue)
    , m_members(members)
{ }

std::optional<Refusal> Admission::checkKey(const EntryName &entry, const std::string &key) const
{
    const CatalogueEntry *found = m_catalogue.find(entry);
    const std::string salt = found == nullptr ? "" : found->keySalt;
    const std::string expected = found == nullptr ? "" : found->keyHash;
    const std::string actual = saltedKeyHash(salt, key);
    if (found == nullptr || !equalInConstantTime(actual, expected)) {
        return notRun(Reason::Unauthorized, "Authorization",
                      "the bearer key does not open this catalogue entry");
    }
    return std::nullopt;
}

std::optional<Refusal> Admission::checkEntry(const CatalogueEntry &entry,
                                             const PoolName &pool) const
{
    if (!entry.enabled) {
        return notRun(Reason::EntryDisabled, "Boragepath-Entry", "the entry is disabled");
    }
    const bool exists = std::any_of(m_settings.pools.begin(), m_settings.pools.end(),
                                    [&](const PoolSettings &known) { return known.name == pool; });
    if (!exists || !entry.pools.contains(pool)) {
        return notRun(Reason::UnknownPool, "model",
                      absl::StrCat("the entry may not call \"", pool.value(), "\""));
    }
    return std::nullopt;
}

std::optional<Refusal> Admission::checkRate(const CatalogueEntry &entry)
{
    const auto live = static_cast<double>(std::max<std::size_t>(1, m_members.liveCount()));
    const double share = entry.callsPerSecond / live;
    const double most = std::max(1.0, share * BurstSeconds);
    const SteadyTime now = m_clock.now();
    const auto [item, added] = m_buckets.try_emplace(entry.name, Bucket{most, now});
    Bucket &bucket = item->second;
    const double elapsed = static_cast<double>(toMillis(now - bucket.filledAt)) / MillisPerSecond;
    bucket.tokens = std::min(most, bucket.tokens + elapsed * share);
    bucket.filledAt = now;
    if (bucket.tokens >= 1.0) {
        bucket.tokens -= 1.0;
        return std::nullopt;
    }
    Refusal refusal = notRun(Reason::RateLimit, "calls_per_second",
                             absl::StrCat("calls_per_second is ", entry.callsPerSecond));
    refusal.retryAfter = Milliseconds(
        static_cast<std::int64_t>((1.0 - bucket.tokens) / share * MillisPerSecond) + 1);
    return refusal;
}

} // namespace boragepath
