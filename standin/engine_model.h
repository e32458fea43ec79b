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
 * Cost model of one model engine.
 *
 * A step takes base + perSequence * (number of decoding sequences) + prefillPerToken * (prompt
 * tokens computed in the step). Each decoding sequence gains one token per step. At most
 * prefillChunk prompt tokens are computed per step. The memory holds kvBlocks blocks of
 * BlockTokens tokens each.
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

/** Tokens per block of the prefix cache, and bytes of text per token. */
constexpr std::int64_t BlockTokens = 16;
constexpr std::int64_t BytesPerToken = 4;

/** Hashes of all blocks that any engine of the process has computed; detects recomputation. */
struct ComputedBlocks
{
    std::unordered_set<std::uint64_t> hashes;
};

/** Counters of one engine. */
struct EngineCounters
{
    std::int64_t prefillTokens = 0;
    /** Prompt tokens computed again after any engine of the process had computed them. */
    std::int64_t recomputedTokens = 0;
    /** Evicted tokens that no call used after the one that computed them. */
    std::int64_t evictedUnusedTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t decodedTokens = 0;
    std::int64_t preemptions = 0;
    std::int64_t finished = 0;
    std::int64_t cancelled = 0;
    std::int64_t releasedTokens = 0;
};

/** A call to an engine. */
struct EngineRequest
{
    std::uint64_t id = 0;
    std::string program;
    /** Text of the prompt. */
    std::string prompt;
    std::int64_t maxTokens = 16;
};

/** A token of an answer, or the end of the answer with its usage. */
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
 * Simulates a model engine without a model: continuous batching, a prefix cache of token blocks
 * in bounded memory, and preemption when the memory is full. It has no priorities and admits
 * requests in order of arrival. It has no clock: the caller waits for the duration of each step.
 */
class EngineModel
{
public:
    EngineModel(EngineCosts costs, std::shared_ptr<ComputedBlocks> computed);

    void submit(EngineRequest request);
    void cancel(std::uint64_t id);
    /** Drops the unreferenced blocks that only @p program has used. */
    void release(const std::string &program);
    /** Runs one step, appends its events to @p events, and returns how long the step takes. */
    std::chrono::microseconds step(std::vector<EngineEvent> &events);
    bool idle() const { return m_running.empty() && m_waiting.empty(); }

    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    const EngineCounters &counters() const { return m_counters; }
    /** Programs that have cached blocks, all of them last used before step @p usedBefore. */
    std::vector<std::string> cachedPrograms(std::uint64_t usedBefore) const;
    /** Number of the latest step; the unit of time of cachedPrograms(). */
    std::uint64_t stepNumber() const { return m_step; }
    std::int64_t usedBlocks() const { return static_cast<std::int64_t>(m_blocks.size()); }

private:
    struct Block
    {
        int references = 0;
        int uses = 0;
        std::uint64_t lastUse = 0;
        /** The program that computed it; empty once another program has used it. */
        std::string program;
        std::list<std::uint64_t>::iterator idlePosition;
    };
    struct Sequence
    {
        EngineRequest request;
        std::vector<std::uint64_t> blocks;
        std::size_t heldBlockCount = 0;
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
        std::int64_t prefilled = 0;
        std::int64_t generated = 0;
        std::string answer;
    };

    void admit();
    /** References a block; a missing one is allocated if @p mayAllocate. False if it is missing. */
    bool acquireBlock(Sequence &sequence, std::uint64_t hash, bool mayAllocate);
    /** Evicts a block if the memory is full; false if all blocks are referenced. */
    bool ensureFreeBlock();
    void evictOldestIdleBlock();
    void releaseBlocks(Sequence &sequence);
    void preemptNewest();
    std::int64_t prefill();
    std::int64_t decode(std::vector<EngineEvent> &events);
    void finish(Sequence &sequence, std::vector<EngineEvent> &events);

    EngineCosts m_costs;
    std::shared_ptr<ComputedBlocks> m_computed;
    std::deque<Sequence> m_waiting;
    std::list<Sequence> m_running;
    std::unordered_map<std::uint64_t, Block> m_blocks;
    /** Blocks without references, the least recently used first. */
    std::list<std::uint64_t> m_idle;
    EngineCounters m_counters;
    std::uint64_t m_step = 1;
};

/** The answer of @p tokens tokens to @p prompt; it depends on these two arguments alone. */
std::string generateAnswer(const std::string &prompt, std::int64_t tokens);

/** Hashes of the full blocks of a text; each hash covers its block and all text before it. */
std::vector<std::uint64_t> blockHashes(const std::string &text);

} // namespace boragepath
