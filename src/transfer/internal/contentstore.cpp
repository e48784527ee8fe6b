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
        m_totalBytes += size;
    } else {
        m_digestsByAge.erase(std::find(m_digestsByAge.begin(), m_digestsByAge.end(), digest));
    }
    m_digestsByAge.push_back(digest);
    evictOldest();
}

auto content_store::find(const base::digest256 &digest) const -> content_pointer
{
    const auto found = m_contents.find(digest);
    return found == m_contents.end() ? nullptr : found->second;
}

auto content_store::newest(std::size_t count) const -> std::vector<base::digest256>
{
    const auto returnedCount = static_cast<std::ptrdiff_t>(std::min(count, m_digestsByAge.size()));
    return {m_digestsByAge.rbegin(), m_digestsByAge.rbegin() + returnedCount};
}

auto content_store::evictOldest() -> void
{
    while (m_digestsByAge.size() > MIN_CONTENTS
           && (m_digestsByAge.size() > MAX_CONTENTS || m_totalBytes > MAX_BYTES)) {
        const auto oldest = m_contents.find(m_digestsByAge.front());
        m_totalBytes -= oldest->second->size();
        m_contents.erase(oldest);
        m_digestsByAge.pop_front();
    }
}

} // namespace hawthornpick::transfer
