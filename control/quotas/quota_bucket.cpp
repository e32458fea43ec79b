#include "control/quotas/quota_bucket.h"

#include <algorithm>
#include <chrono>

namespace boragepath {

namespace {

// Parts of the tolerated excess. On one span, with one change of the VM that decides, the
// requests beyond rate x window + burst are at most
//     2 x OverdraftPart   the overdrafts of the VM that decided before and of the next one
//     + StartPart         what the next one grants without knowing what was granted before
//     + LocalPart         what VMs without an answer decide by themselves
//     + PartitionPart     what the sides of a network partition grant beyond their exact shares
//     = 0.87
// of it. The rest is for the time between a grant and the arrival of the request at a replica,
// which moves requests from one span to another.
constexpr double OverdraftPart = 0.25;
constexpr double StartPart = 0.1;
constexpr double LocalPart = 0.12;
constexpr double PartitionPart = 0.15;
static_assert(2 * OverdraftPart + StartPart + LocalPart + PartitionPart <= 0.9);

/** A program without a request for this long has ended. */
constexpr Milliseconds ProgramIdleTime{3'000};
/** Assumed until programs of the organisation have ended. */
constexpr double AssumedMeanRequests = 10;
/** The mean follows a change within about this number of programs. */
constexpr int MeanPrograms = 16;
/** A program with this many times the mean requests has no precedence, and counts for no more. */
constexpr double RunawayFactor = 4;
/** Programs of a few requests vary too much for that factor. */
constexpr double LeastRunawayRequests = 16;
/**
 * A VM that starts without the figures of the one before grants at half the rate for this long: in
 * a network partition, the one before goes on at the full rate until it notices.
 */
constexpr Milliseconds SettlingTime{1'000};
/** Figures of the VM before are taken over only by one that has just started. */
constexpr Milliseconds TakeOverTime{1'000};
/** Requests at which a program that continues elsewhere is assumed to be. */
constexpr std::uint32_t AssumedRequestsSoFar = 3;
constexpr std::size_t MaxProgramsHandedOver = 64;

/** Programs are told to return up to this far ahead. */
constexpr Milliseconds BookingHorizon{20'000};
/** A program that has not returned this long after it was told to is not waited for. */
constexpr Milliseconds BookingGrace{1'500};
constexpr std::size_t MaxBookings = 1'000;
constexpr double ReturnSmoothing = 0.05;
/** Waiting programs count for at least this part in the time that others are told. */
constexpr double LeastReturnRatio = 0.1;
constexpr Milliseconds LongestStartSpread{500};
/** Calls of programs under way are told to return within this time. */
constexpr Milliseconds LongestCallDelay{2'000};
constexpr double LeastRate = 1e-3;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration randomUpTo(Duration most, std::mt19937_64 &random)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, most.count())(random));
}

double startRate(const QuotaState &state, const QuotaLimits &limits)
{
    return std::max(limits.rate, LeastRate) / state.meanRequests;
}

/** Programs that may begin at once; the capacity is enough for their requests. */
double startCapacity(const QuotaState &state, const QuotaLimits &limits)
{
    return 1 + limits.capacity / state.meanRequests;
}

/**
 * Corrects the rate of beginning programs by the level, so that a wrong mean neither leaves quota
 * unused nor cuts off programs: 0 at the end of the overdraft, 1 at half of the capacity, 2 at all
 * of it.
 */
double startRateCorrection(const QuotaState &state, const QuotaLimits &limits)
{
    const double middle = limits.capacity / 2;
    if (state.level >= middle) {
        return state.level / middle;
    }
    return std::max(0.0, (state.level + limits.overdraft) / (middle + limits.overdraft));
}

void learnFrom(QuotaState &state, const QuotaProgram &program)
{
    double requests = std::min<double>(program.granted, RunawayFactor * state.meanRequests);
    if (!program.isComplete) {
        requests = std::max(requests, state.meanRequests);
    }
    state.programsEnded = std::min(state.programsEnded + 1, MeanPrograms);
    state.meanRequests += (requests - state.meanRequests) / (state.programsEnded + 1);
}

void endIdlePrograms(QuotaState &state, SteadyTime now)
{
    while (!state.grants.empty() && state.grants.front().first + ProgramIdleTime <= now) {
        const auto [at, program] = state.grants.front();
        state.grants.pop_front();
        const auto found = state.programs.find(program);
        if (found != state.programs.end() && found->second.lastAt <= at) {
            learnFrom(state, found->second);
            state.programs.erase(found);
        }
    }
}

bool isBooked(const QuotaState &state, const QuotaBooking &booking)
{
    const auto found = state.bookedAt.find(booking.program);
    return found != state.bookedAt.end() && found->second == booking.at;
}

void noteReturn(QuotaState &state, bool returned)
{
    state.returnRatio += ((returned ? 1 : 0) - state.returnRatio) * ReturnSmoothing;
}

void dropOldBookings(QuotaState &state, SteadyTime now)
{
    while (!state.bookings.empty() && state.bookings.front().at + BookingGrace <= now) {
        if (isBooked(state, state.bookings.front())) {
            state.bookedAt.erase(state.bookings.front().program);
            noteReturn(state, false);
        }
        state.bookings.pop_front();
    }
}

/** Programs that may return now, as far as programs do. */
double programsDue(const QuotaState &state, SteadyTime now)
{
    std::size_t due = 0;
    for (const QuotaBooking &booking : state.bookings) {
        if (booking.at > now) {
            break;
        }
        due += isBooked(state, booking) ? 1 : 0;
    }
    return static_cast<double>(due) * state.returnRatio;
}

void start(QuotaState &state, const QuotaLimits &limits, SteadyTime now)
{
    state.startedAt = now;
    state.updatedAt = now;
    state.level = std::min(limits.startAmount, limits.capacity);
    if (state.meanRequests <= 0) {
        state.meanRequests = AssumedMeanRequests;
    }
    state.starts = std::min(1.0, state.level);
}

void update(QuotaState &state, const QuotaLimits &limits, SteadyTime now)
{
    if (!state.startedAt.has_value()) {
        start(state, limits, now);
    }
    endIdlePrograms(state, now);
    dropOldBookings(state, now);
    const bool isSettling = !state.hasPredecessor && now < *state.startedAt + SettlingTime;
    const double seconds = toSeconds(now - state.updatedAt) * (isSettling ? 0.5 : 1);
    state.updatedAt = now;
    state.starts += seconds * startRate(state, limits) * startRateCorrection(state, limits);
    state.starts = std::min(state.starts, startCapacity(state, limits));
    state.level = std::min(state.level + seconds * limits.rate, limits.capacity);
}

/** Requests that the programs under way are expected to need; idle ones are likely to have ended.
 */
double expectedNeed(const QuotaState &state, SteadyTime now)
{
    double need = 0;
    for (const auto &[program, use] : state.programs) {
        const double idle = toSeconds(now - use.lastAt) / toSeconds(ProgramIdleTime);
        need += std::max(0.0, state.meanRequests - use.granted) * std::max(0.0, 1 - idle);
    }
    return need;
}

/** True if a program may begin; programs that were told to return now go before others. */
bool mayStart(const QuotaState &state, const ProgramFingerprint &program, SteadyTime now)
{
    if (state.level < 1) {
        return false;
    }
    const auto booked = state.bookedAt.find(program);
    if (booked != state.bookedAt.end() && now >= booked->second) {
        return state.starts >= 1;
    }
    const double due = programsDue(state, now);
    return state.starts >= 1 + due
        || state.level >= expectedNeed(state, now) + (1 + due) * state.meanRequests;
}

void recordGrant(QuotaState &state, const BucketClaim &claim, bool isFirst, SteadyTime now)
{
    state.level -= 1;
    state.grantedSinceStart += 1;
    if (claim.program == ProgramFingerprint()) {
        return;
    }
    const auto [use, isNew] = state.programs.try_emplace(claim.program);
    use->second.isComplete = isNew ? isFirst : use->second.isComplete;
    use->second.granted += 1;
    use->second.lastAt = now;
    state.grants.emplace_back(now, claim.program);
}

/** Until one program may begin, if no other one comes first. */
Duration timeToNextStart(const QuotaState &state, const QuotaLimits &limits)
{
    const double seconds = std::max(0.0, 1 - state.starts) / startRate(state, limits)
        + std::max(0.0, 1 - state.level) / std::max(limits.rate, LeastRate);
    return std::min<Duration>(fromSeconds(seconds), BookingHorizon);
}

Duration delayOfStart(QuotaState &state, const QuotaLimits &limits,
                      const ProgramFingerprint &program, SteadyTime now, std::mt19937_64 &random)
{
    const double interval = 1 / startRate(state, limits);
    const Duration spread =
        randomUpTo(std::min<Duration>(fromSeconds(interval), LongestStartSpread), random);
    const SteadyTime earliest = now + timeToNextStart(state, limits);
    const auto known = state.bookedAt.find(program);
    if (known != state.bookedAt.end()) {
        // It keeps its place, also if it came back in time and could not begin.
        return std::max(known->second, earliest) - now + spread;
    }
    const Duration step = fromSeconds(interval * std::max(state.returnRatio, LeastReturnRatio));
    const SteadyTime at =
        state.bookings.empty() ? earliest : std::max(earliest, state.bookings.back().at + step);
    if (at > now + BookingHorizon || state.bookings.size() >= MaxBookings) {
        return BookingHorizon + randomUpTo(BookingHorizon / 2, random);
    }
    state.bookings.push_back({at, program});
    state.bookedAt[program] = at;
    return at - now + spread;
}

Duration delayOfCall(QuotaState &state, const QuotaLimits &limits, double missing, SteadyTime now,
                     std::mt19937_64 &random)
{
    const Duration interval = fromSeconds(1 / std::max(limits.rate, LeastRate));
    const Duration wait = fromSeconds(missing * toSeconds(interval));
    state.callsBookedUntil = std::max(now + wait, state.callsBookedUntil + interval);
    state.callsBookedUntil = std::min<SteadyTime>(state.callsBookedUntil, now + LongestCallDelay);
    return state.callsBookedUntil - now + randomUpTo(std::min(interval, wait), random);
}

QuotaDecision decideCall(QuotaState &state, const QuotaLimits &limits, const BucketClaim &claim,
                         SteadyTime now, std::mt19937_64 &random)
{
    const double lowest = claim.program == ProgramFingerprint() ? 0 : -limits.overdraft;
    const double missing = 1 + lowest - state.level;
    if (missing <= 0) {
        recordGrant(state, claim, false, now);
        return {true, {}};
    }
    const auto use = state.programs.find(claim.program);
    if (use != state.programs.end()) {
        use->second.isComplete = false;
    }
    return {false, delayOfCall(state, limits, missing, now, random)};
}

QuotaDecision decideStart(QuotaState &state, const QuotaLimits &limits, const BucketClaim &claim,
                          SteadyTime now, std::mt19937_64 &random)
{
    if (!mayStart(state, claim.program, now)) {
        return {false, delayOfStart(state, limits, claim.program, now, random)};
    }
    if (state.bookedAt.erase(claim.program) > 0) {
        noteReturn(state, true);
    }
    state.starts = std::max(state.starts - 1, 0.0);
    recordGrant(state, claim, true, now);
    return {true, {}};
}

/** A runaway program takes its requests from those of programs that might begin. */
QuotaDecision decideRunaway(QuotaState &state, const QuotaLimits &limits, const BucketClaim &claim,
                            SteadyTime now, std::mt19937_64 &random)
{
    if (!mayStart(state, claim.program, now)) {
        const Duration interval = fromSeconds(1 / startRate(state, limits));
        return {false, interval + randomUpTo(interval, random)};
    }
    state.starts = std::max(state.starts - 1 / state.meanRequests, 0.0);
    recordGrant(state, claim, false, now);
    return {true, {}};
}

} // namespace

double toleratedExcess(const RequestQuota &quota, const QuotaTolerance &tolerance)
{
    const double allowed = quota.rate.value() * toSeconds(tolerance.window) + quota.burst;
    return allowed * tolerance.overage + tolerance.slack;
}

QuotaLimits quotaLimits(const RequestQuota &quota, const QuotaTolerance &tolerance,
                        std::size_t shards, double shareInSight)
{
    const double allowed = quota.rate.value() * toSeconds(tolerance.window) + quota.burst;
    const double excess = toleratedExcess(quota, tolerance);
    // The sides of a partition may together grant PartitionPart of the excess beyond the quota.
    const double fullRateShare = allowed / (allowed + PartitionPart * excess);
    const double share = std::min(1.0, shareInSight / fullRateShare) / static_cast<double>(shards);
    QuotaLimits limits;
    limits.rate = quota.rate.value() * share;
    limits.capacity = std::max(1.0, quota.burst * share);
    limits.overdraft = OverdraftPart * excess * share;
    limits.startAmount = StartPart * excess * share;
    return limits;
}

LocalQuotaLimits localQuotaLimits(const RequestQuota &quota, const QuotaTolerance &tolerance,
                                  std::size_t vms)
{
    // Half of the part may be there at once, and half of it comes in during one span.
    const double half = LocalPart / 2 * toleratedExcess(quota, tolerance);
    const auto count = static_cast<double>(std::max<std::size_t>(vms, 1));
    LocalQuotaLimits limits;
    limits.rate = std::min(quota.rate.value(), half / toSeconds(tolerance.window)) / count;
    limits.capacity = std::min(1.0, half / count);
    return limits;
}

QuotaDecision decideClaim(QuotaState &state, const QuotaLimits &limits, const BucketClaim &claim,
                          SteadyTime now, std::mt19937_64 &random)
{
    update(state, limits, now);
    const auto use = state.programs.find(claim.program);
    const bool isKnown = use != state.programs.end();
    const double runawayAt = std::max(RunawayFactor * state.meanRequests, LeastRunawayRequests);
    if (isKnown && use->second.granted >= runawayAt) {
        return decideRunaway(state, limits, claim, now, random);
    }
    if (isKnown || !claim.mayBegin || claim.program == ProgramFingerprint()) {
        return decideCall(state, limits, claim, now, random);
    }
    return decideStart(state, limits, claim, now, random);
}

void returnGrant(QuotaState &state, const QuotaLimits &limits, const ProgramFingerprint &program)
{
    if (program != ProgramFingerprint()) {
        const auto use = state.programs.find(program);
        if (use == state.programs.end()) {
            return;
        }
        use->second.granted -= 1;
        if (use->second.granted == 0) {
            state.programs.erase(use);
            state.starts = std::min(state.starts + 1, startCapacity(state, limits));
        }
    }
    if (state.grantedSinceStart > 0) {
        state.grantedSinceStart -= 1;
        state.level = std::min(state.level + 1, limits.capacity);
    }
}

void adoptMean(QuotaState &state, double meanRequests)
{
    if (state.programsEnded == 0 && meanRequests >= 1) {
        state.meanRequests = meanRequests;
        state.programsEnded = 1;
    }
}

QuotaHandover handOver(const QuotaState &state)
{
    QuotaHandover handover{state.level, state.starts, state.meanRequests, {}};
    for (auto grant = state.grants.rbegin(); grant != state.grants.rend(); ++grant) {
        const auto use = state.programs.find(grant->second);
        if (use != state.programs.end() && use->second.lastAt == grant->first
            && handover.programs.size() < MaxProgramsHandedOver) {
            handover.programs.push_back(grant->second);
        }
    }
    return handover;
}

void takeOver(QuotaState &state, const QuotaLimits &limits, const QuotaHandover &handover,
              SteadyTime now)
{
    if (!state.startedAt.has_value() || state.hasPredecessor
        || now > *state.startedAt + TakeOverTime) {
        return;
    }
    state.hasPredecessor = true;
    adoptMean(state, handover.meanRequests);
    state.level =
        std::clamp(handover.level - state.grantedSinceStart, -limits.overdraft, limits.capacity);
    state.starts = std::min(handover.starts, startCapacity(state, limits));
    for (const ProgramFingerprint &program : handover.programs) {
        const auto [use, isNew] = state.programs.try_emplace(program);
        if (isNew) {
            use->second = {AssumedRequestsSoFar, now, false};
            state.grants.emplace_back(now, program);
        }
    }
}

bool takeLocalShare(LocalShare &share, const LocalQuotaLimits &limits, SteadyTime now,
                    std::mt19937_64 &random)
{
    if (!share.updatedAt.has_value()) {
        share.level = limits.capacity;
    } else {
        share.level += toSeconds(now - *share.updatedAt) * limits.rate;
    }
    share.updatedAt = now;
    const double level = std::min(share.level, limits.capacity);
    share.level = 0;
    return std::uniform_real_distribution<double>(0, 1)(random) < level;
}

} // namespace boragepath
