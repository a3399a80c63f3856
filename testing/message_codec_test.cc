#include "goldcrest/message_codec.h"
#include "goldcrest/message_fields.h"

#include <random>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;
using positional::field_list;

namespace {

// Visits the fields of a struct as the codecs do, and gives each one a random value.
class random_filler
{
public:
    explicit random_filler(std::uint64_t seed)
        : m_random(seed)
    { }

    template<typename T>
    random_filler &operator()(std::string_view, T &value)
    {
        fill(value);
        ++m_fields;
        return *this;
    }
    template<typename T>
    random_filler &count(std::string_view name, T &value)
    {
        (*this)(name, value);
        value = value < 0 ? -(value + 1) : value;
        return *this;
    }
    random_filler &truncated(std::string_view name, std::string &value)
    {
        return (*this)(name, value);
    }
    random_filler &bytes(std::string_view name, std::string &value)
    {
        (*this)(name, value);
        value += std::string("\xff\0\x80", 3); // not UTF-8
        return *this;
    }
    random_filler &fraction(std::string_view, double &value)
    {
        value = static_cast<double>(m_random() % 1001) / 1000;
        ++m_fields;
        return *this;
    }

    int fields() const { return m_fields; }

private:
    template<typename T>
    void fill(T &value)
    {
        if constexpr (std::is_same_v<T, bool>) {
            value = m_random() % 2 == 0;
        } else if constexpr (std::is_integral_v<T>) {
            value = static_cast<T>(m_random() >> (m_random() % 64));
        } else if constexpr (std::is_enum_v<T>) {
            using range = positional::enum_range<T>;
            value = static_cast<T>(
                range::first
                + static_cast<std::int64_t>(
                    m_random() % static_cast<std::uint64_t>(range::last - range::first + 1)));
        } else if constexpr (std::is_same_v<T, duration>) {
            value = duration(m_random() % 100'000);
        } else if constexpr (std::is_same_v<T, std::string>) {
            value.assign(m_random() % 40, static_cast<char>('a' + m_random() % 26));
        } else if constexpr (positional::is_optional<T>::value) {
            value.reset();
            if (m_random() % 2 == 0)
                fill(value.emplace());
        } else if constexpr (positional::is_list<T>::value) {
            value.resize(m_random() % 4);
            for (auto &item : value)
                fill(item);
        } else {
            random_filler inner(m_random());
            field_list<T>::visit(inner, value);
        }
    }

    std::mt19937_64 m_random;
    int m_fields = 0;
};

template<std::size_t... Index>
std::vector<message> makeRandomMessages(std::uint64_t seed, std::index_sequence<Index...>)
{
    const auto make = [&](auto value) {
        random_filler filler(seed);
        field_list<decltype(value)>::visit(filler, value);
        return message(value);
    };
    return {make(std::variant_alternative_t<Index, message>())...};
}

// One message of each kind.
std::vector<message> randomMessages(std::uint64_t seed)
{
    return makeRandomMessages(seed, std::make_index_sequence<std::variant_size_v<message>>());
}

bool isFailure(const result<message> &outcome, code number)
{
    return failureOf(outcome) && failureOf(outcome)->number == number;
}

std::string frameOf(const nlohmann::json &items)
{
    return positional::formatCbor(items);
}

// Converts to any member type, to count the members of an aggregate.
struct any_value
{
    template<typename T, typename = std::enable_if_t<!std::is_lvalue_reference_v<T>>>
    operator T() const;
};

template<typename Struct, typename Sequence, typename = void>
struct is_initializable : std::false_type
{ };
template<typename Struct, std::size_t... Index>
struct is_initializable<Struct, std::index_sequence<Index...>,
                        std::void_t<decltype(Struct{(static_cast<void>(Index), any_value{})...})>>
    : std::true_type
{ };

template<typename Struct, std::size_t Count = 24>
constexpr int memberCount()
{
    if constexpr (Count == 0 || is_initializable<Struct, std::make_index_sequence<Count>>::value)
        return static_cast<int>(Count);
    else
        return memberCount<Struct, Count - 1>();
}

template<typename Struct>
void checkFieldCount(const char *name)
{
    Struct value{};
    random_filler filler(1);
    field_list<Struct>::visit(filler, value);
    LONGS_EQUAL_TEXT(memberCount<Struct>(), filler.fields(), name);
}

template<std::size_t... Index>
void checkFieldCounts(std::index_sequence<Index...>)
{
    (checkFieldCount<std::variant_alternative_t<Index, message>>(std::to_string(Index).c_str()),
     ...);
}

} // namespace

TEST_GROUP(message_codec){};

// Guards against a field that is added to a message and lost on the wire.
TEST(message_codec, everyMemberIsInTheFieldList)
{
    checkFieldCounts(std::make_index_sequence<std::variant_size_v<message>>());
    checkFieldCount<resources>("resources");
    checkFieldCount<job_spec>("job_spec");
    checkFieldCount<gang_info>("gang_info");
    checkFieldCount<worker_info>("worker_info");
    checkFieldCount<task_result>("task_result");
    checkFieldCount<worker_status>("worker_status");
}

// Guards against a kind whose decoder does not match its encoder.
TEST(message_codec, everyMessageSurvivesARoundTrip)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const message &sent : randomMessages(seed)) {
            const std::string frame = encodeMessage(sent);
            const result<message> received = decodeMessage(frame);
            if (const failure *error = failureOf(received))
                FAIL((std::to_string(sent.index()) + ": " + error->field + ' ' + error->reason)
                         .c_str());
            LONGS_EQUAL(sent.index(), valueOf(received).index());
            CHECK(encodeMessage(valueOf(received)) == frame);
        }
    }
}

