#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace boragepath {

/**
 * Costs of one model engine.
 *
 * A step takes base + perSequence * (sequences that decode) + prefillPerToken *
 * (prompt tokens computed in the step). Each decoding sequence gains a token a
 * step. At most prefillChunk prompt tokens are computed in a step. Memory
 * holds kvBlocks blocks of BlockTokens tokens.
 */
struct EngineCosts
{
    std::chrono::microseconds base{8'000};
    std::chrono::microseconds perSequence{250};
    std::chrono::nanoseconds prefillPerToken{50'000};
    std::int64_t prefillChunk = 2'048;
    std::int64_t kvBlocks = 4'000;
    std::size_t maxSequences = 64;
};

/** Tokens in a block of the prefix cache, and bytes of text in a token. */
constexpr std::int64_t BlockTokens = 16;
constexpr std::int64_t BytesPerToken = 4;

/** What engines of one process have computed; shared to tell recomputation. */
struct ComputedBlocks
{
    std::unordered_set<std::uint64_t> hashes;
};

/** Counters of one engine. */
struct EngineCounters
{
    std::int64_t prefillTokens = 0;
    /** Prompt tokens computed although some engine had computed them before. */
    std::int64_t recomputedTokens = 0;
    /** Tokens evicted that were never used after the call that computed them. */
    std::int64_t evictedUnusedTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t decodedTokens = 0;
    std::int64_t preemptions = 0;
    std::int64_t finished = 0;
    std::int64_t cancelled = 0;
    std::int64_t releasedTokens = 0;
};

/** A call at an engine. */
struct EngineRequest
{
    std::uint64_t id = 0;
    std::string program;
    /** The prompt as text. */
    std::string prompt;
    std::int64_t maxTokens = 16;
};

/** A piece of an answer, or its end. */
struct EngineEvent
{
    std::uint64_t id = 0;
    std::string text;
    bool finished = false;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t completionTokens = 0;
};

/**
 * A model engine without a model: continuous batching, a prefix cache of
 * token blocks in bounded memory, preemption when memory runs out. It knows no
 * priorities and admits requests as they arrive. Time is the caller's.
 */
class EngineModel
{
public:
    EngineModel(EngineCosts costs, std::shared_ptr<ComputedBlocks> computed);

    void submit(EngineRequest request);
    void cancel(std::uint64_t id);
    /** Drops the blocks that only @p program uses. */
    void release(const std::string &program);
    /** Runs one step; gives how long it takes and, into @p events, what it yields. */
    std::chrono::microseconds step(std::vector<EngineEvent> &events);
    bool idle() const { return m_running.empty() && m_waiting.empty(); }

    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    const EngineCounters &counters() const { return m_counters; }
    /** Programs with blocks that were last used before step @p usedBefore. */
    std::vector<std::string> heldPrograms(std::uint64_t usedBefore) const;
    /** Number of the next step; a clock for heldPrograms(). */
    std::uint64_t stepNumber() const { return m_step; }
    std::int64_t usedBlocks() const { return static_cast<std::int64_t>(m_blocks.size()); }

private:
    struct Block
    {
        int references = 0;
        int uses = 0;
        std::uint64_t lastUse = 0;
        /** The program that computed it; empty once several have used it. */
        std::string program;
        std::list<std::uint64_t>::iterator idlePlace;
    };
    struct Sequence
    {
        EngineRequest request;
        std::vector<std::uint64_t> blocks;
        std::size_t held = 0;
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
        std::int64_t prefilled = 0;
        std::int64_t generated = 0;
        std::string answer;
    };

    void admit();
    bool holdBlock(Sequence &sequence, std::uint64_t hash, bool computed);
    bool makeRoom();
    void evictOne();
    void unhold(Sequence &sequence);
    void preemptLast();
    std::int64_t prefill();
    std::int64_t decode(std::vector<EngineEvent> &events);
    void finish(Sequence &sequence, std::vector<EngineEvent> &events);

    EngineCosts m_costs;
    std::shared_ptr<ComputedBlocks> m_computed;
    std::deque<Sequence> m_waiting;
    std::list<Sequence> m_running;
    std::unordered_map<std::uint64_t, Block> m_blocks;
    /** Blocks without references, the longest unused first. */
    std::list<std::uint64_t> m_idle;
    EngineCounters m_counters;
    std::uint64_t m_step = 1;
};

/** The answer of @p tokens tokens that an engine gives to @p prompt; it depends on nothing else. */
std::string generateAnswer(const std::string &prompt, std::int64_t tokens);

/** Hashes of the full blocks of a text, each covering all text before it. */
std::vector<std::uint64_t> blockHashes(const std::string &text);

} // namespace boragepath
