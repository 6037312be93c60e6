// operatorcommands.cpp: apply, status and check.
#include "commands.h"
#include "options.h"

#include "sapphirespool/Configuration/configuration.h"
#include "sapphirespool/Operators/client.h"
#include "sapphirespool/Support/yaml.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>
#include <thread>

namespace sapphirespool::tool
{

namespace
{

using namespace std::chrono_literals;

/// Time for one request; the operator's client sends it again afterwards.
constexpr auto requestTimeout = 5s;
/// For how long an unanswered change is sent again; state::ClusterState::changeLogLimit covers it.
constexpr auto resendTime = 60s;
constexpr auto waitInterval = 200ms;

constexpr auto applyHelp = R"(usage: sapphirespool apply FILE --base N [--change ID] [--wait] [--server ADDRESS:PORT]

Hands the operators' text to the system. Sends it again, under the same change id, until an answer comes or 60 s have passed.

  --base N        revision that the text was made from, 0 for the first one; 'status' shows it
  --change ID     name of this change; by default one is drawn and printed. Use the same one to send a change again
  --wait          wait until it is in force on each live VM
  --server ADDR   any proxy of the system (127.0.0.1:8480)

exit codes: 0 accepted (with --wait: in force), 1 refused or no answer, 2 wrong command line or text
)";

constexpr auto statusHelp = R"(usage: sapphirespool status [--json] [--server ADDRESS:PORT]

Shows the revision that each VM serves under.

exit codes: 0 shown, 1 no answer, 2 wrong command line
)";

constexpr auto checkHelp = R"(usage: sapphirespool check FILE

Checks the operators' text without sending it.

exit codes: 0 correct, 1 cannot be checked, 2 mistakes in the text or a wrong command line
)";

auto readFile(const std::string &file) -> std::optional<std::string>
{
    auto stream = std::ifstream(file, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

/// \return the mistakes in the text; empty if there are none
auto mistakesIn(const std::string &file, const std::string &text) -> std::string
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(configuration, configuration::parseConfiguration(file, text));
            static_cast<void>(configuration);
            return std::string();
        },
        [](const support::TextProblems &problems) {
            return describe(problems);
        },
        [] {
            return std::string("the text cannot be read");
        });
}

auto drawnChangeId() -> std::string
{
    auto device = std::random_device();
    return "change-" + std::to_string(device()) + "-" + std::to_string(device());
}

/// \return the text of \p file, or the exit code after having said what is wrong
auto correctText(const std::string &file) -> std::variant<std::string, ExitCode>
{
    const auto text = readFile(file);
    if (!text) {
        std::cerr << file << " cannot be read; check its name and permissions\n";
        return ExitCode::Failed;
    }
    const auto mistakes = mistakesIn(file, *text);
    if (!mistakes.empty()) {
        std::cerr << mistakes << "\n";
        return ExitCode::Usage;
    }
    return *text;
}

auto printProblem(const operators::Reply &reply) -> void
{
    auto error = boost::json::error_code();
    const auto problem = boost::json::parse(reply.body, error);
    if (error || !problem.is_object() || !problem.as_object().contains("detail")) {
        std::cerr << "refused with status " << reply.status << "\n";
        return;
    }
    std::cerr << problem.at("detail").as_string().c_str() << "; " << problem.at("remedy").as_string().c_str() << "\n";
}

/// \return whether the answer says that the change may have been lost on its way
auto wantsResend(const operators::ReplyOutcome &outcome) -> bool
{
    const auto *const reply = std::get_if<operators::Reply>(&outcome);
    return reply == nullptr || reply->status >= 500;
}

auto send(const operators::Client &client, const operators::TextChange &change) -> operators::ReplyOutcome
{
    const auto end = std::chrono::steady_clock::now() + resendTime;
    auto outcome = client.putConfiguration(change);
    while (wantsResend(outcome) && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(waitInterval);
        outcome = client.putConfiguration(change);
    }
    return outcome;
}

/// Waits until \p revision or a later one is in force.
auto waitInForce(const operators::Client &client, std::uint64_t revision) -> bool
{
    const auto end = std::chrono::steady_clock::now() + resendTime;
    while (std::chrono::steady_clock::now() < end) {
        const auto outcome = client.getStatus();
        const auto *const reply = std::get_if<operators::Reply>(&outcome);
        if (reply != nullptr && reply->status == 200) {
            const auto status = boost::json::parse(reply->body);
            if (status.at("configuration").to_number<std::uint64_t>() >= revision && status.at("inForce").as_bool()) {
                return true;
            }
        }
        std::this_thread::sleep_for(waitInterval);
    }
    return false;
}

