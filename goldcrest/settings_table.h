#pragma once

// Table of a program's settings, from which parsing, validation and documentation come. Internal to
// settings.cc.
//
//   settings_table<entry_settings> table;
//   table.text("name", text_kind::Name, FIELD(name)).required().about("Unique name of ...");
//   table.integer("http.maxBodyBytes", FIELD(http.maxBodyBytes)).range(1024, 1 <<
//   20).unit("bytes"); table.parse(text, settings, errors);

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

// What the text of a setting must look like.
enum class text_kind { Name, Address, Url, Text, LinkBlock };

// Returns an empty string, or what is wrong with a text.
std::string checkText(text_kind kind, std::string_view value);
std::string_view describeKind(text_kind kind);

// Parts of a table row that do not depend on the program.
struct setting_row
{
    std::string path;
    std::string type;
    std::string unit;
    std::int64_t low = 0;
    std::int64_t high = 0;
    bool hasRange = false;
    std::vector<std::string> choices;
    bool mandatory = false;
    std::string description;

    // Returns the allowed values as text, such as "1 to 60000 ms".
    std::string allowed() const;
};

// Reports an error of a setting.
void addSettingError(std::vector<failure> &errors, const std::string &path, std::string reason);

// Finds the value at a dotted path, or nullptr.
const nlohmann::json *findSetting(const nlohmann::json &root, std::string_view path);

// Reports the fields of `root` that are in no row.
void reportUnknown(const nlohmann::json &root, const std::vector<setting_row> &rows,
                   std::vector<failure> &errors);

// Reads integers within the row's range.
bool readInteger(const nlohmann::json &value, const setting_row &row, std::int64_t &out,
                 std::vector<failure> &errors);
bool readText(const nlohmann::json &value, const std::string &path, text_kind kind,
              std::string &out, std::vector<failure> &errors);

// Parses JSON with comments; reports duplicate fields too.
bool parseSettingsJson(std::string_view text, nlohmann::json &out, std::vector<failure> &errors);

std::string formatRows(const std::vector<std::pair<setting_row, std::string>> &rows);

template<typename S>
class settings_table
{
public:
    template<typename T>
    using access = std::function<T &(S &)>;

    // Adds what belongs to the row that was added last.
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

    settings_table &text(std::string_view path, text_kind kind, access<std::string> field)
    {
        add(path, describeKind(kind),
            [kind, field](S &target, const nlohmann::json &value, const setting_row &row,
                          std::vector<failure> &errors) {
                readText(value, row.path, kind, field(target), errors);
            });
        m_entries.back().show = [field](S &target) { return field(target); };
        return *this;
    }

    settings_table &texts(std::string_view path, text_kind kind,
                          access<std::vector<std::string>> field)
    {
        add(path, "list of " + std::string(describeKind(kind)),
            [kind, field](S &target, const nlohmann::json &value, const setting_row &row,
                          std::vector<failure> &errors) {
                readTexts(value, row, kind, field(target), errors);
            });
        m_entries.back().show = [](S &) { return std::string("[]"); };
        return *this;
    }

    template<typename T>
    settings_table &integer(std::string_view path, access<T> field)
    {
        add(path, "integer",
            [field](S &target, const nlohmann::json &value, const setting_row &row,
                    std::vector<failure> &errors) {
                std::int64_t number = 0;
                if (readInteger(value, row, number, errors))
                    field(target) = static_cast<T>(number);
            });
        m_entries.back().show = [field](S &target) { return std::to_string(field(target)); };
        return *this;
    }

    settings_table &milliseconds(std::string_view path, access<duration> field)
    {
        add(path, "integer",
            [field](S &target, const nlohmann::json &value, const setting_row &row,
                    std::vector<failure> &errors) {
                std::int64_t number = 0;
                if (readInteger(value, row, number, errors))
                    field(target) = duration(number);
            });
        m_entries.back().show
            = [field](S &target) { return std::to_string(field(target).count()); };
        return unit("ms");
    }

    settings_table &boolean(std::string_view path, access<bool> field)
    {
        add(path, "boolean",
            [field](S &target, const nlohmann::json &value, const setting_row &row,
                    std::vector<failure> &errors) {
                if (value.is_boolean())
                    field(target) = value.get<bool>();
                else
                    addSettingError(errors, row.path, "must be true or false");
            });
        m_entries.back().show = [field](S &target) { return field(target) ? "true" : "false"; };
        return *this;
    }

    // A setting with named values, in the order of the enumerators.
    template<typename E>
    settings_table &choice(std::string_view path, access<E> field,
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
        m_entries.back().show
            = [field, names](S &target) { return names[static_cast<std::size_t>(field(target))]; };
        last().choices = names;
        return *this;
    }

    // Adds a row whose value `set` converts from a list of texts that passed the check of `kind`.
    settings_table &converted(std::string_view path, text_kind kind,
                              std::function<void(S &, const std::vector<std::string> &)> set)
    {
        add(path, "list of " + std::string(describeKind(kind)),
            [kind, set](S &target, const nlohmann::json &value, const setting_row &row,
                        std::vector<failure> &errors) {
                std::vector<std::string> values;
                if (readTexts(value, row, kind, values, errors))
                    set(target, values);
            });
        m_entries.back().show = [](S &) { return std::string("[]"); };
        return *this;
    }

    // Parses and validates a whole file.
    void parse(std::string_view text, S &target, std::vector<failure> &errors) const
    {
        nlohmann::json root;
        if (!parseSettingsJson(text, root, errors))
            return;
        reportUnknown(root, rows(), errors);
        for (const entry &one : m_entries) {
            const nlohmann::json *value = findSetting(root, one.row.path);
            if (value)
                one.read(target, *value, one.row, errors);
            else if (one.row.mandatory)
                addSettingError(errors, one.row.path, "is required: " + one.row.allowed());
        }
    }

    // Returns the rows as a Markdown table with the defaults.
    std::string markdown() const
    {
        S defaults;
        std::vector<std::pair<setting_row, std::string>> shown;
        for (const entry &one : m_entries)
            shown.emplace_back(one.row, one.row.mandatory ? "" : one.show(defaults));
        return formatRows(shown);
    }

private:
    using reader = std::function<void(S &, const nlohmann::json &, const setting_row &,
                                      std::vector<failure> &)>;
    struct entry
    {
        setting_row row;
        reader read;
        std::function<std::string(S &)> show;
    };

    static bool readTexts(const nlohmann::json &value, const setting_row &row, text_kind kind,
                          std::vector<std::string> &out, std::vector<failure> &errors)
    {
        if (!value.is_array()) {
            addSettingError(errors, row.path, "must be a list of " + row.type.substr(8));
            return false;
        }
        if (value.empty() && row.mandatory) {
            addSettingError(errors, row.path, "must not be empty");
            return false;
        }
        out.assign(value.size(), {});
        bool good = true;
        for (std::size_t i = 0; i < value.size(); ++i) {
            const std::string path = row.path + "[" + std::to_string(i) + "]";
            good = readText(value[i], path, kind, out[i], errors) && good;
        }
        return good;
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
        for (const entry &one : m_entries)
            all.push_back(one.row);
        return all;
    }

    std::vector<entry> m_entries;
};

} // namespace goldcrest
