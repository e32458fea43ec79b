#include "control/quarantine_rows.h"

#include "core/logging.h"

#include <boost/json.hpp>

#include <algorithm>

namespace boragepath {

namespace json = boost::json;

const char *const QuarantineTable = "quarantine";

namespace {

constexpr Milliseconds MinRetryDelay{500};
constexpr Milliseconds MaxRetryDelay{1'500};
/** VMs that start at the same moment read at different times. */
constexpr Milliseconds MaxStartDelay{400};
constexpr Milliseconds FeedWait{1'900};
constexpr int MaxSaveTries = 60;
/** After the last crash, a row counts for this long. */
constexpr Milliseconds RowLifetime{3'600'000};

Milliseconds ageOf(std::int64_t wallMillis, WallTime now)
{
    return Milliseconds(std::clamp<std::int64_t>(unixMillis(now) - wallMillis, 0, INT32_MAX));
}

bool isExpired(const peers::RequestCrashNews &news)
{
    return std::all_of(news.crashes.begin(), news.crashes.end(), [](const auto &crash) {
        return Milliseconds(crash.ageMillis) >= RowLifetime;
    });
}

} // namespace

std::string encodeQuarantineRow(const peers::RequestCrashNews &news, WallTime now)
{
    json::array crashes;
    for (const peers::RequestCrash &crash : news.crashes) {
        crashes.push_back(json::object{{"replica", crash.replica},
                                       {"at", unixMillis(now) - crash.ageMillis},
                                       {"sent", unixMillis(now) - crash.sentAgeMillis},
                                       {"beginning", crash.atBeginning}});
    }
    return json::serialize(json::object{{"crashes", crashes}});
}

std::optional<peers::RequestCrashNews> decodeQuarantineRow(const StoreRow &row, WallTime now)
{
    const RequestFingerprint request = parseRequestFingerprint(row.name.key);
    boost::system::error_code error;
    const json::value value = json::parse(row.value, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *list = object == nullptr ? nullptr : object->if_contains("crashes");
    if (!request.isKnown() || list == nullptr || !list->is_array()) {
        return std::nullopt;
    }
    peers::RequestCrashNews news;
    news.high = static_cast<std::int64_t>(request.high);
    news.low = static_cast<std::int64_t>(request.low);
    for (const json::value &item : list->as_array()) {
        const json::object *fields = item.if_object();
        const auto number = [&](const char *name) -> std::optional<std::int64_t> {
            const json::value *field = fields == nullptr ? nullptr : fields->if_contains(name);
            return field != nullptr && field->is_int64() ? std::optional(field->as_int64())
                                                         : std::nullopt;
        };
        const json::value *beginning =
            fields == nullptr ? nullptr : fields->if_contains("beginning");
        const auto replica = number("replica");
        const auto at = number("at");
        if (!replica.has_value() || !at.has_value()) {
            return std::nullopt;
        }
        peers::RequestCrash crash;
        crash.replica = *replica;
        crash.ageMillis = static_cast<std::int32_t>(ageOf(*at, now).count());
        crash.sentAgeMillis =
            static_cast<std::int32_t>(ageOf(number("sent").value_or(*at), now).count());
        crash.atBeginning = beginning != nullptr && beginning->is_bool() && beginning->as_bool();
        news.crashes.push_back(crash);
    }
    return news;
}

QuarantineRows::QuarantineRows(const Clock &clock, Timers &timers, RowStore &store,
                               const VmDirectory &vms, RequestQuarantine &quarantine,
                               std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_vms(vms)
    , m_quarantine(quarantine)
    , m_random(seed)
{
    quarantine.onChange([this](const RequestFingerprint &request, bool) { handleChange(request); });
}

void QuarantineRows::start()
{
    std::uniform_int_distribution<std::int64_t> delay(0, MaxStartDelay.count());
    m_timers.after(Milliseconds(delay(m_random)), [this] { read(); });
}

Milliseconds QuarantineRows::retryDelay()
{
    std::uniform_int_distribution<std::int64_t> delay(MinRetryDelay.count(), MaxRetryDelay.count());
    return Milliseconds(delay(m_random));
}

void QuarantineRows::read()
{
    m_store.read({QuarantineTable, "", "", ""}, [this](const ReadResult &result) {
        if (result.answer != StoreAnswer::Done) {
            m_timers.after(retryDelay(), [this] { read(); });
            return;
        }
        apply(result.rows);
        m_revision = result.version;
        follow();
    });
}

void QuarantineRows::follow()
{
    m_store.feed({QuarantineTable, m_revision, FeedWait}, [this](const ReadResult &result) {
        if (result.answer == StoreAnswer::HistoryCompacted) {
            read();
            return;
        }
        if (result.answer != StoreAnswer::Done) {
            m_timers.after(retryDelay(), [this] { follow(); });
            return;
        }
        apply(result.rows);
        m_revision = std::max(m_revision, result.version);
        follow();
    });
}

void QuarantineRows::apply(const std::vector<StoreRow> &rows)
{
    for (const StoreRow &row : rows) {
        if (row.removed) {
            m_quarantine.release(parseRequestFingerprint(row.name.key));
            continue;
        }
        const auto news = decodeQuarantineRow(row, m_clock.wallNow());
        if (!news.has_value()) {
            LogLine("quarantine").add("row", row.name.key).add("outcome", "unreadable").error();
        } else if (isExpired(*news)) {
            m_store.transact({{{row.name, row.version}}, {}, {row.name}},
                             [](const TransactionResult &) {});
        } else {
            m_quarantine.receive({*news});
        }
    }
}

void QuarantineRows::handleChange(const RequestFingerprint &request)
{
    const bool coordinates = !m_vms.coordinatorFor(request.text()).has_value();
    if (coordinates || m_quarantine.hasOwnEvidence(request)) {
        save(request, MaxSaveTries);
    }
}

void QuarantineRows::save(const RequestFingerprint &request, int triesLeft)
{
    const RowName name{QuarantineTable, "", request.text()};
    RowTransaction transaction;
    if (m_quarantine.isQuarantined(request)) {
        transaction.puts = {
            {name, encodeQuarantineRow(m_quarantine.newsOf(request), m_clock.wallNow())}};
    } else {
        transaction.removals = {name};
    }
    m_store.transact(
        std::move(transaction), [this, request, triesLeft](const TransactionResult &result) {
            if (result.answer != StoreAnswer::Done && triesLeft > 0) {
                m_timers.after(retryDelay(),
                               [this, request, triesLeft] { save(request, triesLeft - 1); });
            }
        });
}

} // namespace boragepath
