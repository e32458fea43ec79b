#include "tests/support/paced_fleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>

namespace boragepath {

namespace {

constexpr Milliseconds Tick{5};
constexpr std::size_t Vms = 80;
constexpr int Replicas = 40;
constexpr std::int64_t Slots = 8;
constexpr int TurnsOfProgram = 4;
constexpr double MeanTurnMillis = 800;
constexpr Milliseconds Pause{500};
constexpr double Interference = 2.5;
constexpr double InterferenceShare = 0.15;
constexpr double InterferenceMillis = 600;
/** Waiting turns of a VM that are looked at in one tick. */
constexpr int MaxLooks = 4;
/** Work between two events of an answer. */
constexpr double EventMillis = 40;
const PoolName Service("engine");

double toMillisOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

PacedFleet::PacedFleet(const Setup &setup)
    : m_setup(setup)
    , m_random(setup.seed)
    , m_queues(Vms)
{
    double slotSpeed = 0;
    for (int index = 0; index < Replicas; ++index) {
        Replica replica;
        replica.entry.id = ReplicaId(absl::StrCat("engine-", index));
        replica.entry.service = Service;
        replica.entry.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(index + 1)};
        replica.entry.slots = Slots;
        replica.slowness = index % 2 == 0 ? 0.55 : 1.2;
        slotSpeed += Slots / replica.slowness / (1 + InterferenceShare * (Interference - 1));
        m_replicas.push_back(std::move(replica));
    }
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        m_tables.push_back(std::make_unique<ReplicaTable>(m_clock));
        for (const Replica &replica : m_replicas) {
            m_tables.back()->put(replica.entry);
        }
    }
    const double programMillis =
        MeanTurnMillis * TurnsOfProgram + static_cast<double>(setup.promptWork.count());
    m_programsPerTick = setup.load * slotSpeed * static_cast<double>(Tick.count()) / programMillis;
}

TurnTimes PacedFleet::run(Duration duration)
{
    const SteadyTime end = m_clock.now() + duration;
    const SteadyTime lastEnd = end + duration;
    m_countFrom = m_clock.now() + duration / 3;
    while (m_clock.now() < end || (m_openTurns > 0 && m_clock.now() < lastEnd)) {
        m_clock.advance(Tick);
        for (Replica &replica : m_replicas) {
            work(replica);
        }
        for (std::deque<Turn> &queue : m_queues) {
            serveQueue(queue);
        }
        while (!m_paused.empty() && m_paused.begin()->first <= m_clock.now()) {
            place(m_paused.extract(m_paused.begin()).mapped());
        }
        if (m_clock.now() < end) {
            beginPrograms();
        }
    }
    m_turnMillis.insert(m_turnMillis.end(), m_openTurns, toMillisOf(duration));
    TurnTimes times;
    std::sort(m_turnMillis.begin(), m_turnMillis.end());
    times.turns = m_turnMillis.size();
    times.mean = std::accumulate(m_turnMillis.begin(), m_turnMillis.end(), 0.0)
        / static_cast<double>(times.turns);
    times.p95 = m_turnMillis[times.turns * 95 / 100];
    return times;
}

void PacedFleet::beginPrograms()
{
    const int programs = std::poisson_distribution<int>(m_programsPerTick)(m_random);
    for (int program = 0; program < programs; ++program) {
        Turn turn;
        turn.program = absl::StrCat("program-", m_programs++);
        turn.vm = m_random() % Vms;
        place(std::move(turn));
    }
}

void PacedFleet::place(Turn turn)
{
    m_openTurns += 1;
    turn.begunAt = m_clock.now();
    turn.workMillis = MeanTurnMillis * (0.5 + uniform());
    turn.eventMillis = turn.workMillis;
    turn.runningMillis = 0;
    if (!m_setup.keepsVm) {
        turn.vm = m_random() % Vms;
    }
    if (!tryPlace(turn)) {
        m_queues[turn.vm].push_back(std::move(turn));
    }
}

void PacedFleet::serveQueue(std::deque<Turn> &queue)
{
    int looks = 0;
    for (auto turn = queue.begin(); turn != queue.end() && looks < MaxLooks; ++looks) {
        turn = tryPlace(*turn) ? queue.erase(turn) : std::next(turn);
    }
}

bool PacedFleet::tryPlace(const Turn &turn)
{
    ReplicaTable &table = *m_tables[turn.vm];
    PlacementRequest request;
    request.service = Service;
    request.affinityKey = turn.program;
    request.warmReplica = turn.warmReplica;
    const ReplicaState *chosen = chooseReplica(table, request, m_clock.now());
    if (chosen == nullptr || isFull(*chosen, m_clock.now())) {
        return false;
    }
    table.beginRequest(chosen->entry.id);
    const auto replica =
        std::find_if(m_replicas.begin(), m_replicas.end(),
                     [&](const Replica &item) { return item.entry.id == chosen->entry.id; });
    Turn sent = turn;
    sent.promptMillis =
        sent.warmReplica == replica->entry.id ? 0 : static_cast<double>(m_setup.promptWork.count());
    replica->waiting.push_back(std::move(sent));
    return true;
}

void PacedFleet::work(Replica &replica)
{
    const auto tickMillis = static_cast<double>(Tick.count());
    const double spanEnds = tickMillis / InterferenceMillis;
    const double spanBegins = spanEnds * InterferenceShare / (1 - InterferenceShare);
    if (uniform() < (replica.isSlowed ? spanEnds : spanBegins)) {
        replica.isSlowed = !replica.isSlowed;
    }
    const double done = tickMillis / replica.slowness / (replica.isSlowed ? Interference : 1);
    for (auto turn = replica.running.begin(); turn != replica.running.end();) {
        if (turn->promptMillis > 0) {
            turn->promptMillis -= done;
        } else {
            turn->eventMillis -= done;
            turn->runningMillis += tickMillis;
        }
        if (turn->eventMillis > 0) {
            ++turn;
            continue;
        }
        const Turn ended = std::move(*turn);
        turn = replica.running.erase(turn);
        answer(replica, ended);
    }
    while (!replica.waiting.empty() && std::ssize(replica.running) < Slots) {
        replica.running.push_back(std::move(replica.waiting.front()));
        replica.waiting.pop_front();
    }
}

void PacedFleet::answer(Replica &replica, const Turn &turn)
{
    const SteadyTime now = m_clock.now();
    ReplicaObservation observation;
    observation.load =
        ReportedLoad{std::ssize(replica.running), std::ssize(replica.waiting), Slots};
    observation.latency = now - turn.begunAt;
    observation.eventInterval =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
            turn.runningMillis * EventMillis / turn.workMillis));
    if (m_setup.reportsPace) {
        const ReplicaPace pace(replica.isSlowed ? 250 : 100);
        observation.load->pace = pace;
        m_tables[turn.vm]->notePace(incarnationOf(replica.entry), pace, now);
    }
    m_tables[turn.vm]->endRequest(replica.entry.id, observation);
    if (turn.begunAt >= m_countFrom) {
        m_turnMillis.push_back(
            std::chrono::duration<double, std::milli>(now - turn.begunAt).count());
    }
    m_openTurns -= 1;
    if (turn.number + 1 < TurnsOfProgram) {
        Turn next = turn;
        next.number += 1;
        next.warmReplica = replica.entry.id;
        m_paused.emplace(now + Pause, std::move(next));
    }
}

} // namespace boragepath
