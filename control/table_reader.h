#pragma once

#include "control/effects.h"
#include "control/table_types.h"
#include "core/clock.h"

#include <functional>
#include <map>
#include <random>

namespace boragepath {

/** Reads rows of the table service and retries unanswered reads with jittered backoff. */
class TableReader
{
public:
    using Callback = std::function<void(const RangeOutcome &)>;

    TableReader(const Clock &clock, Effects &effects, std::uint64_t seed);

    /** Retries until the read is answered, then passes the rows to @p done. */
    void read(const RangeRequest &request, Callback done);
    /** Reads without a retry. The outcome passed to @p done may be unanswered. */
    void readOnce(const RangeRequest &request, Callback done);
    void onRange(std::uint64_t id, const RangeOutcome &outcome);
    /** Sends retries that are due. */
    void tick();
    /** Drops all reads without calling back, for a new incarnation. */
    void reset();
    /** Number of reads sent, retries included, for metrics. */
    std::uint64_t readsSent() const { return m_readsSent; }

private:
    struct Pending
    {
        RangeRequest request;
        Callback done;
        bool once = false;
        bool awaitingAnswer = false;
        int failures = 0;
        SteadyTime nextSend;
    };

    void send(std::uint64_t id, Pending &pending);

    const Clock &m_clock;
    Effects &m_effects;
    std::mt19937_64 m_random;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_readsSent = 0;
    std::map<std::uint64_t, Pending> m_pending;
};

} // namespace boragepath
