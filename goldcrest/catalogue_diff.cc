#include "goldcrest/catalogue_diff.h"

#include "goldcrest/catalogue_codec.h"

#include <nlohmann/json.hpp>

namespace goldcrest {

namespace {

using nlohmann::json;

// Compares the JSON forms, so that every stored field is compared. Appends one line per difference.
void diffValues(const json &before, const json &after, const std::string &path,
                std::vector<std::string> &lines)
{
    if (before == after)
        return;
    if (!before.is_object() || !after.is_object()) {
        lines.push_back(path + ": " + before.dump() + " -> " + after.dump());
        return;
    }
    json keys = before;
    keys.update(after);
    for (const auto &item : keys.items()) {
        const std::string itemPath = path.empty() ? item.key() : path + '.' + item.key();
        const auto oldValue = before.find(item.key());
        const auto newValue = after.find(item.key());
        if (oldValue == before.end())
            lines.push_back("+ " + itemPath + ": " + newValue->dump());
        else if (newValue == after.end())
            lines.push_back("- " + itemPath + ": " + oldValue->dump());
        else
            diffValues(*oldValue, *newValue, itemPath, lines);
    }
}

// Converts a list of names into an object with these keys, so that each added or removed name is
// reported by itself.
json namesAsObject(const json &names)
{
    json object = json::object();
    for (const json &name : names)
        object[name.get_ref<const std::string &>()] = true;
    return object;
}

// Returns the JSON form without the fields that are not compared.
json comparableJson(const configuration &config)
{
    json document = json::parse(formatConfiguration(config), nullptr, false);
    document.erase("revision");
    document.erase("writer");
    document["domainsOut"] = namesAsObject(document["domainsOut"]);
    document["drainedWorkers"] = namesAsObject(document["drainedWorkers"]);
    return document;
}

} // namespace

std::vector<std::string> diffCatalogues(const catalogue &before, const catalogue &after)
{
    std::vector<std::string> lines;
    diffValues(json::parse(formatCatalogue(before), nullptr, false),
               json::parse(formatCatalogue(after), nullptr, false), {}, lines);
    return lines;
}

std::vector<std::string> diffConfigurations(const configuration &before, const configuration &after)
{
    std::vector<std::string> lines;
    diffValues(comparableJson(before), comparableJson(after), {}, lines);
    return lines;
}

} // namespace goldcrest
