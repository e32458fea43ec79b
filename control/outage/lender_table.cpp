#include "control/outage/lender_table.h"

#include "core/hash.h"
#include "core/json_access.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace boragepath {

namespace json = boost::json;

namespace {

/** The live VM with the fewest partitions; the first in the order of names among equals. */
std::string leastLoaded(const std::map<std::string, std::size_t> &loads)
{
    const auto least =
        std::min_element(loads.begin(), loads.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
    return least->first;
}

std::map<std::string, std::size_t> loadsOf(const LenderTable &table,
                                           const std::vector<std::string> &vms)
{
    std::map<std::string, std::size_t> loads;
    for (const std::string &vm : vms) {
        loads[vm] = 0;
    }
    for (const LenderTenure &tenure : table) {
        const auto found = loads.find(tenure.lender);
        if (found != loads.end()) {
            found->second += 1;
        }
    }
    return loads;
}

/**
 * In place of who released a partition: its lender is lost and has lent nothing. VMs that run an
 * older version read it as a release without a list of programs.
 */
constexpr const char *NothingLentMark = "lost, nothing lent";
/** The same for one that may have lent one turn to each new program; others read it as lost. */
constexpr const char *OneTurnLentMark = "lost, one turn lent";

/** Lender, previous tenure, who released the partition, and the number of the tenure. */
constexpr std::size_t NumbersPerPartition = 4;

std::optional<std::string> nameOf(const json::array &names, const json::value &number)
{
    const bool isValid = number.is_int64() && number.get_int64() >= 0
        && static_cast<std::size_t>(number.get_int64()) < names.size();
    if (!isValid) {
        return std::nullopt;
    }
    const json::value &name = names[static_cast<std::size_t>(number.get_int64())];
    return name.is_string() ? std::optional(std::string(name.get_string())) : std::nullopt;
}

/** How older versions know the end of the tenure before. */
PreviousTenure basicTenure(PreviousTenure previous)
{
    switch (previous) {
    case PreviousTenure::NothingLent:
        return PreviousTenure::Released;
    case PreviousTenure::OneTurnLent:
        return PreviousTenure::Lost;
    default:
        return previous;
    }
}

/** What stands in place of who released a partition. */
std::string markOf(const LenderTenure &tenure)
{
    switch (tenure.previous) {
    case PreviousTenure::NothingLent:
        return NothingLentMark;
    case PreviousTenure::OneTurnLent:
        return OneTurnLentMark;
    default:
        return tenure.releasedBy;
    }
}

std::optional<PreviousTenure> previousTenureOf(const json::value &value)
{
    if (!value.is_int64() || value.get_int64() < 0
        || value.get_int64() > static_cast<std::int64_t>(PreviousTenure::Lost)) {
        return std::nullopt;
    }
    return static_cast<PreviousTenure>(value.get_int64());
}

} // namespace

std::size_t lenderPartition(const ProgramId &program)
{
    return hashOf(program.value()) % LenderPartitions;
}

std::string encodeLenderTable(const LenderTable &table)
{
    // Names of VMs are long and repeat, so that partitions refer to them by number.
    std::map<std::string, std::int64_t> numbers;
    json::array names;
    const auto numberOf = [&](const std::string &name) {
        const auto [number, isNew] =
            numbers.try_emplace(name, static_cast<std::int64_t>(numbers.size()));
        if (isNew) {
            names.push_back(json::value(name));
        }
        return number->second;
    };
    json::array partitions;
    for (const LenderTenure &tenure : table) {
        partitions.push_back(numberOf(tenure.lender));
        partitions.push_back(static_cast<std::int64_t>(basicTenure(tenure.previous)));
        partitions.push_back(numberOf(markOf(tenure)));
        partitions.push_back(tenure.number);
    }
    return json::serialize(json::object{{"names", names}, {"partitions", partitions}});
}

std::optional<LenderTable> decodeLenderTable(const std::string &text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::array &names = arrayAt(value.get_object(), "names");
    const json::array &partitions = arrayAt(value.get_object(), "partitions");
    if (partitions.size() != NumbersPerPartition * LenderPartitions) {
        return std::nullopt;
    }
    LenderTable table;
    for (std::size_t first = 0; first < partitions.size(); first += NumbersPerPartition) {
        const std::optional<std::string> lender = nameOf(names, partitions[first]);
        const std::optional<PreviousTenure> previous = previousTenureOf(partitions[first + 1]);
        const std::optional<std::string> releasedBy = nameOf(names, partitions[first + 2]);
        const json::value &number = partitions[first + 3];
        if (!lender.has_value() || !previous.has_value() || !releasedBy.has_value()
            || !number.is_int64()) {
            return std::nullopt;
        }
        if (*previous == PreviousTenure::Released && *releasedBy == NothingLentMark) {
            table.push_back({*lender, PreviousTenure::NothingLent, "", number.get_int64()});
            continue;
        }
        if (*previous == PreviousTenure::Lost && *releasedBy == OneTurnLentMark) {
            table.push_back({*lender, PreviousTenure::OneTurnLent, "", number.get_int64()});
            continue;
        }
        table.push_back({*lender, *previous, *releasedBy, number.get_int64()});
    }
    return table;
}

std::string encodeReleasedPrograms(const ReleasedPrograms &programs)
{
    json::array list;
    for (const std::int64_t program : programs) {
        list.push_back(program);
    }
    return json::serialize(json::object{{"programs", list}});
}

std::optional<ReleasedPrograms> decodeReleasedPrograms(const std::string &text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object() || !value.get_object().contains("programs")) {
        return std::nullopt;
    }
    ReleasedPrograms programs;
    for (const json::value &program : arrayAt(value.get_object(), "programs")) {
        if (!program.is_int64()) {
            return std::nullopt;
        }
        programs.insert(program.get_int64());
    }
    return programs;
}

