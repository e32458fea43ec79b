#include "control/quotas/quota_bucket.h"

#include <algorithm>
#include <chrono>

namespace boragepath {

namespace {

// Parts of the tolerated excess. On one span, with one change of the VM that decides, the
// requests beyond rate x window + burst are at most
//     OverdraftPart         the overdraft of the VM that decided before
//     + StartPart           what the next one grants at once, not knowing what has been granted
//     + FreshOverdraftPart  the overdraft of the next one until a window has passed
//     + LocalPart           what VMs without an answer decide by themselves
//     + PartitionPart       what the sides of a network partition grant beyond their exact shares
//     = 0.87
// of it. The rest is for the time between a grant and the arrival of the request at a replica,
// which moves requests from one span to another.
constexpr double OverdraftPart = 0.35;
constexpr double StartPart = 0.1;
constexpr double FreshOverdraftPart = 0.15;
constexpr double LocalPart = 0.12;
constexpr double PartitionPart = 0.15;
static_assert(OverdraftPart + StartPart + FreshOverdraftPart + LocalPart + PartitionPart <= 0.9);

/** A program without a request for this long has ended. */
constexpr Milliseconds ProgramIdleTime{3'000};
/** Assumed until programs of the organisation have ended. */
constexpr double AssumedMeanRequests = 10;
/** The mean follows a change within about this number of programs. */
constexpr int MeanPrograms = 16;
/** A program with this many times the mean requests has no precedence, and counts for no more. */
constexpr double RunawayFactor = 4;
/** Part of the burst, and of the programs that may begin, that such a program leaves to others. */
constexpr double RunawayReserve = 0.25;
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
constexpr Milliseconds BookingHorizon{10'000};
/** A program that has not returned this long after it was told to is not waited for. */
constexpr Milliseconds ReturnGrace{1'000};
/** Programs that are told to return within this time go before others that come now. */
constexpr Milliseconds ReservationTime{2'000};
/** A program that returns later than this has lost its place. */
constexpr Milliseconds BookingValidity{3'000};
constexpr std::size_t MaxBookings = 1'000;
constexpr double ReturnSmoothing = 0.05;
/** Waiting programs count for at least this part in the time that others are told. */
constexpr double LeastReturnRatio = 0.5;
constexpr Milliseconds LongestStartSpread{500};
/** Programs are told to return this much later, since others may have come a little too early. */
constexpr Milliseconds StartMargin{250};
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

/**
 * Part of the overdraft with which programs may begin: a burst that is smaller than one program
 * would leave much of a low rate unused.
 */
double startOverdraft(const QuotaState &state, const QuotaLimits &limits)
{
    return std::clamp(state.meanRequests - limits.capacity, 0.0, limits.overdraft / 2);
}

/** Programs that may begin at once. */
double startCapacity(const QuotaState &state, const QuotaLimits &limits)
{
    return 1 + (limits.capacity + startOverdraft(state, limits)) / state.meanRequests;
}

/** What calls of programs under way may take in advance now. */
double overdraftNow(const QuotaState &state, const QuotaLimits &limits, SteadyTime now)
{
    const bool isFresh = !state.isSole && now < *state.startedAt + limits.window;
    return isFresh ? limits.freshOverdraft : limits.overdraft;
}

/**
 * Corrects the rate of beginning programs by the level, so that a wrong mean neither leaves quota
 * unused nor cuts off programs: 0 at the end of the overdraft, 1 in the middle, 2 at the capacity.
 */
double startRateCorrection(const QuotaState &state, const QuotaLimits &limits)
{
    const double middle = limits.capacity / 2 - startOverdraft(state, limits);
    if (state.level >= middle) {
        return 1 + (state.level - middle) / (limits.capacity - middle);
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

void noteReturn(QuotaState &state, bool returned)
{
    state.returnRatio += ((returned ? 1 : 0) - state.returnRatio) * ReturnSmoothing;
}

void dropOldBookings(QuotaState &state, SteadyTime now)
{
    while (!state.bookings.empty() && state.bookings.front().at + BookingValidity <= now) {
        if (!state.bookings.front().hasReturned) {
            noteReturn(state, false);
        }
        state.bookings.pop_front();
    }
}

auto findBooking(QuotaState &state, const ProgramFingerprint &program)
{
    return std::find_if(state.bookings.begin(), state.bookings.end(),
                        [&](const QuotaBooking &booking) { return booking.program == program; });
}

/**
 * Programs that may begin now but are kept for those that were told to return now or soon, before
 * @p program, as far as programs return.
 */
double startsReserved(const QuotaState &state, const QuotaLimits &limits,
                      const ProgramFingerprint &program, SteadyTime now)
{
    double expected = 0;
    double reserved = 0;
    for (const QuotaBooking &booking : state.bookings) {
        if (booking.at > now + ReservationTime || booking.program == program) {
            break;
        }
        if (booking.hasReturned) {
            expected += 1;
        } else if (now < booking.at + ReturnGrace) {
            expected += state.returnRatio;
        }
        const double untilThen = std::max(0.0, toSeconds(booking.at - now));
        reserved = std::max(reserved, expected - untilThen * startRate(state, limits));
    }
    return reserved;
}

void start(QuotaState &state, const QuotaLimits &limits, SteadyTime now)
{
    state.startedAt = now;
    state.updatedAt = now;
    if (state.meanRequests <= 0) {
        state.meanRequests = AssumedMeanRequests;
    }
    state.level = std::min(limits.startAmount, limits.capacity);
    state.starts = std::min(1.0, state.level);
}

void update(QuotaState &state, const QuotaLimits &limits, SteadyTime now)
{
    if (!state.startedAt.has_value()) {
        start(state, limits, now);
    }
    endIdlePrograms(state, now);
    dropOldBookings(state, now);
    double seconds = toSeconds(now - state.updatedAt);
    if (!state.isSole) {
        const SteadyTime settledAt = *state.startedAt + SettlingTime;
        seconds -= std::max(0.0, toSeconds(std::min(now, settledAt) - state.updatedAt)) / 2;
    }
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
bool mayStart(QuotaState &state, const QuotaLimits &limits, const ProgramFingerprint &program,
              SteadyTime now)
{
    if (state.level < 1 - startOverdraft(state, limits)) {
        return false;
    }
    const auto booking = findBooking(state, program);
    if (booking != state.bookings.end() && now >= booking->at) {
        return state.starts >= 1;
    }
    const double reserved = startsReserved(state, limits, program, now);
    // Those that have not returned must not be waited for when no more can be saved for them.
    return state.starts >= std::min(1 + reserved, startCapacity(state, limits))
        || state.level >= expectedNeed(state, now) + (1 + reserved) * state.meanRequests;
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

/** Until a program may begin if @p ahead others come first. */
Duration timeToStart(const QuotaState &state, const QuotaLimits &limits, double ahead)
{
    const double seconds = std::max(0.0, 1 + ahead - state.starts) / startRate(state, limits)
        + std::max(0.0, 1 - startOverdraft(state, limits) - state.level)
            / std::max(limits.rate, LeastRate);
    return fromSeconds(std::min(seconds, toSeconds(BookingHorizon)));
}

Duration delayOfStart(QuotaState &state, const QuotaLimits &limits,
                      const ProgramFingerprint &program, SteadyTime now, std::mt19937_64 &random)
{
    const double interval = 1 / startRate(state, limits);
    const Duration spread = std::min<Duration>(fromSeconds(2 * interval), StartMargin)
        + randomUpTo(std::min<Duration>(fromSeconds(interval), LongestStartSpread), random);
    const SteadyTime earliest =
        now + timeToStart(state, limits, startsReserved(state, limits, program, now));
    const auto known = findBooking(state, program);
    if (known != state.bookings.end()) {
        // It keeps its place, also if it came back in time and could not begin.
        return std::max(known->at, earliest) - now + spread;
    }
    const Duration step = fromSeconds(interval * std::max(state.returnRatio, LeastReturnRatio));
    const SteadyTime at =
        state.bookings.empty() ? earliest : std::max(earliest, state.bookings.back().at + step);
    if (at >= now + BookingHorizon || state.bookings.size() >= MaxBookings) {
        return BookingHorizon + randomUpTo(BookingHorizon / 2, random);
    }
    state.bookings.push_back({at, program});
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
    const double lowest =
        claim.program == ProgramFingerprint() ? 0 : -overdraftNow(state, limits, now);
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
    const auto booking = findBooking(state, claim.program);
    const bool isBooked = booking != state.bookings.end();
    if (isBooked && now >= booking->at && !booking->hasReturned) {
        booking->hasReturned = true;
        noteReturn(state, true);
    }
    if (!mayStart(state, limits, claim.program, now)) {
        return {false, delayOfStart(state, limits, claim.program, now, random)};
    }
    if (isBooked) {
        state.bookings.erase(booking);
    }
    state.starts = std::max(state.starts - 1, 0.0);
    recordGrant(state, claim, true, now);
    return {true, {}};
}

/** A runaway program takes its requests from those of programs that might begin, if many may. */
QuotaDecision decideRunaway(QuotaState &state, const QuotaLimits &limits, const BucketClaim &claim,
                            SteadyTime now, std::mt19937_64 &random)
{
    const bool leavesReserve = state.level >= 1 + RunawayReserve * limits.capacity
        && state.starts >= 1 + RunawayReserve * (startCapacity(state, limits) - 1);
    if (!leavesReserve) {
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
    limits.freshOverdraft = FreshOverdraftPart * excess * share;
    limits.window = tolerance.window;
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

void startFull(QuotaState &state, const QuotaLimits &limits, SteadyTime now)
{
    start(state, limits, now);
    state.isSole = true;
    state.level = limits.capacity;
    state.starts = startCapacity(state, limits);
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
    if (!state.startedAt.has_value() || state.isSole || now > *state.startedAt + TakeOverTime) {
        return;
    }
    state.isSole = true;
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
