#include "codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <limits>
#include <utility>

namespace sapphirespool::consensus
{

namespace
{

/// Lifts the default traversal limit: the memory for control state, 128 MB, already bounds the size of a snapshot.
auto readerOptions() -> capnp::ReaderOptions
{
    auto options = capnp::ReaderOptions();
    options.traversalLimitInWords = std::numeric_limits<std::uint64_t>::max();
    return options;
}

auto writeMembers(const Members &group, schema::Members::Builder out) -> void
{
    auto list = out.initMembers(static_cast<unsigned>(group.members.size()));
    for (auto index = 0U; index < list.size(); ++index) {
        write(group.members[index], list[index]);
    }
    out.setFormed(group.formed);
}

auto readMembers(schema::Members::Reader in) -> Members
{
    auto group = Members{{}, in.getFormed()};
    for (const auto member : in.getMembers()) {
        group.members.push_back(read(member));
    }
    return group;
}

/// Encodes the body of a message, one overload for each message type.
class BodyWriter
{
public:
    explicit BodyWriter(schema::Message::Builder out)
        : out(out)
    {
    }

    auto operator()(const VoteRequest &message) -> void
    {
        auto body = this->out.initVoteRequest();
        body.setPreVote(message.preVote);
        body.setLastIndex(message.lastIndex.value());
        body.setLastTerm(message.lastTerm.value());
    }

    auto operator()(const VoteReply &message) -> void
    {
        auto body = this->out.initVoteReply();
        body.setPreVote(message.preVote);
        body.setGranted(message.granted);
    }

    auto operator()(const Heartbeat &message) -> void
    {
        auto body = this->out.initHeartbeat();
        body.setRound(message.round.value());
        body.setCommit(message.commit.value());
    }

    auto operator()(const HeartbeatReply &message) -> void
    {
        this->out.initHeartbeatReply().setRound(message.round.value());
    }

    auto operator()(const AppendRequest &message) -> void
    {
        auto body = this->out.initAppendRequest();
        body.setPreviousIndex(message.previousIndex.value());
        body.setPreviousTerm(message.previousTerm.value());
        body.setCommit(message.commit.value());
        auto list = body.initEntries(static_cast<unsigned>(message.entries.size()));
        for (auto index = 0U; index < list.size(); ++index) {
            write(message.entries[index], list[index]);
        }
    }

    auto operator()(const AppendReply &message) -> void
    {
        auto body = this->out.initAppendReply();
        body.setAccepted(message.accepted);
        body.setIndex(message.index.value());
        body.setHintTerm(message.hintTerm.value());
    }

    auto operator()(const SnapshotChunk &message) -> void
    {
        auto body = this->out.initSnapshotChunk();
        body.setIndex(message.snapshotIndex.value());
        body.setSnapshotTerm(message.snapshotTerm.value());
        writeMembers(message.members, body.initMembers());
        body.setOffset(message.offset);
        body.setData(toData(message.data));
        body.setLast(message.last);
    }

    auto operator()(const SnapshotReply &message) -> void
    {
        auto body = this->out.initSnapshotReply();
        body.setIndex(message.snapshotIndex.value());
        body.setOffset(message.offset);
        body.setInstalled(message.installed);
    }

    auto operator()(const Resigned &) -> void
    {
        this->out.setResigned();
    }

private:
    schema::Message::Builder out;
};

auto readAppendRequest(ElectionTerm term, schema::Message::AppendRequest::Reader in) -> AppendRequest
{
    auto message = AppendRequest{term, LogIndex(in.getPreviousIndex()), ElectionTerm(in.getPreviousTerm()), {}, LogIndex(in.getCommit())};
    for (const auto entry : in.getEntries()) {
        message.entries.push_back(read(entry));
    }
    return message;
}

auto readSnapshotChunk(ElectionTerm term, schema::Message::SnapshotChunk::Reader in) -> SnapshotChunk
{
    return {
        term, LogIndex(in.getIndex()), ElectionTerm(in.getSnapshotTerm()), readMembers(in.getMembers()), in.getOffset(), toBytes(in.getData()), in.getLast()};
}

} // namespace

auto toBytes(capnp::Data::Reader data) -> Bytes
{
    const auto bytes = std::as_bytes(std::span(data.begin(), data.size()));
    return {bytes.begin(), bytes.end()};
}

auto toData(std::span<const std::byte> bytes) -> capnp::Data::Reader
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

auto flatten(capnp::MessageBuilder &message) -> Bytes
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return toBytes(capnp::Data::Reader(bytes.begin(), bytes.size()));
}

