#include "upstream/toldstatements.h"
#include "upstream/wirecodec.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick;
using upstream::statement_report;
using upstream::upstream_statement;

namespace {

const base::time_point START{std::chrono::seconds(1000)};
const base::node_id NODE("n");
const base::service_id SERVICE("s");

auto limitOf(const std::string &name, double limit) -> upstream_statement
{
    return {base::upstream_id("n/" + name), 7, limit, false};
}

} // namespace

TEST_GROUP(told_statements)
{
    upstream::told_statements m_told;

    auto report(const statement_report &content, base::time_point now = START)->void
    {
        m_told.onReport(NODE, SERVICE, content, now);
    }

    auto known()->std::vector<upstream_statement>
    {
        return m_told.statementsAbout(NODE, SERVICE);
    }
};

// Guards against what is forgotten because a restarted node doesn't know it yet.
TEST(told_statements, incompleteReportKeepsWhatIsKnown)
{
    report({{limitOf("a", 1.0), limitOf("b", 2.0)}});
    report({{}, false});
    LONGS_EQUAL(2, known().size());
    report({{limitOf("b", 5.0)}, false});
    CHECK((known() == std::vector{limitOf("b", 5.0), limitOf("a", 1.0)}));
    report({{limitOf("b", 5.0)}, true});
    CHECK((known() == std::vector{limitOf("b", 5.0)}));
    report({});
    CHECK(known().empty());
    CHECK(m_told.statementsAbout(base::node_id("other"), SERVICE).empty());
}

// Guards against memory that grows with every upstream that a node ever had.
TEST(told_statements, areBoundedAndForgotten)
{
    for (int i = 0; i < 100; ++i) {
        report({{limitOf(std::to_string(i), 1.0)}, false});
    }
    CHECK(known().size() <= upstream::told_statements::MAX_STATEMENTS);
    m_told.onReport(base::node_id("other"), SERVICE, {{limitOf("a", 1.0)}},
                    START + upstream::told_statements::RETENTION);
    CHECK(known().empty());
}

TEST(told_statements, surviveTheWire)
{
    const std::vector statements{limitOf("a", 2.5),
                                 upstream_statement{base::upstream_id("n/b"), 9, {}, true}};
    upstream::attempt_request request;
    request.deadline = START;
    request.statements = statements;
    const auto decoded = upstream::decodeRequest(upstream::encodeRequest(request, START), START);
    CHECK(decoded.has_value());
    CHECK(decoded->statements == statements);
    for (const bool isComplete : {true, false}) {
        const statement_report said{statements, isComplete};
        const auto opening = upstream::decodeOpening(upstream::encodeOpening({{}, {}, {}, said}));
        CHECK(opening && opening->said == said);
    }
}
