#include "fleet/departurejournal.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using fleet::departure_journal;

namespace {

const base::node_id NODE("10.0.0.1:7000");
const base::time_point START{std::chrono::seconds(1000)};

auto recordWith(bool isLeaving, std::uint64_t sequence) -> fleet::node_record
{
    membership::upstream_entry upstream;
    upstream.id = base::upstream_id("u");
    upstream.service = base::service_id("s");
    upstream.isLeaving = isLeaving;
    fleet::node_record record;
    record.entry.id = NODE;
    record.entry.peerAddress = {"10.0.0.1", 7000};
    record.entry.upstreams = {upstream};
    record.generation = 1;
    record.sequence = sequence;
    return record;
}

auto answerTo(const base::node_id &node) -> base::outgoing_message
{
    return {node, base::channel::Directory, "answer", {}};
}

} // namespace

TEST_GROUP(departure_journal){};

// Guards against an answer that tells a node that its record is stored before the disk has it.
TEST(departure_journal, answersOnceTheFileHasTheDeparture)
{
    departure_journal journal;
    (void)journal.onLoaded("", START);
    fleet::record_table records(1);
    records.merge(recordWith(true, 1));
    journal.update(records, START);
    CHECK(journal.sendWhenDurable(answerTo(NODE)).empty());
    const auto write = journal.takeWrite();
    CHECK(write.has_value());
    CHECK(!journal.takeWrite().has_value());
    CHECK_EQUAL(1U, journal.onWritten(write->revision).size());
    CHECK_EQUAL(1U, journal.sendWhenDurable(answerTo(NODE)).size());
    CHECK_EQUAL(1U, fleet::decodeRecords(write->content).size());
}

// Guards against answers and writes before the file was read: the write would replace it.
TEST(departure_journal, writesNothingBeforeTheFileIsLoaded)
{
    departure_journal journal;
    fleet::record_table records(1);
    records.merge(recordWith(true, 1));
    journal.update(records, START);
    CHECK(!journal.takeWrite().has_value());
    CHECK(journal.sendWhenDurable(answerTo(NODE)).empty());
    (void)journal.onLoaded("damaged", START);
    CHECK(journal.takeWrite().has_value());
}

// Guards against a write for each change of the directory.
TEST(departure_journal, writesOnlyChangesOfDepartures)
{
    departure_journal journal;
    (void)journal.onLoaded("", START);
    fleet::record_table records(1);
    records.merge(recordWith(false, 1));
    journal.update(records, START);
    CHECK(!journal.takeWrite().has_value());
    records.merge(recordWith(true, 2));
    journal.update(records, START);
    const auto write = journal.takeWrite();
    CHECK(write.has_value());
    (void)journal.onWritten(write->revision);
    records.merge(recordWith(true, 3));
    journal.update(records, START);
    CHECK(!journal.takeWrite().has_value());
}

// Guards against a file that grows with each node that was ever there.
TEST(departure_journal, dropsNodesThatAreNotHeardOfAfterALoad)
{
    departure_journal journal;
    (void)journal.onLoaded("", START);
    fleet::record_table records(1);
    auto restored = recordWith(true, 0);
    restored.entry.state = membership::node_state::Dead;
    records.merge(restored);
    journal.update(records, START);
    const auto write = journal.takeWrite();
    CHECK_EQUAL(1U, fleet::decodeRecords(write->content).size());
    (void)journal.onWritten(write->revision);
    records.merge([] {
        auto other = recordWith(false, 1);
        other.entry.id = base::node_id("10.0.0.2:7000");
        return other;
    }());
    journal.update(records, START + departure_journal::UNHEARD_RETENTION);
    const auto next = journal.takeWrite();
    CHECK(next.has_value());
    CHECK(fleet::decodeRecords(next->content).empty());
}
