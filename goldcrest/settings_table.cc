#include "goldcrest/settings_table.h"

#include "goldcrest/json_text.h"
#include "goldcrest/settings.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace goldcrest {

namespace {

using nlohmann::json;

// Parser callback that checks the depth and records duplicate fields, of which nlohmann::json keeps
// only the last.
struct structure_check
{
    std::vector<std::set<std::string>> keysOfOpenObjects; // outermost first
    std::vector<std::string> duplicateFields;
    bool isTooDeep = false;

    bool operator()(int depth, json::parse_event_t event, json &value)
    {
        isTooDeep = isTooDeep || opensTooDeepLevel(depth, event);
        if (event == json::parse_event_t::object_start)
            keysOfOpenObjects.emplace_back();
        else if (event == json::parse_event_t::object_end)
            keysOfOpenObjects.pop_back();
        else if (event == json::parse_event_t::key
                 && !keysOfOpenObjects.back().insert(value.get<std::string>()).second)
            duplicateFields.push_back(value.get<std::string>());
        return true;
    }
};

void reportUnknownIn(const json &object, const std::string &prefix,
                     const std::set<std::string> &known, std::vector<failure> &errors)
{
    for (const auto &[name, value] : object.items()) {
        std::string path = prefix;
        if (!path.empty())
            path += '.';
        path += name;
        if (known.count(path) != 0)
            continue;
        const auto firstChild = known.lower_bound(path + ".");
        const bool isGroup = firstChild != known.end() && firstChild->rfind(path + ".", 0) == 0;
        if (!isGroup)
            addSettingError(errors, path, "is not a setting; docs/settings.md lists all");
        else if (value.is_object())
            reportUnknownIn(value, path, known, errors);
        else
            addSettingError(errors, path, "must be an object");
    }
}

// Escapes a text for a cell of a Markdown table.
std::string escapeTableCell(const std::string &text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '|')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

bool isNameCharacter(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    // '/' is not allowed, since names become parts of store keys. Bytes above 0x7f belong to UTF-8
    // letters.
    return letter || digit || c == '-' || c == '_' || c == '.'
        || static_cast<unsigned char>(c) > 0x7f;
}

} // namespace

bool isHostPort(std::string_view text)
{
    constexpr std::size_t maxHostBytes = 253;
    constexpr std::size_t maxPortDigits = 5;
    constexpr int maxPort = 65535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon > maxHostBytes)
        return false;
    const std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const bool bracketed = host.front() == '[' && host.back() == ']';
    if (!bracketed && host.find(':') != std::string_view::npos)
        return false;
    if (host.find_first_of(" /?#@") != std::string_view::npos)
        return false;
    if (port.empty() || port.size() > maxPortDigits
        || port.find_first_not_of("0123456789") != std::string_view::npos)
        return false;
    return std::stoi(std::string(port)) <= maxPort;
}

bool isConnectableHostPort(std::string_view text)
{
    if (!isHostPort(text))
        return false;
    const std::string_view port = text.substr(text.rfind(':') + 1);
    return port.find_first_not_of('0') != std::string_view::npos;
}

std::string checkText(text_kind kind, std::string_view value)
{
    constexpr std::size_t maxNameBytes = 64;
    switch (kind) {
    case text_kind::Name:
        if (value.empty() || value.size() > maxNameBytes
            || !std::all_of(value.begin(), value.end(), isNameCharacter))
            return "must be 1 to 64 bytes of letters, digits, '-', '_' and '.'";
        return {};
    case text_kind::Address:
        return isHostPort(value) ? "" : "must be host:port with a port of 0 to 65535";
    case text_kind::Url: {
        constexpr std::string_view scheme = "http://";
        const bool http = value.substr(0, scheme.size()) == scheme;
        const std::string_view rest = http ? value.substr(scheme.size()) : value;
        return http && isHostPort(rest.substr(0, rest.find('/'))) ? "" : "must be http://host:port";
    }
    case text_kind::LinkBlock:
        return failureOf(parseLinkBlock(value))
            ? "must be host:port or * with optionally =sending, =receiving or =both"
            : "";
    case text_kind::Text:
        break;
    }
    return {};
}

std::string_view describeKind(text_kind kind)
{
    switch (kind) {
    case text_kind::Name:
        return "name";
    case text_kind::Address:
        return "host:port";
    case text_kind::Url:
        return "URL";
    case text_kind::LinkBlock:
        return "link filter";
    case text_kind::Text:
        break;
    }
    return "text";
}

