#pragma once

#include "control/admission/organisations.h"
#include "core/clock.h"
#include "core/strong_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace boragepath {

/** Hash of a program's id; 0 for a call that belongs to no program. */
using ProgramFingerprint = StrongType<std::int64_t, struct ProgramFingerprintTag>;

/** By how much all VMs together may exceed a quota. */
struct QuotaTolerance
{
    /** Length of the spans on which requests are counted. */
    Milliseconds window{5'000};
    /** As a part of the requests that the quota allows on one span. */
    double overage = 0.1;
    /** Requests on top of that. */
    double slack = 20;

    friend bool operator==(const QuotaTolerance &, const QuotaTolerance &) = default;
};

/** Answer to a claim on a quota. */
struct QuotaDecision
{
    bool granted = false;
    /** If it was not granted, the time after which it is worth asking again. */
    Duration delay{0};

    friend bool operator==(const QuotaDecision &, const QuotaDecision &) = default;
};

/** What one VM may grant for a quota, or for one shard of it. */
struct QuotaLimits
{
    /** Requests per second. */
    double rate = 0;
    /** Requests that may be granted at once after a pause; at least 1. */
    double capacity = 1;
    /** Requests that calls of programs under way may take in advance. */
    double overdraft = 0;
    /** The same until @c window has passed since the start, if another VM may have granted too. */
    double freshOverdraft = 0;
    Duration window{0};
    /** Requests that may be granted at once by a VM that starts, at most @c capacity. */
    double startAmount = 0;
};

/** What a VM may grant that gets no answer from the one that decides. */
struct LocalQuotaLimits
{
    /** Requests per second; well below 1 in large fleets. */
    double rate = 0;
    /** Requests, at most 1. */
    double capacity = 0;
};

/** The requests that all VMs may grant beyond the quota on one span, for @p quota. */
double toleratedExcess(const RequestQuota &quota, const QuotaTolerance &tolerance);
/**
 * The limits of a VM that decides for one of @p shards shards of a quota.
 *
 * @param shareInSight the VMs that it sees as a part of all, 0 to 1.
 */
QuotaLimits quotaLimits(const RequestQuota &quota, const QuotaTolerance &tolerance,
                        std::size_t shards, double shareInSight);
/** The limits of one of @p vms VMs, all of which may decide without an answer. */
LocalQuotaLimits localQuotaLimits(const RequestQuota &quota, const QuotaTolerance &tolerance,
                                  std::size_t vms);

/** The requests that have been granted to one program. */
struct QuotaProgram
{
    std::uint32_t granted = 0;
    SteadyTime lastAt;
    /** All of its requests are counted in @c granted, as it began here and none was refused. */
    bool isComplete = false;
};

/** A program that was told when to ask again. */
struct QuotaBooking
{
    SteadyTime at;
    ProgramFingerprint program;
    /** It has come back, and could not begin yet. */
    bool hasReturned = false;
};

/** What the VM that decides knows about one organisation's quota, or one shard of it. */
struct QuotaState
{
    /** None if nothing has been decided yet. */
    std::optional<SteadyTime> startedAt;
    SteadyTime updatedAt;
    /** Requests that may be granted; negative after grants in advance. */
    double level = 0;
    /** Programs that may begin. */
    double starts = 0;
    double grantedSinceStart = 0;
    /** No other VM grants: it has handed over its state, or there was none for long. */
    bool isSole = false;
    /** Requests of a program on average, and on how many programs that is based. */
    double meanRequests = 0;
    int programsEnded = 0;
    /** Programs with a grant in the last seconds. */
    std::map<ProgramFingerprint, QuotaProgram> programs;
    /** The grants behind @c programs, oldest first. */
    std::deque<std::pair<SteadyTime, ProgramFingerprint>> grants;
    /** By time; a few tens of them are due at once. */
    std::deque<QuotaBooking> bookings;
    /** Part of the programs with a booking that have returned, smoothed. */
    double returnRatio = 0.5;
    /** Calls of programs under way have been told to return up to this time. */
    SteadyTime callsBookedUntil;
};

/** One call that needs a request of a quota. */
struct BucketClaim
{
    ProgramFingerprint program;
    /** The call may be the first one of its program. */
    bool mayBegin = false;
};

/** What a VM hands over to the one that decides after it. */
struct QuotaHandover
{
    double level = 0;
    double starts = 0;
    double meanRequests = 0;
    std::vector<ProgramFingerprint> programs;
};

/**
 * Decides on one claim.
 *
 * Calls of programs under way go first and may overdraw the quota. A call that may begin a program
 * also needs one of the programs that may begin, which come in at the rate of the quota divided by
 * the mean requests of a program. A call without a program needs a request that is there.
 *
 * @p state is empty before the first decision. @p now must not go back.
 */
QuotaDecision decideClaim(QuotaState &state, const QuotaLimits &limits, const BucketClaim &claim,
                          SteadyTime now, std::mt19937_64 &random);
/** Returns a request that was granted to the program but then did not run. */
void returnGrant(QuotaState &state, const QuotaLimits &limits, const ProgramFingerprint &program);
/**
 * Starts the empty @p state with a full burst. Only for a VM that knows that no VM has granted
 * anything for as long as a window.
 */
void startFull(QuotaState &state, const QuotaLimits &limits, SteadyTime now);
/** Uses @p meanRequests, which another VM has learned, if nothing is known here. */
void adoptMean(QuotaState &state, double meanRequests);
/** The figures for the VM that decides from now on; the caller has to discard @p state. */
QuotaHandover handOver(const QuotaState &state);
/** Takes over the figures of the VM that decided before, if @p state has just been started. */
void takeOver(QuotaState &state, const QuotaLimits &limits, const QuotaHandover &handover,
              SteadyTime now);

/** The part of a VM's own small share that it has not used. */
struct LocalShare
{
    std::optional<SteadyTime> updatedAt;
    double level = 0;
};

/**
 * Decides without an answer of the VM that decides for the organisation. A share below one request
 * is granted with that probability, so that the VMs together use the sum of their shares.
 */
bool takeLocalShare(LocalShare &share, const LocalQuotaLimits &limits, SteadyTime now,
                    std::mt19937_64 &random);

} // namespace boragepath
