#include "control/outage/lending_promises.h"

#include "core/hash.h"
#include "core/json_access.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace boragepath {

namespace json = boost::json;

namespace {

constexpr const char *PromiseTable = "lending-promises";
constexpr const char *PromiseKey = "all";
/**
 * Outlasts the time between two rounds, the loss of a VM, its start, and its first call to the
 * store. New programs that begin in this part of an outage wait for their second turns.
 */
constexpr Milliseconds PromiseTime{5'000};
/** The clocks of a lender and of the store run at slightly different rates. */
constexpr Milliseconds ClockMargin{20};
/** Two round trips between zones. */
constexpr Milliseconds CollectTime{150};

RowName promiseRow()
{
    return {PromiseTable, "", PromiseKey};
}

} // namespace

std::string encodePromises(const PromiseRecord &record)
{
    json::array list;
    for (const auto &[lender, until] : record) {
        list.push_back(lender);
        list.push_back(until.count());
    }
    return json::serialize(json::object{{"promises", list}});
}

std::optional<PromiseRecord> decodePromises(const std::string &text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::array &list = arrayAt(value.get_object(), "promises");
    const bool areNumbers =
        std::all_of(list.begin(), list.end(), [](const auto &item) { return item.is_int64(); });
    if (list.size() % 2 != 0 || !areNumbers) {
        return std::nullopt;
    }
    PromiseRecord record;
    for (std::size_t first = 0; first < list.size(); first += 2) {
        record[list[first].get_int64()] = Milliseconds(list[first + 1].get_int64());
    }
    return record;
}

LendingPromises::LendingPromises(const Clock &clock, Timers &timers, RowStore &store,
                                 const VmDirectory &vms, Send send,
                                 std::function<bool()> areLoansUnsettled)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_vms(vms)
    , m_send(std::move(send))
    , m_areLoansUnsettled(std::move(areLoansUnsettled))
    , m_self(incarnationName(vms.self()))
{ }

Duration LendingPromises::timeLeft() const
{
    const BootTime now = m_clock.bootNow();
    return m_promisedUntil.has_value() ? std::max<Duration>(*m_promisedUntil - now, Duration(0))
                                       : Duration(0);
}

bool LendingPromises::isPromised(const std::string &lender, Milliseconds time) const
{
    const auto found = m_record.find(fingerprintOf(lender));
    return found != m_record.end() && time <= found->second;
}

bool LendingPromises::isPromisedAt(const std::string &lender, SteadyTime time) const
{
    if (!m_readAt.has_value()) {
        return false;
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(*m_readAt - time);
    return isPromised(lender, m_storeTime - age);
}

void LendingPromises::read()
{
    read([] {});
}

void LendingPromises::read(std::function<void()> done)
{
    if (m_isReading) {
        return;
    }
    m_isReading = true;
    m_store.read({PromiseTable, "", "", ""}, [this, done](const ReadResult &result) {
        m_isReading = false;
        if (result.answer != StoreAnswer::Done || !result.storeTime.has_value()) {
            return;
        }
        m_record.clear();
        m_recordVersion = RowRevision(0);
        for (const StoreRow &row : result.rows) {
            if (row.name == promiseRow()) {
                m_record = decodePromises(row.value).value_or(PromiseRecord());
                m_recordVersion = row.version;
            }
        }
        m_readAt = m_clock.now();
        m_storeTime = *result.storeTime;
        done();
    });
}

void LendingPromises::collect(const std::set<std::string> &lenders)
{
    if (!m_isCollecting) {
        // The answer tells the time from which on the promises hold.
        read([this, lenders] { requestPromises(lenders); });
    }
}

void LendingPromises::requestPromises(const std::set<std::string> &lenders)
{
    m_isCollecting = true;
    m_round += 1;
    m_roundUntil = m_storeTime + PromiseTime - ClockMargin;
    m_collected.clear();
    for (const std::string &lender : lenders) {
        const auto known = m_record.find(fingerprintOf(lender));
        if (known != m_record.end()) {
            m_collected.insert(*known);
        }
        requestPromise(lender);
    }
    m_timers.after(CollectTime, [this] { write(); });
}

void LendingPromises::requestPromise(const std::string &lender)
{
    if (lender == m_self) {
        if (promise()) {
            m_collected[fingerprintOf(m_self)] = m_roundUntil;
        }
        return;
    }
    const std::optional<Endpoint> endpoint = m_vms.findLive(lender);
    if (!endpoint.has_value()) {
        return;
    }
    peers::LendingNote note;
    note.kind = peers::LendingNoteKind::PROMISE_REQUEST;
    note.lender = lender;
    note.sequence = m_round;
    m_send(*endpoint, note);
}

bool LendingPromises::promise()
{
    if (m_areLoansUnsettled()) {
        return false;
    }
    m_promisedUntil = m_clock.bootNow() + PromiseTime;
    return true;
}

void LendingPromises::receive(const Endpoint &from, const peers::LendingNote &note)
{
    if (note.kind == peers::LendingNoteKind::PROMISE_REQUEST) {
        if (note.lender == m_self && promise()) {
            peers::LendingNote answer = note;
            answer.kind = peers::LendingNoteKind::PROMISE;
            m_send(from, answer);
        }
        return;
    }
    if (m_isCollecting && note.sequence == m_round) {
        m_collected[fingerprintOf(note.lender)] = m_roundUntil;
    }
}

void LendingPromises::write()
{
    // Of two VMs that collect at once, one would drop what the other has kept.
    m_store.transact(
        {{{promiseRow(), m_recordVersion}}, {{promiseRow(), encodePromises(m_collected)}}, {}},
        [this](const TransactionResult &) { m_isCollecting = false; });
}

} // namespace boragepath
