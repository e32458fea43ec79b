#pragma once

#include "tests/support/simulated_cluster.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace boragepath {

/** Time until all VMs have joined. */
inline constexpr Seconds StartupTime{8};
/** Time until the programs of a test have ended. */
inline constexpr Seconds ScriptTimeout{120};

/** Three VMs with one catalogue entry in force. */
class FailureTest : public testing::Test
{
protected:
    explicit FailureTest(std::size_t vms = 3, Safeguards safeguards = {})
        : m_cluster(11, vms, safeguards)
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            m_cluster.start(vm);
        }
        m_cluster.run(StartupTime);
        m_cluster.putEntry(m_cluster.makeEntry("entry"));
        m_cluster.run(Seconds(2));
    }

    static Script makeScript(std::vector<ScriptCall> calls)
    {
        Script script;
        script.calls = std::move(calls);
        return script;
    }

    static ScriptCall modelCall(Milliseconds pause = Milliseconds(0))
    {
        ScriptCall call;
        call.pause = pause;
        return call;
    }

    static ScriptCall nonIdempotentCall(Milliseconds pause = Milliseconds(0))
    {
        ScriptCall call;
        call.nonIdempotent = true;
        call.pause = pause;
        return call;
    }

    bool runAllScripts()
    {
        return m_cluster.runUntil([this] { return m_cluster.allScriptsEnded(); }, ScriptTimeout);
    }

    const ScriptResult &result() { return m_cluster.results().at("entry/program"); }
    std::size_t owner() { return m_cluster.ownerOf("entry", "program"); }
    std::size_t otherVm() { return (owner() + 1) % 3; }

    void expectNoViolations()
    {
        EXPECT_TRUE(m_cluster.violations().empty()) << m_cluster.violations().front();
    }

    SimulatedCluster m_cluster;
};

} // namespace boragepath
