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

#include <chrono>
#include <filesystem>
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

/// How often the settings are looked at: they may change without a signal, and what is read anew is only of use after a loss.
constexpr auto settingsInterval = std::chrono::seconds(5);

/// \return when \p file was last written; the epoch if it cannot be had
auto writtenAt(const std::string &file) -> std::filesystem::file_time_type
{
    auto error = std::error_code();
    const auto time = std::filesystem::last_write_time(file, error);
    return error ? std::filesystem::file_time_type() : time;
}

/// Reads the settings anew when they change, until the process is asked to stop.
auto waitForStop(StopSignal &stop, node::Node &node, const std::string &file) -> void
{
    auto known = writtenAt(file);
    while (true) {
        const auto wake = stop.wait(settingsInterval);
        if (wake == Wake::Stop) {
            return;
        }
        const auto present = writtenAt(file);
        if (wake == Wake::Timeout && present == known) {
            continue;
        }
        known = present;
        const auto checked = readChecked(file);
        if (const auto *const settings = std::get_if<settings::Settings>(&checked)) {
            node.reload(*settings);
        } else {
            support::log(support::Event::SettingsRejected, {{"file", file}});
        }
    }
}

auto serve(const std::string &file, const settings::Settings &settings, std::shared_ptr<node::Edge> edge) -> ExitCode
{
    auto stop = StopSignal();
    const auto node = node::makeNode(settings, std::move(edge));
    try {
        node->start();
    } catch (const node::StartFailure &failure) {
        std::cerr << failure.what() << "\n";
        return ExitCode::Failed;
    }
    waitForStop(stop, *node, file);
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
    return serve(*file, settings, std::move(edge));
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
