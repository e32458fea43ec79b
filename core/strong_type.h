#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace boragepath {

/**
 * Wraps a Value in a type that does not convert to or from any other strong type.
 *
 * Tag is only there to make the types distinct. value() returns the wrapped value.
 */
template <typename Value, typename Tag> class StrongType
{
public:
    constexpr StrongType() = default;
    constexpr explicit StrongType(Value value)
        : m_value(std::move(value))
    { }

    constexpr const Value &value() const { return m_value; }

    friend auto operator<=>(const StrongType &, const StrongType &) = default;
    friend bool operator==(const StrongType &, const StrongType &) = default;

    friend std::ostream &operator<<(std::ostream &out, const StrongType &strong)
    {
        return out << strong.m_value;
    }

private:
    Value m_value{};
};

} // namespace boragepath

/** Hashes the wrapped value, so that strong types can be keys of unordered containers. */
template <typename Value, typename Tag> struct std::hash<boragepath::StrongType<Value, Tag>>
{
    std::size_t operator()(const boragepath::StrongType<Value, Tag> &strong) const noexcept
    {
        return std::hash<Value>{}(strong.value());
    }
};