std::string setting_row::allowed() const
{
    std::string text;
    if (hasRange) {
        text = std::to_string(low) + " to " + std::to_string(high);
        if (!unit.empty())
            text += " " + unit;
        return text;
    }
    for (std::size_t i = 0; i < choices.size(); ++i) {
        if (i > 0)
            text += i + 1 == choices.size() ? " or " : ", ";
        text += choices[i];
    }
    return text.empty() ? type : text;
}

void addSettingError(std::vector<failure> &errors, const std::string &path, std::string reason)
{
    errors.push_back(makeFailure(code::SettingsInvalid, std::move(reason), path));
}

const json *findSetting(const json &root, std::string_view path)
{
    const json *current = &root;
    while (true) {
        const std::size_t dot = path.find('.');
        if (!current->is_object())
            return nullptr;
        const auto found = current->find(std::string(path.substr(0, dot)));
        if (found == current->end())
            return nullptr;
        current = &*found;
        if (dot == std::string_view::npos)
            return current;
        path.remove_prefix(dot + 1);
    }
}

void reportUnknown(const json &root, const std::vector<setting_row> &rows,
                   std::vector<failure> &errors)
{
    std::set<std::string> known;
    for (const setting_row &row : rows)
        known.insert(row.path);
    reportUnknownIn(root, "", known, errors);
}

bool readInteger(const json &value, const setting_row &row, std::int64_t &out,
                 std::vector<failure> &errors)
{
    // nlohmann::json holds integers above the range of int64 as unsigned.
    const bool fits = value.is_number_integer()
        && (!value.is_number_unsigned()
            || value.get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
    const std::int64_t number = fits ? value.get<std::int64_t>() : 0;
    if (!fits || number < row.low || number > row.high) {
        addSettingError(errors, row.path,
                        "must be an integer of " + row.allowed() + ", is " + value.dump());
        return false;
    }
    out = number;
    return true;
}

bool readNumber(const json &value, const setting_row &row, double &out,
                std::vector<failure> &errors)
{
    const double number = value.is_number() ? value.get<double>() : 0;
    // Written so that it refuses NaN.
    const bool isInRange
        = number >= static_cast<double>(row.low) && number <= static_cast<double>(row.high);
    if (!value.is_number() || !isInRange) {
        addSettingError(errors, row.path,
                        "must be a number of " + row.allowed() + ", is " + value.dump());
        return false;
    }
    out = number;
    return true;
}

bool readText(const json &value, const std::string &path, text_kind kind, std::string &out,
              std::vector<failure> &errors)
{
    if (!value.is_string()) {
        addSettingError(errors, path, "must be a string (" + std::string(describeKind(kind)) + ")");
        return false;
    }
    const auto &text = value.get_ref<const std::string &>();
    const std::string reason = checkText(kind, text);
    if (!reason.empty()) {
        addSettingError(errors, path, reason);
        return false;
    }
    out = text;
    return true;
}

bool parseSettingsJson(std::string_view text, json &out, std::vector<failure> &errors)
{
    structure_check check;
    try {
        out = json::parse(
            text,
            [&](int depth, json::parse_event_t event, json &value) {
                return check(depth, event, value);
            },
            true, true);
    } catch (const json::exception &error) {
        addSettingError(errors, "", std::string("is not JSON: ") + error.what());
        return false;
    }
    if (check.isTooDeep) {
        addSettingError(errors, "", "is nested too deeply");
        return false;
    }
    for (const std::string &name : check.duplicateFields)
        addSettingError(errors, name, "occurs twice in one object");
    if (!out.is_object()) {
        addSettingError(errors, "", "must be an object");
        return false;
    }
    return true;
}

std::string formatRows(const std::vector<std::pair<setting_row, std::string>> &rows)
{
    std::ostringstream out;
    out << "| setting | type | allowed | default | meaning |\n|---|---|---|---|---|\n";
    for (const auto &[row, shown] : rows) {
        std::string defaultText = "`" + shown + "`";
        if (row.mandatory)
            defaultText = "required";
        else if (shown.empty())
            defaultText = "empty";
        const bool isUnrestricted = !row.hasRange && row.choices.empty();
        out << "| `" << row.path << "` | " << row.type << " | "
            << (isUnrestricted ? "" : row.allowed()) << " | " << defaultText << " | "
            << escapeTableCell(row.description) << " |\n";
    }
    return out.str();
}

} // namespace goldcrest
