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
    /** How many of them must say that the lender has lent nothing. */
    std::size_t testimonies = 0;

    friend bool operator==(const WitnessList &, const WitnessList &) = default;
};

std::string encodeWitnessList(const WitnessList &list);
/** None if @p text is not a valid list. */
std::optional<WitnessList> decodeWitnessList(const std::string &text);

/** Most witnesses of one lender. */
inline constexpr std::size_t MaxWitnesses = 10;

/**
 * The witnesses of a lender: half of them or more of other zones, as far as these have VMs, so that
 * some are left when all VMs of its zone are lost with it.
 */
std::vector<std::string> chooseWitnesses(std::vector<std::string> ownZone,
                                         std::vector<std::string> otherZones,
                                         std::mt19937_64 &random);

/**
 * Witnesses that must say that a lender has lent nothing, of @p count that were chosen among
 * @p otherVms.
 *
 * So many are left for certain when half of the VMs are lost with the lender, two at least. Fewer
 * would ask for more acknowledgements than the lender gets while some VMs are down.
 */
std::size_t testimoniesFor(std::size_t count, std::size_t otherVms);

/**
 * Witnesses that must have acknowledged a notice, so that at least one of any group that is asked
 * knows of it.
 */
std::size_t acknowledgementsNeeded(const WitnessList &list);

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
