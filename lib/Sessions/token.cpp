#include "sapphirespool/Sessions/token.h"

#include <boost/algorithm/hex.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <iterator>
#include <utility>

namespace sapphirespool::sessions
{

namespace
{

constexpr auto formatVersion = std::uint8_t{1};
constexpr auto idPrefix = std::string_view("s-");
/// Hexadecimal digits of a session id after its prefix.
constexpr auto idDigits = std::size_t{16};
constexpr auto checksumBytes = std::size_t{8};
/// Numbers are encoded as varints: seven bits in each byte, and the eighth is set if more bytes follow.
constexpr auto continuationBit = std::uint8_t{0x80};

auto appendNumber(std::string &bytes, std::uint64_t number) -> void
{
    while (number >= continuationBit) {
        bytes.push_back(static_cast<char>((number & 0x7fU) | continuationBit));
        number >>= 7U;
    }
    bytes.push_back(static_cast<char>(number));
}

auto appendFixed(std::string &bytes, std::uint64_t number) -> void
{
    for (auto shift = 0U; shift < 64U; shift += 8U) {
        bytes.push_back(static_cast<char>((number >> shift) & 0xffU));
    }
}

/// Reads varints and length-prefixed texts from a byte sequence. Truncated or malformed input sets a sticky failure flag.
class Reader
{
public:
    explicit Reader(std::string_view bytes)
        : rest(bytes)
    {
    }

    auto number() -> std::uint64_t
    {
        auto value = std::uint64_t{0};
        for (auto shift = 0U; shift < 64U; shift += 7U) {
            if (this->rest.empty()) {
                break;
            }
            const auto byte = static_cast<std::uint8_t>(this->rest.front());
            this->rest.remove_prefix(1);
            value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
            if ((byte & continuationBit) == 0) {
                return value;
            }
        }
        this->failed = true;
        return 0;
    }

    auto text() -> std::string
    {
        const auto size = this->number();
        if (this->failed || size > this->rest.size()) {
            this->failed = true;
            return {};
        }
        auto taken = std::string(this->rest.substr(0, size));
        this->rest.remove_prefix(size);
        return taken;
    }

    [[nodiscard]] auto hasFailed() const -> bool
    {
        return this->failed;
    }

