#pragma once

#include "core/strong_type.h"

#include <algorithm>
#include <cstdint>

namespace boragepath {

/** Requests per second. */
using RequestRate = StrongType<double, struct RequestRateTag>;

/**
 * What a call may cost, or has cost, in tokens and in money.
 *
 * Tokens count prompt and completion together. Micros are millionths of the
 * deployment's currency. An entry's budget limits both.
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

/** True if neither tokens nor micros of @p amount exceed those of @p limit. */
inline bool fitsWithin(Amount amount, Amount limit)
{
    return amount.tokens <= limit.tokens && amount.micros <= limit.micros;
}

/** The larger tokens and the larger micros of two amounts. */
inline Amount largerOf(Amount left, Amount right)
{
    return {std::max(left.tokens, right.tokens), std::max(left.micros, right.micros)};
}

/** The smaller tokens and the smaller micros of two amounts. */
inline Amount smallerOf(Amount left, Amount right)
{
    return {std::min(left.tokens, right.tokens), std::min(left.micros, right.micros)};
}

/** Multiplies both tokens and micros by @p factor. */
inline Amount scaledBy(Amount amount, std::int64_t factor)
{
    return {amount.tokens * factor, amount.micros * factor};
}

} // namespace boragepath
