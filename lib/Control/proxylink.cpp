#include "sapphirespool/Control/proxylink.h"

#include "linkloop.h"

#include <utility>

namespace sapphirespool::control
{

namespace
{

/// Hands each call to the loop. The loop part is created and destroyed there.
class ProxyLink : public membership::ControlLink
{
public:
    ProxyLink(rpc::LoopThread &loop, ProxyLinkSettings settings, std::shared_ptr<membership::ViewHolder> holder)
        : loop(loop)
        , slot(std::make_shared<Slot>())
    {
        this->loop.post([slot = this->slot, settings = std::move(settings), holder = std::move(holder)](rpc::LoopContext &context) {
            slot->link = std::make_unique<LinkLoop>(context, settings, holder);
        });
    }

    ~ProxyLink() override
    {
        this->loop.post([slot = this->slot](rpc::LoopContext &) {
            slot->link.reset();
        });
    }

    ProxyLink(const ProxyLink &) = delete;
    auto operator=(const ProxyLink &) -> ProxyLink & = delete;

    auto announce(platform::Announcement announcement) -> void override
    {
        this->post([announcement = std::move(announcement)](LinkLoop &link) {
            link.announce(announcement);
        });
    }

    auto suspect(membership::Suspicion suspicion) -> void override
    {
        this->post([suspicion = std::move(suspicion)](LinkLoop &link) {
            link.suspect(suspicion);
        });
    }

    auto setControlVms(std::vector<Endpoint> controlVms) -> void override
    {
        this->post([controlVms = std::move(controlVms)](LinkLoop &link) {
            link.setControlVms(controlVms);
        });
    }

    auto leave() -> void override
    {
        this->post([](LinkLoop &link) {
            link.leave();
        });
    }

    auto changeConfiguration(membership::ConfigurationChange change, std::function<void(membership::ConfigurationOutcome)> done) -> void override
    {
        this->post([change = std::move(change), done = std::move(done)](LinkLoop &link) {
            link.changeConfiguration(change, done);
        });
    }

    auto readConfiguration(std::function<void(membership::ConfigurationReadOutcome)> done) -> void override
    {
        this->post([done = std::move(done)](LinkLoop &link) {
            link.readConfiguration(done);
        });
    }

    auto readStatus(std::function<void(membership::ClusterStatusOutcome)> done) -> void override
    {
        this->post([done = std::move(done)](LinkLoop &link) {
            link.readStatus(done);
        });
    }

private:
    /// Touched on the loop only.
    struct Slot
    {
        std::unique_ptr<LinkLoop> link;
    };

    auto post(std::function<void(LinkLoop &)> work) -> void
    {
        this->loop.post([slot = this->slot, work = std::move(work)](rpc::LoopContext &) {
            if (slot->link != nullptr) {
                work(*slot->link);
            }
        });
    }

    rpc::LoopThread &loop;
    std::shared_ptr<Slot> slot;
};

} // namespace

auto makeProxyLink(rpc::LoopThread &loop, ProxyLinkSettings settings, std::shared_ptr<membership::ViewHolder> holder)
    -> std::shared_ptr<membership::ControlLink>
{
    return std::make_shared<ProxyLink>(loop, std::move(settings), std::move(holder));
}

} // namespace sapphirespool::control
