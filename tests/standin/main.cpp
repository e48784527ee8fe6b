#include "tests/process/upstream.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, announce, "127.0.0.1:7001", "announce address of the node beside it");
ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen at; the port is chosen");
ABSL_FLAG(std::string, service, "work", "service and local name");
ABSL_FLAG(uint32_t, slots, 5, "slots in the announcements");
ABSL_FLAG(uint32_t, latency_ms, 0, "time from request to answer in milliseconds");
ABSL_FLAG(bool, failing, false, "answer every request with status 500");

auto main(int argumentCount, char **arguments) -> int
{
    using namespace hawthornpick;
    absl::SetProgramUsageMessage("a small upstream that announces itself and echoes bodies");
    absl::ParseCommandLine(argumentCount, arguments);
    const auto announce = membership::parseEndpoint(absl::GetFlag(FLAGS_announce));
    if (!announce) {
        std::cerr << "standin_upstream: --announce is not an IP address with a port\n";
        return 2;
    }
    // Blocked before the threads start, so that all of them inherit it.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        const auto service = absl::GetFlag(FLAGS_service);
        processtest::stand_in_upstream upstream(*announce, service, service,
                                                absl::GetFlag(FLAGS_address));
        upstream.setSlots(absl::GetFlag(FLAGS_slots));
        upstream.setLatency(std::chrono::milliseconds(absl::GetFlag(FLAGS_latency_ms)));
        upstream.setFailing(absl::GetFlag(FLAGS_failing));
        int received = 0;
        sigwait(&signals, &received);
    } catch (const std::exception &problem) {
        std::cerr << "standin_upstream: " << problem.what() << "\n";
        return 1;
    }
    return 0;
}
