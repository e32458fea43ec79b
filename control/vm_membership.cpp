#include "control/vm_membership.h"

#include "core/json_access.h"

#include <algorithm>
#include <optional>

namespace boragepath {

namespace json = boost::json;

namespace {

constexpr const char *VmTable = "vms";
/** Apart from the partition of the registry, where the replicas' heartbeats use most of the few
 * writes that a partition takes in a second. */
constexpr const char *VmPartition = "vms";
/** Rounds of different VMs must not fall together: news then travels one VM further per round. */
constexpr Milliseconds MinGossipInterval{200};
constexpr Milliseconds MaxGossipInterval{400};
/** Gossip tells of new VMs much sooner; the rows only join groups that have lost each other. */
constexpr Milliseconds MinReadInterval{10'000};
constexpr Milliseconds MaxReadInterval{20'000};
/** After this VM has written its row, the rows are read again to see whether the write took
 * effect. In between, hundreds of VMs that start at once can have written theirs. */
constexpr Milliseconds MinCheckInterval{1'500};
constexpr Milliseconds MaxCheckInterval{3'000};
constexpr Milliseconds MinStoreRetryDelay{300};
constexpr Milliseconds MaxStoreRetryDelay{700};
/** The row of a VM that is silent for this long is removed; a restarted VM sends gossip much
 * sooner. */
constexpr Milliseconds SilentVmTimeout{120'000};

std::string encodeVm(const VmEntry &entry)
{
    return json::serialize(json::object{{"front", entry.front.text()},
                                        {"peers", entry.peers.text()},
                                        {"zone", entry.zone.value()},
                                        {"incarnation", entry.incarnation}});
}

std::optional<VmEntry> decodeVm(const StoreRow &row)
{
    json::error_code error;
    const json::value value = json::parse(row.value, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::object &object = value.get_object();
    const auto front = parseEndpoint(stringAt(object, "front"));
    const auto peers = parseEndpoint(stringAt(object, "peers"));
    if (!front.ok() || !peers.ok()) {
        return std::nullopt;
    }
    VmEntry entry;
    entry.vm = VmId(row.name.key);
    entry.front = *front;
    entry.peers = *peers;
    entry.zone = ZoneId(stringAt(object, "zone"));
    entry.incarnation = integerAt(object, "incarnation");
    return entry;
}

Milliseconds randomDelay(Milliseconds shortest, Milliseconds longest, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::int64_t> delay(shortest.count(), longest.count());
    return Milliseconds(delay(random));
}

} // namespace

VmMembership::VmMembership(const Clock &clock, Timers &timers, RowStore &store, VmDirectory &vms,
                           Send send, StoreUnavailable storeUnavailable,
                           std::vector<Endpoint> seedVms, std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_vms(vms)
    , m_send(std::move(send))
    , m_storeUnavailable(std::move(storeUnavailable))
    , m_seedVms(std::move(seedVms))
    , m_random(seed)
{ }

void VmMembership::start()
{
    readRows();
    gossip();
}

void VmMembership::leave()
{
    m_leaving = true;
    m_vms.markLeaving();
    sendRound();
    m_store.transact({{}, {}, {ownRowName()}}, [](const TransactionResult &) {});
}

RowName VmMembership::ownRowName() const
{
    return {VmTable, VmPartition, m_vms.self().vm.value()};
}

void VmMembership::readRows()
{
    m_store.read({VmTable, VmPartition, "", ""}, [this](const ReadResult &result) {
        Milliseconds pause = randomDelay(MinStoreRetryDelay, MaxStoreRetryDelay, m_random);
        if (result.answer == StoreAnswer::Done) {
            applyRows(result.rows);
            const bool registered = m_leaving || hasOwnRow(result.rows);
            if (!registered) {
                registerSelf();
            }
            pause = registered ? randomDelay(MinReadInterval, MaxReadInterval, m_random)
                               : randomDelay(MinCheckInterval, MaxCheckInterval, m_random);
        }
        m_timers.after(pause, [this] { readRows(); });
    });
}

/**
 * True if the row of this VM names its addresses. It may be of an earlier incarnation:
 * gossip tells of the current one.
 */
bool VmMembership::hasOwnRow(const std::vector<StoreRow> &rows) const
{
    const VmEntry &self = m_vms.self();
    return std::any_of(rows.begin(), rows.end(), [&](const StoreRow &row) {
        const auto entry = decodeVm(row);
        return entry.has_value() && entry->vm == self.vm && entry->front == self.front
            && entry->peers == self.peers && entry->zone == self.zone;
    });
}

/** Writes the row of this VM, once; whether that took effect shows when the rows are read. */
void VmMembership::registerSelf()
{
    m_store.transact({{}, {{ownRowName(), encodeVm(m_vms.self())}}, {}},
                     [](const TransactionResult &) {});
}

void VmMembership::applyRows(const std::vector<StoreRow> &rows)
{
    for (const StoreRow &row : rows) {
        const auto entry = decodeVm(row);
        if (entry.has_value() && entry->vm != m_vms.self().vm) {
            m_vms.addFromStore(*entry);
            removeRowIfGone(row, *entry);
        }
    }
    m_vms.markRowsRead();
}

/** Removes the row of a VM that has been silent for SilentVmTimeout, after which it is not expected
 * to come back. */
void VmMembership::removeRowIfGone(const StoreRow &row, const VmEntry &entry)
{
    if (m_vms.isLive(entry.vm)) {
        m_silentVms.erase(entry.vm);
        return;
    }
    const SteadyTime silentSince = m_silentVms.try_emplace(entry.vm, m_clock.now()).first->second;
    if (m_clock.now() >= silentSince + SilentVmTimeout) {
        m_silentVms.erase(entry.vm);
        m_store.transact({{{row.name, row.version}}, {}, {row.name}},
                         [](const TransactionResult &) {});
    }
}

void VmMembership::gossip()
{
    sendRound();
    m_timers.after(randomDelay(MinGossipInterval, MaxGossipInterval, m_random),
                   [this] { gossip(); });
}

void VmMembership::sendRound()
{
    m_vms.setStoreUnavailable(m_storeUnavailable());
    const GossipTargets targets = m_vms.gossipTargets();
    const VmGossipContent content = m_vms.gossip();
    peers::Envelope envelope;
    envelope.__set_vmNews(content.news);
    envelope.__set_vmHeartbeats(content.heartbeats);
    if (!targets.live.empty()) {
        m_addToGossip(envelope);
    }
    for (const Endpoint &to : targets.live) {
        m_send(to, envelope);
    }
    peers::Envelope question;
    question.__set_vmNews({m_vms.ownNews()});
    question.__set_wantsNews(true);
    for (const Endpoint &to : targets.silent) {
        m_send(to, question);
    }
    if (targets.live.empty()) {
        for (const Endpoint &to : m_seedVms) {
            m_send(to, question);
        }
    }
}

void VmMembership::receive(const peers::Envelope &envelope)
{
    for (const peers::VmNews &news : envelope.vmNews) {
        m_vms.receive(news);
    }
    const std::vector<std::int64_t> unknown = m_vms.receive(envelope.vmHeartbeats);
    const auto sender = parseEndpoint(envelope.replyTo);
    if (!sender.ok()) {
        return;
    }
    peers::Envelope reply;
    if (!unknown.empty()) {
        reply.__set_unknownVms(unknown);
    }
    if (envelope.wantsNews) {
        const VmGossipContent content = m_vms.gossip();
        reply.__set_vmNews(content.news);
        reply.__set_vmHeartbeats(content.heartbeats);
    } else if (!envelope.unknownVms.empty()) {
        reply.__set_vmNews(m_vms.newsOf(envelope.unknownVms));
    }
    if (reply.__isset.unknownVms || reply.__isset.vmNews) {
        m_send(*sender, reply);
    }
}

} // namespace boragepath
