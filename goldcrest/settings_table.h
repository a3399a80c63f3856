#pragma once

// Declarative table of a program's settings, from which its settings file is parsed and validated,
// and the table in docs/settings.md is generated. Only the sources that define settings use it.
//
//   settings_table<entry_settings> table;
//   table.text("name", text_kind::Name, [](entry_settings &s) -> std::string & { return s.name; })
//       .required()
//       .about("Name of this entry, unique among the entries.");
//   table.milliseconds("maxWaitMs", [](entry_settings &s) -> duration & { return s.maxWait; })
//       .range(0, 3'600'000);
//   table.parse(text, settings, errors);

#include "goldcrest/clock.h"
#include "goldcrest/outcome.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

// Format that the text of a setting must have.
enum class text_kind { Name, Address, Url, Text, LinkBlock };

// Returns what is wrong with a text, or an empty string if it is valid.
std::string checkText(text_kind kind, std::string_view value);

// Returns the name of a format for messages and documentation, such as "host:port".
std::string_view describeKind(text_kind kind);

// The parts of a table row that do not depend on the settings type.
struct setting_row
{
    std::string path; // JSON path with dots, such as "http.maxBodyBytes"
    std::string type; // for documentation, such as "integer"
    std::string unit;
    std::int64_t low = 0; // the range includes both bounds
    std::int64_t high = 0;
    bool hasRange = false;
    std::vector<std::string> choices;
    bool mandatory = false;
    std::string description;

    // Returns the allowed values as text, such as "1 to 60000 ms".
    std::string allowed() const;
};

// Adds a SettingsInvalid error for a setting.
void addSettingError(std::vector<failure> &errors, const std::string &path, std::string reason);

// Returns the value at a dotted path, or nullptr if there is none.
const nlohmann::json *findSetting(const nlohmann::json &root, std::string_view path);

// Reports the fields of `root` that no row defines.
void reportUnknown(const nlohmann::json &root, const std::vector<setting_row> &rows,
                   std::vector<failure> &errors);

// Reads an integer within the row's range. Returns false and reports an error for any other value.
bool readInteger(const nlohmann::json &value, const setting_row &row, std::int64_t &out,
                 std::vector<failure> &errors);

// Reads a number within the row's range, which may be a fraction. Returns false and reports an
// error for any other value.
bool readNumber(const nlohmann::json &value, const setting_row &row, double &out,
                std::vector<failure> &errors);

// Reads a text of the given kind. Returns false and reports an error for any other value.
bool readText(const nlohmann::json &value, const std::string &path, text_kind kind,
              std::string &out, std::vector<failure> &errors);

// Parses a JSON object that may contain comments. Reports duplicate fields, but still returns true
// for them; returns false and reports an error if the text is not a JSON object.
bool parseSettingsJson(std::string_view text, nlohmann::json &out, std::vector<failure> &errors);

// Returns the rows, each with the text of its default value, as a Markdown table.
std::string formatRows(const std::vector<std::pair<setting_row, std::string>> &rows);

// Table of the settings that are stored in an S.
template<typename S>
class settings_table
{
public:
    // Returns the member of S that holds the value of a setting.
    template<typename T>
    using accessor = std::function<T &(S &)>;

    // These apply to the row that was added last.
    settings_table &range(std::int64_t low, std::int64_t high)
    {
        last().low = low;
        last().high = high;
        last().hasRange = true;
        return *this;
    }
    settings_table &unit(std::string_view name)
    {
        last().unit = name;
        return *this;
    }
    settings_table &required()
    {
        last().mandatory = true;
        return *this;
    }
    settings_table &about(std::string_view text)
    {
        last().description = text;
        return *this;
    }

    // The functions below add a row. Its default value is that of a default-constructed S.
    settings_table &text(std::string_view path, text_kind kind, accessor<std::string> field)
    {
        add(path, describeKind(kind),
            [kind, field](S &target, const nlohmann::json &value, const setting_row &row,
                          std::vector<failure> &errors) {
                readText(value, row.path, kind, field(target), errors);
            });
        m_entries.back().formatDefault = [field](S &target) { return field(target); };
        return *this;
    }

    settings_table &textList(std::string_view path, text_kind kind,
                             accessor<std::vector<std::string>> field)
    {
        add(path, "list of " + std::string(describeKind(kind)),
            [kind, field](S &target, const nlohmann::json &value, const setting_row &row,
                          std::vector<failure> &errors) {
                readTextList(value, row, kind, field(target), errors);
            });
        m_entries.back().formatDefault = [](S &) { return std::string("[]"); };
        return *this;
    }

    template<typename T>
    settings_table &integer(std::string_view path, accessor<T> field)
    {
        add(path, "integer",
            [field](S &target, const nlohmann::json &value, const setting_row &row,
                    std::vector<failure> &errors) {
                std::int64_t number = 0;
                if (readInteger(value, row, number, errors))
                    field(target) = static_cast<T>(number);
            });
        m_entries.back().formatDefault
            = [field](S &target) { return std::to_string(field(target)); };
        return *this;
    }

    settings_table &number(std::string_view path, accessor<double> field)
    {
        add(path, "number",
            [field](S &target, const nlohmann::json &value, const setting_row &row,
                    std::vector<failure> &errors) {
                readNumber(value, row, field(target), errors);
            });
        m_entries.back().formatDefault
            = [field](S &target) { return nlohmann::json(field(target)).dump(); };
        return *this;
    }

