#include "directorypart.h"

#include <utility>

namespace sapphirespool::node
{

namespace
{

auto directorySettings(const settings::Settings &settings, std::uint64_t seed) -> control::DirectorySettings
{
    auto directory = control::DirectorySettings();
    directory.vm = settings.vm;
    directory.endpoint = settings.directoryEndpoint().value_or(Endpoint());
    directory.seed = seed;
    for (const auto &member : settings.controlMembers) {
        directory.seeds.push_back(member.endpoint);
    }
    return directory;
}

} // namespace

DirectoryPart::DirectoryPart(rpc::LoopThread &loop, const settings::Settings &settings, std::uint64_t seed)
    : loop(loop)
    , slot(std::make_shared<Slot>())
{
    this->loop.post([slot = this->slot, about = directorySettings(settings, seed)](rpc::LoopContext &context) {
        slot->directory = control::serveDirectory(context, about);
    });
}

DirectoryPart::~DirectoryPart()
{
    this->loop.post([slot = this->slot](rpc::LoopContext &) {
        slot->directory.reset();
    });
}

auto DirectoryPart::setSeeds(std::vector<Endpoint> seeds) -> void
{
    this->loop.post([slot = this->slot, seeds = std::move(seeds)](rpc::LoopContext &) {
        if (slot->directory != nullptr) {
            slot->directory->setSeeds(seeds);
        }
    });
}

auto DirectoryPart::leaseListener() const -> std::function<void(std::vector<Endpoint>)>
{
    return [weak = std::weak_ptr(this->slot)](std::vector<Endpoint> controlVms) {
        const auto held = weak.lock();
        if (held && held->directory != nullptr) {
            held->directory->noteLease(std::move(controlVms));
        }
    };
}

} // namespace sapphirespool::node
