// Coverage-guided fuzzing of the decoders of decoder_fuzz_test, built and run by scripts/fuzz.sh.
// The first byte of an input chooses the decoder. With --write-seeds as its first argument the
// program writes valid inputs to the folder of the second one.

#include "testing/outside_decoders_support.h"
#include "testing/quiet_log.h"

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

using namespace goldcrest;

namespace {

const std::vector<outside_decoder> &decoders()
{
    static const std::vector<outside_decoder> all = outsideDecoders();
    return all;
}

void writeSeeds(const std::string &directory)
{
    int number = 0;
    for (std::size_t i = 0; i < decoders().size(); ++i) {
        for (const std::string &valid : decoders()[i].valid)
            std::ofstream(directory + "/valid-" + std::to_string(number++), std::ios::binary)
                << static_cast<char>(i) << valid;
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name
extern "C" int LLVMFuzzerInitialize(int *count, char ***arguments)
{
    silenceLog();
    if (*count > 2 && std::string((*arguments)[1]) == "--write-seeds") {
        writeSeeds((*arguments)[2]);
        std::exit(EXIT_SUCCESS);
    }
    return 0;
}

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string input(reinterpret_cast<const char *>(data) + 1, size - 1);
    decoders()[data[0] % decoders().size()].decode(input);
    return 0;
}
