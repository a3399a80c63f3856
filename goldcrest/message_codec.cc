#include "goldcrest/message_codec.h"

#include "goldcrest/json_text.h"
#include "goldcrest/message_fields.h"

#include <array>
#include <utility>

namespace goldcrest {

namespace {

using positional::field_encoding;
using positional::field_list;
using positional::field_reader;
using positional::field_writer;

constexpr std::int64_t protocolVersion = 1;

// Version and kind come before the fields.
constexpr std::size_t headerItems = 2;

template<std::size_t Index>
message decodeKind(const nlohmann::json &items, std::optional<failure> &error)
{
    std::variant_alternative_t<Index, message> value;
    field_reader fields(items, headerItems, {}, field_encoding::Cbor, error);
    field_list<decltype(value)>::visit(fields, value);
    fields.finish();
    return value;
}

using kind_decoder = message (*)(const nlohmann::json &, std::optional<failure> &);

template<std::size_t... Index>
constexpr std::array<kind_decoder, sizeof...(Index)> makeDecoders(std::index_sequence<Index...>)
{
    return {&decodeKind<Index>...};
}

// The kind of a message is its position in the variant.
constexpr auto kindDecoders
    = makeDecoders(std::make_index_sequence<std::variant_size_v<message>>());

failure malformed(std::string reason, std::string field = {})
{
    return makeFailure(code::MalformedMessage, std::move(reason), std::move(field));
}

} // namespace

std::string encodeMessage(const message &value)
{
    field_writer fields(field_encoding::Cbor);
    fields("version", protocolVersion)("kind", static_cast<std::int64_t>(value.index()));
    std::visit(
        [&](const auto &content) {
            field_list<std::decay_t<decltype(content)>>::visit(fields, content);
        },
        value);
    return positional::formatCbor(fields.take());
}

result<message> decodeMessage(std::string_view frame)
{
    if (frame.size() > maxFrameBytes)
        return malformed("the frame is larger than the limit");
    const std::optional<nlohmann::json> items = positional::parseCbor(frame);
    if (!items)
        return malformed("the frame is not in the accepted subset of CBOR");
    if (!items->is_array() || items->size() < headerItems)
        return malformed("the frame has no header");
    const nlohmann::json &version = (*items)[0];
    if (!version.is_number_integer())
        return malformed("expected an integer", "version");
    if (version != protocolVersion)
        return makeFailure(code::UnsupportedVersion, "only protocol version 1 is supported",
                           "version");
    const nlohmann::json &kind = (*items)[1];
    if (!kind.is_number_unsigned() || kind.get<std::uint64_t>() >= kindDecoders.size())
        return malformed("is not a known message kind", "kind");
    std::optional<failure> error;
    message value = kindDecoders[kind.get<std::size_t>()](*items, error);
    if (error)
        return *std::move(error);
    return value;
}

std::string encodeGangInfo(const gang_info &gang)
{
    field_writer fields(field_encoding::JsonText);
    fields("version", protocolVersion)("gang", gang);
    // Replaces invalid UTF-8 in names instead of throwing; the entry refuses such names anyway.
    return fields.take().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<gang_info> decodeGangInfo(std::string_view bytes)
{
    if (bytes.size() > maxFrameBytes)
        return malformed("the metadata is larger than the limit");
    const nlohmann::json items = parseJson(bytes);
    if (items.is_discarded() || !items.is_array())
        return malformed("the metadata is not a JSON array");
    std::optional<failure> error;
    std::int64_t version = 0;
    gang_info gang;
    field_reader fields(items, 0, {}, field_encoding::JsonText, error);
    fields("version", version);
    if (!error && version != protocolVersion)
        return makeFailure(code::UnsupportedVersion, "the metadata has an unsupported version",
                           "version");
    fields("gang", gang);
    fields.finish();
    if (error)
        return *std::move(error);
    return gang;
}

} // namespace goldcrest
