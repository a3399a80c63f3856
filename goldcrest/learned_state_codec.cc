// The encoding of learned state.

#include "goldcrest/learned_state.h"
#include "goldcrest/learned_state_entries.h"
#include "goldcrest/positional_fields.h"

#include <gsl/span>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

// Bounds of the sections in entries and bytes. The bytes add up to less than maxLearnedStateBytes.
// 4,900 machines with names of 13 characters take 105.3 KiB.
struct section_bound
{
    std::size_t entries = 0;
    std::size_t bytes = 0;
};
constexpr section_bound speedBound{8192, 106 * 1024};
constexpr section_bound runTimeBound{256, 10 * 1024};
constexpr section_bound pairBound{512, 6 * 1024};
constexpr section_bound useBound{512, 4 * 1024};
constexpr section_bound pauseBound{4, 256};
constexpr section_bound avoidanceBound{64, 1024};
constexpr std::size_t maxServices = 64;
constexpr std::size_t maxNameBytes = 200;

// Sections by number on the wire. Each has a version of its own.
enum section : std::int64_t { Speeds = 1, RunTimes, Pairs, Uses, Pauses, Avoided };
constexpr std::int64_t sectionVersion = 1;

// Numbers are stored as integers: short, and finite.
constexpr double perUnit = 1000; // of logarithms and shares
constexpr double perSpread = 100; // of standard deviations of speeds
constexpr double perWeight = 10;

struct wire_speed
{
    std::int32_t service = 0; // index
    std::string machine;
    std::int32_t mean = 0;
    std::int32_t spread = 0;
    std::int32_t weight = 0;
};

struct wire_speeds
{
    std::vector<std::string> services;
    std::vector<wire_speed> machines;
};

struct wire_run_time
{
    std::string queue;
    std::int32_t weight = 0;
    std::int32_t meanX = 0;
    std::int32_t meanY = 0;
    std::int32_t varianceX = 0;
    std::int32_t covariance = 0;
    std::vector<std::int32_t> residuals;
};

struct wire_pair
{
    std::string image;
    std::string neighbour;
    std::vector<std::int32_t> weights;
    std::vector<std::int32_t> sums;
};

struct wire_use
{
    std::string service;
    std::string team;
    std::int32_t share = 0;
    duration halfLife = 0ms;
};

struct wire_pause
{
    std::int32_t priority = 0;
    std::int32_t ended = 0;
    duration mean = 0ms;
};

struct wire_avoidance
{
    std::string incarnation;
    duration left = 0ms;
};

} // namespace

namespace positional {

template<>
struct field_list<wire_speed>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("service", value.service)("machine", value.machine)("mean", value.mean)
            .count("spread", value.spread)
            .count("weight", value.weight);
    }
};

template<>
struct field_list<wire_speeds>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("services", value.services)("machines", value.machines);
    }
};

template<>
struct field_list<wire_run_time>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("queue", value.queue)
            .count("weight", value.weight)
            .count("meanX", value.meanX)
            .count("meanY", value.meanY)
            .count("varianceX", value.varianceX)("covariance", value.covariance)("residuals",
                                                                                 value.residuals);
    }
};

template<>
struct field_list<wire_pair>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("image", value.image)("neighbour",
                                     value.neighbour)("weights", value.weights)("sums", value.sums);
    }
};

template<>
struct field_list<wire_use>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("service", value.service)("team", value.team)
            .count("share", value.share)("halfLife", value.halfLife);
    }
};

template<>
struct field_list<wire_pause>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields.count("priority", value.priority).count("ended", value.ended)("mean", value.mean);
    }
};

template<>
struct field_list<wire_avoidance>
{
    template<typename Archive, typename Struct>
    static void visit(Archive &fields, Struct &value)
    {
        fields("incarnation", value.incarnation)("left", value.left);
    }
};

} // namespace positional

