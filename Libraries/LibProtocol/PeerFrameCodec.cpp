#include "LibProtocol/PeerFrameCodec.h"

#include "Generated/PeerFrame_generated.h"

namespace Papaya {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using Offset = flatbuffers::Offset<void>;

Offset write(Builder &builder, const Digest &message)
{
    return Wire::CreateDigest(builder, message.configurationRevision, message.configurationHash, message.vmListVersion).Union();
}

Offset write(Builder &builder, const RevisionedText &message)
{
    const auto text = builder.CreateString(message.text);
    return Wire::CreateConfigurationText(builder, message.revision, text).Union();
}

Offset write(Builder &builder, const VmListText &message)
{
    const auto text = builder.CreateString(message.text);
    return Wire::CreateVmListText(builder, text).Union();
}

Offset write(Builder &builder, const VmListChangeText &message)
{
    const auto changed = builder.CreateString(message.changed);
    const auto removed = builder.CreateVectorOfStrings(message.removed);
    return Wire::CreateVmListChangeText(builder, message.baseVersion, changed, removed).Union();
}

std::string readString(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

VmListChangeText readChange(const Wire::VmListChangeText &wire)
{
    VmListChangeText message {wire.base_version(), readString(wire.changed()), {}};
    if (wire.removed() == nullptr)
        return message;
    for (const auto *name : *wire.removed())
        message.removed.push_back(readString(name));
    return message;
}

} // namespace

std::vector<std::byte> encodePeerFrame(const PeerMessage &message)
{
    Builder builder;
    const auto offset = std::visit([&](const auto &alternative) { return write(builder, alternative); }, message);
    // The FlatBuffers union and the variant list their alternatives in the same order. The union reserves 0 for NONE.
    const auto type = static_cast<Wire::PeerBody>(message.index() + 1);
    builder.Finish(Wire::CreatePeerFrame(builder, type, offset));
    const auto *bytes = reinterpret_cast<const std::byte *>(builder.GetBufferPointer());
    return {bytes, bytes + builder.GetSize()};
}

Result<PeerMessage> decodePeerFrame(std::span<const std::byte> frame)
{
    const Failure malformed {FailureKind::MalformedFrame, 0, "peer"};
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(frame.data());
    flatbuffers::Verifier verifier(bytes, frame.size());
    if (frame.size() > FrameSizeLimit || !verifier.VerifyBuffer<Wire::PeerFrame>(nullptr))
        return malformed;
    const auto *root = flatbuffers::GetRoot<Wire::PeerFrame>(bytes);
    if (root->body() == nullptr)
        return malformed;
    switch (root->body_type()) {
    case Wire::PeerBody::Digest: {
        const auto *digest = root->body_as_Digest();
        return PeerMessage {Digest {digest->configuration_revision(), digest->configuration_hash(), digest->vm_list_version()}};
    }
    case Wire::PeerBody::ConfigurationText: {
        const auto *text = root->body_as_ConfigurationText();
        return PeerMessage {RevisionedText {text->revision(), readString(text->text())}};
    }
    case Wire::PeerBody::VmListText:
        return PeerMessage {VmListText {readString(root->body_as_VmListText()->text())}};
    case Wire::PeerBody::VmListChangeText:
        return PeerMessage {readChange(*root->body_as_VmListChangeText())};
    case Wire::PeerBody::NONE:
        break;
    }
    return malformed;
}

} // namespace Papaya
