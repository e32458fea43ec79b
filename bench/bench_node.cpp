#include "bench/bench_node.h"

#include "core/hash.h"
#include "peers/datagram_codec.h"
#include "platform/table_client.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace boragepath {

namespace {

constexpr Milliseconds TickInterval{10};
/** IPv4 and UDP headers of a datagram. */
constexpr std::int64_t DatagramHeaderBytes = 28;
/** HTTP, TCP and IP headers of a request and its response, acknowledgements included. */
constexpr std::int64_t HttpExchangeOverheadBytes = 520;
constexpr std::size_t MaxBatchSize = 8;
constexpr const char *Secret = "secret";

Settings benchSettings(const BenchSize &size)
{
    Settings settings;
    settings.vm = VmId("vm-0");
    settings.zone = ZoneId("zone-0");
    settings.callers = {"127.0.0.1", 7000};
    settings.peers = {"127.0.0.1", 8000};
    settings.peerSecret = Secret;
    settings.tableWritesPerSecond = size.tableWritesPerSecond;
    PoolSettings pool;
    pool.name = PoolName("model");
    pool.maxBatchSize = MaxBatchSize;
    for (std::size_t index = 0; index < size.replicas; ++index) {
        ReplicaSettings replica;
        replica.id = ReplicaId(absl::StrCat("model-", index));
        replica.endpoint = {"127.0.1.1", 9000};
        replica.zone = ZoneId(absl::StrCat("zone-", index % 10));
        pool.replicas.push_back(replica);
    }
    settings.pools.push_back(pool);
    return settings;
}

} // namespace

CatalogueEntry benchEntry(std::size_t index)
{
    CatalogueEntry entry;
    entry.name = EntryName(absl::StrCat("organisation-", index));
    entry.owner = "owner";
    entry.pools = {PoolName("model")};
    entry.budget = {1'000'000'000'000, 1'000'000'000'000};
    entry.callsPerSecond = 1e6;
    entry.tokensPerProgram = 1'000'000'000;
    entry.programsUnderWay = 1'000'000;
    entry.keySalt = "salt";
    entry.keyHash = saltedKeyHash("salt", "key");
    return entry;
}

BenchNode::BenchNode(const BenchSize &size)
    : m_size(size)
    , m_settings(benchSettings(size))
{
    for (std::size_t index = 1; index < size.members; ++index) {
        writeMember(index, MemberState::Live);
    }
    Transaction entries;
    for (std::size_t index = 0; index < size.entries; ++index) {
        const CatalogueEntry entry = benchEntry(index);
        entries.writes.push_back(
            {keys::entry(entry.name), boost::json::serialize(entryToJson(entry))});
    }
    entries.writes.push_back({keys::catalogueRevision(), "1"});
    m_store.apply(entries);
    m_node = std::make_unique<Node>(m_settings, m_clock, *this, 1);
    m_node->start();
    drain();
    writeShards();
    run(Seconds(5));
    m_traffic = {};
}

