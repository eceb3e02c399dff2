#include <LibPeer/Envelope.h>

#include <LibPeer/MsgpackReader.h>

namespace Peer {

namespace {

    using Json = nlohmann::json;
    using Base::ErrorCode;

    Base::ErrorOr<uint64_t> readNumber(const Json& object, const char* key)
    {
        const auto found = object.find(key);
        if (found == object.end() || !found->is_number_unsigned())
            return Base::makeError(
                ErrorCode::Malformed, std::string("envelope: expected an unsigned integer as ") + key);
        return found->get<uint64_t>();
    }

    Base::ErrorOr<Channel> toChannel(uint64_t number)
    {
        if (number < static_cast<uint64_t>(Channel::Control) || number > static_cast<uint64_t>(Channel::Probe))
            return Base::makeError(ErrorCode::Malformed, "envelope: unknown channel");
        return static_cast<Channel>(number);
    }

}

std::vector<std::byte> encodeEnvelope(const Envelope& envelope)
{
    const auto* payload = reinterpret_cast<const uint8_t*>(envelope.payload.data());
    Json object;
    object["version"] = envelopeVersion;
    object["channel"] = static_cast<uint32_t>(envelope.channel);
    object["sender"] = envelope.sender.value;
    object["incarnation"] = envelope.incarnation;
    object["sequence"] = envelope.sequence;
    object["reply_to"] = envelope.replyTo;
    object["payload"] = Json::binary({ payload, payload + envelope.payload.size() });
    return writeMsgpack(object);
}

Base::ErrorOr<Envelope> decodeEnvelope(std::span<const std::byte> bytes)
{
    TRY_ASSIGN(object, readMsgpack(bytes));
    if (!object.is_object())
        return Base::makeError(ErrorCode::Malformed, "envelope: expected a map");
    TRY_ASSIGN(version, readNumber(object, "version"));
    if (version != envelopeVersion)
        return Base::makeError(ErrorCode::Malformed, "envelope: unknown version");
    TRY_ASSIGN(channelNumber, readNumber(object, "channel"));
    TRY_ASSIGN(channel, toChannel(channelNumber));
    TRY_ASSIGN(sender, readNumber(object, "sender"));
    TRY_ASSIGN(incarnation, readNumber(object, "incarnation"));
    TRY_ASSIGN(sequence, readNumber(object, "sequence"));
    TRY_ASSIGN(replyTo, readNumber(object, "reply_to"));
    const auto payload = object.find("payload");
    if (payload == object.end() || !payload->is_binary())
        return Base::makeError(ErrorCode::Malformed, "envelope: expected binary data as payload");
    const auto& binary = payload->get_binary();
    const auto* data = reinterpret_cast<const std::byte*>(binary.data());
    return Envelope { .channel = channel,
        .sender = { sender },
        .incarnation = incarnation,
        .sequence = sequence,
        .replyTo = replyTo,
        .payload = { data, data + binary.size() } };
}

}
