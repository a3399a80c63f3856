#include "goldcrest/text_table.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(text_table){};

// Guards against columns that shift by a space for each accented letter, as in
// "Rivière-du-Loup".
TEST(text_table, alignsAccentedNames)
{
    const std::vector<table_row> rows
        = {{"DOMAIN", "RACK"}, {"Rivière-du-Loup", "r1"}, {"Amqui", "r2"}};
    STRCMP_EQUAL("DOMAIN           RACK\n"
                 "Rivière-du-Loup  r1\n"
                 "Amqui            r2\n",
                 formatTable(rows).c_str());
}
