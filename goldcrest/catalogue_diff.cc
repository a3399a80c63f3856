#include "goldcrest/catalogue_diff.h"

#include "goldcrest/catalogue_codec.h"

#include <nlohmann/json.hpp>

namespace goldcrest {

namespace {

using nlohmann::json;

// Compares the JSON forms, so that every field that is stored is also compared.
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
        const std::string inner = path.empty() ? item.key() : path + '.' + item.key();
        const auto old = before.find(item.key());
        const auto now = after.find(item.key());
        if (old == before.end())
            lines.push_back("+ " + inner + ": " + now->dump());
        else if (now == after.end())
            lines.push_back("- " + inner + ": " + old->dump());
        else
            diffValues(*old, *now, inner, lines);
    }
}

// Turns lists of names into objects, so that single names appear as added or removed.
json byName(const json &names)
{
    json object = json::object();
    for (const json &name : names)
        object[name.get_ref<const std::string &>()] = true;
    return object;
}

json comparable(const configuration &config)
{
    json document = json::parse(formatConfiguration(config), nullptr, false);
    document.erase("revision");
    document.erase("writer");
    document["domainsOut"] = byName(document["domainsOut"]);
    document["drainedWorkers"] = byName(document["drainedWorkers"]);
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
    diffValues(comparable(before), comparable(after), {}, lines);
    return lines;
}

} // namespace goldcrest
