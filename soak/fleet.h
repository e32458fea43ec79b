#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace boragepath::soak {

/** Settings of the daemon process that acts as one VM. */
struct VmConfig
{
    std::string name;
    /** Loopback address on which the process listens. */
    std::string address;
    /** Where the process reaches the store. */
    Endpoint store;
    /** Addresses of the VMs that it contacts to join. */
    std::vector<std::string> seeds;
    /** Further lines of its settings. */
    std::string settings;
};

/** What the soak does to the process of a VM. */
enum class VmEvent {
    Started,
    ToldToStop, ///< SIGTERM
    ToldToReload, ///< SIGHUP
    Killed,
    Paused,
    Continued,
};

/** The daemon processes of the soak. Signals only processes that it started, by process id. */
class Fleet
{
public:
    Fleet(std::string executable, std::string folder, std::vector<VmConfig> configs);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;
    /** Kills the processes that still run. */
    ~Fleet();

    std::size_t size() const { return m_vms.size(); }
    /** Starts the process of a VM unless it runs; throws std::runtime_error if it cannot. */
    void start(std::size_t vm);
    /** Sets a task to run right before a VM is started or gets a signal. */
    void onEvent(std::function<void(std::size_t vm, VmEvent event)> task)
    {
        m_onEvent = std::move(task);
    }
    /** Sends a signal to the process of a VM, if it runs. */
    void signal(std::size_t vm, int signalNumber);
    /** True if the process runs; reaps it if it has exited. */
    bool isRunning(std::size_t vm);
    /** Number of processes that exited without a signal from this class. */
    int unexpectedExits() const { return m_unexpectedExits; }

    Endpoint frontEndpoint(std::size_t vm) const;
    Endpoint directoryEndpoint(std::size_t vm) const;

private:
    struct Vm
    {
        VmConfig config;
        pid_t process = 0;
        bool terminationRequested = false;
        /** Only its first process may take it that no program has used a budget before. */
        bool hasStarted = false;
    };

    std::string settingsPath(const Vm &vm) const;
    void writeSettings(const Vm &vm) const;

    std::string m_executable;
    std::string m_folder;
    std::vector<Vm> m_vms;
    std::function<void(std::size_t vm, VmEvent event)> m_onEvent = [](std::size_t, VmEvent) {};
    int m_unexpectedExits = 0;
};

} // namespace boragepath::soak
