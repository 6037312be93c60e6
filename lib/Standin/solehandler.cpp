#include "sapphirespool/Standin/member.h"

#include "sapphirespool/Platform/codec.h"
#include "sapphirespool/Standin/database.h"

#include <utility>

namespace sapphirespool::standin
{

namespace
{

namespace asio = boost::asio;

class MemberHandler : public http::Handler
{
public:
    auto handle(http::Request request) -> asio::awaitable<http::Response> override
    {
        const auto parsed = platform::fromJson<platform::ExecuteRequest>(request.body());
        if (!parsed) {
            co_return this->reject(http::Status::bad_request, "not an execute request");
        }
        auto reply = this->database->run(*parsed);
        if (parsed->write && reply.status == platform::ExecuteStatus::Done) {
            ++this->position;
        }
        reply.term = parsed->term;
        reply.position = this->position;
        co_return http::jsonResponse(http::Status::ok, platform::toJson(reply));
    }

    auto reject(http::Status status, std::string_view detail) -> http::Response override
    {
        return http::textResponse(status, detail);
    }

private:
    std::unique_ptr<Database> database = makeDatabase();
    std::uint64_t position = 0;
};

} // namespace

auto makeMemberHandler() -> std::shared_ptr<http::Handler>
{
    return std::make_shared<MemberHandler>();
}

} // namespace sapphirespool::standin