auto printStatus(const boost::json::value &status) -> void
{
    const auto number = [](const boost::json::value &value) {
        return value.to_number<std::uint64_t>();
    };
    std::cout << "leader " << status.at("leader").as_string().c_str() << ", revision " << number(status.at("revision")) << ", configuration "
              << number(status.at("configuration")) << (status.at("inForce").as_bool() ? " in force" : " not in force everywhere") << "\n";
    for (const auto &vm : status.at("vms").as_array()) {
        std::cout << "  " << vm.at("vm").as_string().c_str() << "  zone " << vm.at("zone").as_string().c_str() << "  revision " << number(vm.at("confirmed"))
                  << "  configuration " << number(vm.at("configuration")) << "  " << (vm.at("live").as_bool() ? "live" : "silent") << "\n";
    }
}

} // namespace

auto runApply(Arguments arguments) -> ExitCode
{
    auto options = Options(arguments, applyHelp, {{"base", true}, {"change", true}, {"wait", false}, {"server", true}});
    if (options.verdict()) {
        return *options.verdict();
    }
    const auto base = options.number("base");
    const auto server = options.endpoint("server", "127.0.0.1:8480");
    if (options.operands().size() != 1 || !base || !server) {
        return options.reject("apply needs one file, --base with a number and, if given, --server with an address and a port");
    }
    const auto text = correctText(options.operands().front());
    if (const auto *const code = std::get_if<ExitCode>(&text)) {
        return *code;
    }
    const auto change = operators::TextChange{std::get<std::string>(text), *base, options.text("change").value_or(drawnChangeId())};
    std::cout << "change " << change.change << "\n";
    const auto client = operators::Client(*server, requestTimeout);
    const auto outcome = send(client, change);
    if (const auto *const lost = std::get_if<operators::Unreachable>(&outcome)) {
        std::cerr << "no answer: " << lost->detail << "; send it again with --change " << change.change << "\n";
        return ExitCode::Failed;
    }
    const auto &reply = std::get<operators::Reply>(outcome);
    if (reply.status != 200) {
        printProblem(reply);
        return ExitCode::Failed;
    }
    const auto revision = boost::json::parse(reply.body).at("revision").to_number<std::uint64_t>();
    std::cout << "accepted as configuration " << revision << "\n";
    if (options.has("wait") && !waitInForce(client, revision)) {
        std::cerr << "not in force everywhere within 60 s; 'sapphirespool status' shows which VM is behind\n";
        return ExitCode::Failed;
    }
    if (options.has("wait")) {
        std::cout << "in force on each live VM\n";
    }
    return ExitCode::Success;
}

auto runStatus(Arguments arguments) -> ExitCode
{
    auto options = Options(arguments, statusHelp, {{"json", false}, {"server", true}});
    if (options.verdict()) {
        return *options.verdict();
    }
    const auto server = options.endpoint("server", "127.0.0.1:8480");
    if (!options.operands().empty() || !server) {
        return options.reject("status takes no file, and --server wants an address and a port");
    }
    const auto outcome = operators::Client(*server, requestTimeout).getStatus();
    if (const auto *const lost = std::get_if<operators::Unreachable>(&outcome)) {
        std::cerr << "no answer: " << lost->detail << "; name another proxy with --server\n";
        return ExitCode::Failed;
    }
    const auto &reply = std::get<operators::Reply>(outcome);
    if (reply.status != 200) {
        printProblem(reply);
        return ExitCode::Failed;
    }
    if (options.has("json")) {
        std::cout << reply.body << "\n";
        return ExitCode::Success;
    }
    printStatus(boost::json::parse(reply.body));
    return ExitCode::Success;
}

auto runCheck(Arguments arguments) -> ExitCode
{
    auto options = Options(arguments, checkHelp, {});
    if (options.verdict()) {
        return *options.verdict();
    }
    if (options.operands().size() != 1) {
        return options.reject("check needs one file");
    }
    const auto text = correctText(options.operands().front());
    if (const auto *const code = std::get_if<ExitCode>(&text)) {
        return *code;
    }
    std::cout << options.operands().front() << " is correct\n";
    return ExitCode::Success;
}

} // namespace sapphirespool::tool
