#pragma once

#include "control/quarantine_rows.h"
#include "control/request_quarantine.h"
#include "tests/support/memory_row_store.h"

#include <cstddef>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace boragepath {

/**
 * VMs that tell each other of requests under which replicas end, in simulated time. Each replica
 * to which such a request is sent ends after a while.
 */
class CrashFleet
{
public:
    CrashFleet(std::size_t vms, std::uint64_t seed);
    ~CrashFleet();

    /** A caller sends the request to a VM; it goes to a replica unless the VM refuses it. */
    bool sendCrashing(std::size_t vm, const RequestIdentity &request);
    /** The same, at a random VM. */
    bool sendCrashing(const RequestIdentity &request);
    /** A replica answers the request as complete. */
    void answer(std::size_t vm, const RequestIdentity &request);
    void run(Duration duration) { m_timers.run(duration); }

    /** The VM loses its memory. */
    void restart(std::size_t vm);
    /** VMs with a lower number than @p first no longer reach the others, but the store. */
    void cutAt(std::size_t first);
    void heal() { m_sideB.clear(); }

    /** Probability that a datagram is lost. */
    double lossRate = 0;
    StoreFaults &storeFaults() { return m_store.faults(); }
    const std::map<RowName, StoreRow> &rows() const { return m_store.rows(); }
    void removeRow(const RowName &row) { m_store.remove(row); }

    std::size_t size() const { return m_vms.size(); }
    /** Requests that were sent to replicas. */
    std::size_t sent() const { return m_sentAt.size(); }
    /** Those that were sent later than @p delay after the third replica had ended. */
    std::size_t sentAfterThirdCrash(Duration delay) const;

private:
    struct Vm;

    void start(std::size_t vm);
    void gossip(std::size_t vm);
    void send(std::size_t from, std::size_t to, const std::vector<peers::RequestCrashNews> &news);
    bool isConnected(std::size_t from, std::size_t to) const;

    ManualClock m_clock;
    ManualTimers m_timers{m_clock};
    MemoryRowStore m_store{m_timers, 1};
    std::mt19937_64 m_random;
    std::vector<std::shared_ptr<Vm>> m_vms;
    std::set<std::size_t> m_sideB;
    std::vector<SteadyTime> m_sentAt;
    std::vector<SteadyTime> m_crashedAt;
};

} // namespace boragepath
