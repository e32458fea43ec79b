#pragma once

#include "core/clock.h"
#include "net/http_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace boragepath::soak {

/** What a request's kind promises. */
enum class CallKind {
    Once, ///< Runs at most once.
    Repeatable, ///< May run on several replicas.
    Stream, ///< May go on at another replica.
    KeptTurn, ///< Runs at most once; what was said is kept.
};

/** One attempt of a caller. */
struct Attempt
{
    CallKind kind = CallKind::Once;
    std::string program;
    std::string input;
    std::string previousTurn;
    std::int64_t budget = 0;
    /** The most tokens that it hands out; 0 for tools. */
    std::int64_t most = 0;
};

/** How an attempt ended, as its caller saw it. */
struct AttemptEnd
{
    /** 0 if no answer came. */
    unsigned status = 0;
    /** The answer is complete. */
    bool whole = false;
    bool sealed = false;
    std::string body;
};

/**
 * Checks the promises, from what callers and replicas see alone.
 *
 * Each broken promise is one line that names the request, so that its story can be
 * looked up in the logs.
 */
class Witness
{
public:
    explicit Witness(const Clock &clock);

    void sent(const std::string &id, const Attempt &attempt);
    void ran(const HttpRequest &request, const std::string &replica);
    void ended(const std::string &id, const AttemptEnd &end);
    /** Checks what can only be judged when all requests have ended. */
    void finish();

    const std::vector<std::string> &brokenPromises() const { return m_broken; }
    const std::map<std::string, int> &counts() const { return m_counts; }
    /** What was said up to a turn that was answered whole; empty if it was not. */
    std::string conversation(const std::string &turn) const;

private:
    struct Record
    {
        Attempt attempt;
        int runs = 0;
        bool ended = false;
        unsigned status = 0;
        std::int64_t tokens = 0;
        SteadyTime endedAt;
    };

    /** A refusal for the budget, and what counted against the budget then. */
    struct SpentRefusal
    {
        std::string id;
        std::int64_t settled = 0;
        /** Turns that had not been settled; they count at their most if they ever ran. */
        std::vector<std::string> unsettled;
    };

    void breakPromise(const std::string &promise, const std::string &id, const std::string &detail);
    void checkBudget(const std::string &id, const Record &record);
    void noteSpent(const std::string &id, const Record &record);
    void checkTurnsBody(const std::string &id, const Record &record, const HttpRequest &request);
    void checkStream(const std::string &id, Record &record, const AttemptEnd &end);
    void checkWhole(const std::string &id, const AttemptEnd &end);

    const Clock &m_clock;
    std::map<std::string, Record> m_records;
    std::map<std::string, std::vector<std::string>> m_programs;
    std::map<std::string, std::string> m_conversations;
    std::vector<SpentRefusal> m_spentRefusals;
    std::map<std::string, int> m_counts;
    std::vector<std::string> m_broken;
};

/** Tokens in one event, by the configuration of the soak. */
constexpr std::int64_t TokensPerEvent = 20;

} // namespace boragepath::soak
