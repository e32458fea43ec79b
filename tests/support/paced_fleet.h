#pragma once

#include "control/replica_table.h"
#include "tests/support/manual_clock.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace boragepath {

/** Turn times of a simulated run, in milliseconds. */
struct TurnTimes
{
    double mean = 0;
    double p95 = 0;
    std::size_t turns = 0;
};

/**
 * VMs that send the turns of random programs to replicas whose speed changes, in simulated time.
 * Half of the replicas are lastingly fast, the others slow, and each is slowed by interference for
 * a part of the time. VMs learn of it from answers only.
 */
class PacedFleet
{
public:
    struct Setup
    {
        /** Turns per second, as a part of what the replicas can serve. */
        double load = 0.5;
        /** Answers report the pace. */
        bool reportsPace = true;
        /** The turns of a program come to the same VM. */
        bool keepsVm = false;
        /** Work to read a prompt again. */
        Milliseconds promptWork{400};
        std::uint64_t seed = 1;
    };

    explicit PacedFleet(const Setup &setup);
    /** Runs for @p duration; turns that begin in its first third are not counted. */
    TurnTimes run(Duration duration);

private:
    struct Turn
    {
        std::string program;
        int number = 0;
        std::size_t vm = 0;
        ReplicaId warmReplica;
        SteadyTime begunAt;
        /** Work of the whole answer, and what is left of it. */
        double workMillis = 0;
        double eventMillis = 0;
        double promptMillis = 0;
        /** Time spent on events, for the measured interval. */
        double runningMillis = 0;
    };
    struct Replica
    {
        ReplicaEntry entry;
        double slowness = 1;
        bool isSlowed = false;
        std::list<Turn> running;
        std::deque<Turn> waiting;
    };

    double uniform() { return std::uniform_real_distribution<double>()(m_random); }
    void beginPrograms();
    void place(Turn turn);
    void serveQueue(std::deque<Turn> &queue);
    bool tryPlace(const Turn &turn);
    void work(Replica &replica);
    void answer(Replica &replica, const Turn &turn);

    Setup m_setup;
    std::mt19937_64 m_random;
    ManualClock m_clock;
    double m_programsPerTick = 0;
    std::vector<Replica> m_replicas;
    std::vector<std::unique_ptr<ReplicaTable>> m_tables;
    std::vector<std::deque<Turn>> m_queues;
    std::multimap<SteadyTime, Turn> m_paused;
    SteadyTime m_countFrom;
    std::vector<double> m_turnMillis;
    std::size_t m_openTurns = 0;
    int m_programs = 0;
};

} // namespace boragepath
