#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace boragepath {

/** Identifies a row. A transaction can change only rows of one partition. */
struct RowName
{
    std::string table;
    std::string partition;
    std::string key;

    friend auto operator<=>(const RowName &, const RowName &) = default;
};

/** A row of the platform's store, with its value decoded. */
struct StoreRow
{
    RowName name;
    std::string value;
    /** Grows with each transaction; 0 means that the row is absent. */
    RowRevision version;
    /** The row was removed; only a feed reports such rows. */
    bool removed = false;
};

/** Requires a row to have this version; 0 requires that it is absent. */
struct RowCondition
{
    RowName name;
    RowRevision version;
};

/** A row to write. */
struct RowPut
{
    RowName name;
    std::string value;
};

/**
 * Changes that are applied atomically, and only if every condition holds. All rows
 * belong to one partition.
 */
struct RowTransaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowPut> puts;
    std::vector<RowName> removals;
};

/** Outcome of a call to the store. */
enum class StoreAnswer {
    Done,
    Conflict, ///< A condition did not hold; nothing was changed.
    Rejected, ///< The store refused; nothing was changed.
    Unknown, ///< No answer: the change may have been applied, or may still be seconds later.
    HistoryCompacted, ///< The feed cannot continue from this version; read the whole table again.
};

struct TransactionResult
{
    StoreAnswer answer = StoreAnswer::Unknown;
    /** Version of the change; on a conflict, the store's newest version. */
    RowRevision version;
    /** On a conflict, those rows of the conditions that exist. */
    std::vector<StoreRow> current;
    /** The store's clock, which is steady, when it answered; none without an answer. */
    std::optional<Milliseconds> storeTime = std::nullopt;
};

struct ReadResult
{
    StoreAnswer answer = StoreAnswer::Unknown;
    std::vector<StoreRow> rows;
    /** The store's newest version at the time of the read. */
    RowRevision version;
    /** As in TransactionResult; of the first page that was read. */
    std::optional<Milliseconds> storeTime = std::nullopt;
};

/** Selects rows of one partition, in key order. */
struct RowRange
{
    std::string table;
    std::string partition;
    /** First key; empty for the start of the partition. */
    std::string from;
    /** End of the range, exclusive; empty for the end of the partition. */
    std::string to;
};

/** Requests the changes of a table since a version. */
struct FeedRequest
{
    std::string table;
    RowRevision after;
    /** How long the store may delay its answer while nothing has changed. */
    Milliseconds wait{0};
};

/** Interface to the platform's store. Each callback is called exactly once. */
class RowStore
{
public:
    virtual ~RowStore() = default;

    /** Applies a transaction. */
    virtual void transact(RowTransaction transaction,
                          std::function<void(const TransactionResult &)> done) = 0;
    /** Reads a whole range, in as many calls as necessary. */
    virtual void read(RowRange range, std::function<void(const ReadResult &)> done) = 0;
    /** Waits for changes of a table and returns the rows that changed. */
    virtual void feed(FeedRequest request, std::function<void(const ReadResult &)> done) = 0;
};

/** Runs tasks after a delay, on the control thread. */
class Timers
{
public:
    virtual ~Timers() = default;
    virtual void after(Duration delay, std::function<void()> task) = 0;
};

} // namespace boragepath
