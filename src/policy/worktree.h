#pragma once

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <memory>

namespace hawthornpick::policy {

//! Position of a waiting request among those of its organisation.
struct service_key
{
    //! Requests that can meet their target come first.
    bool missesTarget = false;
    //! Latest start with which the request meets its target, or its deadline if it misses that.
    base::time_point latestStart;
    //! Number of the request in the order of arrival.
    std::uint64_t number = 0;

    auto operator<=>(const service_key &) const = default;
};

//! Waiting requests in the order in which they are served, with the sum of the work ahead of each.
//! A treap: every operation takes logarithmic time on average.
//! Thread safety of all members: one thread.
class work_tree
{
public:
    //! Precondition: the key is not contained.
    auto insert(const service_key &key, base::duration work) -> void;
    //! Precondition: the key is contained.
    auto erase(const service_key &key) -> void;
    //! Precondition: not empty.
    [[nodiscard]] auto first() const -> const service_key &;
    //! Returns the work of the requests that come before the key.
    [[nodiscard]] auto workBefore(const service_key &key) const -> base::duration;
    //! Returns the work of all requests.
    [[nodiscard]] auto work() const -> base::duration;
    [[nodiscard]] auto empty() const -> bool { return m_root == nullptr; }

private:
    struct node;
    using node_pointer = std::unique_ptr<node>;
    struct node
    {
        service_key key;
        base::duration work{};
        std::uint64_t heapOrder = 0;
        base::duration subtreeWork{};
        node_pointer left;
        node_pointer right;
    };

    static auto workOf(const node_pointer &tree) -> base::duration;
    static auto update(node &tree) -> void;
    static auto merge(node_pointer left, node_pointer right) -> node_pointer;
    static auto split(node_pointer tree, const service_key &key)
            -> std::pair<node_pointer, node_pointer>;
    static auto erase(node_pointer tree, const service_key &key) -> node_pointer;

    node_pointer m_root;
};

} // namespace hawthornpick::policy
