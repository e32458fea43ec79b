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
     * Last moment at which a non-idempotent call may be sent: the end of the
     * lease that it was decided under. Idempotent calls ignore it.
     */
    SteadyTime sendBefore;
};

/** How a request to a backend server ended. */
struct BackendOutcome
{
    /** False only if no byte of the request can have reached the backend server. */
    bool sent = false;
    /** The whole answer arrived. */
    bool complete = false;
    /** Part of the answer has been passed on to the caller. */
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
    /** The result was recorded before; nothing of it has been streamed to this caller. */
    bool replayed = false;
    /** The number that the program's next call must have. */
    CallNumber nextCall;
};

/** What the control core can ask of its surroundings; nothing here answers at once. */
class Effects
{
public:
    virtual ~Effects() = default;

    /** Sends a transaction; Node::onTransaction() follows. */
    virtual void transact(std::uint64_t id, const Transaction &transaction) = 0;
    /** Reads rows; Node::onRange() follows. */
    virtual void read(std::uint64_t id, const RangeRequest &request) = 0;
    /** Sends a datagram; nothing follows. */
    virtual void sendDatagram(const Endpoint &to, const peers::Envelope &envelope) = 0;
    /** Sends a call to a backend server; Node::onBackendOutcome() follows. */
    virtual void dispatch(CallHandle handle, const BackendCall &call) = 0;
    /** Gives a caller its final answer. */
    virtual void answer(CallHandle handle, const CallAnswer &answer) = 0;
    /** Has the caller's connection pass the call on to another VM. */
    virtual void relay(CallHandle handle, const Endpoint &owner) = 0;
    /** Has a backend server drop what it holds of a program; Node::onReleased() follows. */
    virtual void releaseMemory(std::uint64_t id, const ReplicaSettings &replica,
                               const ProgramKey &program) = 0;
    /** Asks a backend server which programs it holds; Node::onHeldPrograms() follows. */
    virtual void queryHeldPrograms(std::uint64_t id, const ReplicaSettings &replica) = 0;
    /** Writes one structured line to the log. */
    virtual void log(std::string_view event, const std::string &detail) = 0;
};

} // namespace boragepath
