#pragma once

#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "peers/gen/messages_types.h"

#include <functional>
#include <map>
#include <random>

namespace boragepath {

/**
 * Keeps a VM's directory up to date: registers the VM in the store, reads the rows of
 * the others and exchanges gossip with them.
 *
 * Designed for hundreds of VMs that all start at the same moment. The rows only tell
 * whom to contact first; each VM contacts a few others and learns of the rest through
 * gossip, so that the bytes that one VM sends grow with the number of VMs and not
 * with its square. Reads of the rows are spread over time, and a VM that restarts at
 * its old address finds its row and does not write it again.
 */
class VmMembership
{
public:
    /** Sends a datagram; it may be lost. */
    using Send = std::function<void(const Endpoint &to, const peers::Envelope &envelope)>;
    /** True while the store does not answer this VM directly. */
    using StoreUnavailable = std::function<bool()>;

    VmMembership(const Clock &clock, Timers &timers, RowStore &store, VmDirectory &vms, Send send,
                 StoreUnavailable storeUnavailable, std::vector<Endpoint> seedVms,
                 std::uint64_t seed);

    /** @p add adds what other components tell all VMs to the gossip of a round. */
    void addToGossip(std::function<void(peers::Envelope &)> add) { m_addToGossip = std::move(add); }
    /** Starts to exchange gossip, and registers this VM unless its row is there already. */
    void start();
    /** This VM is about to stop: tells other VMs and removes its row. */
    void leave();
    /** Handles the gossip in a datagram from another VM. */
    void receive(const peers::Envelope &envelope);

private:
    void readRows();
    bool hasOwnRow(const std::vector<StoreRow> &rows) const;
    void registerSelf();
    void applyRows(const std::vector<StoreRow> &rows);
    void removeRowIfGone(const StoreRow &row, const VmEntry &entry);
    void gossip();
    /** Sends gossip to a few live VMs, and asks a few silent ones for theirs. */
    void sendRound();
    RowName ownRowName() const;

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    VmDirectory &m_vms;
    Send m_send;
    StoreUnavailable m_storeUnavailable;
    std::function<void(peers::Envelope &)> m_addToGossip = [](peers::Envelope &) {};
    /** VMs to contact while no other VM is known to be live; they may be gone. */
    std::vector<Endpoint> m_seedVms;
    std::mt19937_64 m_random;
    /** VMs that have a row in the store but send no gossip, and since when. */
    std::map<VmId, SteadyTime> m_silentVms;
    bool m_leaving = false;
};

} // namespace boragepath