// Guards against values that the round trip above would not see if both directions dropped them.
TEST(message_codec, valuesArriveUnchanged)
{
    task_finished_message sent;
    sent.attempt = {{"harvest", "r-7"}, 3};
    sent.worker = "w2";
    sent.plannerEpoch = 1LL << 40;
    sent.results = {{5, true, std::string("\0\xff", 2), 2, 0, "digest"}};
    sent.progress = 0.25;
    sent.last = false;
    const result<message> received = decodeMessage(encodeMessage(sent));
    CHECK(failureOf(received) == nullptr);
    const auto &value = std::get<task_finished_message>(valueOf(received));
    CHECK(value.attempt == sent.attempt);
    CHECK(value.plannerEpoch == sent.plannerEpoch);
    CHECK(value.results.at(0).output == sent.results[0].output);
    CHECK(value.results.at(0).succeeded);
    CHECK(value.progress == 0.25 && !value.last);
}

// Guards against a truncated frame that is taken for a shorter message.
TEST(message_codec, everyTruncatedFrameIsRefused)
{
    for (const message &sent : randomMessages(3)) {
        const std::string frame = encodeMessage(sent);
        for (std::size_t length = 0; length < frame.size(); ++length) {
            const result<message> outcome
                = decodeMessage(std::string_view(frame).substr(0, length));
            CHECK(isFailure(outcome, code::MalformedMessage));
        }
        CHECK(isFailure(decodeMessage(frame + '\0'), code::MalformedMessage));
    }
}

// Guards against exceptions, infinite loops and out-of-bounds reads on corrupted frames.
TEST(message_codec, mutatedFramesNeverBreakTheDecoder)
{
    std::mt19937_64 random(11);
    int refused = 0;
    for (int round = 0; round < 200; ++round) {
        for (const message &sent : randomMessages(static_cast<std::uint64_t>(round % 10) + 1)) {
            std::string frame = encodeMessage(sent);
            for (std::uint64_t i = 0; i <= random() % 4; ++i)
                frame[random() % frame.size()] = static_cast<char>(random());
            const result<message> outcome = decodeMessage(frame);
            refused += failureOf(outcome) ? 1 : 0;
            // What was accepted can be encoded again.
            if (!failureOf(outcome))
                CHECK_FALSE(encodeMessage(valueOf(outcome)).empty());
        }
    }
    CHECK(refused > 1000);
}

