#include "control/replica.h"
#include "base/thriftcodec.h"
#include "control/messages.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::control;

namespace {

const base::time_point START{std::chrono::hours(1)};
const member SELF{base::node_id("a"), 1};
const member SECOND{base::node_id("b"), 2};
const member THIRD{base::node_id("c"), 3};

auto storedState() -> stored_state
{
    wire::command noop;
    wire::snapshot first;
    first.index = 1;
    first.members = toWire(membership{{SELF, SECOND, THIRD}, {}, {}});
    first.state_bytes = acceptance_state().encode();
    return {SELF.disk, 1, "", base::encodeThrift(first), {{2, 1, base::encodeThrift(noop)}}};
}

} // namespace

TEST_GROUP(replica_test)
{
    std::shared_ptr<memory_disk> shared = std::make_shared<memory_disk>();
    storage disk{memory_storage(shared)};
    transfer::content_store store;
    transfer::content_exchange exchange{store, base::random_source(1)};
    std::unique_ptr<replica> log;
    base::time_point now = START;

    void setup() override
    {
        shared->synced = storedState();
        restart();
    }

    auto restart()->void
    {
        log = std::make_unique<replica>(replica_options{SELF.node, {}}, disk, shared->synced,
                                        exchange, base::random_source(2), now);
    }

    template <typename Struct>
    auto deliver(const member &from, message_kind kind, const Struct &value)->replica::messages
    {
        log->receive(from.node, static_cast<std::uint8_t>(kind), base::encodeThrift(value), now);
        return log->flush(now);
    }

    auto voteFor(std::int64_t term, bool isTrial)->void
    {
        wire::vote_answer answer;
        answer.term = 1;
        answer.disk = static_cast<std::int64_t>(SECOND.disk);
        answer.granted = true;
        answer.trial = isTrial;
        answer.asked_term = term;
        deliver(SECOND, message_kind::VoteAnswer, answer);
    }

    auto becomeLeader()->void
    {
        now += 2 * replica::ELECTION_TIME;
        log->tick(now);
        voteFor(2, true);
        voteFor(2, false);
        CHECK(log->role() == replica_role::Leader);
    }

    auto acknowledge(std::int64_t last)->void
    {
        wire::append_answer answer;
        answer.term = 2;
        answer.disk = static_cast<std::int64_t>(SECOND.disk);
        answer.matched = true;
        answer.last = last;
        deliver(SECOND, message_kind::AppendAnswer, answer);
    }

    auto asksForVote(const member &from, std::int64_t term)->bool
    {
        wire::vote request;
        request.term = term;
        request.disk = static_cast<std::int64_t>(from.disk);
        request.last_index = 2;
        request.last_term = 1;
        const auto out = deliver(from, message_kind::Vote, request);
        const auto payload = std::string_view(out.at(0).payload).substr(1);
        return base::decodeThrift<wire::vote_answer>(payload)->granted;
    }
};

// Guards against an entry of an earlier term that counts as committed by copies alone; a later
// leader without it could still replace it.
TEST(replica_test, entriesOfEarlierTermsAreCommittedThroughOneOfTheOwnTerm)
{
    becomeLeader();
    acknowledge(2);
    LONGS_EQUAL(1, log->commitIndex());
    acknowledge(3);
    LONGS_EQUAL(3, log->commitIndex());
}

// Guards against two leaders in one term through a vote that is forgotten at a restart.
TEST(replica_test, voteIsKeptAcrossARestart)
{
    CHECK(asksForVote(SECOND, 5));
    restart();
    CHECK(!asksForVote(THIRD, 5));
    CHECK(asksForVote(SECOND, 5));
}

// Guards against an answer before the disk holds what it promises, and against a retry after a
// failed sync, which may report success without the data.
TEST(replica_test, failedSyncSilencesTheReplica)
{
    shared->failsSync = true;
    wire::vote request;
    request.term = 5;
    request.disk = static_cast<std::int64_t>(SECOND.disk);
    request.last_index = 2;
    request.last_term = 1;
    CHECK(deliver(SECOND, message_kind::Vote, request).empty());
    shared->failsSync = false;
    CHECK(deliver(SECOND, message_kind::Vote, request).empty());
    CHECK(log->role() == replica_role::Failed);
}
