#include "goldcrest/catalogue_codec.h"

#include "goldcrest/json_text.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace goldcrest {

namespace {

using nlohmann::json;

constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxOwnerBytes = 256;
constexpr std::size_t maxDocumentBytes = 1024 * 1024; // size limit of a store value
constexpr std::int64_t maxCores = 1'000'000'000; // thousandths
constexpr std::int64_t maxMemory = 1'000'000'000; // MiB
constexpr std::int64_t maxAccelerators = 1'000'000;
constexpr std::int32_t maxTasks = 10'000;
constexpr std::int32_t maxQueuedJobs = 1'000'000;

// With these limits, one guarantee amounts to at most 10^17 units of a resource, so the sum over
// the guarantees of a team does not overflow.
constexpr std::int32_t maxGuaranteeCount = 10'000;
constexpr std::size_t maxGuarantees = 64; // of one team
constexpr std::int32_t maxWeight = 1'000'000;
constexpr duration maxStopTime = 1h;
constexpr duration maxBound = 24h * 3650;

constexpr std::pair<adjacency, std::string_view> adjacencyNames[] = {
    {adjacency::None, "none"},
    {adjacency::FailureDomain, "failureDomain"},
    {adjacency::Rack, "rack"},
    {adjacency::Worker, "worker"},
};

// Returns whether a text may be the name of an entry. Names become parts of store keys and URL
// paths.
bool isValidName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameBytes || text == "." || text == "..")
        return false;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte <= ' ' || byte == '/' || byte == '"' || byte == '\\' || byte == 0x7f)
            return false;
    }
    return true;
}

std::string joinPath(const std::string &path, std::string_view field)
{
    return path.empty() ? std::string(field) : path + '.' + std::string(field);
}

// Keeps the first error of a parse.
struct parse_state
{
    std::optional<failure> error;

    void fail(code errorCode, const std::string &path, std::string reason)
    {
        if (!error)
            error = makeFailure(errorCode, std::move(reason), path);
    }
};

// Reads the fields of one JSON object. A reader leaves `value` as it is if its field is absent.
// Fields that no reader asked for are unknown; finish() reports them.
class object_reader
{
public:
    object_reader(const json &object, std::string path, parse_state &state)
        : m_object(object)
        , m_path(std::move(path))
        , m_state(state)
    {
        if (!object.is_object())
            state.fail(code::InvalidValue, m_path, "expected an object");
    }

    // Returns a field, or nullptr if it is absent or an error was found before.
    const json *optional(std::string_view name)
    {
        m_requestedFields.insert(std::string(name));
        if (m_state.error || !m_object.is_object())
            return nullptr;
        const auto found = m_object.find(name);
        return found == m_object.end() ? nullptr : &*found;
    }

    // As optional(), and reports an absent field.
    const json *required(std::string_view name)
    {
        const json *field = optional(name);
        if (!field)
            m_state.fail(code::MissingField, joinPath(m_path, name), "is missing");
        return field;
    }

