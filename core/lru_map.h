#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <utility>

namespace boragepath {

/** A map of bounded size; a new key evicts the one that was put least recently. */
template <typename Key, typename Value> class LruMap
{
public:
    explicit LruMap(std::size_t maxSize)
        : m_maxSize(maxSize)
    { }

    /** The value of @p key, which is now the most recently put; a default one if it is new. */
    Value &put(const Key &key)
    {
        const auto found = m_items.find(key);
        if (found != m_items.end()) {
            m_order.splice(m_order.end(), m_order, found->second.position);
            return found->second.value;
        }
        Item &item = m_items[key];
        item.position = m_order.insert(m_order.end(), key);
        if (m_items.size() > m_maxSize) {
            m_items.erase(m_order.front());
            m_order.pop_front();
        }
        return item.value;
    }

    /** The value of @p key, or null; does not change the order. */
    const Value *find(const Key &key) const
    {
        const auto found = m_items.find(key);
        return found == m_items.end() ? nullptr : &found->second.value;
    }

    /** Calls @p visit with each key and its value, in the order of the keys. */
    template <typename Visit> void forEach(Visit visit) const
    {
        for (const auto &[key, item] : m_items) {
            visit(key, item.value);
        }
    }

    std::size_t size() const { return m_items.size(); }

private:
    struct Item
    {
        Value value{};
        typename std::list<Key>::iterator position;
    };

    std::size_t m_maxSize;
    std::map<Key, Item> m_items;
    /** Least recently put first. */
    std::list<Key> m_order;
};

} // namespace boragepath
