#pragma once

#include "core/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace boragepath {

/** A row of the platform's table service. */
struct Row
{
    std::string key;
    std::string value;
    /** Store revision at which the row was last written. */
    RowRevision revision;
};

/** Holds if the row was last written at this revision. Revision 0 requires that no row exists. */
struct Condition
{
    std::string key;
    RowRevision revision;
};

/** Stores a value under a key, or deletes the row if there is no value. */
struct Write
{
    std::string key;
    std::optional<std::string> value;
};

/** Writes that are applied atomically, and only if every condition holds. */
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

/** The outcome of a transaction as far as this VM knows it. */
struct TransactionOutcome
{
    enum class Kind {
        Committed,
        Conflict, ///< A condition failed; nothing was written.
        NoAnswer, ///< No answer came. The transaction may have been committed.
    };
    Kind kind = Kind::NoAnswer;
    /** Store revision of the commit. */
    RowRevision revision;
    /** After a conflict: the existing rows that the conditions name. */
    std::vector<Row> current;
};

/** Requests the rows whose keys start with a prefix, in key order. */
struct RangeRequest
{
    std::string prefix;
    /** Only rows written after this store revision. */
    RowRevision newerThan;
};

/** Answer to a range request. All rows are from one snapshot of the store. */
struct RangeOutcome
{
    /** False if the store did not answer. */
    bool answered = false;
    std::vector<Row> rows;
    /** Store revision of the snapshot. */
    RowRevision storeRevision;
};

} // namespace boragepath
