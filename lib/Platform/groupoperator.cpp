#include "sapphirespool/Platform/groupoperator.h"

namespace sapphirespool::platform
{

namespace
{

class UnlimitedAuthority : public OrderAuthority
{
public:
    [[nodiscard]] auto holds() const -> bool override
    {
        return true;
    }
};

} // namespace

auto makeUnlimitedAuthority() -> Authority
{
    return std::make_shared<UnlimitedAuthority>();
}

} // namespace sapphirespool::platform