    // A time given as a number of seconds, which may be a fraction.
    settings_table &seconds(std::string_view path, accessor<duration> field)
    {
        constexpr double msPerSecond = 1000;
        add(path, "number",
            [field](S &target, const nlohmann::json &value, const setting_row &row,
                    std::vector<failure> &errors) {
                double read = 0;
                if (readNumber(value, row, read, errors))
                    field(target) = duration(static_cast<duration::rep>(read * msPerSecond));
            });
        m_entries.back().formatDefault = [field](S &target) {
            return nlohmann::json(static_cast<double>(field(target).count()) / msPerSecond).dump();
        };
        return unit("s");
    }

    settings_table &milliseconds(std::string_view path, accessor<duration> field)
    {
        add(path, "integer",
            [field](S &target, const nlohmann::json &value, const setting_row &row,
                    std::vector<failure> &errors) {
                std::int64_t number = 0;
                if (readInteger(value, row, number, errors))
                    field(target) = duration(number);
            });
        m_entries.back().formatDefault
            = [field](S &target) { return std::to_string(field(target).count()); };
        return unit("ms");
    }

    settings_table &boolean(std::string_view path, accessor<bool> field)
    {
        add(path, "boolean",
            [field](S &target, const nlohmann::json &value, const setting_row &row,
                    std::vector<failure> &errors) {
                if (value.is_boolean())
                    field(target) = value.get<bool>();
                else
                    addSettingError(errors, row.path, "must be true or false");
            });
        m_entries.back().formatDefault
            = [field](S &target) { return field(target) ? "true" : "false"; };
        return *this;
    }

    // Adds a setting of an enumeration type. The names are in the order of the enumerators, which
    // must be numbered from 0.
    template<typename E>
    settings_table &choice(std::string_view path, accessor<E> field,
                           const std::vector<std::string> &names)
    {
        add(path, "choice",
            [field, names](S &target, const nlohmann::json &value, const setting_row &row,
                           std::vector<failure> &errors) {
                for (std::size_t i = 0; i < names.size(); ++i) {
                    if (value == names[i]) {
                        field(target) = static_cast<E>(i);
                        return;
                    }
                }
                addSettingError(errors, row.path, "must be " + row.allowed());
            });
        m_entries.back().formatDefault
            = [field, names](S &target) { return names[static_cast<std::size_t>(field(target))]; };
        last().choices = names;
        return *this;
    }

    // Adds a list of texts that `set` converts and stores. Each text must have the format `kind`.
    settings_table &converted(std::string_view path, text_kind kind,
                              std::function<void(S &, const std::vector<std::string> &)> set)
    {
        add(path, "list of " + std::string(describeKind(kind)),
            [kind, set](S &target, const nlohmann::json &value, const setting_row &row,
                        std::vector<failure> &errors) {
                std::vector<std::string> values;
                if (readTextList(value, row, kind, values, errors))
                    set(target, values);
            });
        m_entries.back().formatDefault = [](S &) { return std::string("[]"); };
        return *this;
    }

    // Parses and validates the text of a settings file. Reports all errors that it finds.
    void parse(std::string_view text, S &target, std::vector<failure> &errors) const
    {
        nlohmann::json root;
        if (!parseSettingsJson(text, root, errors))
            return;
        reportUnknown(root, rows(), errors);
        for (const entry &item : m_entries) {
            const nlohmann::json *value = findSetting(root, item.row.path);
            if (value)
                item.read(target, *value, item.row, errors);
            else if (item.row.mandatory)
                addSettingError(errors, item.row.path, "is required: " + item.row.allowed());
        }
    }

    // Returns the rows, with their default values, as a Markdown table.
    std::string markdown() const
    {
        S defaults;
        std::vector<std::pair<setting_row, std::string>> rowsWithDefaults;
        for (const entry &item : m_entries)
            rowsWithDefaults.emplace_back(item.row,
                                          item.row.mandatory ? "" : item.formatDefault(defaults));
        return formatRows(rowsWithDefaults);
    }

private:
    using reader = std::function<void(S &, const nlohmann::json &, const setting_row &,
                                      std::vector<failure> &)>;
    struct entry
    {
        setting_row row;
        reader read;
        std::function<std::string(S &)> formatDefault;
    };

    static bool readTextList(const nlohmann::json &value, const setting_row &row, text_kind kind,
                             std::vector<std::string> &out, std::vector<failure> &errors)
    {
        if (!value.is_array()) {
            addSettingError(errors, row.path,
                            "must be a list of " + row.type.substr(8)); // without "list of "
            return false;
        }
        if (value.empty() && row.mandatory) {
            addSettingError(errors, row.path, "must not be empty");
            return false;
        }
        out.assign(value.size(), {});
        bool isValid = true;
        for (std::size_t i = 0; i < value.size(); ++i) {
            const std::string path = row.path + "[" + std::to_string(i) + "]";
            isValid = readText(value[i], path, kind, out[i], errors) && isValid;
        }
        return isValid;
    }

    void add(std::string_view path, std::string_view type, reader read)
    {
        entry added;
        added.row.path = path;
        added.row.type = type;
        added.read = std::move(read);
        m_entries.push_back(std::move(added));
    }
    setting_row &last() { return m_entries.back().row; }
    std::vector<setting_row> rows() const
    {
        std::vector<setting_row> all;
        all.reserve(m_entries.size());
        for (const entry &item : m_entries)
            all.push_back(item.row);
        return all;
    }

    std::vector<entry> m_entries;
};

} // namespace goldcrest
