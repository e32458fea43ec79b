#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace boragepath {

/**
 * Limits the bytes that a process holds of what others send to it.
 *
 * Designed for many connections that send without end at the same time: what all of them hold
 * together never exceeds the limit. The second half of it is for small holdings only, so that
 * sound answers still find room while a few senders misbehave. Thread-safe.
 */
class ReceiveBudget
{
public:
    /** @param limit bytes that all connections may hold together. */
    explicit ReceiveBudget(std::size_t limit)
        : m_limit(limit)
    { }
    ReceiveBudget(const ReceiveBudget &) = delete;
    ReceiveBudget &operator=(const ReceiveBudget &) = delete;

    std::size_t limit() const { return m_limit; }
    /** Bytes that all connections hold together. */
    std::size_t held() const { return m_held; }
    /** Number of times that a connection could not hold more. */
    std::uint64_t rejections() const { return m_rejections; }

private:
    friend class HeldBytes;

    bool replace(std::size_t before, std::size_t after);

    const std::size_t m_limit;
    std::atomic<std::size_t> m_held = 0;
    std::atomic<std::uint64_t> m_rejections = 0;
};

/** The bytes that one receiver holds; given back to the budget when it is destroyed. */
class HeldBytes
{
public:
    explicit HeldBytes(ReceiveBudget &budget)
        : m_budget(&budget)
    { }
    ~HeldBytes() { m_budget->replace(m_bytes, 0); }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    /** Sets how many bytes are held; false, and no change, if there is no room for them. */
    bool resize(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    ReceiveBudget *m_budget;
    std::size_t m_bytes = 0;
};

/** Holdings up to this size may use the whole budget. */
inline constexpr std::size_t SmallHoldingBytes = 131'072;

/** The limit for a process that may use @p memoryBytes; a default if that is 0. */
std::size_t receiveLimitFor(std::size_t memoryBytes);

} // namespace boragepath