    template<typename T>
    void integer(std::string_view name, T &value, std::int64_t low, std::int64_t high)
    {
        const json *field = optional(name);
        if (!field)
            return;
        // nlohmann::json holds integers above the range of int64 as unsigned; they would wrap.
        const bool fits = field->is_number_integer()
            && (!field->is_number_unsigned()
                || field->get<std::uint64_t>()
                    <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
        if (!fits)
            return invalid(name, "expected an integer");
        const auto number = field->get<std::int64_t>();
        if (number < low || number > high)
            return invalid(
                name, "must be between " + std::to_string(low) + " and " + std::to_string(high));
        value = static_cast<T>(number);
    }

    void milliseconds(std::string_view name, duration &value, duration high)
    {
        std::int64_t count = value.count();
        integer(name, count, 0, high.count());
        value = duration(count);
    }

    void boolean(std::string_view name, bool &value)
    {
        const json *field = optional(name);
        if (!field)
            return;
        if (!field->is_boolean())
            return invalid(name, "expected true or false");
        value = field->get<bool>();
    }

    // Reads a number between 0 and 1.
    void fraction(std::string_view name, double &value)
    {
        const json *field = optional(name);
        if (!field)
            return;
        if (!field->is_number())
            return invalid(name, "expected a number");
        const double number = field->get<double>();
        if (!(number >= 0 && number <= 1))
            return invalid(name, "must be between 0 and 1");
        value = number;
    }

    void owner(std::string &value)
    {
        text(required("owner"), "owner", value);
        if (!m_state.error && (value.empty() || value.size() > maxOwnerBytes))
            invalid("owner", "must have between 1 and 256 bytes");
    }

    void requiredName(std::string_view name, std::string &value)
    {
        text(required(name), name, value);
        if (!m_state.error && !isValidName(value))
            invalid(name, "is not a valid name");
    }

    void names(std::string_view name, const json *field, std::set<std::string> &value)
    {
        if (!field)
            return;
        if (!field->is_array())
            return invalid(name, "expected an array of names");
        for (std::size_t i = 0; i < field->size(); ++i) {
            const json &item = (*field)[i];
            const std::string itemPath = std::string(name) + '[' + std::to_string(i) + ']';
            if (!item.is_string() || !isValidName(item.get_ref<const std::string &>()))
                return invalid(itemPath, "is not a valid name");
            if (!value.insert(item.get<std::string>()).second)
                return invalid(itemPath, "is listed twice");
        }
    }

    void text(const json *field, std::string_view name, std::string &value)
    {
        if (!field)
            return;
        if (!field->is_string())
            return invalid(name, "expected a string");
        value = field->get<std::string>();
    }

    void invalid(std::string_view name, std::string reason)
    {
        m_state.fail(code::InvalidValue, joinPath(m_path, name), std::move(reason));
    }

    std::string pathOf(std::string_view name) const { return joinPath(m_path, name); }
    parse_state &state() { return m_state; }

    // Reports the first unknown field.
    void finish()
    {
        if (m_state.error || !m_object.is_object())
            return;
        for (const auto &item : m_object.items()) {
            if (m_requestedFields.count(item.key()) == 0)
                m_state.fail(code::UnknownField, joinPath(m_path, item.key()),
                             "is not a known field");
        }
    }

private:
    const json &m_object;
    std::string m_path;
    parse_state &m_state;
    std::set<std::string> m_requestedFields;
};

void readResources(object_reader &parent, std::string_view name, resources &value)
{
    const json *field = parent.optional(name);
    if (!field)
        return;
    object_reader fields(*field, parent.pathOf(name), parent.state());
    fields.integer("cores", value.cores, 0, maxCores);
    fields.integer("memory", value.memory, 0, maxMemory);
    fields.integer("accelerators", value.accelerators, 0, maxAccelerators);
    fields.finish();
}

void readObjective(object_reader &parent, std::string_view name, service_objective &value)
{
    const json *field = parent.optional(name);
    if (!field)
        return;
    object_reader fields(*field, parent.pathOf(name), parent.state());
    fields.fraction("target", value.target);
    fields.milliseconds("boundMs", value.bound, maxBound);
    fields.finish();
}

void readEntry(object_reader &fields, class_entry &value)
{
    fields.owner(value.owner);
    fields.integer("weight", value.weight, 1, maxWeight);
    fields.boolean("urgent", value.urgent);
    readObjective(fields, "startDelay", value.startDelay);
    readObjective(fields, "completion", value.completion);
    readObjective(fields, "answeredWhole", value.answeredWhole);
}

void readCloseness(object_reader &fields, adjacency &value)
{
    const json *field = fields.optional("closeness");
    if (!field)
        return;
    std::string text;
    fields.text(field, "closeness", text);
    for (const auto &[kind, name] : adjacencyNames) {
        if (name == text) {
            value = kind;
            return;
        }
    }
    fields.invalid("closeness", "must be none, failureDomain, rack or worker");
}

void readEntry(object_reader &fields, shape_entry &value)
{
    fields.owner(value.owner);
    fields.requiredName("class", value.className);
    fields.integer("tasks", value.tasks, 1, maxTasks);
    readResources(fields, "perTask", value.perTask);
    readCloseness(fields, value.closeness);
    fields.milliseconds("stopTimeMs", value.stopTime, maxStopTime);
    fields.milliseconds("maxRunTimeMs", value.maxRunTime, maxBound);
}

void readEntry(object_reader &fields, team_entry &value)
{
    fields.owner(value.owner);
    fields.requiredName("class", value.className);
    readResources(fields, "quota", value.quota);
    fields.integer("maxQueued", value.maxQueued, 0, maxQueuedJobs);
    const json *guarantees = fields.optional("guarantees");
    if (!guarantees)
        return;
    if (!guarantees->is_array())
        return fields.invalid("guarantees", "expected an array");
    for (std::size_t i = 0; i < guarantees->size(); ++i) {
        const std::string path = fields.pathOf("guarantees[" + std::to_string(i) + ']');
        object_reader guaranteeFields((*guarantees)[i], path, fields.state());
        guarantee_entry guarantee;
        guaranteeFields.requiredName("shape", guarantee.shape);
        guaranteeFields.requiredName("cell", guarantee.cell);
        guaranteeFields.integer("count", guarantee.count, 1, maxGuaranteeCount);
        guaranteeFields.finish();
        value.guarantees.push_back(std::move(guarantee));
    }
}

void readEntry(object_reader &fields, cell_entry &value)
{
    fields.owner(value.owner);
    fields.names("failureDomains", fields.required("failureDomains"), value.failureDomains);
}

template<typename Entry>
void readEntries(object_reader &parent, std::string_view name,
                 std::map<std::string, Entry> &entries)
{
    const json *field = parent.optional(name);
    if (!field)
        return;
    if (!field->is_object())
        return parent.invalid(name, "expected an object of named entries");
    for (const auto &item : field->items()) {
        const std::string path = parent.pathOf(std::string(name) + '.' + item.key());
        if (!isValidName(item.key()))
            parent.state().fail(code::InvalidValue, path, "is not a valid name");
        object_reader fields(item.value(), path, parent.state());
        Entry entry;
        entry.name = item.key();
        readEntry(fields, entry);
        fields.finish();
        entries.emplace(item.key(), std::move(entry));
    }
}

catalogue readCatalogue(const json &object, const std::string &path, parse_state &state)
{
    catalogue entries;
    object_reader fields(object, path, state);
    readEntries(fields, "classes", entries.classes);
    readEntries(fields, "shapes", entries.shapes);
    readEntries(fields, "teams", entries.teams);
    readEntries(fields, "cells", entries.cells);
    fields.finish();
    return entries;
}

// Parses JSON with comments. Reports duplicate keys: nlohmann::json keeps only the last of them,
// which would silently drop an operator's entry.
json parseText(std::string_view text, parse_state &state)
{
    if (text.size() > maxDocumentBytes) {
        state.fail(code::InvalidValue, {}, "the document exceeds the size limit of a store value");
        return {};
    }
    std::vector<std::set<std::string>> keysOfOpenObjects;
    std::string duplicateKey;
    // The depth is taken from the parser, because isNestedTooDeeply() does not know comments.
    bool isTooDeep = false;
    const auto checkStructure = [&](int depth, json::parse_event_t event, json &parsed) {
        isTooDeep = isTooDeep || opensTooDeepLevel(depth, event);
        if (event == json::parse_event_t::object_start)
            keysOfOpenObjects.emplace_back();
        else if (event == json::parse_event_t::object_end)
            keysOfOpenObjects.pop_back();
        else if (event == json::parse_event_t::key && duplicateKey.empty()) {
            const std::string &key = parsed.get_ref<const std::string &>();
            if (!keysOfOpenObjects.back().insert(key).second)
                duplicateKey = key;
        }
        return true;
    };
    json document = json::parse(text, checkStructure, false, true);
    if (document.is_discarded())
        state.fail(code::MalformedJson, {}, "the document is not valid JSON");
    else if (isTooDeep)
        state.fail(code::MalformedJson, {}, "the document is nested too deeply");
    else if (!duplicateKey.empty())
        state.fail(code::InvalidValue, duplicateKey, "is given twice in one object");
    return document;
}

json formatResources(const resources &value)
{
    return {{"cores", value.cores}, {"memory", value.memory}, {"accelerators", value.accelerators}};
}

json formatObjective(const service_objective &value)
{
    return {{"target", value.target}, {"boundMs", value.bound.count()}};
}

json formatEntry(const class_entry &value)
{
    return {{"owner", value.owner},
            {"weight", value.weight},
            {"urgent", value.urgent},
            {"startDelay", formatObjective(value.startDelay)},
            {"completion", formatObjective(value.completion)},
            {"answeredWhole", formatObjective(value.answeredWhole)}};
}

std::string_view closenessName(adjacency value)
{
    for (const auto &[kind, name] : adjacencyNames) {
        if (kind == value)
            return name;
    }
    return "none";
}

json formatEntry(const shape_entry &value)
{
    return {{"owner", value.owner},
            {"class", value.className},
            {"tasks", value.tasks},
            {"perTask", formatResources(value.perTask)},
            {"closeness", closenessName(value.closeness)},
            {"stopTimeMs", value.stopTime.count()},
            {"maxRunTimeMs", value.maxRunTime.count()}};
}

json formatEntry(const team_entry &value)
{
    json guarantees = json::array();
    for (const guarantee_entry &guarantee : value.guarantees) {
        guarantees.push_back(
            {{"shape", guarantee.shape}, {"count", guarantee.count}, {"cell", guarantee.cell}});
    }
    return {{"owner", value.owner},
            {"class", value.className},
            {"quota", formatResources(value.quota)},
            {"maxQueued", value.maxQueued},
            {"guarantees", std::move(guarantees)}};
}

json formatEntry(const cell_entry &value)
{
    return {{"owner", value.owner}, {"failureDomains", value.failureDomains}};
}

template<typename Entry>
json formatEntries(const std::map<std::string, Entry> &entries)
{
    json object = json::object();
    for (const auto &[name, entry] : entries)
        object[name] = formatEntry(entry);
    return object;
}

json catalogueObject(const catalogue &entries)
{
    return {{"classes", formatEntries(entries.classes)},
            {"shapes", formatEntries(entries.shapes)},
            {"teams", formatEntries(entries.teams)},
            {"cells", formatEntries(entries.cells)}};
}

std::string format(const json &document, int indent)
{
    return document.dump(indent, ' ', false, json::error_handler_t::replace);
}

// Collects all errors of a catalogue.
class catalogue_validator
{
public:
    explicit catalogue_validator(const catalogue &entries)
        : m_entries(entries)
    { }

