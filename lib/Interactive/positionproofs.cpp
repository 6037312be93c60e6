#include "sapphirespool/Interactive/positionproofs.h"

#include <algorithm>

namespace sapphirespool::interactive
{

auto PositionProofs::record(TimePoint sent, const DataPosition &position) -> void
{
    while (!this->proofs.empty() && sent - this->proofs.front().sent > longestAge) {
        this->proofs.pop_front();
    }
    if (this->proofs.empty()) {
        this->proofs.push_back({sent, position});
        return;
    }
    auto &last = this->proofs.back();
    // Answers can arrive out of order. The answer to an earlier request proves nothing beyond the answer to a later one. A position below
    // the last one comes from a former primary, whose log ended before that of the current primary began.
    if (sent < last.sent + spacing || position < last.position) {
        return;
    }
    this->proofs.push_back({sent, position});
}

auto PositionProofs::covering(TimePoint moment) const -> std::optional<DataPosition>
{
    const auto first = std::find_if(this->proofs.begin(), this->proofs.end(), [moment](const PositionProof &proof) {
        return proof.sent >= moment;
    });
    return first == this->proofs.end() ? std::nullopt : std::optional(first->position);
}

auto PositionProofs::behind(const DataPosition &position, TimePoint now) const -> Duration
{
    const auto beyond = std::find_if(this->proofs.begin(), this->proofs.end(), [&position](const PositionProof &proof) {
        return proof.position > position;
    });
    return beyond == this->proofs.end() ? Duration(0) : now - beyond->sent;
}

auto PositionProofs::newest() const -> std::optional<PositionProof>
{
    return this->proofs.empty() ? std::nullopt : std::optional(this->proofs.back());
}

} // namespace sapphirespool::interactive
