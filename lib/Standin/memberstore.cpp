#include "sapphirespool/Standin/memberstore.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace sapphirespool::standin
{

namespace
{

class MemoryStore : public MemberStore
{
public:
    auto loadState() -> MemberState override
    {
        return this->state;
    }

    auto loadLog() -> std::vector<LogEntry> override
    {
        return this->log;
    }

    auto saveState(const MemberState &saved) -> void override
    {
        this->state = saved;
    }

    auto append(const LogEntry &entry) -> void override
    {
        this->log.push_back(entry);
    }

    auto cut(std::uint64_t position) -> void override
    {
        this->log.resize(position);
    }

private:
    MemberState state;
    std::vector<LogEntry> log;
};

[[noreturn]] auto failOn(const std::filesystem::path &file) -> void
{
    throw std::runtime_error("cannot write " + file.string() + ": " + std::system_category().message(errno));
}

/// An open file that closes itself.
class File
{
public:
    File(std::filesystem::path path, int flags)
        : path(std::move(path))
        , descriptor(open(this->path.c_str(), flags | O_CREAT | O_CLOEXEC, 0644))
    {
        if (this->descriptor < 0) {
            failOn(this->path);
        }
    }

    File(const File &) = delete;
    auto operator=(const File &) -> File & = delete;

    ~File()
    {
        close(this->descriptor);
    }

    auto writeSynced(std::string_view text) -> void
    {
        while (!text.empty()) {
            const auto written = write(this->descriptor, text.data(), text.size());
            if (written < 0) {
                failOn(this->path);
            }
            text.remove_prefix(static_cast<std::size_t>(written));
        }
        if (fdatasync(this->descriptor) != 0) {
            failOn(this->path);
        }
    }

private:
    std::filesystem::path path;
    int descriptor;
};

auto readText(const std::filesystem::path &file) -> std::string
{
    auto stream = std::ifstream(file);
    return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

/// The log as one JSON entry a line, the state as one JSON file. Good for a stand-in; a database would keep checksums.
class FileStore : public MemberStore
{
public:
    explicit FileStore(const std::filesystem::path &folder)
        : stateFile(folder / "state.json")
        , logFile(folder / "log.jsonl")
    {
        std::filesystem::create_directories(folder);
        this->readLog();
        this->rewriteLog();
    }

    auto loadState() -> MemberState override
    {
        auto error = boost::json::error_code();
        const auto value = boost::json::parse(readText(this->stateFile), error);
        if (error) {
            return MemberState();
        }
        return boost::json::value_to<MemberState>(value);
    }

    auto loadLog() -> std::vector<LogEntry> override
    {
        return this->log;
    }

    auto saveState(const MemberState &state) -> void override
    {
        this->replace(this->stateFile, boost::json::serialize(boost::json::value_from(state)));
    }

    auto append(const LogEntry &entry) -> void override
    {
        this->log.push_back(entry);
        this->tail->writeSynced(toText(entry) + "\n");
    }

    auto cut(std::uint64_t position) -> void override
    {
        this->log.resize(position);
        this->rewriteLog();
    }

private:
    /// A line that a crash left half written is no entry; it and what follows were never answered for.
    auto readLog() -> void
    {
        auto stream = std::ifstream(this->logFile);
        for (auto line = std::string(); std::getline(stream, line);) {
            auto entry = parseLogEntry(line);
            if (!entry) {
                return;
            }
            this->log.push_back(std::move(*entry));
        }
    }

    auto rewriteLog() -> void
    {
        auto text = std::string();
        for (const auto &entry : this->log) {
            text += toText(entry) + "\n";
        }
        this->replace(this->logFile, text);
        this->tail = std::make_unique<File>(this->logFile, O_WRONLY | O_APPEND);
    }

    auto replace(const std::filesystem::path &file, std::string_view text) -> void
    {
        const auto next = std::filesystem::path(file.string() + ".next");
        File(next, O_WRONLY | O_TRUNC).writeSynced(text);
        std::filesystem::rename(next, file);
        this->syncFolder(file.parent_path());
    }

    /// A rename that is not synced may be undone by a crash, and a fenced member would come back unfenced.
    auto syncFolder(const std::filesystem::path &folder) -> void
    {
        const auto descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        const auto failed = descriptor < 0 || fsync(descriptor) != 0;
        if (descriptor >= 0) {
            close(descriptor);
        }
        if (failed) {
            failOn(folder);
        }
    }

    std::filesystem::path stateFile;
    std::filesystem::path logFile;
    std::vector<LogEntry> log;
    std::unique_ptr<File> tail;
};

} // namespace

auto makeMemoryStore() -> std::shared_ptr<MemberStore>
{
    return std::make_shared<MemoryStore>();
}

auto makeFileStore(const std::filesystem::path &folder) -> std::shared_ptr<MemberStore>
{
    return std::make_shared<FileStore>(folder);
}

} // namespace sapphirespool::standin