namespace {

/** How the tenure of a lost lender has ended. */
PreviousTenure endOf(const LenderTenure &tenure, const LenderExceptions &exceptions)
{
    const bool nothingLent = exceptions.withoutLoans.contains(tenure.lender);
    const bool isPromised = nothingLent || exceptions.promised.contains(tenure.lender);
    // A lender that does not know itself what was lent before it can't have its successor know it.
    if (tenure.previous == PreviousTenure::Lost || !isPromised) {
        return PreviousTenure::Lost;
    }
    const bool isCertain = nothingLent && tenure.previous != PreviousTenure::OneTurnLent;
    return isCertain ? PreviousTenure::NothingLent : PreviousTenure::OneTurnLent;
}

} // namespace

void replaceLostLenders(LenderTable &table, const std::vector<std::string> &live,
                        const LenderExceptions &exceptions)
{
    if (live.empty()) {
        return;
    }
    std::map<std::string, std::size_t> loads = loadsOf(table, live);
    for (LenderTenure &tenure : table) {
        if (loads.contains(tenure.lender) || exceptions.kept.contains(tenure.lender)) {
            continue;
        }
        if (!tenure.lender.empty()) {
            tenure.previous = endOf(tenure, exceptions);
            tenure.releasedBy.clear();
        }
        tenure.lender = leastLoaded(loads);
        tenure.number += 1;
        loads[tenure.lender] += 1;
    }
}

void releasePartitions(LenderTable &table, const std::string &lender,
                       const std::vector<std::string> &successors,
                       const std::function<bool(std::size_t)> &isSettled)
{
    std::map<std::string, std::size_t> loads = loadsOf(table, successors);
    for (std::size_t partition = 0; partition < table.size(); ++partition) {
        LenderTenure &tenure = table[partition];
        if (tenure.lender != lender || !isSettled(partition)) {
            continue;
        }
        tenure.previous = PreviousTenure::Released;
        tenure.releasedBy = lender;
        tenure.number += 1;
        tenure.lender = successors.empty() ? std::string() : leastLoaded(loads);
        if (!successors.empty()) {
            loads[tenure.lender] += 1;
        }
    }
}

} // namespace boragepath
