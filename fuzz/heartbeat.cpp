// heartbeat.cpp: what another writer may send in place of a database, up to the tables that are made of it.
//
// The bytes before the first line end are the id, the rest is the body. What is accepted goes through the registry of the control leader, the
// replicated log, a snapshot, and the shares of proxies. So does an entry that an earlier build accepted: its fields are taken as they are.
#include "memberregistry.h"

#include "platform/operatorsapi.h"
#include "sapphirespool/Decisions/sharetable.h"
#include "sapphirespool/Forwarding/ownership.h"
#include "sapphirespool/State/clusterstate.h"
#include "sapphirespool/Support/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace
{

namespace asio = boost::asio;
using namespace sapphirespool;

const auto group = GroupId("g");

/// Keeps what the handler takes for announcements of members.
class Announcements : public membership::ControlLink
{
public:
    auto announce(platform::Announcement announcement) -> void override
    {
        this->accepted.push_back(std::move(announcement));
    }

    auto suspect(membership::Suspicion) -> void override
    {
    }

    auto setControlVms(std::vector<Endpoint>) -> void override
    {
    }

    auto leave() -> void override
    {
    }

    auto changeConfiguration(membership::ConfigurationChange, std::function<void(membership::ConfigurationOutcome)>) -> void override
    {
    }

    auto readConfiguration(std::function<void(membership::ConfigurationReadOutcome)>) -> void override
    {
    }

    auto readStatus(std::function<void(membership::ClusterStatusOutcome)>) -> void override
    {
    }

    std::vector<platform::Announcement> accepted;
};

auto send(std::shared_ptr<http::Handler> handler, http::Request request) -> asio::awaitable<void>
{
    const auto response = co_await handler->handle(std::move(request));
    assert(response.result() != http::Status::internal_server_error && "no input fails the handler");
}

auto viewOf(const platform::Announcement &announcement) -> membership::UpstreamView
{
    auto view = membership::UpstreamView();
    view.id = UpstreamId(announcement.id);
    view.endpoint = {announcement.address, announcement.port};
    view.zone = ZoneId(announcement.zone);
    view.incarnation = Incarnation(announcement.incarnation);
    view.slots = announcement.slots;
    return view;
}

/// A group without members, and four proxies.
auto prepare(state::ClusterState &state) -> void
{
    auto change = state::ChangeConfiguration{ChangeId("c"), Revision(0), "text", {}};
    auto service = membership::ServiceView();
    service.id = ServiceId("s");
    service.group = group;
    change.content.services.push_back(service);
    change.content.groups.push_back({group, 3, 0, true, 0});
    state.execute(change);
    for (const auto *const vm : {"a", "b", "c", "d"}) {
        state.execute(state::RegisterVm{{VmId(vm), ZoneId("z"), Incarnation(1), {"127.0.0.1", 1}, {"127.0.0.1", 2}}});
    }
}

auto useEntry(const platform::Announcement &announcement) -> void
{
    auto state = state::ClusterState();
    prepare(state);
    const auto entry = state::encode(state::RegisterUpstream{group, viewOf(announcement)});
    state.apply(consensus::LogIndex(2), entry);
    auto restored = state::ClusterState();
    restored.restore(state.snapshot());
    const auto view = restored.view();
    assert(view->findGroup(group)->members.size() == 1 && "an entry is loaded as it was accepted");
    for (const auto &proxy : view->proxies) {
        auto ownership = forwarding::Ownership(proxy.id, proxy.zone);
        ownership.viewChanged(*view);
        static_cast<void>(ownership.share(view->groups.front(), view->groups.front().members.front()));
        auto shares = decisions::ShareTable(proxy.id, proxy.incarnation, {});
        static_cast<void>(shares.viewChanged(*view, support::now()));
        static_cast<void>(shares.workChanged(view->groups.front().members.front().id, 1, 4, support::now()));
        static_cast<void>(shares.tick(support::now()));
    }
    auto registry = controller::MemberRegistry(support::now());
    registry.note(announcement, support::now());
    static_cast<void>(registry.membersToEject(*restored.findGroup(group), support::now()));
}

} // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto text = std::string_view(reinterpret_cast<const char *>(data), size);
    const auto end = std::min(text.find('\n'), text.size());
    auto io = asio::io_context();
    const auto control = std::make_shared<Announcements>();
    const auto handler = adapter::makeOperatorsHandler(control, std::make_shared<membership::ViewHolder>());
    const auto target = "/v1/instances/" + std::string(text.substr(0, end)) + "/heartbeat";
    auto request = http::Request(http::Verb::post, target, 11);
    request.body() = text.substr(std::min(end + 1, text.size()));
    asio::co_spawn(io, send(handler, std::move(request)), asio::detached);
    io.run();
    for (const auto &announcement : control->accepted) {
        useEntry(announcement);
    }
    auto former = platform::Announcement();
    former.id = text.substr(0, end);
    former.address = text.substr(end);
    former.zone = former.address;
    former.slots = size % 3 == 0 ? 0 : (size % 3 == 1 ? 0xffffffffU : 3U);
    former.sequence = ~std::uint64_t{0};
    former.incarnation = ~std::uint64_t{0};
    useEntry(former);
    return 0;
}
