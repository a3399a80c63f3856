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
    std::istringstream expectedLines(expected);
    std::string actualLine;
    std::string expectedLine;
    while (std::getline(expectedLines, expectedLine)) {
        if (!std::getline(file, actualLine) || actualLine != expectedLine)
            return std::string(path).append(" differs from the table at: ").append(expectedLine);
    }
    return std::getline(file, actualLine) ? path + " has lines that the table lacks: " + actualLine
                                          : std::string();
}

} // namespace goldcrest