    std::vector<failure> run()
    {
        checkClasses();
        checkShapes();
        m_shapesInRange = m_errors.empty();
        checkTeams();
        checkCells();
        return std::move(m_errors);
    }

private:
    void addError(code errorCode, std::string path, std::string reason)
    {
        m_errors.push_back(makeFailure(errorCode, std::move(reason), std::move(path)));
    }

    void checkOwner(const std::string &owner, const std::string &path)
    {
        if (owner.empty())
            addError(code::MissingField, path + ".owner", "is missing");
    }

    void checkClassName(const std::string &name, const std::string &path)
    {
        if (m_entries.classes.count(name) == 0)
            addError(code::UnknownClass, path + ".class", "refers to an unknown class: " + name);
    }

    bool checkRange(std::int64_t value, std::int64_t low, std::int64_t high,
                    const std::string &path)
    {
        const bool inRange = value >= low && value <= high;
        if (!inRange)
            addError(code::InvalidValue, path,
                     "must be between " + std::to_string(low) + " and " + std::to_string(high));
        return inRange;
    }

    void checkResources(const resources &value, const std::string &path)
    {
        checkRange(value.cores, 0, maxCores, path + ".cores");
        checkRange(value.memory, 0, maxMemory, path + ".memory");
        checkRange(value.accelerators, 0, maxAccelerators, path + ".accelerators");
    }

