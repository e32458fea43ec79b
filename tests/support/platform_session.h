#pragma once

#include "backends/call_forwarder.h"
#include "control/call_scheduler.h"
#include "main/platform_daemon.h"
#include "platform/front_server.h"
#include "tests/support/memory_row_store.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// Complete calls over loopback in the platform's wire format: a caller, one VM, scripted
// replicas and a store in memory.

namespace boragepath::platform {

/** A replica's response: its bytes, and whether the connection is closed after them. */
struct ReplicaScript
{
    std::string answer;
    bool close = false;
    /** The replica's process ends after them: all its connections break, and nobody listens. */
    bool end = false;
    /** Time until the answer. */
    Milliseconds delay{0};
    /** With close: the connection is reset. */
    bool reset = false;
    /** Sent again and again after them, until the connection is closed. */
    std::string endless = "";
};

/** Bytes of answers that the VM may hold. */
inline constexpr std::size_t ReceiveLimit = 16UL * 1024 * 1024;

/** What a replica answers to a request. */
using ReplicaBehaviour =
    std::function<ReplicaScript(const std::string &head, const std::string &body)>;

/** Value of a header field of a request, or an empty text. */
std::string fieldOf(const std::string &head, const std::string &name);
/** Response to the request with @p head, marked as the replica's own. */
std::string sealedResponse(const std::string &head, const std::string &extra,
                           const std::string &body);
std::string completeResponse(const std::string &head, const std::string &body);
/** Head of a response that is a stream of events. */
std::string streamHead(const std::string &head);
std::string chunk(const std::string &data);
/** A stream's event of that id. */
std::string event(int id);
/** A POST request of a caller that waits for 1.5 s. */
std::string callRequest(const std::string &path, const std::string &id, const std::string &body,
                        const std::string &fields = "");

/** Answers requests as the test's behaviour function says and records the requests. */
class ScriptedReplica
{
public:
    ScriptedReplica(boost::asio::io_context &context, std::uint16_t port,
                    ReplicaBehaviour behaviour);

    std::vector<std::string> heads;
    std::vector<std::string> bodies;
    /** Connections that have been accepted. */
    int connections = 0;

    /** False once its process has ended. */
    bool isRunning() const { return m_acceptor.is_open(); }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    void end();

    boost::asio::ip::tcp::acceptor m_acceptor;
    ReplicaBehaviour m_behaviour;
    std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> m_sockets;
};

/** One VM on loopback with a store in memory, whose clock follows the system clock. */
class PlatformSession : public testing::Test
{
protected:
    PlatformSession();

    /** Puts the test's configuration in force. */
    void configure();
    /** Puts a version of it in force that has @p organisations, a JSON array. */
    void configureOrganisations(int version, const std::string &organisations);
    /** Starts a replica of the service "app" and registers it. */
    ScriptedReplica &addReplica(ReplicaBehaviour behaviour, const std::string &version = "v1",
                                std::int64_t slots = 4);
    /** Registers the scripted replicas as new ones of the same addresses, in place of those. */
    void renewReplicas();
    /** Sends bytes on a new connection and reads until @p until arrives or the VM closes it. */
    std::string exchange(const std::string &bytes, const std::string &until);
    /** Opens a connection of a caller. */
    std::shared_ptr<boost::asio::ip::tcp::socket> connectCaller();
    /** Sends bytes on a connection and reads until @p until arrives or the VM closes it. */
    std::string exchangeOn(boost::asio::ip::tcp::socket &socket, const std::string &bytes,
                           const std::string &until);
    /** Sends bytes on @p count new connections at the same time, and reads from each until the VM
     * closes it, without keeping what it reads. */
    void exchangeAtOnce(int count, const std::function<std::string(int)> &bytesOf);

private:
    void advanceStoreClock();
    boost::asio::awaitable<void> discardAnswer(std::string bytes);

protected:
    boost::asio::io_context m_context{1};
    SystemClock m_clock;
    ManualClock m_manualClock;
    ManualTimers m_manualTimers;
    MemoryRowStore m_store;
    AsioTimers m_timers;
    StoreHealth m_health;
    ReplicaTable m_replicas;
    ProgramLedger m_ledger;
    TurnArchive m_turns;
    VmDirectory m_vms;
    BudgetGrants m_grants;
    LedgerRelay m_relay;
    StreamOrigins m_streams;
    StreamOutputs m_outputs;
    ReplicaLimits m_limits;
    SendPermits m_permits;
    RequestQuarantine m_quarantine;
    ConfigurationLease m_lease;
    OrganisationQuotas m_quotas;
    CallScheduler m_scheduler;
    ForwardCounters m_counters;
    ReplicaConnectionPool m_replicaConnections;
    ReceiveBudget m_received{ReceiveLimit};
    CallForwarder m_forwarder;
    FrontServer m_front;
    std::vector<std::unique_ptr<ScriptedReplica>> m_scripted;
    /** Entries of the replicas, in the order in which they were added. */
    std::vector<ReplicaEntry> m_entries;
    bool m_done = false;
    /** Connections of exchangeAtOnce() that the VM has not closed yet. */
    int m_openExchanges = 0;
};

} // namespace boragepath::platform
