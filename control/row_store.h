#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace boragepath {

/** Names a row: the rows of one part are transacted together. */
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
    /** Grows with each transaction; 0 stands for an absent row. */
    RowRevision version;
    /** The row was removed; only the feed reports such rows. */
    bool removed = false;
};

/** Requires a row to have this version; 0 requires that it is absent. */
struct RowCondition
{
    RowName name;
    RowRevision version;
};

struct RowPut
{
    RowName name;
    std::string value;
};

/** All changes or none, and none unless every condition holds; all rows of one part. */
struct RowTransaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowPut> puts;
    std::vector<RowName> removals;
};

/** What is known of a call to the store. */
enum class StoreAnswer {
    Done,
    Conflict, ///< A condition failed; nothing was changed.
    Rejected, ///< The store refused; nothing was changed.
    Unknown, ///< No answer: it may have been done, or may be done seconds later.
    HistoryCompacted, ///< A feed cannot go on from where it was; read everything anew.
};

struct TransactionResult
{
    StoreAnswer answer = StoreAnswer::Unknown;
    /** Version of the change, or the newest one of the store. */
    RowRevision version;
    /** On a conflict: the rows of the conditions that exist. */
    std::vector<StoreRow> current;
};

struct ReadResult
{
    StoreAnswer answer = StoreAnswer::Unknown;
    std::vector<StoreRow> rows;
    /** The store's newest version at the moment of the reading. */
    RowRevision version;
};

/** Selects the rows of one part, in key order. */
struct RowRange
{
    std::string table;
    std::string partition;
    /** First key, or empty for the start. */
    std::string from;
    /** Key behind the last one, or empty for the end. */
    std::string to;
};

/** Asks for the changes of a table after a version. */
struct FeedRequest
{
    std::string table;
    RowRevision after;
    /** The store may hold the call for this long while nothing has changed. */
    Milliseconds wait{0};
};

/** The platform's store as the control core sees it. Each callback comes exactly once. */
class RowStore
{
public:
    virtual ~RowStore() = default;

    virtual void transact(RowTransaction transaction,
                          std::function<void(const TransactionResult &)> done) = 0;
    /** Reads a whole range, however many calls that takes. */
    virtual void read(RowRange range, std::function<void(const ReadResult &)> done) = 0;
    virtual void feed(FeedRequest request, std::function<void(const ReadResult &)> done) = 0;
};

/** Runs a task after a while, on the control thread. */
class Timers
{
public:
    virtual ~Timers() = default;
    virtual void after(Duration delay, std::function<void()> task) = 0;
};

} // namespace boragepath
