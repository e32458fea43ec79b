#pragma once

#include <algorithm>
#include <cstdint>

namespace boragepath {

/**
 * What a call may cost or has cost.
 *
 * Tokens count prompt and completion together; micros are millionths of the
 * deployment's currency. Both are limited by an entry's budget.
 */
struct Amount
{
    std::int64_t tokens = 0;
    std::int64_t micros = 0;

    friend bool operator==(const Amount &, const Amount &) = default;

    friend Amount operator+(Amount left, Amount right)
    {
        return {left.tokens + right.tokens, left.micros + right.micros};
    }

    friend Amount operator-(Amount left, Amount right)
    {
        return {left.tokens - right.tokens, left.micros - right.micros};
    }

    Amount &operator+=(Amount other) { return *this = *this + other; }
    Amount &operator-=(Amount other) { return *this = *this - other; }
};

/** True if both parts of @p amount are within those of @p limit. */
inline bool fitsWithin(Amount amount, Amount limit)
{
    return amount.tokens <= limit.tokens && amount.micros <= limit.micros;
}

/** The larger of each part. */
inline Amount largerOf(Amount left, Amount right)
{
    return {std::max(left.tokens, right.tokens), std::max(left.micros, right.micros)};
}

/** The smaller of each part. */
inline Amount smallerOf(Amount left, Amount right)
{
    return {std::min(left.tokens, right.tokens), std::min(left.micros, right.micros)};
}

/** Multiplies each part by a whole number. */
inline Amount scaledBy(Amount amount, std::int64_t factor)
{
    return {amount.tokens * factor, amount.micros * factor};
}

} // namespace boragepath
