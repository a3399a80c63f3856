#include "testing/doc_page_support.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace goldcrest {

std::string compareDocPage(const std::string &path, const std::string &expected)
{
    if (std::getenv("GOLDCREST_WRITE_DOCS")) {
        std::ofstream(path) << expected;
        return {};
    }
    std::ifstream file(path);
    std::istringstream wanted(expected);
    std::string have;
    std::string want;
    while (std::getline(wanted, want)) {
        if (!std::getline(file, have) || have != want)
            return std::string(path).append(" differs from the table at: ").append(want);
    }
    return std::getline(file, have) ? path + " has lines that the table lacks: " + have
                                    : std::string();
}

} // namespace goldcrest
