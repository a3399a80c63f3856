#include "goldcrest/job_record.h"
#include "goldcrest/message_codec.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(message_codec){};

// Guards against a kind whose decoder does not match its encoder.
TEST(message_codec, defaultHeartbeatRoundTrip)
{
    heartbeat_message heartbeat;
    heartbeat.worker = "w1";
    heartbeat.sequence = 7;
    const result<message> decoded = decodeMessage(encodeMessage(heartbeat));
    CHECK(failureOf(decoded) == nullptr);
    CHECK(std::get<heartbeat_message>(valueOf(decoded)).sequence == 7);
}
