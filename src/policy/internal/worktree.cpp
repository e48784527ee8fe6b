#include "policy/worktree.h"

#include <utility>

namespace hawthornpick::policy {

namespace {

// Finalizer of SplitMix64: spreads consecutive numbers over the whole range.
auto mixed(std::uint64_t value) -> std::uint64_t
{
    value += 0x9E3779B97F4A7C15ULL;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

} // namespace

auto work_tree::insert(const service_key &key, base::duration work) -> void
{
    auto [before, after] = split(std::move(m_root), key);
    auto added = std::make_unique<node>(node{key, work, mixed(key.number), work, nullptr, nullptr});
    m_root = merge(merge(std::move(before), std::move(added)), std::move(after));
}

auto work_tree::erase(const service_key &key) -> void
{
    m_root = erase(std::move(m_root), key);
}

auto work_tree::erase(node_pointer tree, const service_key &key) -> node_pointer
{
    if (tree->key == key) {
        return merge(std::move(tree->left), std::move(tree->right));
    }
    auto &child = key < tree->key ? tree->left : tree->right;
    child = erase(std::move(child), key);
    update(*tree);
    return tree;
}

auto work_tree::first() const -> const service_key &
{
    const auto *tree = m_root.get();
    while (tree->left) {
        tree = tree->left.get();
    }
    return tree->key;
}

auto work_tree::workBefore(const service_key &key) const -> base::duration
{
    base::duration sum{};
    for (const auto *tree = m_root.get(); tree != nullptr;) {
        if (key <= tree->key) {
            tree = tree->left.get();
            continue;
        }
        sum += workOf(tree->left) + tree->work;
        tree = tree->right.get();
    }
    return sum;
}

auto work_tree::work() const -> base::duration
{
    return workOf(m_root);
}

auto work_tree::workOf(const node_pointer &tree) -> base::duration
{
    return tree ? tree->subtreeWork : base::duration{};
}

auto work_tree::update(node &tree) -> void
{
    tree.subtreeWork = workOf(tree.left) + tree.work + workOf(tree.right);
}

auto work_tree::merge(node_pointer left, node_pointer right) -> node_pointer
{
    if (!left || !right) {
        return left ? std::move(left) : std::move(right);
    }
    if (left->heapOrder < right->heapOrder) {
        left->right = merge(std::move(left->right), std::move(right));
        update(*left);
        return left;
    }
    right->left = merge(std::move(left), std::move(right->left));
    update(*right);
    return right;
}

auto work_tree::split(node_pointer tree, const service_key &key)
        -> std::pair<node_pointer, node_pointer>
{
    if (!tree) {
        return {};
    }
    if (tree->key < key) {
        auto [before, after] = split(std::move(tree->right), key);
        tree->right = std::move(before);
        update(*tree);
        return {std::move(tree), std::move(after)};
    }
    auto [before, after] = split(std::move(tree->left), key);
    tree->left = std::move(after);
    update(*tree);
    return {std::move(before), std::move(tree)};
}

} // namespace hawthornpick::policy
