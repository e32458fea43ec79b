#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"

#include <absl/status/statusor.h>
#include <boost/json.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** Service classes, the most urgent first. */
enum class ServiceClass {
    Alert, ///< Must never be queued: pager alerts.
    Interactive, ///< A person is waiting for the result.
    Conversation, ///< A person is waiting, with less urgency.
    Batch, ///< Nobody is waiting.
};

/** Names of the service classes in settings and JSON, in the order of ServiceClass. */
const std::vector<std::string> &serviceClassNames();

/** A catalogue entry: one customer's agents with their service class, key and limits. */
struct CatalogueEntry
{
    EntryName name;
    std::string owner;
    bool enabled = true;
    ServiceClass serviceClass = ServiceClass::Conversation;
    /** Latency objective of a program, and the share of programs that must meet it. */
    Milliseconds objective{10'000};
    double objectiveShare = 0.99;
    /** Pools of models and services that programs may call. */
    std::set<PoolName> pools;
    /** Spending limit per budget period. */
    Amount budget{1'000'000, 1'000'000'000};
    std::chrono::hours budgetPeriod{720};
    double callsPerSecond = 100;
    std::int64_t programsUnderWay = 1000;
    std::int64_t callsPerProgram = 200;
    std::int64_t tokensPerProgram = 1'000'000;
    std::string keySalt;
    /** saltedKeyHash() of the salt and the bearer key. */
    std::string keyHash;
    /** Catalogue revision at which the entry was last changed. */
    CatalogueRevision revision;
};

/** Parses one entry found at @p path; the error names each invalid field. */
absl::StatusOr<CatalogueEntry> parseEntry(const boost::json::value &value, const std::string &path);

/** Serialises an entry for the table service and for operators; parseEntry() reads it. */
boost::json::object entryToJson(const CatalogueEntry &entry);

/** Parses a catalogue file: {"entries": [...]}, JSON with comments. */
absl::StatusOr<std::vector<CatalogueEntry>> parseCatalogueFile(std::string_view text);

/** Differences between two versions of an entry, one line per field; null @p before if new. */
std::vector<std::string> describeChange(const CatalogueEntry *before, const CatalogueEntry &after);

/** Index of the budget period that contains @p now. */
std::int64_t budgetPeriodOf(const CatalogueEntry &entry, WallTime now);

/** The entries in force on this VM. Older revisions never replace newer ones. */
class Catalogue
{
public:
    /** An entry and the revision of its row in the table service. */
    struct Slot
    {
        CatalogueEntry entry;
        RowRevision row;
    };

    /** Applies @p entry if its row is newer than the one in force; true if it was applied. */
    bool applyEntry(const CatalogueEntry &entry, RowRevision row);
    /** Applies the revision of the whole catalogue unless it is older than the one known. */
    void applyRevision(CatalogueRevision revision, RowRevision row);

    const CatalogueEntry *find(const EntryName &name) const;
    /** Revision of the entry's row; the default value if the entry is unknown. */
    RowRevision rowRevisionOf(const EntryName &name) const;
    CatalogueRevision revision() const { return m_revision; }
    RowRevision revisionRow() const { return m_revisionRow; }
    const std::map<EntryName, Slot> &entries() const { return m_entries; }

private:
    std::map<EntryName, Slot> m_entries;
    CatalogueRevision m_revision;
    RowRevision m_revisionRow;
};

} // namespace boragepath
