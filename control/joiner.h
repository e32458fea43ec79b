#pragma once

#include "control/commit_queue.h"
#include "control/effects.h"
#include "control/table_reader.h"
#include "core/clock.h"
#include "core/settings.h"

#include <functional>
#include <random>

namespace boragepath {

/** One membership of this VM, from joining until it leaves or is fenced. */
struct Incarnation
{
    FenceNumber fence;
    /** Revision of the VM's own row as the join wrote it. */
    RowRevision ownRow;
    /** Attempt number that the join wrote to that row. */
    std::uint64_t attempt = 0;
    SteadyTime joinSentAt;
    MemberRecord member;
};

/**
 * Makes this VM a member of the deployment: obtains a fence number and writes the VM's rows.
 *
 * The same transaction fences an earlier incarnation of the VM, if there is one. If the answer to
 * the transaction is lost, the row is read back to find out whether it committed.
 */
class Joiner
{
public:
    Joiner(const Settings &settings, const Clock &clock, Effects &effects, TableReader &reader,
           std::uint64_t seed, std::function<void(const Incarnation &)> onJoined);

    void start();
    void tick();
    /** Handles the answer to transaction @p id. False if another component sent it. */
    bool onTransaction(std::uint64_t id, const TransactionOutcome &outcome);
    bool inProgress() const { return m_state != State::Idle; }

private:
    enum class State {
        Idle,
        Waiting, ///< For the next attempt.
        Reading,
        Writing,
    };

    void read();
    /** Finishes the join if the last write had committed, and writes otherwise. */
    void onRows(const RangeOutcome &own, const RangeOutcome &counter);
    void write(const std::optional<Row> &own, const std::optional<Row> &counter);
    void retry();

    const Settings &m_settings;
    const Clock &m_clock;
    Effects &m_effects;
    TableReader &m_reader;
    std::mt19937_64 m_random;
    std::function<void(const Incarnation &)> m_onJoined;
    State m_state = State::Idle;
    SteadyTime m_nextTry;
    std::uint64_t m_transactionId = FirstJoinTransactionId;
    /** The incarnation last written; whether that write committed may be unknown. */
    Incarnation m_candidate;
};

} // namespace boragepath
