#pragma once

#include "base/ids.h"

#include <cstdint>
#include <random>

namespace hawthornpick::base {

//! Pseudo-random number generator. The same seed gives the same sequence. Not for nonces or keys;
//! see `secureRandomBytes`.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : m_engine(seed) {}

    //! Returns a uniformly distributed integer in [0, bound).
    //! Precondition: `bound` > 0. Thread safety: one thread.
    auto below(std::uint64_t bound) -> std::uint64_t;

    //! Returns a uniformly distributed number in [0, 1). Thread safety: one thread.
    auto unit() -> double;

    //! Returns true with the given probability. Thread safety: one thread.
    auto chance(double probability) -> bool { return unit() < probability; }

    //! Returns 64 random bits. Thread safety: one thread.
    auto bits() -> std::uint64_t { return m_engine(); }

    //! Returns a number from which a process counts its requests, so that a late answer to an
    //! earlier process of the same node matches none of them. Below 2^62, which leaves room to
    //! count. Thread safety: one thread.
    auto firstRequestNumber() -> std::uint64_t { return bits() >> 2U; }

    //! Returns a random attempt id. Thread safety: one thread.
    auto attemptId() -> attempt_id { return {bits(), bits()}; }

private:
    std::mt19937_64 m_engine;
};

//! Returns a non-deterministic seed of the operating system. Thread safety: any thread.
auto systemSeed() -> std::uint64_t;

} // namespace hawthornpick::base
