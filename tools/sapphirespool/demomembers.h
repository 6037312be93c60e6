// demomembers.h: the stand-in members of the demo's database groups, on a thread of their own.
#pragma once

#include "sapphirespool/Standin/member.h"
#include "sapphirespool/Support/types.h"

#include <memory>
#include <vector>

namespace sapphirespool::tool
{

/// Two groups of three, one member in each zone.
class DemoMembers
{
public:
    /// \param proxies where the members announce themselves
    explicit DemoMembers(const std::vector<Endpoint> &proxies);
    ~DemoMembers();
    DemoMembers(const DemoMembers &) = delete;
    auto operator=(const DemoMembers &) -> DemoMembers & = delete;

    /// \return the first member, to show how it is stopped
    [[nodiscard]] auto firstMember() const -> Endpoint;

private:
    class Loop;
    std::unique_ptr<Loop> loop;
};

} // namespace sapphirespool::tool
