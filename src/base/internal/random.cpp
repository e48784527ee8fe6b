#include "base/random.h"

namespace hawthornpick::base {

auto random_source::below(std::uint64_t bound) -> std::uint64_t
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

auto random_source::unit() -> double
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
}

auto systemSeed() -> std::uint64_t
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace hawthornpick::base
