// codec.h: Cap'n Proto encoding of log entries, messages and the files of a replica.
#pragma once

#include "sapphirespool/Consensus/messages.h"

#include <consensus.capnp.h>

#include <span>

namespace sapphirespool::consensus
{

auto write(const ControlMember &member, schema::ControlMember::Builder out) -> void;
[[nodiscard]] auto read(schema::ControlMember::Reader in) -> ControlMember;

auto write(const Entry &entry, schema::Entry::Builder out) -> void;
[[nodiscard]] auto read(schema::Entry::Reader in) -> Entry;

auto write(const Message &message, schema::Message::Builder out) -> void;
[[nodiscard]] auto read(schema::Message::Reader in) -> Message;

[[nodiscard]] auto encode(const Snapshot &snapshot) -> Bytes;
[[nodiscard]] auto decodeSnapshot(std::span<const std::byte> bytes) -> Snapshot;

[[nodiscard]] auto toBytes(capnp::Data::Reader data) -> Bytes;
[[nodiscard]] auto toData(std::span<const std::byte> bytes) -> capnp::Data::Reader;

/// \return the message serialized as the contents of a file or journal record
[[nodiscard]] auto flatten(capnp::MessageBuilder &message) -> Bytes;

/// Copy of a serialized record with the word alignment that Cap'n Proto requires.
class AlignedWords
{
public:
    explicit AlignedWords(std::span<const std::byte> bytes);

    [[nodiscard]] auto words() const -> kj::ArrayPtr<const capnp::word>;

private:
    kj::Array<capnp::word> content;
};

} // namespace sapphirespool::consensus
