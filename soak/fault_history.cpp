#include "soak/fault_history.h"

#include <algorithm>

namespace boragepath::soak {

namespace {

bool anyWithin(const std::vector<SteadyTime> &times, SteadyTime from, SteadyTime to)
{
    return std::any_of(times.begin(), times.end(),
                       [&](SteadyTime time) { return time >= from && time <= to; });
}

} // namespace

void Disruptions::begin(SteadyTime now)
{
    if (m_active == 0) {
        m_spans.push_back({now, std::nullopt});
    }
    m_active += 1;
}

void Disruptions::end(SteadyTime now)
{
    m_active -= 1;
    if (m_active == 0) {
        m_spans.back().to = now;
    }
}

bool Disruptions::overlap(SteadyTime from, SteadyTime to) const
{
    return std::any_of(m_spans.begin(), m_spans.end(), [&](const TimeSpan &span) {
        return span.from <= to && (!span.to.has_value() || *span.to >= from);
    });
}

void FaultHistory::recordKill(Vm &vm, SteadyTime now)
{
    vm.killed = true;
    const bool isPlanned = vm.stoppingSince.has_value() && now >= *vm.stoppingSince + StopGrace;
    if (!isPlanned && !vm.disruptions.isActive()) {
        vm.disruptions.begin(now);
    }
}

void FaultHistory::recordVm(const Endpoint &front, VmEvent event, SteadyTime now)
{
    Vm &vm = m_vms[front];
    if (vm.killed && event != VmEvent::Started) {
        return;
    }
    switch (event) {
    case VmEvent::Started:
        vm.starts.push_back(now);
        vm.stoppingSince.reset();
        vm.killed = false;
        if (vm.disruptions.isActive()) {
            vm.disruptions.end(now);
        }
        break;
    case VmEvent::ToldToStop:
        if (!vm.stoppingSince.has_value()) {
            vm.stops.push_back(now);
            vm.stoppingSince = now;
        }
        break;
    case VmEvent::ToldToReload:
        vm.reloads.push_back(now);
        break;
    case VmEvent::Killed:
        recordKill(vm, now);
        break;
    case VmEvent::Paused:
        if (!vm.disruptions.isActive()) {
            vm.disruptions.begin(now);
        }
        break;
    case VmEvent::Continued:
        if (vm.disruptions.isActive()) {
            vm.disruptions.end(now);
        }
        break;
    }
}

void FaultHistory::recordStore(const std::optional<Endpoint> &front, bool begins, SteadyTime now)
{
    Disruptions &disruptions = front.has_value() ? m_storeLinks[*front] : m_store;
    begins ? disruptions.begin(now) : disruptions.end(now);
}

void FaultHistory::recordReplicaStart(const std::string &replica, std::size_t site)
{
    m_siteOfReplica[replica] = site;
}

void FaultHistory::recordSite(std::size_t site, bool begins, SteadyTime now)
{
    begins ? m_sites[site].begin(now) : m_sites[site].end(now);
}

bool FaultHistory::isCalm(const Endpoint &front, SteadyTime from, SteadyTime to) const
{
    const auto vm = m_vms.find(front);
    const auto link = m_storeLinks.find(front);
    return !m_store.overlap(from, to)
        && (vm == m_vms.end() || !vm->second.disruptions.overlap(from, to))
        && (link == m_storeLinks.end() || !link->second.overlap(from, to));
}

bool FaultHistory::isReplicaCalm(const std::string &replica, SteadyTime from, SteadyTime to) const
{
    const auto site = m_siteOfReplica.find(replica);
    const auto disruptions =
        site == m_siteOfReplica.end() ? m_sites.end() : m_sites.find(site->second);
    return disruptions == m_sites.end() || !disruptions->second.overlap(from, to);
}

bool FaultHistory::isAllCalm(SteadyTime from, SteadyTime to) const
{
    const auto overlaps = [&](const auto &item) { return item.second.overlap(from, to); };
    return !m_store.overlap(from, to)
        && std::none_of(m_storeLinks.begin(), m_storeLinks.end(), overlaps)
        && std::none_of(m_sites.begin(), m_sites.end(), overlaps)
        && std::none_of(m_vms.begin(), m_vms.end(), [&](const auto &item) {
               return item.second.disruptions.overlap(from, to);
           });
}

bool FaultHistory::isInTouch(const Endpoint &front, SteadyTime from, SteadyTime to) const
{
    const auto vm = m_vms.find(front);
    if (vm == m_vms.end()) {
        return false;
    }
    return isCalm(front, from, to) && !anyWithin(vm->second.stops, from, to)
        && !anyWithin(vm->second.starts, from, to);
}

std::vector<SteadyTime> FaultHistory::stopsOf(const Endpoint &front) const
{
    const auto vm = m_vms.find(front);
    return vm == m_vms.end() ? std::vector<SteadyTime>() : vm->second.stops;
}

std::vector<SteadyTime> FaultHistory::reloadsOf(const Endpoint &front) const
{
    const auto vm = m_vms.find(front);
    return vm == m_vms.end() ? std::vector<SteadyTime>() : vm->second.reloads;
}

std::optional<SteadyTime> FaultHistory::backAfter(SteadyTime loss) const
{
    SteadyTime back = loss;
    for (const auto &[front, vm] : m_vms) {
        const auto start = std::upper_bound(vm.starts.begin(), vm.starts.end(), loss);
        if (start == vm.starts.end()) {
            return std::nullopt;
        }
        back = std::max(back, *start);
    }
    return back;
}

} // namespace boragepath::soak
