#include "goldcrest/recent_jobs.h"

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(recent_jobs){};

// Guards against a job that has just finished and is forgotten because of its name, so that a late
// message about it is answered only after another read of the store.
TEST(recent_jobs, jobThatWasAddedFirstIsForgotten)
{
    recent_jobs jobs(2);
    jobs.add({"t", "z"});
    jobs.add({"t", "a"});
    jobs.add({"t", "z"});
    CHECK(jobs.contains({"t", "z"}));
    jobs.add({"t", "b"});
    CHECK(!jobs.contains({"t", "z"}));
    CHECK(jobs.contains({"t", "a"}));
    CHECK(jobs.contains({"t", "b"}));
}
