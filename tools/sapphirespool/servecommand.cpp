// servecommand.cpp: one VM of a system.
#include "commands.h"
#include "options.h"
#include "stopsignal.h"

#include "platform/edge.h"
#include "sapphirespool/Node/node.h"
#include "sapphirespool/Settings/settings.h"
#include "sapphirespool/Support/log.h"
#include "sapphirespool/Support/yaml.h"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>
#include <memory>
#include <utility>
#include <variant>

namespace sapphirespool::tool
{

namespace
{

constexpr auto help = R"(usage: sapphirespool serve --settings FILE [--check]
       sapphirespool serve-platform --settings FILE [--check]

Serves one VM, by the project's own protocols or by those of the users' platform, until SIGTERM or SIGINT, then lets running requests and transactions end and stops.

  --settings FILE   the VM's settings; etc/ holds whole deployments as samples
  --check           read the settings, open no port, and end

exit codes: 0 stopped as asked, 1 cannot start, 2 wrong command line or settings
)";

auto readChecked(const std::string &file) -> std::variant<settings::Settings, ExitCode>
{
    using Checked = std::variant<settings::Settings, ExitCode>;
    return boost::leaf::try_handle_all(
        [&file]() -> boost::leaf::result<Checked> {
            BOOST_LEAF_AUTO(settings, settings::readSettings(file));
            return Checked(std::move(settings));
        },
        [](const support::TextProblems &problems) {
            std::cerr << describe(problems) << "\n";
            return Checked(ExitCode::Usage);
        },
        [] {
            std::cerr << "the settings cannot be read\n";
            return Checked(ExitCode::Usage);
        });
}

auto serve(const settings::Settings &settings, std::shared_ptr<node::Edge> edge) -> ExitCode
{
    auto stop = StopSignal();
    const auto node = node::makeNode(settings, std::move(edge));
    try {
        node->start();
    } catch (const node::StartFailure &failure) {
        std::cerr << failure.what() << "\n";
        return ExitCode::Failed;
    }
    stop.wait();
    node->drain();
    return ExitCode::Success;
}

auto runServe(Arguments arguments, std::shared_ptr<node::Edge> edge) -> ExitCode
{
    auto options = Options(arguments, help, {{"settings", true}, {"check", false}});
    if (options.verdict()) {
        return *options.verdict();
    }
    const auto file = options.text("settings");
    if (!file || !options.operands().empty()) {
        return options.reject("serve needs --settings with a file");
    }
    const auto checked = readChecked(*file);
    if (const auto *const code = std::get_if<ExitCode>(&checked)) {
        return *code;
    }
    const auto &settings = std::get<settings::Settings>(checked);
    if (options.has("check")) {
        std::cout << *file << " is correct\n";
        return ExitCode::Success;
    }
    support::configureLog(settings.logFormat);
    return serve(settings, std::move(edge));
}

} // namespace

auto runServe(Arguments arguments) -> ExitCode
{
    return runServe(arguments, nullptr);
}

auto runServePlatform(Arguments arguments) -> ExitCode
{
    return runServe(arguments, adapter::makeEdge());
}

} // namespace sapphirespool::tool
