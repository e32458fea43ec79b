#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace boragepath {

/**
 * A value of type Value that mixes with no other strong type.
 *
 * Tag only tells the types apart. The wrapped value is read with value().
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

/** StrongType types can be keys of unordered containers. */
template <typename Value, typename Tag> struct std::hash<boragepath::StrongType<Value, Tag>>
{
    std::size_t operator()(const boragepath::StrongType<Value, Tag> &strong) const noexcept
    {
        return std::hash<Value>{}(strong.value());
    }
};
