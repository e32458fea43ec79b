#pragma once

namespace boragepath {

/**
 * Whether the platform's store answers this VM, as its calls have shown.
 *
 * Serves the load pattern of a store outage: work that needs the store is
 * refused at once instead of waiting for time limits.
 */
class StoreHealth
{
public:
    /** A call was answered; true if the store was away until now. */
    bool noteAnswer();
    /** A call was refused or not answered; true if the store counts as away from now on. */
    bool noteFailure();
    bool away() const { return m_away; }

private:
    int m_failuresInRow = 0;
    bool m_away = false;
};

} // namespace boragepath
