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
    /** Store revision of the row's last write. */
    RowRevision revision;
};

/** Holds if the row was last written at this revision; 0 asks for an absent row. */
struct Condition
{
    std::string key;
    RowRevision revision;
};

/** Puts a value, or deletes the row where there is none. */
struct Write
{
    std::string key;
    std::optional<std::string> value;
};

/** All writes or none, and none unless every condition holds. */
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

/** How a transaction ended, as far as this VM can know. */
struct TransactionOutcome
{
    enum class Kind {
        Committed,
        Conflict, ///< A condition failed; nothing was written.
        NoAnswer, ///< It may have been committed.
    };
    Kind kind = Kind::NoAnswer;
    /** Store revision of the commit. */
    RowRevision revision;
    /** On a conflict: the rows that the conditions name and that exist. */
    std::vector<Row> current;
};

/** Asks for the rows whose keys start with a prefix, in key order. */
struct RangeRequest
{
    std::string prefix;
    /** Only rows written after this store revision. */
    RowRevision newerThan;
};

/** Answer to a range request; all rows are of one moment. */
struct RangeOutcome
{
    bool answered = false;
    std::vector<Row> rows;
    /** Store revision at the moment of the read. */
    RowRevision storeRevision;
};

} // namespace boragepath
