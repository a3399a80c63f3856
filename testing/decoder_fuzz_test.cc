// Feeds mutated input to each decoder of bytes from outside the process. A decoder must return an
// error or a value; it must not throw. What becomes part of a message or a record must be accepted
// by the decoder of that message or record.

#include "testing/fuzz_support.h"
#include "testing/outside_decoders_support.h"
#include "testing/quiet_log.h"

#include <string>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;

namespace {

// The leak detector searches its list at each deallocation, which takes 40 s for a value of 100,000
// levels.
const bool leakDetectorOff = (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);

} // namespace

TEST_GROUP(decoder_fuzz){};

// Reports the first fault of each decoder.
TEST(decoder_fuzz, decodersTakeMutatedInputs)
{
    silenceLog();
    std::string faults;
    for (const outside_decoder &decoder : outsideDecoders()) {
        for (const std::string &valid : decoder.valid) {
            const std::string fault = fuzzFault(valid, decoder.decode);
            if (!fault.empty())
                faults += decoder.name + ": " + fault + "\n";
        }
    }
    if (!faults.empty())
        FAIL(faults.c_str());
}
