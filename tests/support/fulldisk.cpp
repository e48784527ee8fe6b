// Preloaded into a process under test: while the file that the variable HAWTHORNPICK_TEST_FULL_DISK
// names exists, accesses to other files fail as on a full disk. The content of the file names what
// fails: write, short (half of it is written first), open, rename or fsync.

#include <array>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <string_view>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

// Reads with system calls, because the functions of the C library are replaced.
auto isFailing(std::string_view access) -> bool
{
    static const char *const switchFile = std::getenv("HAWTHORNPICK_TEST_FULL_DISK");
    if (switchFile == nullptr) {
        return false;
    }
    const auto file = syscall(SYS_openat, AT_FDCWD, switchFile, O_RDONLY | O_CLOEXEC, 0);
    if (file < 0) {
        return false;
    }
    std::array<char, 16> content{};
    const auto size = syscall(SYS_read, file, content.data(), content.size());
    syscall(SYS_close, file);
    return size > 0 && std::string_view(content.data(), static_cast<std::size_t>(size)) == access;
}

auto isDataFile(int file) -> bool
{
    struct stat status
    {};
    return file > STDERR_FILENO && fstat(file, &status) == 0 && S_ISREG(status.st_mode);
}

template <typename Result>
auto failAsFull() -> Result
{
    errno = ENOSPC;
    return static_cast<Result>(-1);
}

} // namespace

// Each of the functions below replaces the one of the C library.
// NOLINTBEGIN(readability-identifier-naming,cppcoreguidelines-pro-type-vararg,cert-dcl50-cpp)

extern "C" auto write(int file, const void *bytes, size_t size) -> ssize_t
{
    if (isDataFile(file)) {
        if (isFailing("write")) {
            return failAsFull<ssize_t>();
        }
        if (isFailing("short")) {
            return size > 1 ? syscall(SYS_write, file, bytes, size / 2) : failAsFull<ssize_t>();
        }
    }
    return syscall(SYS_write, file, bytes, size);
}

extern "C" auto open(const char *path, int flags, ...) -> int
{
    va_list arguments;
    va_start(arguments, flags);
    const auto mode = (flags & O_CREAT) != 0 ? va_arg(arguments, unsigned) : 0U;
    va_end(arguments);
    if ((flags & O_CREAT) != 0 && isFailing("open")) {
        return failAsFull<int>();
    }
    return static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}

extern "C" auto rename(const char *from, const char *to) noexcept -> int
{
    if (isFailing("rename")) {
        return failAsFull<int>();
    }
    return static_cast<int>(syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0));
}

extern "C" auto fsync(int file) -> int
{
    return isFailing("fsync") ? failAsFull<int>() : static_cast<int>(syscall(SYS_fsync, file));
}

extern "C" auto fdatasync(int file) -> int
{
    return isFailing("fsync") ? failAsFull<int>() : static_cast<int>(syscall(SYS_fdatasync, file));
}

// NOLINTEND(readability-identifier-naming,cppcoreguidelines-pro-type-vararg,cert-dcl50-cpp)
