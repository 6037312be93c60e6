// linkloop.h: the part of a proxy's control link that lives on the loop.
#pragma once

#include "controltargets.h"
#include "leasekeeper.h"
#include "sapphirespool/Control/controlservice.h"
#include "sapphirespool/Control/proxylink.h"
#include "sapphirespool/Rpc/connection.h"
#include "viewtransfer.h"

#include <control.capnp.h>
#include <kj/async.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sapphirespool::control
{

/// Keeps a connection to the leading control VM: heartbeats and a watch over it, and requests of operators.
///
/// A connection ends when an answer is missing too long, when it breaks, or when the VM redirects; ControlTargets chooses the next one.
class LinkLoop : private kj::TaskSet::ErrorHandler
{
public:
    LinkLoop(rpc::LoopContext &context, ProxyLinkSettings settings, std::shared_ptr<membership::ViewHolder> holder);
    virtual ~LinkLoop() noexcept = default;
    LinkLoop(const LinkLoop &) = delete;
    auto operator=(const LinkLoop &) -> LinkLoop & = delete;

    auto announce(platform::Announcement announcement) -> void;
    auto suspect(membership::Suspicion suspicion) -> void;
    auto setControlVms(std::vector<Endpoint> controlVms) -> void;
    auto leave() -> void;
    auto changeConfiguration(membership::ConfigurationChange change, std::function<void(membership::ConfigurationOutcome)> done) -> void;
    auto readConfiguration(std::function<void(membership::ConfigurationReadOutcome)> done) -> void;
    auto readStatus(std::function<void(membership::ClusterStatusOutcome)> done) -> void;

private:
    /// A request of an operator that is tried until it has an answer or its time is over.
    struct Attempt
    {
        TimePoint deadline;
        /// Sends it over a connection; the promise gives whether it got its final answer.
        std::function<kj::Promise<bool>(schema::Control::Client)> send;
        /// Called once when the time is over, with whether any send may have taken effect.
        std::function<void(bool)> giveUp;
        bool sent = false;
    };

    auto taskFailed(kj::Exception &&exception) -> void override;
    auto runSessions() -> kj::Promise<void>;
    auto runSession(kj::Own<rpc::Connection> connected) -> kj::Promise<void>;
    auto pauseBeforeNext() -> kj::Promise<void>;
    auto heartbeats(schema::Control::Client control) -> kj::Promise<void>;
    auto takeHeartbeat() -> VmHeartbeat;
    auto takeAnswer(schema::HeartbeatAnswer::Reader answer, TimePoint sentAt) -> void;
    auto watches(schema::Control::Client control) -> kj::Promise<void>;
    auto takeAnswer(schema::WatchAnswer::Reader answer) -> void;
    auto takePart(schema::ViewPart::Reader part) -> void;
    auto takeSnapshot(capnp::Data::Reader packed) -> void;
    auto takeDelta(capnp::Data::Reader packed) -> void;
    auto followRedirect(schema::Redirect::Reader redirect) -> void;
    auto wakeHeartbeat() -> void;
    auto run(std::shared_ptr<Attempt> attempt) -> void;
    auto tryOnce(std::shared_ptr<Attempt> attempt) -> kj::Promise<bool>;

    rpc::LoopContext &context;
    ProxyLinkSettings settings;
    /// Shared: the loop goes on for a moment after the link was given up.
    std::shared_ptr<membership::ViewHolder> holder;
    LeaseKeeper leases;
    ControlTargets targets;
    kj::Maybe<schema::Control::Client> client;
    bool snapshotNeeded = false;
    /// The view that is fetched in parts.
    ViewAssembly incoming;
    std::map<std::string, platform::Announcement> announcements;
    std::map<std::string, platform::Announcement> announcementsSent;
    std::vector<membership::Suspicion> suspicions;
    std::size_t suspicionsSent = 0;
    bool leaving = false;
    kj::Own<kj::PromiseFulfiller<void>> heartbeatWaker;
    kj::TaskSet tasks;
};

} // namespace sapphirespool::control
