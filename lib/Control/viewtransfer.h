// viewtransfer.h: large views on their way to a VM, part by part.
#pragma once

#include "codec.h"
#include "sapphirespool/Support/types.h"
#include "viewhistory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace sapphirespool::control
{

/// Largest part of a view in bytes. A link of 2 Mbit/s carries it in 0.13 s, a quarter of the time after which a heartbeat without an
/// answer ends the connection.
///
/// Load pattern: answers to heartbeats come by the same connection as views. Sent as one message, a view that takes a thin link longer
/// than a heartbeat may wait ends the connection each time, and the VM asks for the same view anew until the system stands still.
constexpr auto viewPartBytes = std::size_t{32} * 1024;

/// A part of a packed view or delta.
struct ViewPart
{
    /// Number of the transfer that it belongs to; 0 is none.
    std::uint64_t transfer = 0;
    /// Bytes of all parts together.
    std::size_t total = 0;
    bool isDelta = false;
    std::span<const std::byte> data;
};

/// What the leader keeps of views that VMs fetch in parts. A VM fetches one at a time.
class ViewTransfers
{
public:
    /// Begins the transfer of \p update to \p vm; one that was under way to it ends.
    /// \return its number
    auto begin(const VmId &vm, const ViewUpdate &update) -> std::uint64_t;

    /// \return whether the transfer of that number is under way to \p vm
    [[nodiscard]] auto holds(const VmId &vm, std::uint64_t transfer) const -> bool;

    /// \return the part of at most \p limit bytes from \p offset, which is valid until the next call; nothing if no such part is left.
    ///         With its last part a transfer ends.
    [[nodiscard]] auto partAt(const VmId &vm, std::uint64_t transfer, std::size_t offset, std::size_t limit) -> std::optional<ViewPart>;

private:
    struct Transfer
    {
        std::uint64_t number;
        ViewUpdate update;
    };

    std::map<VmId, Transfer> transfers;
    /// Content of the last part that was handed out.
    std::shared_ptr<const PackedView> handedOut;
    std::uint64_t lastNumber = 0;
};

/// Puts the parts of one view together at the VM that fetches them.
class ViewAssembly
{
public:
    /// Takes in \p part; one of another transfer begins anew.
    /// \return whether the view is complete
    auto add(const ViewPart &part) -> bool;

    /// Forgets what was fetched.
    auto clear() -> void;

    /// \return the transfer under way; 0 if there is none
    [[nodiscard]] auto transfer() const -> std::uint64_t;
    [[nodiscard]] auto content() const -> std::span<const std::byte>;

private:
    std::uint64_t number = 0;
    std::vector<std::byte> bytes;
};

} // namespace sapphirespool::control