// Guards against a stack overflow by deep nesting and against length fields that exhaust the
// memory.
TEST(message_codec, malformedStructuresAreRefused)
{
    CHECK(isFailure(decodeMessage(std::string(1'000'000, '\x81')), code::MalformedMessage));
    // A complete document, so that only its depth is wrong.
    CHECK(isFailure(decodeMessage(std::string(200'000, '\x81') + '\0'), code::MalformedMessage));
    CHECK(isFailure(decodeMessage(std::string(100, '\xff')), code::MalformedMessage));
    CHECK(isFailure(decodeMessage("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"), code::MalformedMessage));
    CHECK(isFailure(decodeMessage("\x9f\x01\x01\xff"), code::MalformedMessage)); // no length
    CHECK(isFailure(decodeMessage(std::string("\x82\x01\xa0", 3)), code::MalformedMessage)); // map
    CHECK(isFailure(decodeMessage(std::string(maxFrameBytes + 1, '\0')), code::MalformedMessage));
}

// Guards against silent acceptance of wrong types, ranges and surplus fields.
TEST(message_codec, errorsNameTheField)
{
    using nlohmann::json;
    const auto fieldOf = [](const json &items) {
        const result<message> outcome = decodeMessage(frameOf(items));
        CHECK(isFailure(outcome, code::MalformedMessage));
        return failureOf(outcome) ? failureOf(outcome)->field : std::string();
    };
    constexpr int outageQuery = 27;
    CHECK(std::holds_alternative<outage_query_message>(
        valueOf(decodeMessage(frameOf({1, outageQuery, 5, 100})))));
    STRCMP_EQUAL("query", fieldOf({1, outageQuery, "5", 100}).c_str());
    STRCMP_EQUAL("query", fieldOf({1, outageQuery, -1, 100}).c_str());
    STRCMP_EQUAL("within", fieldOf({1, outageQuery, 5, -1}).c_str());
    STRCMP_EQUAL("within", fieldOf({1, outageQuery, 5}).c_str());
    STRCMP_EQUAL("", fieldOf({1, outageQuery, 5, 100, 1}).c_str());
    STRCMP_EQUAL("kind", fieldOf({1, std::variant_size_v<message>, 5, 100}).c_str());
    STRCMP_EQUAL("version", fieldOf({"1", outageQuery}).c_str());
    constexpr int cancelJob = 21;
    STRCMP_EQUAL("job.requestId", fieldOf({1, cancelJob, json::array({"team", 7})}).c_str());
}

// Guards against a frame of another version that is read with this version's field order.
TEST(message_codec, anotherVersionIsRefused)
{
    CHECK(isFailure(decodeMessage(frameOf({2, 27, 5, 100})), code::UnsupportedVersion));
}

// Guards against a message that is refused because its sender computed a value out of range.
TEST(message_codec, outOfRangeValuesAreClampedBySenders)
{
    usage_report usage;
    usage.progress = 1.0000001;
    heartbeat_message heartbeat;
    heartbeat.usage = {usage};
    CHECK(failureOf(decodeMessage(encodeMessage(heartbeat))) == nullptr);
    hold_reply_message reply;
    reply.refused = makeFailure(code::HoldRefused, std::string(1'000'000, 'x'));
    CHECK(failureOf(decodeMessage(encodeMessage(reply))) == nullptr);
    heartbeat_ack_message ack;
    ack.confirmedAge = duration::max();
    const result<message> received = decodeMessage(encodeMessage(ack));
    CHECK(std::get<heartbeat_ack_message>(valueOf(received)).confirmedAge
          == positional::maxWireDuration);
}

// Guards against gang data that a backend server can't carry as a JSON string.
TEST(message_codec, gangInfoIsTextAndSurvivesARoundTrip)
{
    gang_info sent;
    random_filler filler(5);
    field_list<gang_info>::visit(filler, sent);
    sent.spec.payload.clear();
    const std::string text = encodeGangInfo(sent);
    CHECK(nlohmann::json::accept(text));
    const result<gang_info> received = decodeGangInfo(text);
    CHECK(failureOf(received) == nullptr);
    CHECK(encodeGangInfo(valueOf(received)) == text);
    CHECK(failureOf(decodeGangInfo(text.substr(0, text.size() / 2))) != nullptr);
    CHECK(failureOf(decodeGangInfo(std::string(2000, '['))) != nullptr);
}
