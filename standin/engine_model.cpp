#include "standin/engine_model.h"

#include "core/hash.h"

#include <algorithm>
#include <set>

namespace boragepath {

namespace {

constexpr std::size_t BlockBytes = BlockTokens * BytesPerToken;

std::int64_t tokensOf(const std::string &text)
{
    return (static_cast<std::int64_t>(text.size()) + BytesPerToken - 1) / BytesPerToken;
}

/** The next token of an answer: three letters and a space, from what came before. */
std::string nextToken(const std::string &prompt, std::int64_t index)
{
    std::uint64_t seed = hashOf(prompt) + static_cast<std::uint64_t>(index) * 0x9E3779B97F4A7C15ULL;
    std::string token;
    for (int letter = 0; letter < 3; ++letter) {
        token += static_cast<char>('a' + seed % 26);
        seed = seed / 26 + 7;
    }
    return token + ' ';
}

} // namespace

std::string generateAnswer(const std::string &prompt, std::int64_t tokens)
{
    std::string answer;
    for (std::int64_t index = 0; index < tokens; ++index) {
        answer += nextToken(prompt, index);
    }
    return answer;
}

std::vector<std::uint64_t> blockHashes(const std::string &text)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t chain = 0;
    for (std::size_t start = 0; start + BlockBytes <= text.size(); start += BlockBytes) {
        const std::uint64_t own = hashOf(std::string_view(text).substr(start, BlockBytes));
        chain = chain * 0x100000001B3ULL + own;
        hashes.push_back(chain);
    }
    return hashes;
}

EngineModel::EngineModel(EngineCosts costs, std::shared_ptr<ComputedBlocks> computed)
    : m_costs(costs)
    , m_computed(std::move(computed))
{ }

void EngineModel::submit(EngineRequest request)
{
    Sequence sequence;
    sequence.promptTokens = tokensOf(request.prompt);
    sequence.blocks = blockHashes(request.prompt);
    sequence.request = std::move(request);
    m_waiting.push_back(std::move(sequence));
}

void EngineModel::cancel(std::uint64_t id)
{
    for (auto item = m_running.begin(); item != m_running.end(); ++item) {
        if (item->request.id == id) {
            unhold(*item);
            m_running.erase(item);
            m_counters.cancelled += 1;
            return;
        }
    }
    m_counters.cancelled += static_cast<std::int64_t>(std::erase_if(
        m_waiting, [id](const Sequence &sequence) { return sequence.request.id == id; }));
}

void EngineModel::release(const std::string &program)
{
    for (auto place = m_idle.begin(); place != m_idle.end();) {
        const auto block = m_blocks.find(*place);
        if (block->second.program == program) {
            m_counters.releasedTokens += BlockTokens;
            m_blocks.erase(block);
            place = m_idle.erase(place);
        } else {
            ++place;
        }
    }
}

std::vector<std::string> EngineModel::heldPrograms(std::uint64_t usedBefore) const
{
    std::map<std::string, std::uint64_t> lastUse;
    for (const auto &[hash, block] : m_blocks) {
        if (!block.program.empty()) {
            std::uint64_t &last = lastUse[block.program];
            last = std::max(last, block.references > 0 ? m_step : block.lastUse);
        }
    }
    std::vector<std::string> result;
    for (const auto &[program, last] : lastUse) {
        if (last < usedBefore) {
            result.push_back(program);
        }
    }
    return result;
}

void EngineModel::evictOne()
{
    const std::uint64_t hash = m_idle.front();
    m_idle.pop_front();
    const auto block = m_blocks.find(hash);
    if (block->second.uses <= 1) {
        m_counters.evictedUnusedTokens += BlockTokens;
    }
    m_blocks.erase(block);
}

bool EngineModel::makeRoom()
{
    if (usedBlocks() < m_costs.kvBlocks) {
        return true;
    }
    if (m_idle.empty()) {
        return false;
    }
    evictOne();
    return true;
}

bool EngineModel::holdBlock(Sequence &sequence, std::uint64_t hash, bool computed)
{
    const auto found = m_blocks.find(hash);
    if (found == m_blocks.end()) {
        if (!computed || !makeRoom()) {
            return false;
        }
        Block block;
        block.references = 1;
        block.uses = 1;
        block.lastUse = m_step;
        block.program = sequence.request.program;
        m_blocks.emplace(hash, std::move(block));
        m_computed->hashes.insert(hash);
        return true;
    }
    Block &block = found->second;
    if (block.references == 0) {
        m_idle.erase(block.idlePlace);
    }
    block.references += 1;
    block.uses += 1;
    block.lastUse = m_step;
    if (block.program != sequence.request.program) {
        block.program.clear();
    }
    return true;
}