    [[nodiscard]] auto isAtEnd() const -> bool
    {
        return this->rest.empty();
    }

private:
    std::string_view rest;
    bool failed = false;
};

auto isSessionId(std::string_view text) -> bool
{
    if (!text.starts_with(idPrefix) || text.size() != idPrefix.size() + idDigits) {
        return false;
    }
    text.remove_prefix(idPrefix.size());
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto payloadOf(const SessionToken &token) -> std::string
{
    auto bytes = std::string();
    bytes.push_back(static_cast<char>(formatVersion));
    bytes.push_back(token.isComplete() ? '\1' : '\0');
    appendNumber(bytes, token.positions().size());
    for (const auto &seen : token.positions()) {
        appendNumber(bytes, seen.group.value().size());
        bytes += seen.group.value();
        appendNumber(bytes, seen.term.value());
        appendNumber(bytes, seen.position.value());
    }
    return bytes;
}

/// The checksum is seeded with the session id, so that positions of one session are rejected under the id of another.
auto checksumOf(const SessionId &id, std::string_view payload) -> std::string
{
    const auto seed = XXH64(id.value().data(), id.value().size(), 0);
    auto bytes = std::string();
    appendFixed(bytes, XXH64(payload.data(), payload.size(), seed));
    return bytes;
}

auto parsePayload(SessionId id, std::string_view payload) -> DecodedToken
{
    auto reader = Reader(payload);
    if (reader.number() != formatVersion) {
        return TokenError::UnknownVersion;
    }
    const auto complete = reader.number();
    const auto count = reader.number();
    if (reader.hasFailed() || complete > 1 || count > SessionToken::groupLimit) {
        return TokenError::Malformed;
    }
    auto token = SessionToken(std::move(id));
    for (auto index = std::uint64_t{0}; index < count; ++index) {
        auto group = GroupId(reader.text());
        const auto term = Term(reader.number());
        const auto position = LogPosition(reader.number());
        token.merge({std::move(group), term, position});
    }
    if (reader.hasFailed() || !reader.isAtEnd() || token.positions().size() != count) {
        return TokenError::Malformed;
    }
    if (complete == 0) {
        token.markIncomplete();
    }
    return token;
}

auto parseHex(std::string_view digits) -> std::optional<std::string>
{
    auto bytes = std::string();
    try {
        boost::algorithm::unhex(digits.begin(), digits.end(), std::back_inserter(bytes));
    } catch (const boost::algorithm::hex_decode_error &) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace

SessionToken::SessionToken(SessionId id)
    : sessionId(std::move(id))
{
}

auto SessionToken::id() const -> const SessionId &
{
    return this->sessionId;
}

auto SessionToken::positions() const -> const std::vector<SeenPosition> &
{
    return this->seen;
}

auto SessionToken::find(const GroupId &group) const -> const SeenPosition *
{
    const auto found = std::find_if(this->seen.begin(), this->seen.end(), [&group](const SeenPosition &entry) {
        return entry.group == group;
    });
    return found == this->seen.end() ? nullptr : &*found;
}

auto SessionToken::isComplete() const -> bool
{
    return this->complete;
}

auto SessionToken::markIncomplete() -> void
{
    this->complete = false;
}

auto SessionToken::merge(SeenPosition entry) -> void
{
    const auto known = std::find_if(this->seen.begin(), this->seen.end(), [&entry](const SeenPosition &candidate) {
        return candidate.group == entry.group;
    });
    if (known != this->seen.end()) {
        const auto isLater = std::pair(entry.term, entry.position) > std::pair(known->term, known->position);
        auto later = isLater ? std::move(entry) : std::move(*known);
        this->seen.erase(known);
        this->seen.push_back(std::move(later));
        return;
    }
    this->seen.push_back(std::move(entry));
    if (this->seen.size() > groupLimit) {
        this->seen.erase(this->seen.begin());
        this->complete = false;
    }
    assert(this->seen.size() <= groupLimit && "token exceeds its group limit");
}

auto describe(TokenError error) -> std::string_view
{
    switch (error) {
    case TokenError::Malformed:
        return "the session token is malformed; send it as it was received or leave it out";
    case TokenError::ChecksumMismatch:
        return "the session token was altered; send it as it was received or leave it out";
    case TokenError::UnknownVersion:
        return "the session token is of another version of sapphirespool; leave it out";
    }
    return "the session token is malformed";
}

auto encode(const SessionToken &token) -> std::string
{
    const auto payload = payloadOf(token);
    auto text = token.id().value() + ".";
    const auto bytes = payload + checksumOf(token.id(), payload);
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return text;
}

auto decode(std::string_view text) -> DecodedToken
{
    const auto dot = text.find('.');
    const auto idText = text.substr(0, dot);
    if (!isSessionId(idText)) {
        return TokenError::Malformed;
    }
    auto id = SessionId(std::string(idText));
    if (dot == std::string_view::npos) {
        auto token = SessionToken(std::move(id));
        token.markIncomplete();
        return token;
    }
    const auto bytes = parseHex(text.substr(dot + 1));
    if (!bytes || bytes->size() < checksumBytes) {
        return TokenError::Malformed;
    }
    const auto whole = std::string_view(*bytes);
    const auto payload = whole.substr(0, whole.size() - checksumBytes);
    if (checksumOf(id, payload) != whole.substr(payload.size())) {
        return TokenError::ChecksumMismatch;
    }
    return parsePayload(std::move(id), payload);
}

auto makeSessionId(std::uint64_t random) -> SessionId
{
    auto bytes = std::string();
    appendFixed(bytes, random);
    auto text = std::string(idPrefix);
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return SessionId(std::move(text));
}

} // namespace sapphirespool::sessions
