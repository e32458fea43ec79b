#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace boragepath {

/** The VMs that a lender tells of its lending. Stored as one row for each lender. */
struct WitnessList
{
    /** Grows with each change of the list. */
    std::int64_t revision = 0;
    /** Names of incarnations of VMs. */
    std::vector<std::string> witnesses;

    friend bool operator==(const WitnessList &, const WitnessList &) = default;
};

std::string encodeWitnessList(const WitnessList &list);
/** None if @p text is not a valid list. */
std::optional<WitnessList> decodeWitnessList(const std::string &text);

/** Most witnesses of one lender. */
inline constexpr std::size_t MaxWitnesses = 5;

/**
 * The witnesses of a lender: VMs of its zone, so that it may lend while the zone is cut off; VMs of
 * others only if it has too few.
 */
std::vector<std::string> chooseWitnesses(std::vector<std::string> ownZone,
                                         std::vector<std::string> otherZones,
                                         std::mt19937_64 &random);

/**
 * Witnesses that must say that a lender has lent nothing, of @p count. A lender lends only if so
 * many have acknowledged it that at least one of any such group knows.
 */
constexpr std::size_t testimoniesNeeded(std::size_t count)
{
    return count < 2 ? count : 2;
}

/** Witnesses that must have acknowledged a notice, of @p count. */
constexpr std::size_t acknowledgementsNeeded(std::size_t count)
{
    return count == 0 ? 0 : count - testimoniesNeeded(count) + 1;
}

/**
 * What this VM remembers as a witness of lenders.
 *
 * What it remembers is in its memory alone: after a restart it is another incarnation, which no
 * list names.
 */
class LendingWitness
{
public:
    explicit LendingWitness(const Clock &clock)
        : m_clock(clock)
    { }

    /** A lender is about to lend; false if that must not be acknowledged. */
    bool noteLending(const std::string &lender, std::int64_t revision, std::int64_t sequence);
    /** The rows contain all that was lent up to the notice @p sequence. */
    void noteCleared(const std::string &lender, std::int64_t sequence);
    /**
     * From now on no notice of the list @p revision or an earlier one is acknowledged. True if
     * the rows may lack what the lender has lent.
     */
    bool close(const std::string &lender, std::int64_t revision);

private:
    struct Lender
    {
        std::int64_t lastNotice = 0;
        std::int64_t lastCleared = 0;
        std::int64_t closedRevision = 0;
        BootTime changedAt;
    };

    /** The lender's entry; null if there are too many that can't be forgotten yet. */
    Lender *entryOf(const std::string &lender);

    const Clock &m_clock;
    std::map<std::string, Lender> m_lenders;
};

} // namespace boragepath
