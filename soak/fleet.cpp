#include "soak/fleet.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <array>
#include <csignal>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

namespace boragepath::soak {

namespace {

constexpr std::uint16_t FrontPort = 8'149;
constexpr std::uint16_t ReadyPort = 8'141;
constexpr std::uint16_t ControlPort = 8'144;
constexpr std::uint16_t DirectoryPort = 8'143;
constexpr mode_t LogMode = 0644;

VmEvent eventOf(int signalNumber)
{
    switch (signalNumber) {
    case SIGTERM:
        return VmEvent::ToldToStop;
    case SIGHUP:
        return VmEvent::ToldToReload;
    case SIGSTOP:
        return VmEvent::Paused;
    case SIGCONT:
        return VmEvent::Continued;
    default:
        return VmEvent::Killed;
    }
}

} // namespace

Fleet::Fleet(std::string executable, std::string folder, std::vector<VmConfig> configs)
    : m_executable(std::move(executable))
    , m_folder(std::move(folder))
{
    for (VmConfig &config : configs) {
        m_vms.push_back({std::move(config), 0, false});
        writeSettings(m_vms.back());
    }
}

Fleet::~Fleet()
{
    for (Vm &vm : m_vms) {
        if (vm.process > 0) {
            kill(vm.process, SIGKILL);
            waitpid(vm.process, nullptr, 0);
        }
    }
}

std::string Fleet::settingsPath(const Vm &vm) const
{
    return absl::StrCat(m_folder, "/", vm.config.name, ".conf");
}

void Fleet::writeSettings(const Vm &vm) const
{
    const VmConfig &config = vm.config;
    std::vector<std::string> seeds;
    for (const std::string &seed : config.seeds) {
        seeds.push_back(absl::StrCat(seed, ":", ControlPort));
    }
    std::ofstream file(settingsPath(vm));
    file << "node=" << config.name << "\nip=" << config.address << "\nzone=z\nregion=r\n"
         << "listen.front=" << config.address << ":" << FrontPort << "\n"
         << "listen.ready=" << config.address << ":" << ReadyPort << "\n"
         << "listen.control=" << config.address << ":" << ControlPort << "\n"
         << "listen.directory=" << config.address << ":" << DirectoryPort << "\n"
         << "internalPorts=7380,7395\nseeds=" << absl::StrJoin(seeds, ",") << "\n"
         << "limits.memoryMb=140\nbounds.graceS=8\n"
         << "bootstrap=" << (vm.hasStarted ? "false" : "true") << "\n"
         << "platform.addr=" << config.store.text() << "\npeers.secret=soak\n"
         << config.settings;
}

Endpoint Fleet::frontEndpoint(std::size_t vm) const
{
    return {m_vms[vm].config.address, FrontPort};
}

Endpoint Fleet::directoryEndpoint(std::size_t vm) const
{
    return {m_vms[vm].config.address, DirectoryPort};
}

void Fleet::start(std::size_t index)
{
    if (isRunning(index)) {
        return;
    }
    m_onEvent(index, VmEvent::Started);
    Vm &vm = m_vms[index];
    writeSettings(vm);
    const std::string log = absl::StrCat(m_folder, "/", vm.config.name, ".log");
    posix_spawn_file_actions_t fileActions;
    posix_spawn_file_actions_init(&fileActions);
    posix_spawn_file_actions_addopen(&fileActions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, LogMode);
    posix_spawn_file_actions_adddup2(&fileActions, STDOUT_FILENO, STDERR_FILENO);
    // Inherited descriptors would keep the simulated services' sockets open in the daemons after
    // they are closed here.
    posix_spawn_file_actions_addclosefrom_np(&fileActions, STDERR_FILENO + 1);
    std::string settings = absl::StrCat("BORAGEPATH_SETTINGS=", settingsPath(vm));
    std::string executable = m_executable;
    std::array<char *, 2> arguments{executable.data(), nullptr};
    std::array<char *, 2> environment{settings.data(), nullptr};
    const int error = posix_spawn(&vm.process, m_executable.c_str(), &fileActions, nullptr,
                                  arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&fileActions);
    if (error != 0) {
        vm.process = 0;
        throw std::runtime_error(absl::StrCat("cannot start process ", m_executable));
    }
    vm.terminationRequested = false;
    vm.hasStarted = true;
}

void Fleet::signal(std::size_t index, int signalNumber)
{
    Vm &vm = m_vms[index];
    if (!isRunning(index)) {
        return;
    }
    vm.terminationRequested =
        vm.terminationRequested || signalNumber == SIGKILL || signalNumber == SIGTERM;
    m_onEvent(index, eventOf(signalNumber));
    kill(vm.process, signalNumber);
}

bool Fleet::isRunning(std::size_t index)
{
    Vm &vm = m_vms[index];
    if (vm.process == 0) {
        return false;
    }
    if (waitpid(vm.process, nullptr, WNOHANG) != vm.process) {
        return true;
    }
    vm.process = 0;
    m_unexpectedExits += vm.terminationRequested ? 0 : 1;
    return false;
}

} // namespace boragepath::soak
