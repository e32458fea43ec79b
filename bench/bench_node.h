#pragma once

#include "control/node.h"
#include "standin/table_store.h"
#include "tests/support/manual_clock.h"

#include <deque>
#include <functional>
#include <memory>

namespace boragepath {

/** Bytes and messages that one node has exchanged. */
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

/** The size of a deployment around one node. */
struct BenchSize
{
    std::size_t members = 11;
    std::size_t replicas = 12;
    std::size_t entries = 10;
    /** Writes a second of the table service; so many that no commit waits for its turn. */
    std::int64_t tableWritesPerSecond = 400;
};

/**
 * One control core in a deployment that exists only as rows and datagrams:
 * enough to measure what its own part costs at any size.
 */
class BenchNode final : public Effects
{
public:
    explicit BenchNode(const BenchSize &size);

    /** Lets simulated time pass, with the other members' probes coming in. */
    void run(Duration duration);
    /** Runs one call of a program to its end, with all its messages. */
    void call(const std::string &entry, const std::string &program, std::uint32_t number,
              std::size_t contentBytes);

    Node &node() { return *m_node; }
    ManualClock &clock() { return m_clock; }
    Traffic &traffic() { return m_traffic; }
    const Settings &settings() const { return m_settings; }
    /** Writes a change of one entry, as another VM would. */
    void changeEntry(std::size_t index);
    /** Marks another member as gone. */
    void loseMember(std::size_t index);
    /** A program name whose shard this node owns. */
    std::string ownedProgram(const std::string &entry, int number) const;
    /** Answers everything that is under way. */
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
    void putMember(std::size_t index, MemberState state);
    void putShards();
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

/** The entry with this index in a bench deployment. */
CatalogueEntry benchEntry(std::size_t index);

} // namespace boragepath
