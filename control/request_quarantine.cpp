#include "control/request_quarantine.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Requests that are remembered, some 150 bytes each; a crash adds a few dozen. */
constexpr std::size_t MaxRequests = 4'096;
/** Crashes that are remembered of one request; more change nothing. */
constexpr std::size_t MaxCrashes = 6;
constexpr std::size_t MaxCrashCount = 3;
constexpr std::size_t MaxCrashCountAtBeginning = 2;
/** The same for a request that had been answered within this time before its first crash. */
constexpr std::size_t MaxCrashCountAfterAnswer = 6;
constexpr Milliseconds RecentAnswerTime{10'000};
/** Requests whose last answer a VM remembers; they take some hundred kilobytes. */
constexpr std::size_t MaxAnsweredRequests = 2'000;
/** Replicas that end within this time of each other have lost their power or their network. */
constexpr Milliseconds CommonCauseWindow{25};
/** Time until a quarantined request is tried once; grows by TrialDelayFactor with each try. */
constexpr Milliseconds FirstTrialDelay{20'000};
constexpr Milliseconds LongestTrialDelay{600'000};
constexpr int TrialDelayFactor = 3;
/** A replica that has ended is back after some seconds, as another incarnation. */
constexpr Milliseconds EndedReplicaNewsLifetime{10'000};
/** News is passed on in this many rounds; reaches hundreds of VMs in spite of lost datagrams. */
constexpr int GossipRounds = 4;
/** The requests that were in progress at one crash are reported together. */
constexpr Milliseconds UrgentNewsDelay{2};
constexpr std::size_t UrgentNewsTargets = 16;
/** Each takes up to some hundred bytes. */
constexpr std::size_t MaxNewsPerDatagram = 64;
/** Of the news in a round of gossip, so many are of requests that have been known for long. */
constexpr std::size_t RepeatedNewsPerRound = 2;
/** Age of what is longer ago than matters. */
constexpr Milliseconds MaxAge{86'400'000};

std::int32_t ageMillisOf(SteadyTime time, SteadyTime now)
{
    return static_cast<std::int32_t>(
        std::clamp<std::int64_t>(toMillis(now - time), 0, MaxAge.count()));
}

RequestFingerprint fingerprintOf(const peers::RequestCrashNews &news)
{
    return {static_cast<std::uint64_t>(news.high), static_cast<std::uint64_t>(news.low)};
}

Milliseconds trialDelay(int trials)
{
    Milliseconds delay = FirstTrialDelay;
    for (int trial = 0; trial < trials && delay < LongestTrialDelay; ++trial) {
        delay = std::min(delay * TrialDelayFactor, LongestTrialDelay);
    }
    return delay;
}

/** Crashes that have no common cause, as far as their times tell; of @p crashes in time order. */
std::size_t independentCrashes(const std::vector<RequestCrash> &crashes, bool onlyAtBeginning)
{
    std::size_t count = 0;
    std::optional<SteadyTime> last;
    for (const RequestCrash &crash : crashes) {
        if (onlyAtBeginning && !crash.atBeginning) {
            continue;
        }
        const bool isIndependent =
            !last.has_value() || crash.sentAt >= *last || crash.at >= *last + CommonCauseWindow;
        count += isIndependent ? 1 : 0;
        last = crash.at;
    }
    return count;
}

/** Adds a crash in time order; true if it was new or tells more than before. */
bool addCrash(std::vector<RequestCrash> &crashes, const RequestCrash &crash)
{
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&](const RequestCrash &item) {
        return item.replica == crash.replica;
    });
    if (known != crashes.end()) {
        const bool tellsMore = crash.atBeginning && !known->atBeginning;
        known->atBeginning = known->atBeginning || crash.atBeginning;
        return tellsMore;
    }
    const auto after = std::find_if(crashes.begin(), crashes.end(),
                                    [&](const RequestCrash &item) { return item.at > crash.at; });
    crashes.insert(after, crash);
    if (crashes.size() > MaxCrashes) {
        crashes.erase(crashes.begin());
    }
    return true;
}

} // namespace

bool isToBeQuarantined(const CrashEvidence &evidence)
{
    const bool answeredLately = evidence.answeredAt.has_value() && !evidence.crashes.empty()
        && evidence.crashes.front().at < *evidence.answeredAt + RecentAnswerTime;
    if (answeredLately) {
        return independentCrashes(evidence.crashes, false) >= MaxCrashCountAfterAnswer;
    }
    return independentCrashes(evidence.crashes, false) >= MaxCrashCount
        || independentCrashes(evidence.crashes, true) >= MaxCrashCountAtBeginning;
}

RequestQuarantine::RequestQuarantine(const Clock &clock, Timers &timers, const VmDirectory &vms,
                                     Send send)
    : m_clock(clock)
    , m_timers(timers)
    , m_vms(vms)
    , m_send(std::move(send))
    , m_entries(MaxRequests)
    , m_answeredAt(MaxAnsweredRequests)
{ }

void RequestQuarantine::noteCrash(const RequestIdentity &request, const RequestCrash &crash)
{
    for (const RequestFingerprint &fingerprint : {request.request, request.target}) {
        if (!fingerprint.isKnown()) {
            continue;
        }
        m_entries.put(fingerprint).ownEvidence = true;
        if (merge(fingerprint, {{crash}})) {
            sendSoon(fingerprint);
        }
    }
}

void RequestQuarantine::noteAnswered(const RequestIdentity &request)
{
    for (const RequestFingerprint &fingerprint : {request.request, request.target}) {
        m_answeredAt.put(fingerprint) = m_clock.now();
        release(fingerprint);
    }
}

void RequestQuarantine::release(const RequestFingerprint &request)
{
    const Entry *entry = m_entries.find(request);
    if (entry == nullptr || entry->evidence.crashes.empty()) {
        return;
    }
    if (merge(request, {{}, m_clock.now()})) {
        sendSoon(request);
    }
}

bool RequestQuarantine::isQuarantined(const RequestFingerprint &request) const
{
    const Entry *entry = m_entries.find(request);
    return entry != nullptr && entry->quarantined;
}

bool RequestQuarantine::hasOwnEvidence(const RequestFingerprint &request) const
{
    const Entry *entry = m_entries.find(request);
    return entry != nullptr && entry->ownEvidence;
}

bool RequestQuarantine::admits(const RequestIdentity &request, const AttemptId &attempt)
{
    const RequestFingerprint fingerprints[] = {request.request, request.target};
    for (const RequestFingerprint &fingerprint : fingerprints) {
        if (!isQuarantined(fingerprint) || isTrial(fingerprint, attempt)) {
            continue;
        }
        // The VM that tries is named by the target, so that it is the same one for both.
        if (!isTrialDue(fingerprint) || m_vms.coordinatorFor(request.target.text()).has_value()) {
            return false;
        }
    }
    for (const RequestFingerprint &fingerprint : fingerprints) {
        if (isQuarantined(fingerprint)) {
            beginTrial(fingerprint, attempt);
        }
    }
    return true;
}

bool RequestQuarantine::isTrial(const RequestFingerprint &request, const AttemptId &attempt) const
{
    const Entry &entry = *m_entries.find(request);
    return entry.trialAt.has_value() && entry.trial == attempt
        && entry.evidence.crashes.back().at < *entry.trialAt;
}

bool RequestQuarantine::isTrialDue(const RequestFingerprint &request) const
{
    const Entry &entry = *m_entries.find(request);
    const SteadyTime lastCrashAt = entry.evidence.crashes.back().at;
    const SteadyTime lastTriedAt = std::max(lastCrashAt, entry.trialAt.value_or(lastCrashAt));
    return m_clock.now() >= lastTriedAt + trialDelay(entry.trials);
}

void RequestQuarantine::beginTrial(const RequestFingerprint &request, const AttemptId &attempt)
{
    Entry &entry = m_entries.put(request);
    if (entry.trialAt.has_value() && entry.trial == attempt) {
        return;
    }
    entry.trial = attempt;
    entry.trialAt = m_clock.now();
    entry.trials += 1;
}

const CrashEvidence *RequestQuarantine::evidenceOf(const RequestFingerprint &request) const
{
    const Entry *entry = m_entries.find(request);
    return entry == nullptr ? nullptr : &entry->evidence;
}

bool RequestQuarantine::merge(const RequestFingerprint &request, const CrashEvidence &evidence)
{
    Entry &entry = m_entries.put(request);
    CrashEvidence &known = entry.evidence;
    // An empty optional is less than any time.
    const std::optional<SteadyTime> answeredBefore = known.answeredAt;
    known.answeredAt = std::max(known.answeredAt, evidence.answeredAt);
    if (const SteadyTime *answeredHere = m_answeredAt.find(request)) {
        known.answeredAt = std::max(known.answeredAt, std::optional(*answeredHere));
    }
    const auto isCleared = [&](const RequestCrash &crash) {
        return known.answeredAt.has_value() && crash.at <= *known.answeredAt;
    };
    bool changed = std::erase_if(known.crashes, isCleared) > 0;
    for (const RequestCrash &crash : evidence.crashes) {
        if (!isCleared(crash)) {
            changed = addCrash(known.crashes, crash) || changed;
        }
    }
    changed = changed || (known.answeredAt > answeredBefore && !known.crashes.empty());
    if (changed) {
        passOn(request, entry);
        updateQuarantine(request, entry);
    }
    return changed;
}

void RequestQuarantine::updateQuarantine(const RequestFingerprint &request, Entry &entry)
{
    const bool quarantined = isToBeQuarantined(entry.evidence);
    if (quarantined == entry.quarantined) {
        return;
    }
    entry.quarantined = quarantined;
    if (quarantined) {
        m_quarantined.push_back(request);
        sendSoon(request);
    } else {
        std::erase(m_quarantined, request);
    }
    for (const OnChange &task : m_onChange) {
        task(request, quarantined);
    }
}

void RequestQuarantine::passOn(const RequestFingerprint &request, Entry &entry)
{
    if (entry.roundsLeft == 0) {
        m_toPassOn.push_back(request);
    }
    entry.roundsLeft = GossipRounds;
}

void RequestQuarantine::sendSoon(const RequestFingerprint &request)
{
    if (std::find(m_urgent.begin(), m_urgent.end(), request) != m_urgent.end()) {
        return;
    }
    if (m_urgent.empty()) {
        m_timers.after(UrgentNewsDelay, [this] { sendUrgentNews(); });
    }
    m_urgent.push_back(request);
}

void RequestQuarantine::sendUrgentNews()
{
    const std::vector<RequestFingerprint> requests = std::move(m_urgent);
    m_urgent.clear();
    const std::vector<Endpoint> targets =
        m_vms.rankedFor(requests.front().text(), UrgentNewsTargets);
    for (std::size_t first = 0; first < requests.size(); first += MaxNewsPerDatagram) {
        std::vector<peers::RequestCrashNews> news;
        const std::size_t end = std::min(requests.size(), first + MaxNewsPerDatagram);
        for (std::size_t index = first; index < end; ++index) {
            news.push_back(newsOf(requests[index]));
        }
        for (const Endpoint &to : targets) {
            m_send(to, news);
        }
    }
}

void RequestQuarantine::receive(const std::vector<peers::RequestCrashNews> &news)
{
    const SteadyTime now = m_clock.now();
    for (const peers::RequestCrashNews &item : news) {
        CrashEvidence evidence;
        for (const peers::RequestCrash &crash : item.crashes) {
            const Milliseconds age(std::max(0, crash.ageMillis));
            const Milliseconds sentAge(std::max(0, crash.sentAgeMillis));
            const ReplicaFingerprint replica(crash.replica);
            evidence.crashes.push_back({replica, now - sentAge, now - age, crash.atBeginning});
            if (age < EndedReplicaNewsLifetime) {
                m_onReplicaEnded(replica);
            }
        }
        if (item.__isset.answeredAgeMillis) {
            evidence.answeredAt = now - Milliseconds(std::max(0, item.answeredAgeMillis));
        }
        const RequestFingerprint request = fingerprintOf(item);
        if (request.isKnown()) {
            merge(request, evidence);
        }
    }
}

peers::RequestCrashNews RequestQuarantine::newsOf(const RequestFingerprint &request) const
{
    peers::RequestCrashNews news;
    news.high = static_cast<std::int64_t>(request.high);
    news.low = static_cast<std::int64_t>(request.low);
    const CrashEvidence *evidence = evidenceOf(request);
    if (evidence == nullptr) {
        return news;
    }
    const SteadyTime now = m_clock.now();
    for (const RequestCrash &crash : evidence->crashes) {
        peers::RequestCrash item;
        item.replica = crash.replica.value();
        item.ageMillis = ageMillisOf(crash.at, now);
        item.sentAgeMillis = ageMillisOf(crash.sentAt, now);
        item.atBeginning = crash.atBeginning;
        news.crashes.push_back(item);
    }
    if (evidence->answeredAt.has_value()) {
        news.__set_answeredAgeMillis(ageMillisOf(*evidence->answeredAt, now));
    }
    return news;
}

std::vector<peers::RequestCrashNews> RequestQuarantine::takeForGossip(std::size_t count)
{
    std::vector<peers::RequestCrashNews> result;
    for (std::size_t left = std::min(RepeatedNewsPerRound, m_quarantined.size()); left > 0;
         --left) {
        const RequestFingerprint request = m_quarantined.front();
        m_quarantined.pop_front();
        if (m_entries.find(request) != nullptr) {
            result.push_back(newsOf(request));
            m_quarantined.push_back(request);
        }
    }
    for (std::size_t left = m_toPassOn.size(); left > 0 && result.size() < count; --left) {
        const RequestFingerprint request = m_toPassOn.front();
        m_toPassOn.pop_front();
        if (m_entries.find(request) == nullptr) {
            continue;
        }
        result.push_back(newsOf(request));
        Entry &entry = m_entries.put(request);
        entry.roundsLeft -= 1;
        if (entry.roundsLeft > 0) {
            m_toPassOn.push_back(request);
        }
    }
    return result;
}

} // namespace boragepath
