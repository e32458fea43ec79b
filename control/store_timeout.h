#pragma once

#include "core/clock.h"

namespace boragepath {

/**
 * Adaptive timeout after which a call to the store is repeated.
 *
 * Designed for a store that loses answers: a turn ends only when the store has
 * confirmed its record, so a lost answer must cost little more time than a call. The
 * timeout follows the latency of the answers, and doubles with each call that is not
 * answered, so that a store that has become slow gets enough time.
 */
class StoreTimeout
{
public:
    /** The current timeout. */
    Duration limit() const { return m_timeout; }
    /** A call was answered after @p latency. */
    void noteAnswer(Duration latency);
    /** A call was not answered within the timeout. */
    void noteTimeout();

private:
    Duration m_smoothedLatency{0};
    Duration m_timeout = InitialTimeout;

    /** Ordinary answers take 4 to 12 ms; the first calls also have to connect. */
    static constexpr Milliseconds InitialTimeout{500};
};

} // namespace boragepath
