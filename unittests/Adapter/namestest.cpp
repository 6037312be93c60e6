#include <catch2/catch.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

namespace sapphirespool::adapter
{

namespace
{

/// Names that only the platform has. Fields of general names (`service`, `state`, `zone`) are not among them.
constexpr auto platformNames = std::to_array<std::string_view>({"beatUrl",
                                                                "dbRole",
                                                                "coldLeftMs",
                                                                "heartbeatMs",
                                                                "cloudApi",
                                                                "Duty-Holder",
                                                                "Fence-Token",
                                                                "maxStalenessMs",
                                                                "syncReplicas",
                                                                "faultTolerance",
                                                                "inTolerance",
                                                                "DATAROW",
                                                                "WRONGNODE",
                                                                "MAXCONN",
                                                                "LAGGING",
                                                                "STEPDOWN",
                                                                "NODATABASE",
                                                                "txnIdleMs"});

auto textOf(const std::filesystem::path &path) -> std::string
{
    auto file = std::ifstream(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

auto isSource(const std::filesystem::path &path) -> bool
{
    const auto extension = path.extension();
    return extension == ".h" || extension == ".cpp" || extension == ".capnp";
}

} // namespace

TEST_CASE("no name of the platform stands outside its adapter")
{
    for (const auto *const folder : {"include", "lib", "tools", "schema"}) {
        const auto root = std::filesystem::path(SAPPHIRESPOOL_SOURCE_DIR) / folder;
        for (const auto &entry : std::filesystem::recursive_directory_iterator(root)) {
            if (!entry.is_regular_file() || !isSource(entry.path())) {
                continue;
            }
            const auto text = textOf(entry.path());
            for (const auto name : platformNames) {
                INFO(entry.path().string() << " holds " << name);
                CHECK(text.find(name) == std::string::npos);
            }
        }
    }
}

} // namespace sapphirespool::adapter
