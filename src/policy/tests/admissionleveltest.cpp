#include "policy/admissionlevel.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using policy::admission_level;
using policy::slot_use;
using std::chrono::milliseconds;

TEST_GROUP(admission_level)
{
    admission_level m_level;
    base::time_point m_now{std::chrono::seconds(100)};

    // Requests of the ranks 0, 4 and 9 arrive all the time.
    void pass(slot_use use, milliseconds span)
    {
        for (const auto end = m_now + span; m_now < end; m_now += milliseconds(10)) {
            m_level.onArrival(0, m_now);
            m_level.onArrival(4, m_now);
            m_level.onArrival(9, m_now);
            m_level.update(use, m_now);
        }
    }
};

// Guards against requests of cheap ranks that wait under overload only to be refused, and against a
// level that closes for all ranks at once or for the most urgent one.
TEST(admission_level, closesOneRankAtATime)
{
    pass(slot_use::Overdue, milliseconds(450));
    CHECK_EQUAL(admission_level::ALL_RANKS, m_level.lowestRank());
    pass(slot_use::Overdue, milliseconds(100));
    CHECK_EQUAL(4U, m_level.lowestRank());
    pass(slot_use::Overdue, milliseconds(900));
    CHECK_EQUAL(4U, m_level.lowestRank());
    pass(slot_use::Overdue, milliseconds(150));
    CHECK_EQUAL(0U, m_level.lowestRank());
    pass(slot_use::Overdue, milliseconds(5000));
    CHECK_EQUAL(0U, m_level.lowestRank());
}

// Guards against ranks that stay locked out, or are let in all at once, when there is room again.
TEST(admission_level, opensAllRanksWithinASecond)
{
    pass(slot_use::Overdue, milliseconds(2000));
    CHECK_EQUAL(0U, m_level.lowestRank());
    pass(slot_use::Room, milliseconds(300));
    CHECK_EQUAL(4U, m_level.lowestRank());
    pass(slot_use::Room, milliseconds(700));
    CHECK_EQUAL(admission_level::ALL_RANKS, m_level.lowestRank());
}

// Guards against a level that follows short bursts.
TEST(admission_level, staysOpenIfSlotsAreOverdueForPartOfTheTime)
{
    for (int i = 0; i < 20; ++i) {
        pass(slot_use::Overdue, milliseconds(400));
        pass(slot_use::Room, milliseconds(50));
    }
    CHECK_EQUAL(admission_level::ALL_RANKS, m_level.lowestRank());
}
