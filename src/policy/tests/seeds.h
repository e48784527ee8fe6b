#pragma once

#include <CppUTest/SimpleString.h>
#include <CppUTest/TestHarness.h>
#include <cstdint>
#include <cstdlib>

namespace hawthornpick::testsupport {

//! Runs `test` with the seeds 1 to `count`, or to HAWTHORNPICK_TEST_SEEDS if that is set.
template <typename Test>
auto forEachSeed(std::uint64_t count, Test test) -> void
{
    const char *text = std::getenv("HAWTHORNPICK_TEST_SEEDS");
    const std::uint64_t last = text == nullptr ? count : std::strtoull(text, nullptr, 10);
    for (std::uint64_t seed = 1; seed <= last; ++seed) {
        test(seed);
    }
}

//! Text that names the seed of a failed check.
inline auto seedText(std::uint64_t seed, const char *what) -> SimpleString
{
    return StringFromFormat("%s, seed %llu", what, static_cast<unsigned long long>(seed));
}

} // namespace hawthornpick::testsupport
