#pragma once

#include "base/digest.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornpick::transfer {

using content_pointer = std::shared_ptr<const std::string>;

//! In-memory store of a node's recent contents, addressed by their SHA-256 digest. Evicts the
//! oldest contents when it exceeds `MAX_BYTES` or `MAX_CONTENTS`.
//! Thread safety of all members: control thread.
class content_store
{
public:
    //! Limit of the total size of the stored contents. The newest `MIN_CONTENTS` contents are kept
    //! even if they exceed it.
    static constexpr std::size_t MAX_BYTES = 32UL * 1024 * 1024;
    static constexpr std::size_t MAX_CONTENTS = 64;
    static constexpr std::size_t MIN_CONTENTS = 2;

    //! Stores `bytes` as the newest content and returns its digest.
    auto put(std::string bytes) -> base::digest256;

    //! As above, with a digest that the caller has already computed.
    //! Precondition: `digest` is the SHA-256 of `bytes`.
    auto put(const base::digest256 &digest, content_pointer bytes) -> void;

    //! Returns the content, or null if it is not stored.
    [[nodiscard]] auto find(const base::digest256 &digest) const -> content_pointer;

    //! Returns the digests of at most `count` of the newest contents, newest first.
    [[nodiscard]] auto newest(std::size_t count) const -> std::vector<base::digest256>;

private:
    auto evictOldest() -> void;

    std::map<base::digest256, content_pointer> m_contents;
    std::deque<base::digest256> m_digestsByAge;
    std::size_t m_totalBytes = 0;
};

} // namespace hawthornpick::transfer
