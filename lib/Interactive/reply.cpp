#include "sapphirespool/Interactive/reply.h"

namespace sapphirespool::interactive
{

auto name(Failure failure) -> std::string_view
{
    switch (failure) {
    case Failure::Busy:
        return "busy";
    case Failure::Aborted:
        return "aborted";
    case Failure::Lagging:
        return "lagging";
    case Failure::ReadOnly:
        return "read_only";
    case Failure::WrongUpstream:
        return "wrong_upstream";
    case Failure::ConnectionLimit:
        return "connection_limit";
    case Failure::Unreachable:
        return "unreachable";
    case Failure::InDoubt:
        return "in_doubt";
    case Failure::TimedOut:
        return "timed_out";
    case Failure::Failed:
        return "failed";
    case Failure::Malformed:
        return "malformed";
    case Failure::UnknownDatabase:
        return "unknown_database";
    case Failure::UnknownName:
        return "unknown_name";
    case Failure::Denied:
        return "denied";
    case Failure::OverQuota:
        return "over_quota";
    }
    return "unknown";
}

auto guaranteesNoEffect(Failure failure) -> bool
{
    switch (failure) {
    case Failure::Busy:
    case Failure::Aborted:
    case Failure::Lagging:
    case Failure::ReadOnly:
    case Failure::WrongUpstream:
    case Failure::ConnectionLimit:
    case Failure::Unreachable:
    case Failure::OverQuota:
        return true;
    case Failure::InDoubt:
    case Failure::TimedOut:
    case Failure::Failed:
    case Failure::Malformed:
    case Failure::UnknownDatabase:
    case Failure::UnknownName:
    case Failure::Denied:
        return false;
    }
    return false;
}

} // namespace sapphirespool::interactive