void BenchNode::writeMember(std::size_t index, MemberState state)
{
    MemberRecord member;
    member.vm = VmId(absl::StrCat("vm-", index));
    member.fence = FenceNumber(1'000 + index);
    member.state = state;
    member.zone = ZoneId(absl::StrCat("zone-", index % 10));
    member.callers = {"127.0.0.1", static_cast<std::uint16_t>(7000 + index)};
    member.peers = {"127.0.0.1", static_cast<std::uint16_t>(8000 + index)};
    Transaction transaction;
    transaction.writes.push_back({keys::member(member.vm), encode(member)});
    m_store.apply(transaction);
}

void BenchNode::writeShards()
{
    // Gives every shard to its preferred owner, so that no shard moves during a measurement.
    Members members(m_settings.vm, m_settings.shardCount);
    std::map<VmId, FenceNumber> fences;
    for (const auto &[key, row] : m_store.rows()) {
        const std::optional<MemberRecord> member =
            key.starts_with(keys::memberPrefix()) ? decodeMember(row.value) : std::nullopt;
        if (member.has_value()) {
            members.apply(*member, row.revision);
            fences[member->vm] = member->fence;
        }
    }
    Transaction transaction;
    for (std::uint32_t shard = 0; shard < m_settings.shardCount; ++shard) {
        const VmId &owner = members.preferredOwner(ShardIndex(shard));
        transaction.writes.push_back(
            {keys::shard(ShardIndex(shard)), encode(ShardRecord{owner, fences[owner], 1})});
    }
    m_store.apply(transaction);
}

void BenchNode::drain()
{
    while (!m_pending.empty()) {
        const auto callback = std::move(m_pending.front());
        m_pending.pop_front();
        callback();
    }
}

void BenchNode::run(Duration duration)
{
    const SteadyTime end = m_clock.now() + duration;
    while (m_clock.now() < end) {
        m_clock.advance(TickInterval);
        m_node->tick();
        drain();
        if (m_clock.now() >= m_nextProbe) {
            receiveProbe();
        }
    }
}

void BenchNode::receive(const peers::Envelope &envelope)
{
    const std::string datagram = encodeDatagram(envelope, Secret);
    m_traffic.peerBytes += static_cast<std::int64_t>(datagram.size()) + DatagramHeaderBytes;
    m_traffic.peerMessages += 1;
    const auto decoded = decodeDatagram(datagram, Secret);
    m_node->onDatagram(*decoded);
}

void BenchNode::receiveProbe()
{
    // All other members together probe this node as often as it probes them.
    const Duration interval = std::max<Duration>(
        m_settings.probeInterval, Milliseconds(3) * static_cast<int>(m_size.members - 1));
    m_nextProbe = m_clock.now() + interval;
    if (m_size.members < 2) {
        return;
    }
    const std::size_t index = 1 + m_random() % (m_size.members - 1);
    peers::Envelope envelope;
    envelope.vm = absl::StrCat("vm-", index);
    envelope.fence = static_cast<std::int64_t>(1'000 + index);
    peers::Probe probe;
    probe.sequence = 1'000'000;
    probe.catalogueRevision = 1;
    probe.catalogueAgeMillis = 1'000;
    for (int count = 0; count < 8; ++count) {
        peers::ReplicaLoad load;
        load.replica = absl::StrCat("model-", m_random() % m_size.replicas);
        load.running = static_cast<std::int32_t>(m_random() % MaxBatchSize);
        load.version = (static_cast<std::int64_t>(1'000 + index) << 24)
            + toMillis(m_clock.now().time_since_epoch());
        probe.loads.push_back(load);
    }
    envelope.__set_probe(probe);
    receive(envelope);
}

void BenchNode::writeChangedEntry(std::size_t index)
{
    CatalogueEntry entry = benchEntry(index);
    entry.callsPerProgram = static_cast<std::int64_t>(1 + m_random() % 1'000);
    Transaction transaction;
    transaction.writes.push_back(
        {keys::entry(entry.name), boost::json::serialize(entryToJson(entry))});
    m_store.apply(transaction);
}

void BenchNode::markMemberGone(std::size_t index)
{
    writeMember(index, MemberState::Gone);
}

std::string BenchNode::ownedProgram(const std::string &entry, int number) const
{
    for (int attempt = 0;; ++attempt) {
        const std::string name = absl::StrCat("program-", number, "-", attempt);
        const ProgramKey key{EntryName(entry), ProgramId(name)};
        if (m_node->owns(shardOf(key, m_settings.shardCount))) {
            return name;
        }
    }
}

void BenchNode::call(const std::string &entry, const std::string &program, std::uint32_t number,
                     std::size_t contentBytes)
{
    CallRequest request;
    request.handle = CallHandle(m_nextHandle++);
    request.program = {EntryName(entry), ProgramId(program)};
    request.number = CallNumber(number);
    request.pool = PoolName("model");
    request.content =
        absl::StrCat(R"({"role":"user","content":")", std::string(contentBytes, 'x'), "\"}");
    request.messageCount = 1;
    request.maxTokens = 10;
    request.bearerKey = "key";
    request.bodyHash = number;
    const std::int64_t before = m_traffic.answers;
    m_node->submit(std::move(request));
    while (m_traffic.answers == before) {
        drain();
        m_clock.advance(TickInterval);
        m_node->tick();
    }
    drain();
}

// --- Effects ---------------------------------------------------------------

void BenchNode::transact(std::uint64_t id, const Transaction &transaction)
{
    m_traffic.transactions += 1;
    m_traffic.rowWrites += static_cast<std::int64_t>(transaction.writes.size());
    m_traffic.tableBytes += static_cast<std::int64_t>(encodeTransaction(transaction).size())
        + HttpExchangeOverheadBytes;
    m_pending.push_back([this, id, transaction] {
        const TransactionOutcome outcome = m_store.apply(transaction);
        m_node->onTransaction(id, outcome);
    });
}

void BenchNode::read(std::uint64_t id, const RangeRequest &request)
{
    m_traffic.reads += 1;
    m_pending.push_back([this, id, request] {
        const RangeOutcome outcome = m_store.range(request);
        m_traffic.tableBytes +=
            static_cast<std::int64_t>(encodeRange(request).size()) + HttpExchangeOverheadBytes;
        for (const Row &row : outcome.rows) {
            // Base64 encodes three bytes as four.
            m_traffic.tableBytes +=
                static_cast<std::int64_t>(row.key.size() + row.value.size()) * 4 / 3 + 50;
        }
        m_node->onRange(id, outcome);
    });
}

void BenchNode::sendDatagram(const Endpoint &to, const peers::Envelope &envelope)
{
    m_traffic.peerBytes +=
        static_cast<std::int64_t>(encodeDatagram(envelope, Secret).size()) + DatagramHeaderBytes;
    m_traffic.peerMessages += 1;
    const std::size_t index = static_cast<std::size_t>(to.port) - 8000;
    peers::Envelope reply;
    reply.vm = absl::StrCat("vm-", index);
    reply.fence = static_cast<std::int64_t>(1'000 + index);
    if (envelope.__isset.probe && !envelope.probe.answer) {
        peers::Probe probe;
        probe.answer = true;
        probe.sequence = envelope.probe.sequence;
        probe.catalogueRevision = envelope.probe.catalogueRevision;
        probe.catalogueAgeMillis = 1'000;
        reply.__set_probe(probe);
    }
    for (const peers::PermitRequest &request : envelope.permitRequests) {
        peers::PermitAnswer answer;
        answer.permit = request.permit;
        answer.replica = request.replica;
        answer.outcome = peers::PermitOutcome::GRANTED;
        answer.running = 1;
        reply.permitAnswers.push_back(answer);
        reply.__isset.permitAnswers = true;
    }
    for (const peers::PermitRelease &release : envelope.permitReleases) {
        peers::PermitReleased released;
        released.permit = release.permit;
        released.replica = release.replica;
        reply.permitsReleased.push_back(released);
        reply.__isset.permitsReleased = true;
    }
    if (reply.__isset.probe || reply.__isset.permitAnswers || reply.__isset.permitsReleased) {
        m_pending.push_back([this, reply] { receive(reply); });
    }
}

void BenchNode::dispatch(CallHandle handle, const BackendCall &call)
{
    m_traffic.dispatches += 1;
    BackendOutcome outcome;
    outcome.sent = true;
    outcome.complete = true;
    outcome.status = 200;
    outcome.answer = "an answer of ten tokens or so, as text";
    outcome.finishReason = "stop";
    outcome.usage = {static_cast<std::int64_t>(call.body.size()) / 4, 0, 10};
    m_pending.push_back([this, handle, outcome] { m_node->onBackendOutcome(handle, outcome); });
}

void BenchNode::answer(CallHandle, const CallAnswer &)
{
    m_traffic.answers += 1;
}

void BenchNode::relay(CallHandle, const Endpoint &)
{
    m_traffic.answers += 1;
}

void BenchNode::releaseMemory(std::uint64_t id, const ReplicaSettings &, const ProgramKey &)
{
    m_pending.push_back([this, id] { m_node->onReleased(id, true); });
}

void BenchNode::queryHeldPrograms(std::uint64_t id, const ReplicaSettings &)
{
    m_pending.push_back([this, id] { m_node->onHeldPrograms(id, true, false, {}); });
}

void BenchNode::log(std::string_view, const std::string &)
{ }

} // namespace boragepath
