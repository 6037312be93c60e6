#include "recordcodec.h"

#include "sapphirespool/State/commands.h"
#include "sapphirespool/Support/compression.h"

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <utility>

namespace sapphirespool::state
{

namespace
{

/// Size in bytes from which a command is compressed. Uncompressed, a configuration of thousands of services would delay the heartbeats
/// between control VMs, which share the connections.
constexpr auto compressionThreshold = std::size_t{4'096};
/// Limit in bytes on a decompressed command: several times what a configuration of 10,000 services needs. It is also passed as the
/// traversal limit, which Cap'n Proto counts in words.
constexpr auto decompressedLimit = std::size_t{64} * 1024 * 1024;

/// Visitor that writes each kind of command to its Cap'n Proto form.
struct CommandWriter
{
    schema::Command::Builder to;

    auto operator()(const ChangeConfiguration &command) -> void
    {
        auto builder = this->to.initChangeConfiguration();
        builder.setChange(command.change.value());
        builder.setBase(command.base.value());
        builder.setText(command.text);
        builder.setVersion(command.content.version.value_or(ConfigurationVersion()).value());
        writeAll(builder.initServices(static_cast<unsigned>(command.content.services.size())), command.content.services);
        writeAll(builder.initCustomers(static_cast<unsigned>(command.content.customers.size())), command.content.customers);
        auto groups = builder.initGroups(static_cast<unsigned>(command.content.groups.size()));
        auto index = 0U;
        for (const auto &group : command.content.groups) {
            groups[index].setId(group.id.value());
            groups[index].setSize(group.size);
            groups[index].setConnectionLimit(group.connectionLimit);
            groups[index].setSelfReplicating(group.selfReplicating);
            groups[index].setConfirmations(group.confirmations);
            ++index;
        }
    }

    auto operator()(const RegisterUpstream &command) -> void
    {
        auto builder = this->to.initRegisterUpstream();
        builder.setGroup(command.group.value());
        write(builder.initUpstream(), command.upstream);
    }

    auto operator()(const BeginTerm &command) -> void
    {
        auto builder = this->to.initBeginTerm();
        builder.setGroup(command.group.value());
        builder.setPrevious(command.previous.value());
        builder.setNext(command.next.value());
    }

    auto operator()(const ChoosePrimary &command) -> void
    {
        auto builder = this->to.initChoosePrimary();
        builder.setGroup(command.group.value());
        builder.setTerm(command.term.value());
        builder.setPrimary(command.primary.value());
        builder.setIncarnation(command.incarnation.value());
        builder.setKeptUpTo(command.keptUpTo.value());
        auto paused = builder.initPaused(static_cast<unsigned>(command.paused.size()));
        auto index = 0U;
        for (const auto &member : command.paused) {
            paused.set(index, member.value());
            ++index;
        }
    }

    auto operator()(const NoteResume &command) -> void
    {
        auto builder = this->to.initNoteResume();
        builder.setGroup(command.group.value());
        builder.setMember(command.member.value());
        builder.setDone(command.phase == ResumePhase::Done);
    }

    auto operator()(const RegisterVm &command) -> void
    {
        write(this->to.initRegisterVm(), command.vm);
    }

    auto operator()(const ForgetVm &command) -> void
    {
        auto builder = this->to.initForgetVm();
        builder.setVm(command.vm.value());
        builder.setIncarnation(command.incarnation.value());
    }

    auto operator()(const GrantDuty &command) -> void
    {
        auto builder = this->to.initGrantDuty();
        builder.setHolder(command.holder.value());
        builder.setLeadership(command.leadership);
        builder.setPrevious(command.previous);
    }

    auto operator()(const ForgetUpstream &command) -> void
    {
        auto builder = this->to.initForgetUpstream();
        builder.setGroup(command.group.value());
        builder.setUpstream(command.upstream.value());
        builder.setIncarnation(command.incarnation.value());
    }
};

auto readChangeConfiguration(schema::Command::ChangeConfiguration::Reader from) -> ChangeConfiguration
{
    auto command = ChangeConfiguration();
    command.change = ChangeId(read(from.getChange()));
    command.base = Revision(from.getBase());
    command.text = read(from.getText());
    if (from.getVersion() != 0) {
        command.content.version = ConfigurationVersion(from.getVersion());
    }
    command.content.services = readAll<membership::ServiceView>(from.getServices());
    command.content.customers = readAll<membership::CustomerView>(from.getCustomers());
    for (const auto group : from.getGroups()) {
        command.content.groups.push_back(
            {GroupId(read(group.getId())), group.getSize(), group.getConnectionLimit(), group.getSelfReplicating(), group.getConfirmations()});
    }
    return command;
}

auto readChoosePrimary(schema::Command::ChoosePrimary::Reader from) -> ChoosePrimary
{
    auto command = ChoosePrimary();
    command.group = GroupId(read(from.getGroup()));
    command.term = Term(from.getTerm());
    command.primary = UpstreamId(read(from.getPrimary()));
    command.incarnation = Incarnation(from.getIncarnation());
    command.keptUpTo = LogPosition(from.getKeptUpTo());
    for (const auto member : from.getPaused()) {
        command.paused.emplace_back(read(member));
    }
    return command;
}

auto readNoteResume(schema::Command::NoteResume::Reader from) -> NoteResume
{
    return {GroupId(read(from.getGroup())), UpstreamId(read(from.getMember())), from.getDone() ? ResumePhase::Done : ResumePhase::Begun};
}

auto readCommand(schema::Command::Reader from) -> std::optional<Command>
{
    switch (from.which()) {
    case schema::Command::CHANGE_CONFIGURATION:
        return readChangeConfiguration(from.getChangeConfiguration());
    case schema::Command::REGISTER_UPSTREAM:
        return RegisterUpstream{GroupId(read(from.getRegisterUpstream().getGroup())), read(from.getRegisterUpstream().getUpstream())};
    case schema::Command::BEGIN_TERM:
        return BeginTerm{GroupId(read(from.getBeginTerm().getGroup())), Term(from.getBeginTerm().getPrevious()), Term(from.getBeginTerm().getNext())};
    case schema::Command::CHOOSE_PRIMARY:
        return readChoosePrimary(from.getChoosePrimary());
    case schema::Command::NOTE_RESUME:
        return readNoteResume(from.getNoteResume());
    case schema::Command::REGISTER_VM:
        return RegisterVm{read(from.getRegisterVm())};
    case schema::Command::FORGET_VM:
        return ForgetVm{VmId(read(from.getForgetVm().getVm())), Incarnation(from.getForgetVm().getIncarnation())};
    case schema::Command::COMPRESSED:
        // Nested compression is rejected: decoding it would cost time quadratic in the message size.
        return std::nullopt;
    case schema::Command::FORGET_UPSTREAM:
        return ForgetUpstream{GroupId(read(from.getForgetUpstream().getGroup())),
                              UpstreamId(read(from.getForgetUpstream().getUpstream())),
                              Incarnation(from.getForgetUpstream().getIncarnation())};
    case schema::Command::GRANT_DUTY:
        return GrantDuty{VmId(read(from.getGrantDuty().getHolder())), from.getGrantDuty().getLeadership(), from.getGrantDuty().getPrevious()};
    }
    return std::nullopt;
}

/// Runs \p readRoot on the Cap'n Proto message in \p bytes.
/// \return the value, or nothing if \p bytes are not a valid message
template <typename Value, typename ReadRoot>
auto decode(std::span<const std::byte> bytes, ReadRoot readRoot) -> std::optional<Value>
{
    auto value = std::optional<Value>();
    const auto failure = kj::runCatchingExceptions([&] {
        const auto words = align(bytes);
        auto options = capnp::ReaderOptions();
        options.traversalLimitInWords = decompressedLimit;
        auto message = capnp::FlatArrayMessageReader(words, options);
        value = readRoot(message);
    });
    return failure == nullptr ? value : std::nullopt;
}

auto readCompressed(capnp::Data::Reader compressed) -> std::optional<Command>
{
    const auto plain = support::decompress(rpc::bytesOf(compressed), decompressedLimit);
    if (!plain) {
        return std::nullopt;
    }
    return decode<Command>(*plain, [](capnp::MessageReader &message) {
        return readCommand(message.getRoot<schema::Command>());
    });
}

} // namespace

auto encode(const Command &command) -> consensus::Bytes
{
    auto message = capnp::MallocMessageBuilder();
    std::visit(CommandWriter{message.initRoot<schema::Command>()}, command);
    auto plain = flatten(message);
    if (plain.size() < compressionThreshold) {
        return plain;
    }
    const auto compressed = support::compress(plain);
    auto outer = capnp::MallocMessageBuilder();
    outer.initRoot<schema::Command>().setCompressed(rpc::toData(compressed));
    return flatten(outer);
}

auto encode(const Result &result) -> consensus::Bytes
{
    auto message = capnp::MallocMessageBuilder();
    write(message.initRoot<schema::Result>(), result);
    return flatten(message);
}

auto decodeCommand(std::span<const std::byte> bytes) -> std::optional<Command>
{
    return decode<Command>(bytes, [](capnp::MessageReader &message) {
        const auto command = message.getRoot<schema::Command>();
        return command.isCompressed() ? readCompressed(command.getCompressed()) : readCommand(command);
    });
}

auto decodeResult(std::span<const std::byte> bytes) -> std::optional<Result>
{
    return decode<Result>(bytes, [](capnp::MessageReader &message) {
        return std::optional(read(message.getRoot<schema::Result>()));
    });
}

} // namespace sapphirespool::state
