#include "goldcrest/stall_detector.h"
#include "testing/virtual_event_loop.h"

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(stall_detector)
{
    virtual_event_loop loop;
    stall_detector stalls{loop};
};

TEST(stall_detector, reportsNothingWhileTheLoopTurns)
{
    loop.advance(5s);
    CHECK(!stalls.hasStalledSince(loop.now() - 5s));
}

// Guards against a request that is taken for a new one because it is read before the first timer
// after the pause.
TEST(stall_detector, reportsAPauseThatHasJustEnded)
{
    loop.advance(1s);
    const time_point before = loop.now();
    bool hasStalled = false;
    loop.post([&] { hasStalled = stalls.hasStalledSince(before); });
    loop.jump(500ms);
    loop.runPosted();
    CHECK(hasStalled);
}

TEST(stall_detector, remembersThePauseFromItsEndOn)
{
    loop.advance(1s);
    loop.jump(2s);
    const time_point end = loop.now();
    loop.advance(3s);
    CHECK(stalls.hasStalledSince(end));
    CHECK(!stalls.hasStalledSince(end + 1ms));
}