AlignedWords::AlignedWords(std::span<const std::byte> bytes)
    : content(kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word)))
{
    std::memcpy(this->content.begin(), bytes.data(), this->content.size() * sizeof(capnp::word));
}

auto AlignedWords::words() const -> kj::ArrayPtr<const capnp::word>
{
    return this->content.asPtr();
}

auto write(const ControlMember &member, schema::ControlMember::Builder out) -> void
{
    out.setVm(member.vm.value());
    auto endpoint = out.initEndpoint();
    endpoint.setAddress(member.endpoint.address);
    endpoint.setPort(member.endpoint.port);
    out.setVoter(member.voter);
    out.setReplica(member.replica.value());
    out.setZone(member.zone.value());
}

auto read(schema::ControlMember::Reader in) -> ControlMember
{
    const auto endpoint = in.getEndpoint();
    return {VmId(in.getVm().cStr()),
            Endpoint{endpoint.getAddress().cStr(), endpoint.getPort()},
            in.getVoter(),
            ReplicaId(in.getReplica()),
            ZoneId(in.getZone().cStr())};
}

auto write(const Entry &entry, schema::Entry::Builder out) -> void
{
    out.setIndex(entry.index.value());
    out.setTerm(entry.term.value());
    if (const auto *const command = std::get_if<Command>(&entry.content)) {
        out.setCommand(toData(command->bytes));
    } else if (const auto *const members = std::get_if<Members>(&entry.content)) {
        writeMembers(*members, out.initMembers());
    } else {
        out.setNoOp();
    }
}

auto read(schema::Entry::Reader in) -> Entry
{
    auto entry = Entry{LogIndex(in.getIndex()), ElectionTerm(in.getTerm()), NoOp()};
    if (in.isCommand()) {
        entry.content = Command{toBytes(in.getCommand())};
    } else if (in.isMembers()) {
        entry.content = readMembers(in.getMembers());
    }
    return entry;
}

auto write(const Message &message, schema::Message::Builder out) -> void
{
    std::visit(
        [&out](const auto &body) {
            out.setTerm(body.term.value());
        },
        message);
    std::visit(BodyWriter(out), message);
}

auto read(schema::Message::Reader in) -> Message
{
    const auto term = ElectionTerm(in.getTerm());
    switch (in.which()) {
    case schema::Message::VOTE_REQUEST: {
        const auto body = in.getVoteRequest();
        return VoteRequest{term, body.getPreVote(), LogIndex(body.getLastIndex()), ElectionTerm(body.getLastTerm())};
    }
    case schema::Message::VOTE_REPLY:
        return VoteReply{term, in.getVoteReply().getPreVote(), in.getVoteReply().getGranted()};
    case schema::Message::HEARTBEAT:
        return Heartbeat{term, Round(in.getHeartbeat().getRound()), LogIndex(in.getHeartbeat().getCommit())};
    case schema::Message::HEARTBEAT_REPLY:
        return HeartbeatReply{term, Round(in.getHeartbeatReply().getRound())};
    case schema::Message::APPEND_REQUEST:
        return readAppendRequest(term, in.getAppendRequest());
    case schema::Message::APPEND_REPLY: {
        const auto body = in.getAppendReply();
        return AppendReply{term, body.getAccepted(), LogIndex(body.getIndex()), ElectionTerm(body.getHintTerm())};
    }
    case schema::Message::SNAPSHOT_CHUNK:
        return readSnapshotChunk(term, in.getSnapshotChunk());
    case schema::Message::SNAPSHOT_REPLY: {
        const auto body = in.getSnapshotReply();
        return SnapshotReply{term, LogIndex(body.getIndex()), body.getOffset(), body.getInstalled()};
    }
    case schema::Message::RESIGNED:
        return Resigned{term};
    }
    KJ_FAIL_REQUIRE("message of an unknown kind; run one version on all control VMs");
}

auto encode(const Snapshot &snapshot) -> Bytes
{
    auto message = capnp::MallocMessageBuilder();
    auto out = message.initRoot<schema::SnapshotFile>();
    out.setIndex(snapshot.index.value());
    out.setTerm(snapshot.term.value());
    writeMembers(snapshot.members, out.initMembers());
    out.setState(toData(snapshot.state));
    return flatten(message);
}

auto decodeSnapshot(std::span<const std::byte> bytes) -> Snapshot
{
    const auto words = AlignedWords(bytes);
    auto reader = capnp::FlatArrayMessageReader(words.words(), readerOptions());
    const auto in = reader.getRoot<schema::SnapshotFile>();
    return {LogIndex(in.getIndex()), ElectionTerm(in.getTerm()), readMembers(in.getMembers()), toBytes(in.getState())};
}

} // namespace sapphirespool::consensus