    void checkObjective(const service_objective &value, const std::string &path)
    {
        if (!(value.target >= 0 && value.target <= 1))
            addError(code::InvalidValue, path + ".target", "must be between 0 and 1");
        checkRange(value.bound.count(), 0, maxBound.count(), path + ".boundMs");
    }

    void checkClasses()
    {
        for (const auto &[name, entry] : m_entries.classes) {
            const std::string path = "classes." + name;
            checkOwner(entry.owner, path);
            checkRange(entry.weight, 1, maxWeight, path + ".weight");
            checkObjective(entry.startDelay, path + ".startDelay");
            checkObjective(entry.completion, path + ".completion");
            checkObjective(entry.answeredWhole, path + ".answeredWhole");
        }
    }

    void checkShapes()
    {
        for (const auto &[name, entry] : m_entries.shapes) {
            const std::string path = "shapes." + name;
            checkOwner(entry.owner, path);
            checkClassName(entry.className, path);
            checkRange(entry.tasks, 1, maxTasks, path + ".tasks");
            checkResources(entry.perTask, path + ".perTask");
            if (entry.perTask == resources{})
                addError(code::InvalidValue, path + ".perTask",
                         "must have at least one resource above 0");
            checkRange(entry.stopTime.count(), 0, maxStopTime.count(), path + ".stopTimeMs");
            checkRange(entry.maxRunTime.count(), 0, maxBound.count(), path + ".maxRunTimeMs");
        }
    }

    void checkTeams()
    {
        for (const auto &[name, entry] : m_entries.teams) {
            const std::string path = "teams." + name;
            checkOwner(entry.owner, path);
            checkClassName(entry.className, path);
            checkResources(entry.quota, path + ".quota");
            checkRange(entry.maxQueued, 0, maxQueuedJobs, path + ".maxQueued");
            checkGuarantees(entry, path);
        }
    }

