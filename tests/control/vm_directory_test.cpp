// Which VMs are live, and among how many VMs limits are divided.

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

class VmDirectoryTest : public testing::Test
{
protected:
    VmDirectoryTest()
        : vms(clock, vmEntry(0), 3)
    { }

    ManualClock clock;
    VmDirectory vms;
};

} // namespace

/**
 * All VMs are killed and restart at the same time, so none has heard of another yet.
 * If each divided limits only by the live VMs, together they would exceed the limits.
 */
TEST_F(VmDirectoryTest, LimitsAreSharedWithKnownVmsThatHaveNotBeenHeardOfYet)
{
    {
        SCOPED_TRACE("assumes many VMs until the rows have been read");
        EXPECT_GE(vms.vmCountForLimits(), 11U);
    }
    for (int number = 1; number <= 10; ++number) {
        vms.addFromStore(vmEntry(number));
    }
    vms.markRowsRead();
    EXPECT_EQ(vms.vmCountForLimits(), 11U);
    EXPECT_TRUE(vms.addressesFor(ZoneId()).empty());
    {
        SCOPED_TRACE("hearing of one VM makes it live and does not change the count");
        vms.receive(newsOf(vmEntry(3)));
        EXPECT_TRUE(vms.isLive(VmId("vm-3")));
        EXPECT_FALSE(vms.isLive(VmId("vm-4")));
        EXPECT_EQ(vms.vmCountForLimits(), 11U);
    }
}

TEST_F(VmDirectoryTest, ASilentVmWithoutARowIsForgotten)
{
    vms.markRowsRead();
    vms.receive(newsOf(vmEntry(1)));
    EXPECT_EQ(vms.vmCountForLimits(), 2U);
    clock.advance(Seconds(30));
    vms.gossipTargets();
    EXPECT_EQ(vms.vmCountForLimits(), 1U);
}

} // namespace boragepath
