#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

auto main(int argc, char **argv) -> int
{
    // CppUTest's leak detector counts static caches of OpenSSL and the C++ library as leaks; the
    // address sanitizer preset finds real ones.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
