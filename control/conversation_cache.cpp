#include "control/conversation_cache.h"

namespace boragepath {

namespace {

constexpr Milliseconds RetryPause{60};

} // namespace

ConversationCache::ConversationCache(const Clock &clock, Timers &timers, RowStore &store,
                                     StoreHealth &health, std::size_t maxBytes)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_health(health)
    , m_maxBytes(maxBytes)
{ }

void ConversationCache::find(const ProgramId &program, const AttemptId &turn, SteadyTime deadline,
                             Done done)
{
    const auto kept = m_kept.find(turn);
    if (kept != m_kept.end()) {
        done(ConversationLookup::Found, kept->second);
        return;
    }
    if (!isRowKeyText(turn.value())) {
        // No turn can have been recorded under such an id.
        done(ConversationLookup::Absent, nullptr);
        return;
    }
    if (m_health.away()) {
        done(ConversationLookup::StoreAway, nullptr);
        return;
    }
    const auto search = std::make_shared<Search>();
    search->program = program;
    search->turn = turn;
    search->deadline = deadline;
    search->done = std::move(done);
    searchOwnPart(search);
}

void ConversationCache::searchOwnPart(const std::shared_ptr<Search> &search)
{
    const std::string part = partOfProgram(search->program);
    m_store.read(conversationRange(part, search->turn), [this, search](const ReadResult &result) {
        if (result.answer != StoreAnswer::Done) {
            retry(search);
        } else if (result.rows.empty()) {
            searchAllParts(search);
        } else {
            found(search, result.rows);
        }
    });
}

void ConversationCache::searchAllParts(const std::shared_ptr<Search> &search)
{
    const std::vector<std::string> parts = allParts();
    search->unanswered = parts.size();
    search->failed = false;
    for (const std::string &part : parts) {
        m_store.read(conversationRange(part, search->turn),
                     [this, search](const ReadResult &result) {
                         search->unanswered -= 1;
                         search->failed = search->failed || result.answer != StoreAnswer::Done;
                         if (search->finished) {
                             return;
                         }
                         if (!result.rows.empty()) {
                             found(search, result.rows);
                         } else if (search->unanswered == 0 && search->failed) {
                             retry(search);
                         } else if (search->unanswered == 0) {
                             finish(search, ConversationLookup::Absent, nullptr);
                         }
                     });
    }
}

void ConversationCache::retry(const std::shared_ptr<Search> &search)
{
    if (m_health.away() || m_clock.now() + RetryPause >= search->deadline) {
        finish(search, ConversationLookup::StoreAway, nullptr);
        return;
    }
    m_timers.after(RetryPause, [this, search] { searchOwnPart(search); });
}

void ConversationCache::found(const std::shared_ptr<Search> &search,
                              const std::vector<StoreRow> &rows)
{
    std::string text;
    for (const StoreRow &row : rows) {
        text += row.value;
    }
    const auto conversation = std::make_shared<const std::string>(std::move(text));
    put(search->turn, conversation);
    finish(search, ConversationLookup::Found, conversation);
}

void ConversationCache::finish(const std::shared_ptr<Search> &search, ConversationLookup lookup,
                               const Conversation &conversation)
{
    search->finished = true;
    search->done(lookup, conversation);
}

void ConversationCache::put(const AttemptId &turn, const Conversation &conversation)
{
    if (m_kept.contains(turn) || conversation->size() > m_maxBytes) {
        return;
    }
    m_ages.push_back(turn);
    m_kept[turn] = conversation;
    m_bytes += conversation->size();
    while (m_bytes > m_maxBytes) {
        const auto oldest = m_kept.find(m_ages.front());
        m_bytes -= oldest->second->size();
        m_kept.erase(oldest);
        m_ages.pop_front();
    }
}

} // namespace boragepath
