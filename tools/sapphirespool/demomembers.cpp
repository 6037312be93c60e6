#include "demomembers.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>

namespace sapphirespool::tool
{

namespace
{

namespace asio = boost::asio;

/// Enough to see that a replica is behind, little enough that a reader with an age limit of seconds is served by it.
constexpr auto lag = std::chrono::milliseconds(50);
constexpr auto zones = std::to_array<std::string_view>({"hobart", "launceston", "devonport"});
constexpr auto groups = std::to_array<std::string_view>({"bookings", "tracking"});

auto settingsOf(std::string_view group, std::size_t place, const std::vector<Endpoint> &proxies, std::uint64_t seed) -> standin::MemberSettings
{
    auto settings = standin::MemberSettings();
    settings.group = GroupId(std::string(group));
    settings.id = UpstreamId(std::string(group) + "-" + std::string(1, static_cast<char>('a' + place)));
    settings.zone = ZoneId(std::string(zones[place]));
    settings.proxies = proxies;
    settings.lag = lag;
    settings.seed = seed;
    return settings;
}

} // namespace

class DemoMembers::Loop
{
public:
    explicit Loop(const std::vector<Endpoint> &proxies)
    {
        auto seed = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
        for (const auto group : groups) {
            for (std::size_t place = 0; place < zones.size(); ++place) {
                this->members.push_back(standin::makeMember(this->io.get_executor(), settingsOf(group, place, proxies, ++seed)));
                this->members.back()->start();
            }
        }
        this->thread = std::thread([this] {
            this->io.run();
        });
    }

    ~Loop()
    {
        this->io.stop();
        this->thread.join();
    }

    Loop(const Loop &) = delete;
    auto operator=(const Loop &) -> Loop & = delete;

    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(this->io);
    std::vector<std::shared_ptr<standin::Member>> members;
    std::thread thread;
};

DemoMembers::DemoMembers(const std::vector<Endpoint> &proxies)
    : loop(std::make_unique<Loop>(proxies))
{
}

DemoMembers::~DemoMembers() = default;

auto DemoMembers::firstMember() const -> Endpoint
{
    return this->loop->members.front()->endpoint();
}

} // namespace sapphirespool::tool