void EngineModel::unhold(Sequence &sequence)
{
    for (std::size_t index = 0; index < sequence.held; ++index) {
        Block &block = m_blocks.at(sequence.blocks[index]);
        block.references -= 1;
        block.lastUse = m_step;
        if (block.references == 0) {
            block.idlePlace = m_idle.insert(m_idle.end(), sequence.blocks[index]);
        }
    }
    sequence.held = 0;
}

void EngineModel::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_costs.maxSequences) {
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
        Sequence &sequence = m_running.back();
        sequence.prefilled = 0;
        while (sequence.held < sequence.blocks.size()
               && holdBlock(sequence, sequence.blocks[sequence.held], false)) {
            sequence.held += 1;
            sequence.prefilled += BlockTokens;
        }
        if (sequence.generated == 0) {
            sequence.cachedTokens = sequence.prefilled;
            m_counters.cachedTokens += sequence.prefilled;
        }
    }
}

void EngineModel::preemptLast()
{
    Sequence sequence = std::move(m_running.back());
    m_running.pop_back();
    unhold(sequence);
    m_counters.preemptions += 1;
    m_waiting.push_front(std::move(sequence));
}

std::int64_t EngineModel::prefill()
{
    std::int64_t budget = m_costs.prefillChunk;
    std::int64_t computed = 0;
    for (auto item = m_running.begin(); item != m_running.end() && budget > 0; ++item) {
        Sequence &sequence = *item;
        while (budget > 0 && sequence.prefilled < sequence.promptTokens) {
            const std::int64_t part =
                std::min({budget, sequence.promptTokens - sequence.prefilled, BlockTokens});
            if (sequence.held < sequence.blocks.size()) {
                const std::uint64_t hash = sequence.blocks[sequence.held];
                const bool known = m_computed->hashes.contains(hash);
                if (!holdBlock(sequence, hash, true)) {
                    // No memory: the youngest gives way, unless this is the only one.
                    if (m_running.size() > 1 && &m_running.back() != &sequence) {
                        preemptLast();
                        continue;
                    }
                    return computed;
                }
                m_counters.recomputedTokens += known ? part : 0;
                sequence.held += 1;
            }
            sequence.prefilled += part;
            budget -= part;
            computed += part;
        }
    }
    m_counters.prefillTokens += computed;
    return computed;
}

std::int64_t EngineModel::decode(std::vector<EngineEvent> &events)
{
    std::int64_t decoding = 0;
    for (auto item = m_running.begin(); item != m_running.end();) {
        Sequence &sequence = *item;
        if (sequence.prefilled < sequence.promptTokens) {
            ++item;
            continue;
        }
        decoding += 1;
        EngineEvent event;
        event.id = sequence.request.id;
        event.text = nextToken(sequence.request.prompt, sequence.generated);
        sequence.answer += event.text;
        sequence.generated += 1;
        m_counters.decodedTokens += 1;
        events.push_back(std::move(event));
        if (sequence.generated >= sequence.request.maxTokens) {
            finish(sequence, events);
            item = m_running.erase(item);
        } else {
            ++item;
        }
    }
    return decoding;
}

void EngineModel::finish(Sequence &sequence, std::vector<EngineEvent> &events)
{
    // The answer's blocks stay cached: they begin the next prompt of the program.
    const std::vector<std::uint64_t> all = blockHashes(sequence.request.prompt + sequence.answer);
    const std::size_t promptBlocks = std::min(sequence.blocks.size(), all.size());
    for (std::size_t index = promptBlocks; index < all.size(); ++index) {
        if (!holdBlock(sequence, all[index], true)) {
            break;
        }
        sequence.blocks.push_back(all[index]);
        sequence.held += 1;
    }
    unhold(sequence);
    m_counters.finished += 1;
    EngineEvent event;
    event.id = sequence.request.id;
    event.finished = true;
    event.promptTokens = sequence.promptTokens;
    event.cachedTokens = sequence.cachedTokens;
    event.completionTokens = sequence.generated;
    events.push_back(std::move(event));
}

std::chrono::microseconds EngineModel::step(std::vector<EngineEvent> &events)
{
    m_step += 1;
    admit();
    const std::int64_t computed = prefill();
    const std::int64_t decoding = decode(events);
    const auto prefillTime =
        std::chrono::duration_cast<std::chrono::microseconds>(m_costs.prefillPerToken * computed);
    return m_costs.base + m_costs.perSequence * decoding + prefillTime;
}

} // namespace boragepath
