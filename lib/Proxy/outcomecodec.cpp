#include "sapphirespool/Proxy/outcomecodec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespool::proxy
{

namespace
{

namespace json = boost::json;

auto textOf(const json::object &object, std::string_view name) -> std::string
{
    return json::value_to<std::string>(object.at(name));
}

auto reasonOf(const json::object &object) -> RefusalReason
{
    const auto label = textOf(object, "reason");
    const auto descriptions = refusalDescriptions();
    const auto found = std::find_if(descriptions.begin(), descriptions.end(), [&label](const RefusalDescription &description) {
        return description.label == label;
    });
    return found == descriptions.end() ? RefusalReason::Internal : found->reason;
}

auto executedOf(const json::object &object) -> Executed
{
    const auto word = textOf(object, "executed");
    if (word == name(Executed::No)) {
        return Executed::No;
    }
    return word == name(Executed::Yes) ? Executed::Yes : Executed::Unknown;
}

auto errorObject(std::string_view kind, RefusalReason reason, const std::string &detail) -> json::object
{
    auto object = json::object();
    object["kind"] = kind;
    object["reason"] = describe(reason).label;
    object["detail"] = detail;
    return object;
}

struct OutcomeWriter
{
    auto operator()(const Answer &answer) const -> json::object
    {
        auto object = json::object();
        object["kind"] = "answer";
        object["columns"] = json::value_from(answer.result.columns);
        object["rows"] = answer.result.rows;
        object["changes"] = answer.result.changes;
        object["term"] = answer.result.term.value();
        object["position"] = answer.result.position.value();
        object["servedBy"] = answer.servedBy.value();
        object["primary"] = answer.servedRole == platform::Role::Primary;
        return object;
    }

    auto operator()(const NotRun &refusal) const -> json::object
    {
        auto object = errorObject("notRun", refusal.reason, refusal.detail);
        if (refusal.retryAfter) {
            object["retryAfter"] = refusal.retryAfter->count();
        }
        return object;
    }

    auto operator()(const OutcomeUnknown &unknown) const -> json::object
    {
        return errorObject("unknown", unknown.reason, unknown.detail);
    }

    auto operator()(const StatementError &error) const -> json::object
    {
        auto object = errorObject("error", error.reason, error.detail);
        object["executed"] = name(error.executed);
        return object;
    }
};

auto readAnswer(const json::object &object) -> Answer
{
    auto answer = Answer();
    answer.result.columns = json::value_to<std::vector<std::string>>(object.at("columns"));
    answer.result.rows = object.at("rows").as_array();
    answer.result.changes = object.at("changes").to_number<std::uint64_t>();
    answer.result.term = Term(object.at("term").to_number<std::uint64_t>());
    answer.result.position = LogPosition(object.at("position").to_number<std::uint64_t>());
    answer.servedBy = UpstreamId(textOf(object, "servedBy"));
    answer.servedRole = object.at("primary").as_bool() ? platform::Role::Primary : platform::Role::Replica;
    return answer;
}

auto readOutcome(const json::object &object) -> std::optional<Outcome>
{
    const auto kind = textOf(object, "kind");
    if (kind == "answer") {
        return readAnswer(object);
    }
    if (kind == "notRun") {
        auto refusal = NotRun{reasonOf(object), textOf(object, "detail")};
        if (const auto *const retryAfter = object.if_contains("retryAfter")) {
            refusal.retryAfter = std::chrono::milliseconds(retryAfter->to_number<std::int64_t>());
        }
        return refusal;
    }
    if (kind == "unknown") {
        return OutcomeUnknown{reasonOf(object), textOf(object, "detail")};
    }
    if (kind == "error") {
        return StatementError{reasonOf(object), textOf(object, "detail"), executedOf(object)};
    }
    return std::nullopt;
}

} // namespace

auto encodeReply(const Reply &reply) -> std::string
{
    auto object = std::visit(OutcomeWriter(), reply.outcome);
    object["session"] = reply.sessionToken;
    return json::serialize(object);
}

auto decodeReply(std::string_view text) -> std::optional<Reply>
{
    try {
        const auto object = json::parse(text).as_object();
        auto outcome = readOutcome(object);
        if (!outcome) {
            return std::nullopt;
        }
        return Reply{std::move(*outcome), textOf(object, "session")};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace sapphirespool::proxy
