#include "goldcrest/digest.h"

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(digest){};

// Guards against a change of the algorithm or its text form: stored results would no longer match.
TEST(digest, matchesThePublishedTestVector)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
                 digestOf("abc").c_str());
}
