#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace boragepath::soak {

/** Where the processes of one VM listen, and what they are told. */
struct VmPlace
{
    std::string name;
    std::string address;
    /** The way to the store. */
    Endpoint store;
    std::vector<std::string> seeds;
};

/** The daemon processes of the soak; ends only those that it started, by their ids. */
class Fleet
{
public:
    Fleet(std::string program, std::string folder, std::vector<VmPlace> places);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;
    /** Kills what still runs. */
    ~Fleet();

    std::size_t size() const { return m_vms.size(); }
    /** Starts the process of a VM unless it runs. */
    void start(std::size_t vm);
    /** Sends a signal to the process of a VM, if it runs. */
    void signal(std::size_t vm, int number);
    /** True if the process lives; notices ends. */
    bool runs(std::size_t vm);
    /** Ends that no signal of ours explains. */
    int ownEnds() const { return m_ownEnds; }

    Endpoint front(std::size_t vm) const;
    Endpoint directory(std::size_t vm) const;

private:
    struct Vm
    {
        VmPlace place;
        pid_t process = 0;
        bool toldToEnd = false;
    };

    std::string settingsPath(const Vm &vm) const;
    void writeSettings(const Vm &vm) const;

    std::string m_program;
    std::string m_folder;
    std::vector<Vm> m_vms;
    int m_ownEnds = 0;
};

} // namespace boragepath::soak
