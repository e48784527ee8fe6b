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

//! Recent contents of a node by their SHA-256. The oldest ones are forgotten.
//! Thread safety of all members: control thread.
class content_store
{
public:
    //! Bounds the memory of a node; the newest two contents stay whatever their size.
    static constexpr std::size_t MAX_BYTES = 32UL * 1024 * 1024;
    static constexpr std::size_t MAX_CONTENTS = 64;
    static constexpr std::size_t MIN_CONTENTS = 2;

    //! Keeps `bytes` as the newest content and returns its digest.
    auto put(std::string bytes) -> base::digest256;

    //! As above for a digest that the caller has computed.
    //! Precondition: `digest` is the SHA-256 of `bytes`.
    auto put(const base::digest256 &digest, content_pointer bytes) -> void;

    //! Returns the content, or null if it is not here.
    [[nodiscard]] auto find(const base::digest256 &digest) const -> content_pointer;

    //! Returns the digests of the newest contents, newest first.
    [[nodiscard]] auto newest(std::size_t count) const -> std::vector<base::digest256>;

private:
    auto forgetOldest() -> void;

    std::map<base::digest256, content_pointer> m_contents;
    std::deque<base::digest256> m_order;
    std::size_t m_bytes = 0;
};

} // namespace hawthornpick::transfer
