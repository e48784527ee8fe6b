// An instance leaves (DELETE, acknowledged), the process beside it is killed and started again, and
// a heartbeat that the instance sent before it left arrives late. Checks that no request reaches the
// instance later than `drain` after the acknowledgement.
#include "standin.hh"

using namespace standin;

namespace {

constexpr int INSTANCES = 6;
// Bounds of the site.
constexpr double DRAIN_MS = 2500;
constexpr double STABLE_WINDOW_MS = 3000;
constexpr double WORK_MS = 210;
constexpr int DEADLINE_MS = 4000;
constexpr double REQUEST_INTERVAL_MS = 13;
// Delay of the late heartbeat.
constexpr double LATE_BEAT_MS = 5000;
// Time for which the instance still serves after the acknowledgement.
constexpr double STILL_SERVES_MS = 10'000;

struct run_entry
{
    double at;
    int instance;
};

} // namespace

int main(int, char **argv)
{
    recorder::get().open(std::string(argv[1]) + "/record.txt");
    std::mutex mutex;
    std::vector<run_entry> runs;
    std::map<std::string, int> ranBy;
    std::atomic<int> sent{0}, good{0}, refused{0}, lost{0};
    double leftAt = 0;
    double restartedAt = 0;
    
    int leaver = 0;
    double goneAt = 0;
    {
        fleet system(3, std::vector<std::string>(INSTANCES, "diary"));
        std::vector<std::unique_ptr<instance>> instances;
        system.startAll();
        for (const int machineIndex : system.sidecars()) {
            const auto id = "i-" + std::to_string(machineIndex);
            instances.push_back(std::make_unique<instance>(
                    system, machineIndex, id, 3, [&, machineIndex, id](exchange &current) {
                        RECORD("instance %s runs %s", id.c_str(), current.attempt.c_str());
                        {
                            std::lock_guard lock(mutex);
                            runs.push_back({nowMs(), machineIndex});
                            ranBy[current.attempt] = machineIndex;
                        }
                        if (!current.work(WORK_MS)) {
                            return false;
                        }
                        const auto body = patternBody(id, current.attempt, 400);
                        return current.answer(
                                200, "Response-Signature: " + signatureOf(body) + "\r\n", body);
                    }));
        }
        if (!putConfiguration(system, 0,
                              configuration(1, {"diary"},
                                            {{"submit", "/submit/", "non_idempotent", "diary", 4000,
                                              600, 1, 2},
                                             {"read", "/read/", "idempotent", "diary", 4000, 600, 2,
                                              2}},
                                            {{"a", "key-a", 0, 0}}),
                              20000)) {
            fleet::unable("the configuration was not acknowledged");
        }
        system.waitUntilReady(20000);
        sleepMs(5000);

        std::atomic<bool> isOver{false};
        const auto sidecars = system.sidecars();
        leaver = sidecars[0];
        // Clients of the other machines. The clients of the leaver's machine have gone with it.
        std::thread clients([&] {
            std::vector<std::thread> requests;
            for (std::size_t i = 0; !isOver; ++i) {
                const int entry = sidecars[1 + i % (sidecars.size() - 1)];
                const bool isRead = i % 2 == 0;
                requests.emplace_back([&, entry, isRead] {
                    const auto attempt = newAttemptId();
                    ++sent;
                    auto opened = connection::connect(system.callers(entry), 1000);
                    http_answer answer;
                    const auto text =
                            isRead ? requestText("GET", "/read/day", attempt, DEADLINE_MS, "key-a")
                                   : requestText("POST", "/submit/day", attempt, DEADLINE_MS,
                                                 "key-a", "quarter hours");
                    if (opened && opened->write(text, nowMs() + 1000)) {
                        answer = readAnswer(*opened, nowMs() + DEADLINE_MS + 500);
                    }
                    RECORD("client got for %s (%s) at %s: status %d, %s", attempt.c_str(),
                           isRead ? "read" : "submit",
                           system.at(entry).name.c_str(), answer.status, endName(answer.end));
                    std::lock_guard lock(mutex);
                    if (answer.status == 200) {
                        ++good;
                    } else if (answer.status == 503 || answer.status == 429) {
                        ++refused;
                    } else if (ranBy.contains(attempt)) {
                        ++lost;
                        RECORD("%s ran at i-%d and its answer is lost", attempt.c_str(),
                               ranBy[attempt]);
                    }
                });
                sleepMs(REQUEST_INTERVAL_MS);
            }
            for (auto &request : requests) {
                request.join();
            }
        });
        sleepMs(3000);

        auto &leaving = *instances.front();
        // The regular heartbeats end with the departure. The last one is on its way for a while.
        leaving.stopBeats();
        const auto lateBeat = leaving.beatBody("ready", leaving.nextSequence());
        const auto lateBeatSentAt = nowMs();
        RECORD("instance %s sends a heartbeat, which is delayed", leaving.id().c_str());
        sleepMs(100);
        int status = 0;
        while ((status = leaving.sendLeave()) != 200) {
            sleepMs(50);
        }
        leftAt = nowMs();
        RECORD("instance %s has left: DELETE acknowledged with %d", leaving.id().c_str(), status);
        if (isTroubled()) {
            sleepMs(100);
            system.kill(leaver);
            sleepMs(300);
            system.start(leaver);
            restartedAt = nowMs();
        }
        sleepMs(lateBeatSentAt + LATE_BEAT_MS - nowMs());
        status = leaving.sendBeat(lateBeat);
        
        RECORD("the delayed heartbeat of %s arrived, answered %d", leaving.id().c_str(), status);
        sleepMs(leftAt + STILL_SERVES_MS - nowMs());
        goneAt = nowMs();
        RECORD("instance %s exits", leaving.id().c_str());
        leaving.stop();
        sleepMs(2000);
        isOver = true;
        clients.join();
        for (auto &item : instances) {
            item->stop();
        }
    }
    // The machine of the instance was out of touch until `stable_window` after its start.
    const double from = std::max(leftAt + DRAIN_MS, restartedAt + STABLE_WINDOW_MS);
    int late = 0;
    for (const auto &run : runs) {
        late += run.instance == leaver && run.at > from && run.at < goneAt + 1000 ? 1 : 0;
    }
    char summary[400];
    std::snprintf(summary, sizeof(summary),
                  "sent %d, served %d, refused %d, ran and lost %d; requests that reached the "
                  "departed instance later than drain after the acknowledgement, by machines in "
                  "touch: %d",
                  sent.load(), good.load(), refused.load(), lost.load(), late);
    RECORD("%s", summary);
    std::puts(summary);
    if (good < sent / 2) {
        return 2;
    }
    return late > 0 ? 1 : 0;
}
