#include "membership/internal/members.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using namespace hawthornpick::membership;

namespace {

auto recordWith(std::int64_t complete, std::vector<wire::upstream> upstreams) -> wire::record
{
    wire::record record;
    record.state.node = "node";
    record.state.incarnation = 1;
    record.complete = complete;
    record.upstreams = std::move(upstreams);
    return record;
}

auto upstreamAt(std::int64_t sequence, upstream_state state) -> wire::upstream
{
    wire::upstream upstream;
    upstream.name = "u";
    upstream.sequence = sequence;
    upstream.state = static_cast<std::int8_t>(state);
    return upstream;
}

auto changeAt(std::int64_t sequence, upstream_state state) -> wire::change
{
    wire::change change;
    change.node = "node";
    change.incarnation = 1;
    change.__set_entry(upstreamAt(sequence, state));
    return change;
}

} // namespace

TEST_GROUP(members_test){};

// Guards against a withdrawn upstream that an older change restores, also after its node has
// deleted the withdrawn entry.
TEST(members_test, olderChangesNeverRestoreAWithdrawnUpstream)
{
    member_table table;
    table.mergeRecord(recordWith(1, {upstreamAt(1, upstream_state::Ready)}), {});
    CHECK_TRUE(table.mergeChange(changeAt(3, upstream_state::Gone)).isChanged);
    CHECK_FALSE(table.mergeChange(changeAt(2, upstream_state::Ready)).isChanged);
    CHECK_FALSE(
            table.mergeRecord(recordWith(2, {upstreamAt(2, upstream_state::Ready)}), {}).isChanged);
    CHECK_TRUE(table.mergeRecord(recordWith(4, {}), {}).isChanged);
    CHECK_TRUE(table.find(base::node_id("node"))->upstreams.empty());
    CHECK_FALSE(table.mergeChange(changeAt(2, upstream_state::Ready)).isChanged);
    CHECK_FALSE(table.mergeChange(changeAt(4, upstream_state::Ready)).isChanged);
    CHECK_TRUE(table.mergeChange(changeAt(5, upstream_state::Ready)).isChanged);
}

// Guards against a dead node that an outdated record restores after the node was removed.
TEST(members_test, removedNodeReturnsOnlyWithANewerStatus)
{
    member_table table;
    auto record = recordWith(1, {});
    table.mergeRecord(record, {});
    table.remove(base::node_id("node"), {});
    CHECK_TRUE(table.mergeRecord(record, {}).isSenderOutdated);
    CHECK_TRUE(table.find(base::node_id("node")) == nullptr);
    record.state.refutation = 1;
    CHECK_TRUE(table.mergeRecord(record, {}).isChanged);
    table.remove(base::node_id("node"), {});
    record.state = {};
    record.state.node = "node";
    record.state.incarnation = 2;
    CHECK_TRUE(table.mergeRecord(record, {}).isChanged);
}

// Guards against digests that differ for equal content or depend on the order of the changes.
TEST(members_test, digestDependsOnContentOnly)
{
    member_table left;
    member_table right;
    left.mergeRecord(recordWith(0, {}), {});
    left.mergeChange(changeAt(1, upstream_state::Ready));
    left.mergeChange(changeAt(2, upstream_state::Draining));
    right.mergeRecord(recordWith(2, {upstreamAt(2, upstream_state::Draining)}), {});
    CHECK_EQUAL(left.digest(), right.digest());
    right.mergeChange(changeAt(3, upstream_state::Ready));
    CHECK_TRUE(left.digest() != right.digest());
}
