#pragma once

#include "control/commit_queue.h"
#include "control/effects.h"
#include "control/table_reader.h"
#include "core/clock.h"
#include "core/settings.h"

#include <functional>
#include <random>

namespace boragepath {

/** A new incarnation of this VM. */
struct Incarnation
{
    FenceNumber fence;
    RowRevision ownRow;
    std::uint64_t attempt = 0;
    SteadyTime joinSentAt;
    MemberRecord member;
};

/**
 * Makes this VM a member: takes a fence number and writes its rows.
 *
 * An earlier incarnation of the same VM, if there is one, is fenced by the
 * same transaction. A lost answer is settled by reading the row back.
 */
class Joiner
{
public:
    Joiner(const Settings &settings, const Clock &clock, Effects &effects, TableReader &reader,
           std::uint64_t seed, std::function<void(const Incarnation &)> joined);

    void start();
    void tick();
    /** Takes the answer to transaction @p id; false if it is not of this joiner. */
    bool onTransaction(std::uint64_t id, const TransactionOutcome &outcome);
    bool busy() const { return m_step != Step::Idle; }

private:
    enum class Step {
        Idle,
        Waiting, ///< Until the next try.
        Reading,
        Writing,
    };

    void read();
    void onRows(const RangeOutcome &own, const RangeOutcome &counter);
    void write(const std::optional<Row> &own, const std::optional<Row> &counter);
    void retry();

    const Settings &m_settings;
    const Clock &m_clock;
    Effects &m_effects;
    TableReader &m_reader;
    std::mt19937_64 m_random;
    std::function<void(const Incarnation &)> m_joined;
    Step m_step = Step::Idle;
    SteadyTime m_nextTry;
    std::uint64_t m_transactionId = FirstJoinTransactionId;
    /** The write whose outcome may be unknown. */
    Incarnation m_candidate;
};

} // namespace boragepath
