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
constexpr std::size_t WitnessesOfOtherZones = MaxWitnesses / 2;
/** With fewer, a lender could not lend while a single witness is down. */
constexpr std::size_t MinTestimonies = 2;

/** Older versions read no longer lists, and ask for MinTestimonies whatever a list says. */
constexpr std::size_t MaxWitnessesOfOlderVersions = 5;

/** Of a list that names no number, as older versions write it. */
std::size_t testimoniesWithoutNumber(std::size_t count)
{
    return std::min(count, MinTestimonies);
}

} // namespace

std::vector<std::string> chooseWitnesses(std::vector<std::string> ownZone,
                                         std::vector<std::string> otherZones,
                                         std::mt19937_64 &random)
{
    std::shuffle(ownZone.begin(), ownZone.end(), random);
    std::shuffle(otherZones.begin(), otherZones.end(), random);
    const std::size_t freePlaces = MaxWitnesses - std::min(MaxWitnesses, ownZone.size());
    const std::size_t ofOtherZones =
        std::min(otherZones.size(), std::max(WitnessesOfOtherZones, freePlaces));
    ownZone.resize(std::min(ownZone.size(), MaxWitnesses - ofOtherZones));
    otherZones.resize(ofOtherZones);
    ownZone.insert(ownZone.end(), otherZones.begin(), otherZones.end());
    return ownZone;
}

std::size_t testimoniesFor(std::size_t count, std::size_t otherVms)
{
    // Half of all VMs, rounded up, without the lender.
    const std::size_t lostVms = otherVms / 2;
    const std::size_t left = count - std::min(count, lostVms);
    if (count <= MaxWitnessesOfOlderVersions) {
        return std::clamp(left, std::size_t{1}, MinTestimonies);
    }
    return std::max(left, MinTestimonies);
}

std::size_t acknowledgementsNeeded(const WitnessList &list)
{
    const std::size_t count = list.witnesses.size();
    return count == 0 ? 0 : count - list.testimonies + 1;
}

std::string encodeWitnessList(const WitnessList &list)
{
    json::array witnesses;
    for (const std::string &witness : list.witnesses) {
        witnesses.push_back(json::value(witness));
    }
    return json::serialize(json::object{
        {"revision", list.revision}, {"witnesses", witnesses}, {"testimonies", list.testimonies}});
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
    WitnessList list{revision->get_int64(), {}, 0};
    for (const json::value &witness : arrayAt(value.get_object(), "witnesses")) {
        if (!witness.is_string() || list.witnesses.size() == MaxWitnesses) {
            return std::nullopt;
        }
        list.witnesses.emplace_back(witness.get_string());
    }
    const json::value *testimonies = value.get_object().if_contains("testimonies");
    if (testimonies == nullptr) {
        list.testimonies = testimoniesWithoutNumber(list.witnesses.size());
        return list;
    }
    const bool isValid = testimonies->is_int64() && testimonies->get_int64() >= 0
        && static_cast<std::size_t>(testimonies->get_int64()) <= list.witnesses.size()
        && (testimonies->get_int64() > 0 || list.witnesses.empty());
    if (!isValid) {
        return std::nullopt;
    }
    list.testimonies = static_cast<std::size_t>(testimonies->get_int64());
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
