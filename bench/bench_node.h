#pragma once

#include "control/node.h"
#include "standin/table_store.h"
#include "tests/support/manual_clock.h"

#include <deque>
#include <functional>
#include <memory>

namespace boragepath {

/** Counters of the traffic of one node. */
struct Traffic
{
    std::int64_t peerBytes = 0;
    std::int64_t peerMessages = 0;
    std::int64_t tableBytes = 0;
    std::int64_t reads = 0;
    std::int64_t transactions = 0;
    std::int64_t rowWrites = 0;
    std::int64_t dispatches = 0;
    std::int64_t answers = 0;
};

/** Size of the simulated deployment around one node. */
struct BenchSize
{
    std::size_t members = 11;
    std::size_t replicas = 12;
    std::size_t entries = 10;
    /** Write limit of the store, in writes per second; high enough that no commit waits for it. */
    std::int64_t tableWritesPerSecond = 400;
};

/**
 * A single Node in a simulated deployment: the other members exist only as rows in the store and
 * as datagrams. This measures the costs of one node at any deployment size.
 */
class BenchNode final : public Effects
{
public:
    explicit BenchNode(const BenchSize &size);

    /** Advances the simulated time; probes of the other members arrive meanwhile. */
    void run(Duration duration);
    /** Submits a call of a program and advances the time until it is answered. */
    void call(const std::string &entry, const std::string &program, std::uint32_t number,
              std::size_t contentBytes);

    Node &node() { return *m_node; }
    ManualClock &clock() { return m_clock; }
    Traffic &traffic() { return m_traffic; }
    const Settings &settings() const { return m_settings; }
    /** Changes one catalogue entry in the store, as another VM would. */
    void writeChangedEntry(std::size_t index);
    /** Marks another member as gone in the store. */
    void markMemberGone(std::size_t index);
    /** Returns the name of a program whose shard this node owns. */
    std::string ownedProgram(const std::string &entry, int number) const;
    /** Completes all pending store operations, datagrams and backend calls. */
    void drain();

    void transact(std::uint64_t id, const Transaction &transaction) override;
    void read(std::uint64_t id, const RangeRequest &request) override;
    void sendDatagram(const Endpoint &to, const peers::Envelope &envelope) override;
    void dispatch(CallHandle handle, const BackendCall &call) override;
    void answer(CallHandle handle, const CallAnswer &answer) override;
    void relay(CallHandle handle, const Endpoint &owner) override;
    void releaseMemory(std::uint64_t id, const ReplicaSettings &replica,
                       const ProgramKey &program) override;
    void queryHeldPrograms(std::uint64_t id, const ReplicaSettings &replica) override;
    void log(std::string_view event, const std::string &detail) override;

private:
    void writeMember(std::size_t index, MemberState state);
    void writeShards();
    void receiveProbe();
    void receive(const peers::Envelope &envelope);

    BenchSize m_size;
    ManualClock m_clock;
    Settings m_settings;
    TableStore m_store;
    Traffic m_traffic;
    std::deque<std::function<void()>> m_pending;
    std::mt19937_64 m_random{1};
    std::unique_ptr<Node> m_node;
    SteadyTime m_nextProbe;
    std::uint64_t m_nextHandle = 1;
};

/** Returns the catalogue entry with this index in the simulated deployment. */
CatalogueEntry benchEntry(std::size_t index);

} // namespace boragepath
