#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** How the tenure of the lender before ended. */
enum class PreviousTenure {
    /** There was none: nobody has used budgets of these programs. */
    None,
    /** The lender released the partition with all that it had lent in the program rows. */
    Released,
    /** It is not known what the lender has lent. */
    Lost,
    /** The lender is lost, and its witnesses say that it has lent nothing. */
    NothingLent,
    /**
     * The lender is lost. It had promised to lend at most one turn to each program of which it
     * knows no row that says that the program borrows.
     */
    OneTurnLent,
};

/** Who lends the budgets of one partition of the programs. */
struct LenderTenure
{
    /** Name of an incarnation of a VM; empty if there is no lender. */
    std::string lender;
    PreviousTenure previous = PreviousTenure::None;
    /** The lender that released the partition; empty if none did. */
    std::string releasedBy;
    /** Grows with each change of the lender, so that a VM notices if it lent before and after
     * another one. */
    std::int64_t number = 0;

    friend bool operator==(const LenderTenure &, const LenderTenure &) = default;
};

/** The lenders of all partitions. Stored as one row, so that a change is seen as a whole. */
using LenderTable = std::vector<LenderTenure>;

/** Partitions of the programs; some hundred VMs get a few each. */
inline constexpr std::size_t LenderPartitions = 512;

/** The partition of a program; the same on all VMs. */
std::size_t lenderPartition(const ProgramId &program);

std::string encodeLenderTable(const LenderTable &table);
/** None if @p text is not a valid table. */
std::optional<LenderTable> decodeLenderTable(const std::string &text);

/** Fingerprints of programs that a lender knew when it released its partitions. */
using ReleasedPrograms = std::set<std::int64_t>;

std::string encodeReleasedPrograms(const ReleasedPrograms &programs);
/** None if @p text is not a valid list. */
std::optional<ReleasedPrograms> decodeReleasedPrograms(const std::string &text);

/** Lenders that a change of the table treats in a special way. */
struct LenderExceptions
{
    /** Lost, and known to have lent nothing that the rows lack. */
    std::set<std::string> withoutLoans;
    /** Not to be replaced yet. */
    std::set<std::string> kept;
    /** Lost before their promise to lend little to new programs had run out. */
    std::set<std::string> promised = {};
};

/**
 * Gives the partitions without a lender in @p live to the live VMs that have the fewest. What their
 * lenders have lent counts as unknown, unless it is known to be nothing and they knew themselves
 * what had been lent before them.
 */
void replaceLostLenders(LenderTable &table, const std::vector<std::string> &live,
                        const LenderExceptions &exceptions = {});

/**
 * Gives the partitions of @p lender that @p isSettled holds for to the VMs of @p successors that
 * have the fewest, as released; without successors they are left without a lender.
 */
void releasePartitions(LenderTable &table, const std::string &lender,
                       const std::vector<std::string> &successors,
                       const std::function<bool(std::size_t)> &isSettled);

} // namespace boragepath
