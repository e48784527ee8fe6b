// Preloaded into a process under test: sets its wall clock apart from that of the machine by the
// milliseconds in the variable HAWTHORNPICK_TEST_CLOCK_STEP_MS.

#include <cstdlib>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr long MILLISECONDS_PER_SECOND = 1000;
constexpr long NANOSECONDS_PER_MILLISECOND = 1'000'000;
constexpr long NANOSECONDS_PER_SECOND = 1'000'000'000;

auto stepMilliseconds() -> long
{
    const auto *text = std::getenv("HAWTHORNPICK_TEST_CLOCK_STEP_MS");
    return text == nullptr ? 0 : std::strtol(text, nullptr, 10);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): replaces the function of the C library.
extern "C" auto clock_gettime(clockid_t clock, timespec *result) noexcept -> int
{
    static const long step = stepMilliseconds();
    const auto status = static_cast<int>(syscall(SYS_clock_gettime, clock, result));
    if (status == 0 && clock == CLOCK_REALTIME) {
        result->tv_sec += step / MILLISECONDS_PER_SECOND;
        result->tv_nsec += step % MILLISECONDS_PER_SECOND * NANOSECONDS_PER_MILLISECOND;
        if (result->tv_nsec < 0) {
            result->tv_nsec += NANOSECONDS_PER_SECOND;
            --result->tv_sec;
        }
        if (result->tv_nsec >= NANOSECONDS_PER_SECOND) {
            result->tv_nsec -= NANOSECONDS_PER_SECOND;
            ++result->tv_sec;
        }
    }
    return status;
}
