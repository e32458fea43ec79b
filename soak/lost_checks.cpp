#include "soak/lost_checks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace boragepath::soak {

namespace {

/** A close that arrives sooner after the last byte may have crossed the request. */
constexpr Milliseconds CrossingTime{200};
/** Cuts until then after SIGTERM belong to the stop. */
constexpr Seconds StopWindow = StopGrace + Seconds(1);
/** Replicas that are still at work then on early requests may be cut off. */
constexpr Milliseconds LastSixth = Milliseconds(StopGrace) * 5 / 6;
constexpr Milliseconds EarlyInStop{3'000};
/** Settings and configurations have taken effect by then (bounds.configApplyMs). */
constexpr Milliseconds ApplyTime{2'000};
constexpr Milliseconds ConfigurationWindow = ApplyTime + Milliseconds(1'000);
/** Requests that have used this much of their time do not count beside a configuration. */
constexpr Milliseconds MostOfTheTime = CallDeadline * 7 / 10;
constexpr double MoreOftenThanUsual = 3;
constexpr std::size_t MaxCutOnKeptConnections = 3;
constexpr std::size_t MinTries = 5;
/** Shares of first turns, and of other turns after a final fault, that must reach replicas. */
constexpr double FirstTurnsServed = 0.9;
constexpr double OthersServed = 0.8;
constexpr std::size_t MinOthers = 5;
constexpr Milliseconds LastTurnsWindow{4'000};

/** A turn with all its tries. */
struct Turn
{
    std::vector<const CallFacts *> tries;

    SteadyTime sentAt() const { return tries.front()->sentAt; }
    SteadyTime endedAt() const { return tries.back()->connection.endedAt; }
    bool reachedReplica() const
    {
        return std::any_of(tries.begin(), tries.end(),
                           [](const CallFacts *call) { return !call->runs.empty(); });
    }
};

/** The latest of @p times that is not after @p time. */
std::optional<SteadyTime> latestUntil(const std::vector<SteadyTime> &times, SteadyTime time)
{
    const auto after = std::upper_bound(times.begin(), times.end(), time);
    return after == times.begin() ? std::nullopt : std::optional(*std::prev(after));
}

std::optional<SteadyTime> stopAround(const CallFacts &call, const FaultHistory &history)
{
    const SteadyTime endedAt = call.connection.endedAt;
    const std::optional<SteadyTime> stop = latestUntil(history.stopsOf(call.front), endedAt);
    return stop.has_value() && endedAt <= *stop + StopWindow ? stop : std::nullopt;
}

bool isBesideConfiguration(const CallFacts &call, const FaultHistory &history)
{
    const SteadyTime endedAt = call.connection.endedAt;
    const std::optional<SteadyTime> change = latestUntil(history.configurations(), endedAt);
    return change.has_value() && endedAt <= *change + ConfigurationWindow;
}

std::string describe(const CallFacts &call)
{
    const auto millis = [&](SteadyTime time) { return toMillis(time - call.sentAt); };
    std::string text =
        absl::StrCat("sent to ", call.front.text(), ", status ", call.status, ", ended ",
                     millis(call.connection.endedAt), " ms later by a ",
                     call.connection.end == CallEnd::Closed ? "close" : "reset", ", ",
                     call.connection.callsBefore, " calls before on its connection");
    for (const RunFacts &run : call.runs) {
        absl::StrAppend(&text, ", run by ", run.replica,
                        run.endedAt.has_value() ? absl::StrCat(" until ", millis(*run.endedAt))
                                                : std::string(" without end"));
    }
    return text;
}

std::string describeStop(const CallFacts &call, const FaultHistory &history)
{
    const SteadyTime stop = *stopAround(call, history);
    return absl::StrCat("sent ", toMillis(call.sentAt - stop), " ms and cut ",
                        toMillis(call.connection.endedAt - stop), " ms after SIGTERM; ",
                        describe(call));
}

/** Calls and cuts of a kind of times. */
struct CutShare
{
    std::size_t calls = 0;
    std::vector<const CallFacts *> cuts;
};

/** Cuts beside a new configuration, if they are much more frequent than others. */
void addCutByConfiguration(const std::vector<CallFacts> &calls, const FaultHistory &history,
                           std::vector<LostCall> &lost)
{
    CutShare beside;
    CutShare otherwise;
    for (const CallFacts &call : calls) {
        const bool usedUp = call.connection.endedAt >= call.sentAt + MostOfTheTime;
        if (usedUp || !hasNoOtherCause(call, history) || stopAround(call, history).has_value()
            || isCutByReload(call, history)) {
            continue;
        }
        CutShare &share = isBesideConfiguration(call, history) ? beside : otherwise;
        share.calls += 1;
        if (isCut(call)) {
            share.cuts.push_back(&call);
        }
    }
    const auto rate = [](const CutShare &share) {
        return static_cast<double>(share.cuts.size())
            / static_cast<double>(std::max<std::size_t>(1, share.calls));
    };
    if (rate(beside) <= MoreOftenThanUsual * rate(otherwise)) {
        return;
    }
    for (const CallFacts *call : beside.cuts) {
        lost.push_back({"LOST-CONFIG", call->id,
                        absl::StrCat("cut beside a configuration, as ", beside.cuts.size(), " of ",
                                     beside.calls, " then and ", otherwise.cuts.size(), " of ",
                                     otherwise.calls, " otherwise; ", describe(*call))});
    }
}

void addCutOnKeptConnections(const std::vector<CallFacts> &calls, const FaultHistory &history,
                             std::vector<LostCall> &lost)
{
    std::vector<const CallFacts *> cuts;
    for (const CallFacts &call : calls) {
        if (isCutOnKeptConnection(call, history)) {
            cuts.push_back(&call);
        }
    }
    if (cuts.size() <= MaxCutOnKeptConnections) {
        return;
    }
    for (const CallFacts *call : cuts) {
        lost.push_back({"LOST-KEPT", call->id,
                        absl::StrCat("one of ", cuts.size(), " in touch; ", describe(*call))});
    }
}

/** Calls by id, and stored turns with their tries. */
struct TurnIndex
{
    std::map<std::string, const CallFacts *> calls;
    std::map<std::string, Turn> turns;
};

TurnIndex indexOf(const std::vector<CallFacts> &calls)
{
    TurnIndex index;
    for (const CallFacts &call : calls) {
        index.calls[call.id] = &call;
        if (call.isStoredTurn) {
            index.turns[call.firstTry].tries.push_back(&call);
        }
    }
    return index;
}

/** The turn names one that was answered whole, and not so long ago that it need not be kept. */
bool continuesKeptTurn(const Turn &turn, const TurnIndex &index)
{
    const auto previous = index.calls.find(turn.tries.front()->previousTurn);
    return previous != index.calls.end() && previous->second->isWhole
        && turn.endedAt() < previous->second->connection.endedAt + TurnKeepTime;
}

bool hasBudgetLeft(const Turn &turn, const std::vector<CallFacts> &calls)
{
    const CallFacts &first = *turn.tries.front();
    return tokensAtMost(calls, first.program, turn.endedAt()) + first.maxTokens <= first.budget;
}

/** The replicas that run turns were under half full when each try of a turn was sent. */
bool replicasHadRoom(const Turn &turn, const std::vector<CallFacts> &calls,
                     const FaultHistory &history)
{
    const auto runningAt = [&](SteadyTime time) {
        std::size_t running = 0;
        for (const CallFacts &call : calls) {
            running += static_cast<std::size_t>(
                call.maxTokens == 0
                    ? 0
                    : std::count_if(call.runs.begin(), call.runs.end(), [&](const RunFacts &run) {
                          return run.startedAt <= time && run.endedAt.value_or(time) >= time;
                      }));
        }
        return running;
    };
    return std::all_of(turn.tries.begin(), turn.tries.end(), [&](const CallFacts *call) {
        return 2 * runningAt(call->sentAt) < history.turnSlots();
    });
}

/** Of the turns without a previous one that were sent in a span, at least this share is served. */
bool firstTurnsAreServed(const TurnIndex &index, SteadyTime from, SteadyTime to, double share)
{
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto &[id, turn] : index.turns) {
        if (turn.tries.front()->previousTurn.empty() && turn.sentAt() >= from
            && turn.sentAt() <= to) {
            sent += 1;
            served += turn.reachedReplica() ? 1 : 0;
        }
    }
    return sent >= MinOthers && static_cast<double>(served) >= share * static_cast<double>(sent);
}

std::string describeTries(const Turn &turn, const std::vector<CallFacts> &calls)
{
    const CallFacts &first = *turn.tries.front();
    std::string text =
        absl::StrCat("program ", first.program, " has used at most ",
                     tokensAtMost(calls, first.program, turn.endedAt()), " of ", first.budget,
                     " tokens, continues ", first.previousTurn, ", tries:");
    for (const CallFacts *call : turn.tries) {
        absl::StrAppend(&text, " ", call->id, " at ", call->front.text(), " (", call->status, ")");
    }
    return text;
}

/** In calm, in five tries or more at VMs in touch, no replica was reached though others are. */
bool isRefusedInCalm(const Turn &turn, const TurnIndex &index, const std::vector<CallFacts> &calls,
                     const FaultHistory &history)
{
    const auto inTouch = [&](const CallFacts *call) {
        return history.isInTouch(call->front, call->sentAt - ContactTime, call->connection.endedAt);
    };
    const auto tries = std::count_if(turn.tries.begin(), turn.tries.end(), inTouch);
    const SteadyTime from = turn.sentAt() - ContactTime;
    return static_cast<std::size_t>(tries) >= MinTries && history.isAllCalm(from, turn.endedAt())
        && firstTurnsAreServed(index, from, turn.endedAt(), FirstTurnsServed)
        && hasBudgetLeft(turn, calls) && replicasHadRoom(turn, calls, history);
}

/** Sent when all VMs had long been back after a loss of power, in calm; others are served. */
bool isLostWithPower(const Turn &turn, const TurnIndex &index, const std::vector<CallFacts> &calls,
                     const FaultHistory &history)
{
    const CallFacts &previous = *index.calls.at(turn.tries.front()->previousTurn);
    const std::optional<SteadyTime> loss = latestUntil(history.powerLosses(), turn.sentAt());
    if (!loss.has_value() || previous.connection.endedAt > *loss) {
        return false;
    }
    const std::optional<SteadyTime> back = history.backAfter(*loss);
    const SteadyTime calmSince = back.value_or(*loss) + Milliseconds(1);
    const SteadyTime from = turn.endedAt() - LastTurnsWindow;
    return back.has_value() && turn.sentAt() >= *back + RecoveryBound
        && history.isAllCalm(calmSince, turn.endedAt())
        && firstTurnsAreServed(index, from, turn.endedAt(), OthersServed)
        && hasBudgetLeft(turn, calls);
}

void addLostTurns(const std::vector<CallFacts> &calls, const FaultHistory &history,
                  std::vector<LostCall> &lost)
{
    const TurnIndex index = indexOf(calls);
    for (const auto &[id, turn] : index.turns) {
        if (turn.reachedReplica() || !continuesKeptTurn(turn, index)) {
            continue;
        }
        if (isLostWithPower(turn, index, calls, history)) {
            lost.push_back({"LOST-POWER", id, describeTries(turn, calls)});
        } else if (isRefusedInCalm(turn, index, calls, history)) {
            lost.push_back({"LOST-TURN", id, describeTries(turn, calls)});
        }
    }
}

} // namespace

bool isCut(const CallFacts &call)
{
    const ConnectionFacts &connection = call.connection;
    const bool endedByVm = connection.end == CallEnd::Closed || connection.end == CallEnd::Reset;
    const bool wasTakenIn = connection.end == CallEnd::Closed
        && connection.endedAt > connection.lastByteAt + CrossingTime;
    return endedByVm && (!call.runs.empty() || wasTakenIn);
}

bool hasNoOtherCause(const CallFacts &call, const FaultHistory &history)
{
    const SteadyTime from = call.sentAt - ContactTime;
    const SteadyTime to = call.connection.endedAt;
    const bool replicasCalm =
        std::all_of(call.runs.begin(), call.runs.end(), [&](const RunFacts &run) {
            return history.isReplicaCalm(run.replica, from, to);
        });
    const bool brokeOff = !call.runs.empty() && call.runs.back().brokeOff;
    return replicasCalm && !brokeOff && to < call.sentAt + CallDeadline
        && history.isCalm(call.front, from, to);
}

bool isCutByStop(const CallFacts &call, const FaultHistory &history)
{
    const std::optional<SteadyTime> stop = stopAround(call, history);
    if (!stop.has_value() || !isCut(call) || !hasNoOtherCause(call, history)) {
        return false;
    }
    const bool atWorkLate =
        std::any_of(call.runs.begin(), call.runs.end(), [&](const RunFacts &run) {
            return !run.endedAt.has_value() || *run.endedAt >= *stop + LastSixth;
        });
    return !atWorkLate || call.sentAt > *stop + EarlyInStop;
}

bool isCutByReload(const CallFacts &call, const FaultHistory &history)
{
    const std::optional<SteadyTime> reload =
        latestUntil(history.reloadsOf(call.front), call.connection.endedAt);
    return reload.has_value() && call.sentAt <= *reload + ApplyTime && isCut(call)
        && hasNoOtherCause(call, history);
}

bool isCutOnKeptConnection(const CallFacts &call, const FaultHistory &history)
{
    const SteadyTime from = call.sentAt - ContactTime;
    return call.connection.callsBefore > 0 && call.status == 0 && !call.runs.empty() && isCut(call)
        && hasNoOtherCause(call, history)
        && history.isInTouch(call.front, from, call.connection.endedAt);
}

std::int64_t tokensAtMost(const std::vector<CallFacts> &calls, const std::string &program,
                          SteadyTime time)
{
    std::int64_t tokens = 0;
    for (const CallFacts &call : calls) {
        if (call.program != program || call.runs.empty() || call.sentAt > time) {
            continue;
        }
        const bool isSettled = call.isWhole && call.connection.endedAt + SettlementTime <= time;
        tokens += isSettled ? call.tokens : call.maxTokens;
    }
    return tokens;
}

std::vector<LostCall> lostCalls(const std::vector<CallFacts> &calls, const FaultHistory &history)
{
    std::vector<LostCall> lost;
    for (const CallFacts &call : calls) {
        if (isCutByStop(call, history)) {
            lost.push_back({"LOST-STOP", call.id, describeStop(call, history)});
        } else if (!stopAround(call, history).has_value() && isCutByReload(call, history)) {
            lost.push_back({"LOST-RELOAD", call.id, describe(call)});
        }
    }
    addCutByConfiguration(calls, history, lost);
    addCutOnKeptConnections(calls, history, lost);
    addLostTurns(calls, history, lost);
    return lost;
}

} // namespace boragepath::soak
