// peermessage.cpp: Cap'n Proto messages as another process could send them, between control and proxies and among proxies.
#include "codec.h"
#include "peercodec.h"

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <vector>

namespace
{

/// \return the bytes as whole words, which a message consists of
auto wordsOf(const std::uint8_t *data, std::size_t size) -> std::vector<capnp::word>
{
    auto words = std::vector<capnp::word>(size / sizeof(capnp::word));
    std::memcpy(words.data(), data, words.size() * sizeof(capnp::word));
    return words;
}

/// Reads one kind of message; a message that Cap'n Proto refuses ends its call and nothing else.
template <typename Read>
auto attempt(const std::vector<capnp::word> &words, Read read) -> void
{
    try {
        auto reader = capnp::FlatArrayMessageReader(kj::arrayPtr(words.data(), words.size()));
        read(reader);
    } catch (const kj::Exception &) {
    }
}

} // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    namespace control = sapphirespool::control;
    namespace peers = sapphirespool::peers;
    namespace schema = sapphirespool::schema;
    const auto words = wordsOf(data, size);
    attempt(words, [](capnp::MessageReader &message) {
        static_cast<void>(control::read(message.getRoot<schema::VmHeartbeat>()));
    });
    attempt(words, [](capnp::MessageReader &message) {
        static_cast<void>(control::read(message.getRoot<schema::ViewDelta>()));
    });
    attempt(words, [](capnp::MessageReader &message) {
        static_cast<void>(peers::read(message.getRoot<peers::schema::KeyStart>()));
    });
    attempt(words, [](capnp::MessageReader &message) {
        static_cast<void>(peers::read(message.getRoot<peers::schema::TransactionRequest>()));
    });
    return 0;
}
