// localrecords.h: what this proxy keeps for others: keys and positions of sessions.
#pragma once

#include "sapphirespool/Membership/clusterview.h"
#include "sapphirespool/Proxy/limits.h"
#include "sapphirespool/Proxy/peerlink.h"
#include "sapphirespool/Sessions/holderhistory.h"
#include "sapphirespool/Sessions/home.h"
#include "sapphirespool/Sessions/keyrecord.h"

#include <optional>

namespace sapphirespool::proxy
{

/// The part of one proxy in the records that are spread over all. Reads no clock.
class LocalRecords
{
public:
    LocalRecords(const VmId &vm, const ProxyLimits &limits, TimePoint now);

    auto viewChanged(const membership::ClusterView &view, TimePoint now) -> void;

    /// Says that the lease lapsed, so that control may have taken this proxy out of views that it never saw.
    auto missedViews(TimePoint now) -> void;

    auto startKey(const sessions::KeyStart &start, TimePoint now) -> sessions::KeyReply;
    auto finishKey(const sessions::KeyFinish &finish, TimePoint now) -> void;
    auto abandonKey(const sessions::KeyAbandon &abandon) -> void;
    auto updateHome(const HomeUpdate &update, TimePoint now) -> void;
    [[nodiscard]] auto findHome(const HomeQuery &query, TimePoint now) const -> std::optional<sessions::TermPosition>;

private:
    sessions::HolderHistory history;
    sessions::KeyHolder keys;
    sessions::SessionHome home;
};

} // namespace sapphirespool::proxy
