#pragma once

#include "control/vm_directory.h"

#include <absl/strings/str_cat.h>

#include <cstddef>
#include <cstdint>

namespace boragepath {

/** Port of the first VM of a simulated fleet for datagrams; the others follow. */
inline constexpr std::size_t FirstPeersPort = 2'000;

/** The VM of that number in a simulated fleet. */
inline VmEntry fleetVm(std::size_t index)
{
    VmEntry entry;
    entry.vm = VmId(absl::StrCat("vm-", index));
    entry.front = {"10.0.0.1", static_cast<std::uint16_t>(1'000 + index)};
    entry.peers = {"10.0.0.1", static_cast<std::uint16_t>(FirstPeersPort + index)};
    entry.incarnation = 1;
    return entry;
}

/** Tells each VM of a simulated fleet about all others; @p vms are pointers to VMs. */
template <typename Vms> void exchangeVmNews(const Vms &vms)
{
    for (const auto &sender : vms) {
        const peers::VmNews news = sender->directory.ownNews();
        for (const auto &receiver : vms) {
            receiver->directory.receive(news);
        }
    }
}

} // namespace boragepath
