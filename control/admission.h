#pragma once

#include "control/catalogue.h"
#include "control/members.h"
#include "core/clock.h"
#include "core/settings.h"
#include "core/verdict.h"

#include <map>
#include <optional>
#include <string>

namespace boragepath {

/** Checks that need nothing of the program: the key, the entry, the rate. */
class Admission
{
public:
    Admission(const Settings &settings, const Clock &clock, const Catalogue &catalogue,
              const Members &members);

    /**
     * Checks that @p key opens @p entry.
     *
     * An unknown entry and a wrong key give the same answer, so that a caller
     * learns nothing of entries that are not its own.
     */
    std::optional<Refusal> checkKey(const EntryName &entry, const std::string &key) const;
    /** Checks that the entry is enabled and may call @p pool. */
    std::optional<Refusal> checkEntry(const CatalogueEntry &entry, const PoolName &pool) const;
    /** Takes one call from this VM's share of the entry's rate. */
    std::optional<Refusal> checkRate(const CatalogueEntry &entry);

private:
    struct Bucket
    {
        double tokens = 0;
        SteadyTime filledAt;
    };

    const Settings &m_settings;
    const Clock &m_clock;
    const Catalogue &m_catalogue;
    const Members &m_members;
    std::map<EntryName, Bucket> m_buckets;
};

} // namespace boragepath
