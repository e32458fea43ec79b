#include "net/receive_budget.h"

namespace boragepath {

namespace {

/** What is held is copied on its way to the caller and to the store, several times at worst. */
constexpr std::size_t MemoryDivisor = 8;
constexpr std::size_t DefaultLimit = 16UL * 1024 * 1024;

} // namespace

bool ReceiveBudget::replace(std::size_t before, std::size_t after)
{
    std::size_t held = m_held;
    for (;;) {
        const std::size_t total = held - before + after;
        const std::size_t allowed = after > SmallHoldingBytes ? m_limit / 2 : m_limit;
        if (after > before && total > allowed) {
            m_rejections += 1;
            return false;
        }
        if (m_held.compare_exchange_weak(held, total)) {
            return true;
        }
    }
}

bool HeldBytes::resize(std::size_t bytes)
{
    if (!m_budget->replace(m_bytes, bytes)) {
        return false;
    }
    m_bytes = bytes;
    return true;
}

std::size_t receiveLimitFor(std::size_t memoryBytes)
{
    return memoryBytes == 0 ? DefaultLimit : memoryBytes / MemoryDivisor;
}

} // namespace boragepath
