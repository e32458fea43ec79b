#include "control/outage/lending_witness.h"

#include "core/json_access.h"

#include <boost/json.hpp>

#include <algorithm>

namespace boragepath {

namespace json = boost::json;

namespace {

/** Incarnations of VMs that are remembered; each takes some 200 bytes. */
constexpr std::size_t MaxLenders = 4'000;
/** Longer than a lost lender and the programs that it may have lent to last. */
constexpr Milliseconds EntryLifetime{700'000};
/** With fewer VMs of its zone, a lender has witnesses of others, too. */
constexpr std::size_t MinWitnesses = 3;

} // namespace

std::vector<std::string> chooseWitnesses(std::vector<std::string> ownZone,
                                         std::vector<std::string> otherZones,
                                         std::mt19937_64 &random)
{
    std::shuffle(ownZone.begin(), ownZone.end(), random);
    std::shuffle(otherZones.begin(), otherZones.end(), random);
    if (ownZone.size() > MaxWitnesses) {
        ownZone.resize(MaxWitnesses);
    }
    while (ownZone.size() < MinWitnesses && !otherZones.empty()) {
        ownZone.push_back(otherZones.back());
        otherZones.pop_back();
    }
    return ownZone;
}

std::string encodeWitnessList(const WitnessList &list)
{
    json::array witnesses;
    for (const std::string &witness : list.witnesses) {
        witnesses.push_back(json::value(witness));
    }
    return json::serialize(json::object{{"revision", list.revision}, {"witnesses", witnesses}});
}

std::optional<WitnessList> decodeWitnessList(const std::string &text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::value *revision = value.get_object().if_contains("revision");
    if (revision == nullptr || !revision->is_int64()) {
        return std::nullopt;
    }
    WitnessList list{revision->get_int64(), {}};
    for (const json::value &witness : arrayAt(value.get_object(), "witnesses")) {
        if (!witness.is_string() || list.witnesses.size() == MaxWitnesses) {
            return std::nullopt;
        }
        list.witnesses.emplace_back(witness.get_string());
    }
    return list;
}

LendingWitness::Lender *LendingWitness::entryOf(const std::string &lender)
{
    const BootTime now = m_clock.bootNow();
    if (m_lenders.size() >= MaxLenders && !m_lenders.contains(lender)) {
        std::erase_if(m_lenders, [now](const auto &item) {
            return now >= item.second.changedAt + EntryLifetime;
        });
        if (m_lenders.size() >= MaxLenders) {
            return nullptr;
        }
    }
    Lender &entry = m_lenders[lender];
    entry.changedAt = now;
    return &entry;
}

bool LendingWitness::noteLending(const std::string &lender, std::int64_t revision,
                                 std::int64_t sequence)
{
    Lender *entry = entryOf(lender);
    if (entry == nullptr || revision <= entry->closedRevision) {
        return false;
    }
    entry->lastNotice = std::max(entry->lastNotice, sequence);
    return true;
}

void LendingWitness::noteCleared(const std::string &lender, std::int64_t sequence)
{
    if (Lender *entry = entryOf(lender)) {
        entry->lastCleared = std::max(entry->lastCleared, sequence);
    }
}

bool LendingWitness::close(const std::string &lender, std::int64_t revision)
{
    Lender *entry = entryOf(lender);
    if (entry == nullptr) {
        return true;
    }
    entry->closedRevision = std::max(entry->closedRevision, revision);
    return entry->lastNotice > entry->lastCleared;
}

} // namespace boragepath
