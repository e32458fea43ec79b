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
template <typename Value, typename Tag> class Strong
{
public:
    constexpr Strong() = default;
    constexpr explicit Strong(Value value)
        : m_value(std::move(value))
    { }

    constexpr const Value &value() const { return m_value; }

    friend auto operator<=>(const Strong &, const Strong &) = default;
    friend bool operator==(const Strong &, const Strong &) = default;

    friend std::ostream &operator<<(std::ostream &out, const Strong &strong)
    {
        return out << strong.m_value;
    }

private:
    Value m_value{};
};

} // namespace boragepath

/** Strong types can be keys of unordered containers. */
template <typename Value, typename Tag> struct std::hash<boragepath::Strong<Value, Tag>>
{
    std::size_t operator()(const boragepath::Strong<Value, Tag> &strong) const noexcept
    {
        return std::hash<Value>{}(strong.value());
    }
};
