// Which VMs live, and with how many limits are shared.

#include "control/vm_directory.h"
#include "tests/support/manual_clock.h"

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

namespace boragepath {

namespace {

VmEntry vmEntry(int number)
{
    VmEntry entry;
    entry.vm = VmId(absl::StrCat("vm-", number));
    entry.front = {"10.0.0.1", static_cast<std::uint16_t>(1'000 + number)};
    entry.peers = {"10.0.0.1", static_cast<std::uint16_t>(2'000 + number)};
    entry.incarnation = 1;
    return entry;
}

peers::VmNews newsOf(const VmEntry &entry)
{
    peers::VmNews news;
    news.vm = entry.vm.value();
    news.front = entry.front.text();
    news.peers = entry.peers.text();
    news.incarnation = entry.incarnation;
    return news;
}

class Directory : public testing::Test
{
protected:
    Directory()
        : vms(clock, vmEntry(0), 3)
    { }

    ManualClock clock;
    VmDirectory vms;
};

} // namespace

/** All VMs are killed and start together: none has heard of another one yet. */
TEST_F(Directory, AfterAHerdOfRestartsLimitsAreSharedWithThoseThatAreNotHeardOfYet)
{
    {
        SCOPED_TRACE("before anything is known, there may be many");
        EXPECT_GE(vms.sharingCount(), 11U);
    }
    for (int number = 1; number <= 10; ++number) {
        vms.addFromStore(vmEntry(number));
    }
    vms.markRowsRead();
    EXPECT_EQ(vms.sharingCount(), 11U);
    EXPECT_TRUE(vms.addressesFor(ZoneId()).empty());
    {
        SCOPED_TRACE("one of them is heard of");
        vms.receive(newsOf(vmEntry(3)));
        EXPECT_TRUE(vms.isLive(VmId("vm-3")));
        EXPECT_FALSE(vms.isLive(VmId("vm-4")));
        EXPECT_EQ(vms.sharingCount(), 11U);
    }
}

TEST_F(Directory, AVmWithoutARowCountsNoMoreSomeTimeAfterItFellSilent)
{
    vms.markRowsRead();
    vms.receive(newsOf(vmEntry(1)));
    EXPECT_EQ(vms.sharingCount(), 2U);
    clock.advance(Seconds(30));
    vms.gossipTargets();
    EXPECT_EQ(vms.sharingCount(), 1U);
}

} // namespace boragepath
