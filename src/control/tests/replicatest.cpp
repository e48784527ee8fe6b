#include "control/replica.h"
#include "base/thriftcodec.h"
#include "control/messages.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::control;

namespace {

const base::time_point START_TIME{std::chrono::hours(1)};
const member SELF{base::node_id("a"), 1};
const member SECOND{base::node_id("b"), 2};
const member THIRD{base::node_id("c"), 3};

auto makeStoredState() -> stored_state
{
    wire::command noop;
    wire::snapshot initialSnapshot;
    initialSnapshot.index = 1;
    initialSnapshot.members = toWire(membership{{SELF, SECOND, THIRD}, {}, {}});
    initialSnapshot.state_bytes = acceptance_state().encode();
    return {SELF.diskId,
            1,
            "",
            base::encodeThrift(initialSnapshot),
            {{2, 1, base::encodeThrift(noop)}}};
}

} // namespace

TEST_GROUP(replica_test)
{
    std::shared_ptr<memory_disk> virtualDisk = std::make_shared<memory_disk>();
    storage logStorage{memory_storage(virtualDisk)};
    transfer::content_store store;
    transfer::content_exchange exchange{store, base::random_source(1)};
    std::unique_ptr<replica> testedReplica;
    base::time_point now = START_TIME;

    void setup() override
    {
        virtualDisk->synced = makeStoredState();
        restart();
    }

    auto restart()->void
    {
        testedReplica = std::make_unique<replica>(replica_options{SELF.node, {}}, logStorage,
                                                  virtualDisk->synced, exchange,
                                                  base::random_source(2), now);
    }

    template <typename Struct>
    auto deliver(const member &from, message_kind kind, const Struct &value)->replica::messages
    {
        testedReplica->receive(from.node, static_cast<std::uint8_t>(kind),
                               base::encodeThrift(value), now);
        return testedReplica->flush(now);
    }

    auto grantVote(std::int64_t requestedTerm, bool isPreVote)->void
    {
        wire::vote_answer answer;
        answer.term = 1;
        answer.disk = static_cast<std::int64_t>(SECOND.diskId);
        answer.granted = true;
        answer.trial = isPreVote;
        answer.asked_term = requestedTerm;
        deliver(SECOND, message_kind::VoteAnswer, answer);
    }

    auto becomeLeader()->void
    {
        now += 2 * replica::MIN_ELECTION_TIMEOUT;
        testedReplica->tick(now);
        grantVote(2, true);
        grantVote(2, false);
        CHECK(testedReplica->role() == replica_role::Leader);
    }

    auto acknowledgeUpTo(std::int64_t lastIndex)->void
    {
        wire::append_answer answer;
        answer.term = 2;
        answer.disk = static_cast<std::int64_t>(SECOND.diskId);
        answer.matched = true;
        answer.last = lastIndex;
        deliver(SECOND, message_kind::AppendAnswer, answer);
    }

    auto getsVote(const member &candidate, std::int64_t term)->bool
    {
        wire::vote request;
        request.term = term;
        request.disk = static_cast<std::int64_t>(candidate.diskId);
        request.last_index = 2;
        request.last_term = 1;
        const auto answers = deliver(candidate, message_kind::Vote, request);
        const auto payload = std::string_view(answers.at(0).payload).substr(1);
        return base::decodeThrift<wire::vote_answer>(payload)->granted;
    }
};

// Guards against committing an entry of an earlier term only because a majority has it. A later
// leader without that entry could still replace it.
TEST(replica_test, entriesOfEarlierTermsCommitOnlyWithAnEntryOfTheCurrentTerm)
{
    becomeLeader();
    acknowledgeUpTo(2);
    LONGS_EQUAL(1, testedReplica->commitIndex());
    acknowledgeUpTo(3);
    LONGS_EQUAL(3, testedReplica->commitIndex());
}

// Guards against two leaders in one term, which occur if a replica forgets its vote in a restart.
TEST(replica_test, voteIsKeptAfterARestart)
{
    CHECK(getsVote(SECOND, 5));
    restart();
    CHECK(!getsVote(THIRD, 5));
    CHECK(getsVote(SECOND, 5));
}

// Guards against sending an answer before the state behind it is on disk, and against a retry after
// a failed sync, as the retry may report success without having written the data.
TEST(replica_test, replicaSendsNothingAfterAFailedSync)
{
    virtualDisk->failsSync = true;
    wire::vote request;
    request.term = 5;
    request.disk = static_cast<std::int64_t>(SECOND.diskId);
    request.last_index = 2;
    request.last_term = 1;
    CHECK(deliver(SECOND, message_kind::Vote, request).empty());
    virtualDisk->failsSync = false;
    CHECK(deliver(SECOND, message_kind::Vote, request).empty());
    CHECK(testedReplica->role() == replica_role::Failed);
}