    void checkGuarantees(const team_entry &team, const std::string &teamPath)
    {
        if (team.guarantees.size() > maxGuarantees)
            return addError(code::InvalidValue, teamPath + ".guarantees", "has too many entries");
        const std::size_t errorsBefore = m_errors.size();
        resources guaranteed;
        for (std::size_t i = 0; i < team.guarantees.size(); ++i) {
            const guarantee_entry &entry = team.guarantees[i];
            const std::string path = teamPath + ".guarantees[" + std::to_string(i) + ']';
            const bool inRange = checkRange(entry.count, 1, maxGuaranteeCount, path + ".count");
            if (m_entries.cells.count(entry.cell) == 0)
                addError(code::InvalidValue, path + ".cell",
                         "refers to an unknown cell: " + entry.cell);
            const auto shape = m_entries.shapes.find(entry.shape);
            if (shape == m_entries.shapes.end())
                addError(code::UnknownShape, path + ".shape",
                         "refers to an unknown shape: " + entry.shape);
            else if (inRange && m_shapesInRange)
                guaranteed += shape->second.perTask * shape->second.tasks * entry.count;
        }
        if (m_errors.size() == errorsBefore)
            checkQuotaCovers(team.quota, guaranteed, teamPath + ".quota");
    }

    // A team must be able to use all of its guarantees at once.
    void checkQuotaCovers(const resources &quota, const resources &guaranteed,
                          const std::string &path)
    {
        checkQuotaField(quota.cores, guaranteed.cores, path + ".cores");
        checkQuotaField(quota.memory, guaranteed.memory, path + ".memory");
        checkQuotaField(quota.accelerators, guaranteed.accelerators, path + ".accelerators");
    }

    void checkQuotaField(std::int64_t quota, std::int64_t guaranteed, const std::string &path)
    {
        if (quota != 0 && quota < guaranteed)
            addError(code::InvalidValue, path,
                     "is below the team's guarantees of " + std::to_string(guaranteed));
    }

    void checkCells()
    {
        std::map<std::string, std::string> cellOfDomain;
        for (const auto &[name, entry] : m_entries.cells) {
            const std::string path = "cells." + name;
            checkOwner(entry.owner, path);
            if (entry.failureDomains.empty())
                addError(code::InvalidValue, path + ".failureDomains", "must not be empty");
            for (const std::string &domain : entry.failureDomains) {
                const auto [other, isNew] = cellOfDomain.emplace(domain, name);
                if (!isNew)
                    addError(code::InvalidValue, path + ".failureDomains",
                             domain + " is also in cell " + other->second);
            }
        }
    }

    const catalogue &m_entries;
    std::vector<failure> m_errors;
    bool m_shapesInRange = false; // guarantees are summed only if true, so that no sum overflows
};

} // namespace

result<catalogue> parseCatalogue(std::string_view text)
{
    parse_state state;
    const json document = parseText(text, state);
    if (state.error)
        return *std::move(state.error);
    catalogue entries = readCatalogue(document, {}, state);
    if (state.error)
        return *std::move(state.error);
    return entries;
}

std::string formatCatalogue(const catalogue &entries)
{
    constexpr int indent = 2;
    return format(catalogueObject(entries), indent);
}

result<configuration> parseConfiguration(std::string_view text)
{
    parse_state state;
    const json document = parseText(text, state);
    if (state.error)
        return *std::move(state.error);
    configuration config;
    object_reader fields(document, {}, state);
    if (fields.required("revision"))
        fields.integer("revision", config.number, 0, std::numeric_limits<std::int64_t>::max());
    fields.text(fields.required("writer"), "writer", config.writer);
    if (const json *entries = fields.required("catalogue"))
        config.entries = readCatalogue(*entries, "catalogue", state);
    fields.names("domainsOut", fields.optional("domainsOut"), config.domainsOut);
    fields.names("drainedWorkers", fields.optional("drainedWorkers"), config.drainedWorkers);
    fields.finish();
    if (state.error)
        return *std::move(state.error);
    return config;
}

std::string formatConfiguration(const configuration &config)
{
    constexpr int compact = -1;
    return format({{"revision", config.number},
                   {"writer", config.writer},
                   {"catalogue", catalogueObject(config.entries)},
                   {"domainsOut", config.domainsOut},
                   {"drainedWorkers", config.drainedWorkers}},
                  compact);
}

std::vector<failure> validateCatalogue(const catalogue &entries)
{
    return catalogue_validator(entries).run();
}

} // namespace goldcrest
