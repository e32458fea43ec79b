#pragma once

#include "core/clock.h"

namespace boragepath {

/**
 * How long to wait for an answer of the store before the call is made again.
 *
 * Serves the load pattern of a store that loses answers: turns end when their
 * record is confirmed, so a lost answer must cost little more than a call. The
 * limit follows the answers, and doubles while there are none, so that a store
 * that has become slow is given the time that it needs.
 */
class StoreTimeout
{
public:
    Duration limit() const { return m_limit; }
    void noteAnswer(Duration latency);
    void noteTimeout();

private:
    Duration m_latency{0};
    Duration m_limit = FirstLimit;

    /** Half a second: an ordinary answer takes 4 to 12 ms, and the first calls connect. */
    static constexpr Milliseconds FirstLimit{500};
};

} // namespace boragepath
