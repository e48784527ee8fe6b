#include "transfer/contentstore.h"

#include <algorithm>

namespace hawthornpick::transfer {

auto content_store::put(std::string bytes) -> base::digest256
{
    const auto digest = base::sha256(bytes);
    put(digest, std::make_shared<const std::string>(std::move(bytes)));
    return digest;
}

auto content_store::put(const base::digest256 &digest, content_pointer bytes) -> void
{
    const auto size = bytes->size();
    if (m_contents.try_emplace(digest, std::move(bytes)).second) {
        m_bytes += size;
    } else {
        m_order.erase(std::find(m_order.begin(), m_order.end(), digest));
    }
    m_order.push_back(digest);
    forgetOldest();
}

auto content_store::find(const base::digest256 &digest) const -> content_pointer
{
    const auto found = m_contents.find(digest);
    return found == m_contents.end() ? nullptr : found->second;
}

auto content_store::newest(std::size_t count) const -> std::vector<base::digest256>
{
    const auto taken = static_cast<std::ptrdiff_t>(std::min(count, m_order.size()));
    return {m_order.rbegin(), m_order.rbegin() + taken};
}

auto content_store::forgetOldest() -> void
{
    while (m_order.size() > MIN_CONTENTS
           && (m_order.size() > MAX_CONTENTS || m_bytes > MAX_BYTES)) {
        const auto oldest = m_contents.find(m_order.front());
        m_bytes -= oldest->second->size();
        m_contents.erase(oldest);
        m_order.pop_front();
    }
}

} // namespace hawthornpick::transfer
