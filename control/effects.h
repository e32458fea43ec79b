#pragma once

#include "control/records.h"
#include "control/table_types.h"
#include "core/ids.h"
#include "core/settings.h"
#include "core/verdict.h"
#include "peers/gen/messages_types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace boragepath {

/** One request to a backend server. */
struct BackendCall
{
    ProgramKey program;
    CallNumber number;
    ReplicaSettings replica;
    PoolName pool;
    bool isService = false;
    bool idempotent = true;
    /** HTTP path at the backend server. */
    std::string path;
    std::string body;
    std::string idempotencyKey;
    FenceNumber fence;
    Milliseconds responseIdleTimeout{0};
    /**
     * A non-idempotent call must not be sent after this time, which is the end of the lease under
     * which this VM decided to send it. Ignored for idempotent calls.
     */
    SteadyTime sendBefore;
};

/** How a request to a backend server ended. */
struct BackendOutcome
{
    /** True unless it is certain that no byte of the request reached the backend server. */
    bool sent = false;
    /** The answer arrived completely. */
    bool complete = false;
    /** At least part of the answer was already passed on to the caller. */
    bool forwarded = false;
    unsigned status = 0;
    std::string answer;
    std::string finishReason;
    Usage usage;
    std::string error;
};

/** The final answer to a call. */
struct CallAnswer
{
    /** Set if the call ended without a result. */
    std::optional<Refusal> refusal;
    /** The result, if there is no refusal. */
    TurnRecord turn;
    /** The result was recorded earlier, and none of it was streamed to this caller. */
    bool replayed = false;
    /** The number that the program's next call must have. */
    CallNumber nextCall;
};

/** I/O that the control core requests. Results arrive later through the functions of Node. */
class Effects
{
public:
    virtual ~Effects() = default;

    /** Sends a transaction; Node::onTransaction() follows. */
    virtual void transact(std::uint64_t id, const Transaction &transaction) = 0;
    /** Reads rows; Node::onRange() follows. */
    virtual void read(std::uint64_t id, const RangeRequest &request) = 0;
    /** Sends a datagram to another VM. There is no result. */
    virtual void sendDatagram(const Endpoint &to, const peers::Envelope &envelope) = 0;
    /** Sends a call to a backend server; Node::onBackendOutcome() follows. */
    virtual void dispatch(CallHandle handle, const BackendCall &call) = 0;
    /** Sends a caller its final answer. */
    virtual void answer(CallHandle handle, const CallAnswer &answer) = 0;
    /** Makes the caller's connection relay the call to another VM. */
    virtual void relay(CallHandle handle, const Endpoint &owner) = 0;
    /** Asks a backend server to free the memory of a program; Node::onReleased() follows. */
    virtual void releaseMemory(std::uint64_t id, const ReplicaSettings &replica,
                               const ProgramKey &program) = 0;
    /** Asks a backend server which programs it holds in memory; Node::onHeldPrograms() follows. */
    virtual void queryHeldPrograms(std::uint64_t id, const ReplicaSettings &replica) = 0;
    /** Writes one structured line to the log. */
    virtual void log(std::string_view event, const std::string &detail) = 0;
};

} // namespace boragepath