namespace {

using learned::keyOf;
using learned::weightOf;
using positional::field_encoding;
using positional::field_reader;
using positional::field_writer;

std::int32_t numberOf(double value, double scale)
{
    constexpr double most = 1e9;
    const double scaledValue = value * scale;
    if (std::isnan(scaledValue))
        return 0;
    return static_cast<std::int32_t>(std::lround(std::clamp(scaledValue, -most, most)));
}

double valueOfNumber(std::int32_t number, double scale)
{
    return number / scale;
}

std::vector<std::int32_t> numbersOf(gsl::span<const double> values, double scale)
{
    std::vector<std::int32_t> numbers;
    for (const double value : values)
        numbers.push_back(numberOf(value, scale));
    return numbers;
}

wire_run_time wireOf(const learned_run_time &one)
{
    return {one.queue,
            numberOf(one.weight, perWeight),
            numberOf(one.meanX, perUnit),
            numberOf(one.meanY, perUnit),
            numberOf(one.varianceX, perUnit),
            numberOf(one.covariance, perUnit),
            numbersOf(one.residuals, perWeight)};
}

wire_pair wireOf(const learned_pair &one)
{
    return {one.image, one.neighbour, numbersOf(one.weights, perWeight),
            numbersOf(one.sums, perUnit)};
}

wire_use wireOf(const learned_use &one)
{
    return {one.service, one.team, numberOf(one.share, perUnit), one.halfLife};
}

wire_pause wireOf(const learned_pause &one)
{
    const double mean = one.ended > 0 ? one.time / one.ended : 0;
    return {one.priority, numberOf(one.ended, perWeight),
            duration(static_cast<duration::rep>(mean))};
}

wire_avoidance wireOf(const learned_avoidance &one)
{
    return {one.incarnation, one.left};
}

template<typename Wire>
nlohmann::json itemsOf(const Wire &value)
{
    field_writer fields(field_encoding::Cbor);
    fields({}, value);
    return fields.take().at(0);
}

template<typename Entry>
void sortByWeight(std::vector<Entry> &entries)
{
    std::stable_sort(entries.begin(), entries.end(),
                     [](const Entry &a, const Entry &b) { return weightOf(a) > weightOf(b); });
}

// Encodes the entries of highest weight, as many as the bound allows.
template<typename Entry, typename Encode>
nlohmann::json fitting(std::vector<Entry> &entries, const section_bound &bound, Encode encode)
{
    sortByWeight(entries);
    nlohmann::json items = nlohmann::json::array();
    std::size_t left = bound.bytes;
    for (const Entry &one : entries) {
        if (keyOf(one).size() > maxNameBytes)
            continue;
        nlohmann::json item = encode(one);
        const std::size_t bytes = positional::formatCbor(item).size();
        if (items.size() == bound.entries || bytes > left)
            break;
        left -= bytes;
        items.push_back(std::move(item));
    }
    return items;
}

template<typename Entry>
nlohmann::json fitting(std::vector<Entry> &entries, const section_bound &bound)
{
    return fitting(entries, bound, [](const Entry &one) { return itemsOf(wireOf(one)); });
}

nlohmann::json itemsOfSpeeds(std::vector<learned_speed> &speeds)
{
    std::vector<std::string> services;
    std::map<std::string, std::int32_t> numbers;
    for (const learned_speed &one : speeds) {
        if (services.size() < maxServices
            && numbers.emplace(one.service, static_cast<std::int32_t>(services.size())).second)
            services.push_back(one.service);
    }
    const auto isBeyond
        = [&numbers](const learned_speed &one) { return numbers.count(one.service) == 0; };
    speeds.erase(std::remove_if(speeds.begin(), speeds.end(), isBeyond), speeds.end());
    nlohmann::json machines = fitting(speeds, speedBound, [&numbers](const learned_speed &one) {
        return itemsOf(wire_speed{numbers.at(one.service), one.machine, numberOf(one.mean, perUnit),
                                  numberOf(one.spread, perSpread),
                                  numberOf(one.weight, perWeight)});
    });
    return nlohmann::json::array({services, std::move(machines)});
}

void addSection(nlohmann::json &sections, section number, nlohmann::json items)
{
    sections.push_back(nlohmann::json::array(
        {static_cast<std::int64_t>(number), sectionVersion, std::move(items)}));
}

// Checks decoded values. Keeps whether all of them were in range.
class range_check
{
public:
    double number(std::int32_t number, double scale, double least, double most)
    {
        const double value = valueOfNumber(number, scale);
        m_isFine = m_isFine && value >= least && value <= most;
        return value;
    }
    const std::string &name(const std::string &name, std::size_t leastBytes = 0)
    {
        require(name.size() >= leastBytes && name.size() <= maxNameBytes);
        return name;
    }
    void require(bool holds) { m_isFine = m_isFine && holds; }
    bool isFine() const { return m_isFine; }

private:
    bool m_isFine = true;
};

constexpr double mostLog = 27; // of times in milliseconds; longestTime has 26.5
constexpr double mostSquare = mostLog * mostLog;
// Of ratios of times. run_time_model tells no larger ones apart, and sums with it stay far below
// the largest duration.
constexpr double mostLogRatio = 4;
constexpr double mostWeight = 1000;

learned_run_time entryOf(const wire_run_time &one, range_check &check)
{
    learned_run_time entry;
    entry.queue = check.name(one.queue);
    entry.weight = check.number(one.weight, perWeight, 0, mostWeight);
    entry.meanX = check.number(one.meanX, perUnit, 0, mostLog);
    entry.meanY = check.number(one.meanY, perUnit, 0, mostLog);
    check.require(std::abs(entry.meanY - entry.meanX) <= mostLogRatio);
    entry.varianceX = check.number(one.varianceX, perUnit, 0, mostSquare);
    entry.covariance = check.number(one.covariance, perUnit, -mostSquare, mostSquare);
    check.require(one.residuals.size() == run_time_model::binCount);
    for (const std::int32_t residual : one.residuals)
        entry.residuals.push_back(check.number(residual, perWeight, 0, mostWeight));
    return entry;
}

learned_pair entryOf(const wire_pair &one, range_check &check)
{
    learned_pair entry;
    entry.image = check.name(one.image);
    entry.neighbour = check.name(one.neighbour);
    const bool isWhole
        = one.weights.size() == learned_pair::groups && one.sums.size() == learned_pair::groups;
    check.require(isWhole);
    for (std::size_t i = 0; isWhole && i < learned_pair::groups; ++i) {
        entry.weights[i] = check.number(one.weights[i], perWeight, 0, mostWeight);
        // The model limits each slowdown to a factor of 2. The rest is for rounding.
        const double most = entry.weights[i] + 0.1;
        entry.sums[i] = check.number(one.sums[i], perUnit, -most, most);
    }
    return entry;
}

learned_use entryOf(const wire_use &one, range_check &check)
{
    constexpr double mostShare = 10; // more than 1 is in use after workers have left
    return {check.name(one.service), check.name(one.team),
            check.number(one.share, perUnit, 0, mostShare), one.halfLife};
}

learned_pause entryOf(const wire_pause &one, range_check &check)
{
    constexpr duration longestPause = 60s; // that preemption_policy records
    check.require(one.mean <= longestPause);
    const double ended = check.number(one.ended, perWeight, 0, mostWeight);
    return {one.priority, ended, ended * static_cast<double>(one.mean.count())};
}

learned_avoidance entryOf(const wire_avoidance &one, range_check &check)
{
    return {check.name(one.incarnation, 1), one.left};
}

failure malformed(std::string reason, std::string field)
{
    return makeFailure(code::MalformedMessage, std::move(reason), std::move(field));
}

// Reads the items of a section and checks their number.
template<typename Wire>
std::optional<failure> readItems(const nlohmann::json &items, Wire &wire)
{
    std::optional<failure> error;
    const nlohmann::json wrapped = nlohmann::json::array({items});
    field_reader fields(wrapped, 0, {}, field_encoding::Cbor, error);
    fields("section", wire);
    fields.finish();
    return error;
}

template<typename Entry>
std::optional<failure> checkEntries(const std::vector<Entry> &entries, const section_bound &bound,
                                    const range_check &check, const std::string &name)
{
    if (!check.isFine())
        return malformed("has a value out of range", name);
    if (entries.size() > bound.entries)
        return malformed("has too many entries", name);
    std::set<std::string> keys;
    for (const Entry &one : entries) {
        if (!keys.insert(keyOf(one)).second)
            return malformed("has two entries of the same name", name);
    }
    return std::nullopt;
}

template<typename Wire, typename Entry>
std::optional<failure> decodeSection(const nlohmann::json &items, const section_bound &bound,
                                     const std::string &name, std::vector<Entry> &entries)
{
    std::vector<Wire> wire;
    if (std::optional<failure> error = readItems(items, wire))
        return error;
    range_check check;
    for (const Wire &one : wire)
        entries.push_back(entryOf(one, check));
    return checkEntries(entries, bound, check, name);
}

std::optional<failure> decodeSpeeds(const nlohmann::json &items, std::vector<learned_speed> &speeds)
{
    wire_speeds wire;
    if (std::optional<failure> error = readItems(items, wire))
        return error;
    range_check check;
    check.require(wire.services.size() <= maxServices);
    for (const std::string &service : wire.services)
        check.name(service);
    for (const wire_speed &one : wire.machines) {
        const auto index = static_cast<std::size_t>(one.service);
        if (index >= wire.services.size())
            return malformed("names no service", "speeds");
        speeds.push_back({wire.services[index], check.name(one.machine, 1),
                          check.number(one.mean, perUnit, -mostLogRatio, mostLogRatio),
                          check.number(one.spread, perSpread, 0, mostLogRatio),
                          check.number(one.weight, perWeight, 0, mostWeight)});
    }
    return checkEntries(speeds, speedBound, check, "speeds");
}

std::optional<failure> decodeSection(std::int64_t number, const nlohmann::json &items,
                                     learned_state &state)
{
    switch (number) {
    case Speeds:
        return decodeSpeeds(items, state.speeds);
    case RunTimes:
        return decodeSection<wire_run_time>(items, runTimeBound, "runTimes", state.runTimes);
    case Pairs:
        return decodeSection<wire_pair>(items, pairBound, "pairs", state.pairs);
    case Uses:
        return decodeSection<wire_use>(items, useBound, "uses", state.uses);
    case Pauses:
        return decodeSection<wire_pause>(items, pauseBound, "pauses", state.pauses);
    case Avoided:
        return decodeSection<wire_avoidance>(items, avoidanceBound, "avoided", state.avoided);
    default:
        return std::nullopt;
    }
}

// Reads the sections that this version knows, each at most once.
std::optional<failure> decodeSections(const nlohmann::json &sections, learned_state &state)
{
    if (!sections.is_array())
        return malformed("expected an array", "sections");
    std::set<std::int64_t> seen;
    for (const nlohmann::json &one : sections) {
        const bool isSection = one.is_array() && one.size() == 3 && one[0].is_number_unsigned()
            && one[1].is_number_unsigned();
        if (!isSection || !seen.insert(one[0].get<std::int64_t>()).second)
            return malformed("is not a section, or there is another one like it", "sections");
        if (one[1] != sectionVersion)
            continue;
        if (std::optional<failure> error = decodeSection(one[0].get<std::int64_t>(), one[2], state))
            return error;
    }
    return std::nullopt;
}

} // namespace

