#include "directorytable.h"

#include <algorithm>
#include <utility>

namespace sapphirespool::control
{

namespace
{

auto isInGroup(const ControlVmEntry &entry) -> bool
{
    return entry.groupSize > 0;
}

auto toMember(const ControlVmEntry &entry) -> consensus::ControlMember
{
    auto member = consensus::ControlMember();
    member.vm = entry.vm;
    member.endpoint = entry.endpoint;
    member.replica = entry.replica;
    member.zone = entry.zone;
    return member;
}

} // namespace

DirectoryTable::DirectoryTable(TimePoint startedAt)
    : startedAt(startedAt)
{
}

auto DirectoryTable::learn(std::span<const KnownControlVm> known, TimePoint now) -> void
{
    for (const auto &one : known) {
        this->learnOne(one, now);
    }
    this->boundEntries();
}

auto DirectoryTable::learnOne(const KnownControlVm &known, TimePoint now) -> void
{
    const auto &entry = known.entry;
    if (entry.endpoint.port == 0 || known.age >= entryLifetime) {
        return;
    }
    const auto confirmedAt = now - known.age - hopAge;
    const auto found = this->records.find(entry.vm);
    if (found == this->records.end() || found->second.confirmedAt < confirmedAt) {
        this->records.insert_or_assign(entry.vm, Record{entry, confirmedAt});
    }
}

auto DirectoryTable::boundEntries() -> void
{
    while (this->records.size() > maxEntries) {
        // A VM in a group leads a caller to the leader; others only wait to be admitted.
        const auto least = std::min_element(this->records.begin(), this->records.end(), [](const auto &left, const auto &right) {
            return std::pair(isInGroup(left.second.entry), left.second.confirmedAt) < std::pair(isInGroup(right.second.entry), right.second.confirmedAt);
        });
        this->records.erase(least);
    }
}

auto DirectoryTable::noteLease(std::vector<Endpoint> controlVms, TimePoint now) -> void
{
    this->leaseNamed = std::move(controlVms);
    this->leaseAt = now;
}

auto DirectoryTable::noteCaller(const Endpoint &endpoint, TimePoint now) -> void
{
    if (endpoint.port != 0 && (this->calledAt.size() < maxEntries || this->calledAt.contains(endpoint))) {
        this->calledAt.insert_or_assign(endpoint, now);
    }
}

auto DirectoryTable::known(TimePoint now) const -> std::vector<KnownControlVm>
{
    auto entries = std::vector<KnownControlVm>();
    for (const auto &[vm, record] : this->records) {
        if (now - record.confirmedAt < entryLifetime) {
            entries.push_back({record.entry, now - record.confirmedAt});
        }
    }
    std::stable_partition(entries.begin(), entries.end(), [](const KnownControlVm &known) {
        return isInGroup(known.entry);
    });
    return entries;
}

auto DirectoryTable::leader(TimePoint now) const -> std::optional<Endpoint>
{
    // A former leader behind a partition is listed until its entry expires, beside the one that followed it.
    auto newest = std::optional<KnownControlVm>();
    for (const auto &known : this->known(now)) {
        if (known.entry.leads && (!newest || known.age < newest->age)) {
            newest = known;
        }
    }
    return newest ? std::optional(newest->entry.endpoint) : std::nullopt;
}

auto DirectoryTable::controlVms(TimePoint now) const -> std::vector<Endpoint>
{
    auto endpoints = std::vector<Endpoint>();
    for (const auto &known : this->known(now)) {
        endpoints.push_back(known.entry.endpoint);
    }
    if (now - this->leaseAt < entryLifetime) {
        for (const auto &endpoint : this->leaseNamed) {
            if (std::find(endpoints.begin(), endpoints.end(), endpoint) == endpoints.end() && endpoints.size() < maxEntries) {
                endpoints.push_back(endpoint);
            }
        }
    }
    return endpoints;
}

auto DirectoryTable::callers(TimePoint now) const -> std::vector<Endpoint>
{
    auto recent = std::vector<Endpoint>();
    for (const auto &[endpoint, at] : this->calledAt) {
        if (now - at < callerLifetime) {
            recent.push_back(endpoint);
        }
    }
    return recent;
}

auto DirectoryTable::joinAnswer(TimePoint now) const -> DirectoryJoinAnswer
{
    auto answer = DirectoryJoinAnswer();
    for (const auto &known : this->known(now)) {
        if (isInGroup(known.entry)) {
            answer.members.push_back(toMember(known.entry));
        }
    }
    const auto leaseIsRecent = !this->leaseNamed.empty() && now - this->leaseAt < entryLifetime;
    answer.empty = answer.members.empty() && !leaseIsRecent && now - this->startedAt >= learningTime;
    return answer;
}

auto DirectoryTable::takeChanges(TimePoint now) -> std::vector<DirectoryChange>
{
    std::erase_if(this->records, [now](const auto &record) {
        return now - record.second.confirmedAt >= entryLifetime;
    });
    std::erase_if(this->calledAt, [now](const auto &caller) {
        return now - caller.second >= callerLifetime;
    });
    auto present = std::map<VmId, Endpoint>();
    auto changes = std::vector<DirectoryChange>();
    for (const auto &[vm, record] : this->records) {
        present.emplace(vm, record.entry.endpoint);
        if (!this->listed.contains(vm)) {
            changes.push_back({vm, record.entry.endpoint, true});
        }
    }
    for (const auto &[vm, endpoint] : this->listed) {
        if (!present.contains(vm)) {
            changes.push_back({vm, endpoint, false});
        }
    }
    this->listed = std::move(present);
    return changes;
}

} // namespace sapphirespool::control
