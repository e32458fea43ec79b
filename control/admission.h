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

/** Checks that do not depend on the program's state: bearer key, catalogue entry, call rate. */
class Admission
{
public:
    Admission(const Settings &settings, const Clock &clock, const Catalogue &catalogue,
              const Members &members);

    /**
     * Checks that @p key is the bearer key of @p entry.
     *
     * An unknown entry and a wrong key give the same refusal, so that a caller
     * cannot find out which entries of other customers exist.
     */
    std::optional<Refusal> checkKey(const EntryName &entry, const std::string &key) const;
    /** Checks that the entry is enabled and may call @p pool. */
    std::optional<Refusal> checkEntry(const CatalogueEntry &entry, const PoolName &pool) const;
    /** Takes one call from the token bucket that holds this VM's share of the entry's rate. */
    std::optional<Refusal> checkRate(const CatalogueEntry &entry);

private:
    struct Bucket
    {
        double tokens = 0;
        SteadyTime refilledAt;
    };

    const Settings &m_settings;
    const Clock &m_clock;
    const Catalogue &m_catalogue;
    const Members &m_members;
    std::map<EntryName, Bucket> m_buckets;
};

} // namespace boragepath
