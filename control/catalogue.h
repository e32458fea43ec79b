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
    Alert, ///< Must never wait: pager alerts.
    Interactive, ///< A person stands and waits.
    Conversation, ///< A person waits, but less closely.
    Batch, ///< Nobody waits.
};

/** The names of the classes, in the order of ServiceClass. */
const std::vector<std::string> &serviceClassNames();

/** One entry of the catalogue: one customer's agents, their class and their limits. */
struct CatalogueEntry
{
    EntryName name;
    std::string owner;
    bool enabled = true;
    ServiceClass serviceClass = ServiceClass::Conversation;
    /** Program latency that the class promises, and the share of programs that must keep it. */
    Milliseconds objective{10'000};
    double objectiveShare = 0.99;
    /** Models and services that programs may call. */
    std::set<PoolName> pools;
    /** Spending allowed in one budget period. */
    Amount budget{1'000'000, 1'000'000'000};
    std::chrono::hours budgetPeriod{720};
    double callsPerSecond = 100;
    std::int64_t programsUnderWay = 1000;
    std::int64_t callsPerProgram = 200;
    std::int64_t tokensPerProgram = 1'000'000;
    std::string keySalt;
    /** saltedKeyHash() of the salt and the bearer key. */
    std::string keyHash;
    /** Catalogue revision of the entry's last change. */
    CatalogueRevision revision;
};

/** Reads one entry; the error names each wrong field. */
absl::StatusOr<CatalogueEntry> parseEntry(const boost::json::value &value, const std::string &path);

/** The entry as the table service and operators see it. */
boost::json::object entryToJson(const CatalogueEntry &entry);

/** Reads a catalogue file: {"entries": [...]}, JSON with comments. */
absl::StatusOr<std::vector<CatalogueEntry>> parseCatalogueFile(std::string_view text);

/** What differs between two versions of an entry, a line for each field. */
std::vector<std::string> describeChange(const CatalogueEntry *before, const CatalogueEntry &after);

/** Index of the budget period that @p now lies in. */
std::int64_t budgetPeriodOf(const CatalogueEntry &entry, WallTime now);

/** The entries in force on this VM; they only ever go up in revision. */
class Catalogue
{
public:
    /** An entry and the revision of its row in the table service. */
    struct Slot
    {
        CatalogueEntry entry;
        RowRevision row;
    };

    /** Takes over @p entry unless a version as new is in force; true if it was taken. */
    bool applyEntry(const CatalogueEntry &entry, RowRevision row);
    /** Takes over the catalogue's revision unless it is older. */
    void applyRevision(CatalogueRevision revision, RowRevision row);

    const CatalogueEntry *find(const EntryName &name) const;
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
