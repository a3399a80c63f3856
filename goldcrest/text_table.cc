#include "goldcrest/text_table.h"

#include <algorithm>
#include <string_view>

namespace goldcrest {

namespace {

constexpr std::size_t columnGap = 2;

// Counts the code points of UTF-8 text: all bytes but continuation bytes.
std::size_t widthOf(std::string_view text)
{
    constexpr unsigned continuationMask = 0xC0;
    constexpr unsigned continuationBits = 0x80;
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char byte) {
        return (static_cast<unsigned char>(byte) & continuationMask) != continuationBits;
    }));
}

std::vector<std::size_t> columnWidths(gsl::span<const table_row> rows)
{
    std::vector<std::size_t> widths;
    for (const table_row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], widthOf(row[i]));
    }
    return widths;
}

} // namespace

std::string formatTable(gsl::span<const table_row> rows)
{
    const std::vector<std::size_t> widths = columnWidths(rows);
    std::string text;
    for (const table_row &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - widthOf(row[i]) + columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

} // namespace goldcrest