std::string encodeLearnedState(learned_state state)
{
    learned::limitWeights(state, 1);
    nlohmann::json sections = nlohmann::json::array();
    addSection(sections, Speeds, itemsOfSpeeds(state.speeds));
    addSection(sections, RunTimes, fitting(state.runTimes, runTimeBound));
    addSection(sections, Pairs, fitting(state.pairs, pairBound));
    addSection(sections, Uses, fitting(state.uses, useBound));
    addSection(sections, Pauses, fitting(state.pauses, pauseBound));
    addSection(sections, Avoided, fitting(state.avoided, avoidanceBound));
    return positional::formatCbor(nlohmann::json::array(
        {learnedStateVersion, state.writtenAt, state.writtenIn, std::move(sections)}));
}

result<learned_state> decodeLearnedState(std::string_view record)
{
    if (record.size() > maxLearnedStateBytes)
        return malformed("is larger than 128 KiB", "record");
    const std::optional<nlohmann::json> items = positional::parseCbor(record);
    if (!items || !items->is_array() || items->empty())
        return malformed("is not a CBOR array", "record");
    if (items->at(0) != learnedStateVersion)
        return makeFailure(code::UnsupportedVersion, "the version of the record is not supported",
                           "version");
    if (items->size() != 4)
        return malformed("has another number of fields", "record");
    learned_state state;
    std::optional<failure> error;
    field_reader fields(*items, 1, {}, field_encoding::Cbor, error);
    fields.count("writtenAt", state.writtenAt).count("writtenIn", state.writtenIn);
    if (!error)
        error = decodeSections(items->at(3), state);
    if (error)
        return *std::move(error);
    return state;
}

} // namespace goldcrest
