#include "base/log.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornpick::base;

TEST_GROUP(log_line){};

TEST(log_line, hasOneMemberForEachField)
{
    STRCMP_EQUAL(R"({"time":"t","level":"warning","node":"n1","message":"link closed",)"
                 R"("peer":"n2","streams":3,"clean":false})",
                 formatLogLine("t", log_level::Warning, "n1", "link closed",
                               {{"peer", "n2"}, {"streams", 3}, {"clean", false}})
                         .c_str());
}

// Guards against log injection: unescaped request data could end its JSON string or the log line.
TEST(log_line, escapesControlCharactersAndQuotes)
{
    STRCMP_EQUAL(R"("a\"b\\c\u000ad")", quoteJson("a\"b\\c\nd").c_str());
}
