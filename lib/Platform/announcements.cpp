#include "sapphirespool/Platform/announcements.h"

#include "sapphirespool/Platform/announcementcheck.h"
#include "sapphirespool/Platform/codec.h"

#include <utility>

namespace sapphirespool::platform
{

namespace
{

namespace asio = boost::asio;

class AnnouncementHandler : public http::Handler
{
public:
    explicit AnnouncementHandler(std::function<void(Announcement)> announce)
        : announce(std::move(announce))
    {
    }

    auto handle(http::Request request) -> asio::awaitable<http::Response> override
    {
        if (request.method() != http::Verb::post) {
            co_return this->reject(http::Status::method_not_allowed, "announcements are sent with POST");
        }
        auto announcement = fromJson<Announcement>(request.body());
        const auto problem = announcement ? problemOf(*announcement) : AnnouncementProblem::Unreadable;
        if (problem) {
            this->rejected.record(announcement ? std::string_view(announcement->id) : std::string_view(), *problem);
            co_return this->reject(http::Status::bad_request, describe(*problem));
        }
        this->announce(std::move(*announcement));
        co_return http::Response(http::Status::no_content, request.version());
    }

    auto reject(http::Status status, std::string_view detail) -> http::Response override
    {
        return http::textResponse(status, detail);
    }

private:
    std::function<void(Announcement)> announce;
    RejectedAnnouncements rejected;
};

} // namespace

auto makeAnnouncementHandler(std::function<void(Announcement)> announce) -> std::shared_ptr<http::Handler>
{
    return std::make_shared<AnnouncementHandler>(std::move(announce));
}

} // namespace sapphirespool::platform
