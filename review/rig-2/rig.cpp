#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

namespace rig
{

namespace
{

using SteadyClock = std::chrono::steady_clock;

const auto began = SteadyClock::now();
auto recordMutex = std::mutex();
auto recordFile = std::ofstream();

constexpr auto binary = "target/tools/sapphirespool/sapphirespool";
constexpr auto heartbeatSeconds = 1.2;
/// Seconds after which a case is given up; it may take 120.
constexpr auto longestCase = 116.0;
/// Number of the primary while there is none.
constexpr auto nobody = -1;

auto unixMilliseconds() -> std::uint64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

auto socketAddress(const std::string &address, int port) -> sockaddr_in
{
    auto to = sockaddr_in();
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, address.c_str(), &to.sin_addr);
    return to;
}

auto listenOn(const std::string &address, int port) -> int
{
    const auto listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto at = socketAddress(address, port);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0 || ::listen(listener, 256) != 0) {
        note("cannot listen on " + address + ":" + std::to_string(port) + ": " + std::strerror(errno));
        std::exit(couldNotRun);
    }
    return listener;
}

auto connectTo(const std::string &address, int port, double timeout) -> int
{
    const auto connected = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto to = socketAddress(address, port);
    const auto result = ::connect(connected, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    if (result != 0 && errno != EINPROGRESS) {
        ::close(connected);
        return -1;
    }
    auto waiting = pollfd{connected, POLLOUT, 0};
    auto error = 0;
    auto size = socklen_t(sizeof(error));
    const auto ready = ::poll(&waiting, 1, static_cast<int>(timeout * 1000));
    if (ready != 1 || ::getsockopt(connected, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(connected);
        return -1;
    }
    ::fcntl(connected, F_SETFL, ::fcntl(connected, F_GETFL) & ~O_NONBLOCK);
    const auto on = 1;
    ::setsockopt(connected, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return connected;
}

auto sendAll(int socket, const std::string &bytes) -> bool
{
    auto sent = std::size_t{0};
    while (sent < bytes.size()) {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// \return whether bytes were added to \p buffer before \p until
auto receiveMore(int socket, std::string &buffer, double until) -> bool
{
    const auto left = until - elapsed();
    auto waiting = pollfd{socket, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) != 1) {
        return false;
    }
    char bytes[8192];
    const auto count = ::recv(socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

auto takeLine(std::string &buffer) -> std::optional<std::string>
{
    const auto end = buffer.find("\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    auto line = buffer.substr(0, end);
    buffer.erase(0, end + 2);
    return line;
}

/// Reads the head and the body of a message.
auto readHttp(int socket, double until, std::string &firstLine, std::map<std::string, std::string> &headers, std::string &body) -> bool
{
    auto buffer = std::string();
    while (buffer.find("\r\n\r\n") == std::string::npos) {
        if (!receiveMore(socket, buffer, until)) {
            return false;
        }
    }
    firstLine = takeLine(buffer).value_or("");
    while (auto line = takeLine(buffer)) {
        if (line->empty()) {
            break;
        }
        const auto colon = line->find(':');
        auto name = line->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        headers[name] = colon + 2 <= line->size() ? line->substr(colon + 2) : std::string();
    }
    const auto length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < length) {
        if (!receiveMore(socket, buffer, until)) {
            return false;
        }
    }
    body = buffer.substr(0, length);
    return true;
}

auto words(const std::string &line, std::size_t count) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    auto rest = line;
    while (parts.size() + 1 < count) {
        const auto blank = rest.find(' ');
        if (blank == std::string::npos) {
            break;
        }
        parts.push_back(rest.substr(0, blank));
        rest.erase(0, blank + 1);
    }
    parts.push_back(rest);
    return parts;
}

auto format(const Position &position) -> std::string
{
    return std::to_string(position.term) + "." + std::to_string(position.number);
}

} // namespace

auto hasTrouble() -> bool
{
    const auto *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

auto elapsed() -> double
{
    return std::chrono::duration<double>(SteadyClock::now() - began).count();
}

auto sleepFor(double seconds) -> void
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

auto note(const std::string &line) -> void
{
    const auto guard = std::lock_guard(recordMutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ", elapsed());
    recordFile << time << line << std::endl;
}

auto openRecord(const std::string &file) -> void
{
    recordFile.open(file, std::ios::trunc);
    std::signal(SIGPIPE, SIG_IGN);
    std::thread([] {
        sleepFor(longestCase);
        note("end: the case took too long");
        // The processes of the case end with it.
        std::_Exit(couldNotRun);
    }).detach();
}

auto httpCall(const std::string &address, int port, const std::string &method, const std::string &path, const std::string &body, double timeout) -> HttpAnswer
{
    const auto until = elapsed() + timeout;
    const auto socket = connectTo(address, port, timeout);
    if (socket < 0) {
        return {};
    }
    auto request = method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n";
    request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    auto answer = HttpAnswer();
    auto line = std::string();
    auto headers = std::map<std::string, std::string>();
    if (sendAll(socket, request) && readHttp(socket, until, line, headers, answer.body)) {
        answer.status = std::atoi(words(line, 3)[1].c_str());
    }
    ::close(socket);
    return answer;
}

auto jsonField(const std::string &object, const std::string &name) -> std::string
{
    const auto found = object.find("\"" + name + "\"");
    if (found == std::string::npos) {
        return {};
    }
    auto begin = object.find(':', found) + 1;
    while (begin < object.size() && (object[begin] == ' ' || object[begin] == '"')) {
        ++begin;
    }
    return object.substr(begin, object.find_first_of("\",}", begin) - begin);
}

HttpServer::HttpServer(const std::string &address, int port, Handler givenHandler)
    : listener(listenOn(address, port))
    , handler(std::move(givenHandler))
{
    std::thread([this] {
        this->acceptLoop();
    }).detach();
}

auto HttpServer::acceptLoop() -> void
{
    while (true) {
        const auto socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0) {
            std::thread([this, socket] {
                this->serve(socket);
            }).detach();
        }
    }
}

auto HttpServer::serve(int socket) -> void
{
    auto request = HttpRequest();
    auto line = std::string();
    while (readHttp(socket, elapsed() + 30, line, request.headers, request.body)) {
        const auto parts = words(line, 3);
        request.method = parts[0];
        request.path = parts.size() > 1 ? parts[1] : std::string();
        const auto answer = this->handler(request);
        const auto head = "HTTP/1.1 " + std::to_string(answer.status) + " x\r\nContent-Type: application/json\r\nContent-Length: ";
        if (!sendAll(socket, head + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body)) {
            break;
        }
        request = HttpRequest();
    }
    ::close(socket);
}

Deployment::Deployment(double drainGrace)
    : grace(drainGrace)
{
    auto random = std::random_device();
    this->base = "127." + std::to_string(64 + random() % 128) + "." + std::to_string(random() % 250);
    this->folder = (std::filesystem::temp_directory_path() / ("rig-" + std::to_string(::getpid()))).string();
    std::filesystem::create_directories(this->folder);
    if (::access(binary, X_OK) != 0) {
        note("the program of the deploy file is not built");
        std::exit(couldNotRun);
    }
}

auto Deployment::finish(int code) -> void
{
    const auto meanings = std::map<int, std::string>{{ruleHeld, "the rule held"}, {ruleBroken, "THE RULE IS BROKEN"}, {couldNotRun, "the case could not run"}};
    note("end: " + meanings.at(code));
    std::cout << meanings.at(code) << std::endl;
    for (auto &[name, process] : this->processes) {
        if (!process.ended) {
            ::kill(process.pid, SIGKILL);
            ::waitpid(process.pid, nullptr, 0);
        }
    }
    const auto *const kept = std::getenv("KEEP_LOGS");
    if (kept == nullptr) {
        auto ignored = std::error_code();
        std::filesystem::remove_all(this->folder, ignored);
    }
    // The threads of the stand-ins end with the process.
    std::_Exit(code);
}

auto Deployment::address(int number) const -> std::string
{
    return this->base + "." + std::to_string(number);
}

auto Deployment::operatorsOf(int vm) const -> std::string
{
    return this->address(vm);
}

auto Deployment::seedList() const -> std::string
{
    auto list = std::string();
    for (const auto seed : this->seeds) {
        list += (list.empty() ? "\"" : ", \"") + this->address(seed) + ":" + std::to_string(operatorsPort) + "\"";
    }
    return "control_port: 7440\ncontrol_seeds: [" + list + "]\n";
}

auto Deployment::startControl(int vm, bool firstStart) -> void
{
    const auto ip = this->address(vm);
    auto text = "vm: " + ip + "\nzone: z" + std::to_string((vm - 1) % 3 + 1) + "\nroles: [control]\ndata: " + this->folder + "/disk" + std::to_string(vm);
    text += "\ncontrol: " + ip + ":7440\nfirst_start: " + (firstStart ? "true" : "false") + "\ncontrol_losses: 1\n";
    text += "promotion_service: " + this->address(200) + ":" + std::to_string(platformPort) + "\nannouncement_interval: 1200ms\n";
    text += "operators: " + ip + ":" + std::to_string(operatorsPort) + "\n" + this->seedList();
    this->start("control" + std::to_string(vm), vm, text);
}

auto Deployment::startProxy(int vm, bool firstStart) -> void
{
    const auto ip = this->address(vm);
    auto text = "vm: " + ip + "\nzone: z" + std::to_string((vm - 1) % 3 + 1) + "\nroles: [proxy]\nfirst_start: " + (firstStart ? "true" : "false");
    text += "\ncallers: " + ip + ":" + std::to_string(callersPort) + "\nreadiness: " + ip + ":8785\npeers: " + ip + ":7455\nmetrics: " + ip + ":9464\n";
    text += this->seedList() + "shutdown:\n  grace: " + std::to_string(static_cast<int>(this->grace)) + "s\n";
    this->start("proxy" + std::to_string(vm), vm, text);
}

auto Deployment::start(const std::string &name, int vm, const std::string &settings) -> void
{
    const auto file = this->folder + "/" + name + ".yaml";
    std::ofstream(file) << settings;
    const auto log = this->folder + "/" + name + ".log";
    const auto pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(binary, binary, "serve-platform", "--settings", file.c_str(), nullptr);
        ::_exit(127);
    }
    const auto guard = std::lock_guard(this->mutex);
    this->processes[name] = Process{pid, vm, false, false};
    note("started " + name);
}

auto Deployment::signal(const std::string &name, int number) -> void
{
    auto &process = this->processes.at(name);
    process.expectedToEnd = process.expectedToEnd || number == SIGKILL || number == SIGTERM;
    ::kill(process.pid, number);
    note("signal " + std::to_string(number) + " to " + name);
}

auto Deployment::awaitEnd(const std::string &name, double seconds) -> bool
{
    auto &process = this->processes.at(name);
    const auto until = elapsed() + seconds;
    while (!process.ended && elapsed() < until) {
        process.ended = ::waitpid(process.pid, nullptr, WNOHANG) == process.pid;
        if (!process.ended) {
            sleepFor(0.01);
        }
    }
    if (process.ended) {
        note(name + " has ended");
    }
    return process.ended;
}

auto Deployment::signalControl(int vm, int signal) -> void
{
    this->signal("control" + std::to_string(vm), signal);
}

auto Deployment::signalProxy(int vm, int signal) -> void
{
    this->signal("proxy" + std::to_string(vm), signal);
}

auto Deployment::awaitControlEnd(int vm, double seconds) -> bool
{
    return this->awaitEnd("control" + std::to_string(vm), seconds);
}

auto Deployment::awaitProxyEnd(int vm, double seconds) -> bool
{
    return this->awaitEnd("proxy" + std::to_string(vm), seconds);
}

auto Deployment::hasEndedByItself() -> bool
{
    for (auto &[name, process] : this->processes) {
        if (!process.ended && !process.expectedToEnd && ::waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
            process.ended = true;
            note(name + " ended by itself");
            return true;
        }
    }
    return false;
}

auto Deployment::vmOfPort(int port) -> int
{
    char wanted[8];
    std::snprintf(wanted, sizeof(wanted), ":%04X", static_cast<unsigned>(port));
    auto inode = std::string();
    auto table = std::ifstream("/proc/self/net/tcp");
    for (auto line = std::string(); std::getline(table, line);) {
        auto fields = std::istringstream(line);
        auto field = std::vector<std::string>();
        for (auto text = std::string(); fields >> text;) {
            field.push_back(text);
        }
        if (field.size() > 9 && field[1].ends_with(wanted)) {
            inode = "socket:[" + field[9] + "]";
        }
    }
    const auto guard = std::lock_guard(this->mutex);
    for (const auto &[name, process] : this->processes) {
        auto error = std::error_code();
        for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(process.pid) + "/fd", error)) {
            if (std::filesystem::read_symlink(entry.path(), error) == inode) {
                return process.vm;
            }
        }
    }
    return 0;
}

auto Deployment::loseDisk(int vm) -> void
{
    std::filesystem::remove_all(this->folder + "/disk" + std::to_string(vm));
    note("the disk of VM " + std::to_string(vm) + " is lost");
}

auto configurationText(int version, const std::vector<Route> &routes, const std::vector<std::string> &services, int syncReplicas) -> std::string
{
    auto text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    auto count = 0;
    for (const auto &route : routes) {
        text += count == 0 ? "" : ",";
        text += "{\"name\":\"r-" + std::to_string(count++) + "\",\"host\":\"" + route.host + "\",\"pathPrefix\":\"/\",\"type\":\"" + route.type;
        text += "\",\"timeoutMs\":" + std::to_string(route.timeoutMs) + ",\"sloMs\":200,\"priority\":1,\"service\":\"" + route.service;
        text += "\",\"attempts\":2,\"maxStalenessMs\":1500}";
    }
    text += "],\"services\":[";
    for (const auto &service : services) {
        text += &service == services.data() ? "" : ",";
        text += R"({"name":")" + service + R"(","healthPath":"/healthz","maxConns":40,"protocol":"h1","tls":false,"syncReplicas":)";
        text += std::to_string(syncReplicas) + "}";
    }
    return text + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txnIdleMs":3000}})";
}

auto sendConfiguration(const Deployment &deployment, const std::vector<int> &vms, const std::string &text, double seconds) -> bool
{
    const auto until = elapsed() + seconds;
    for (auto turn = std::size_t{0}; elapsed() < until; ++turn) {
        const auto vm = vms[turn % vms.size()];
        const auto answer = httpCall(deployment.operatorsOf(vm), Deployment::operatorsPort, "POST", "/v1/config/replace", text, 2);
        note("operator: version " + jsonField(text, "version") + " sent to VM " + std::to_string(vm) + ", answer " + std::to_string(answer.status));
        if (answer.status == 200) {
            return true;
        }
        sleepFor(0.2);
    }
    return false;
}

struct Service::Database
{
    std::string id;
    std::string address;
    std::string zone;
    bool isUp = false;
    /// Counts the starts; threads of an earlier life end.
    int life = 0;
    int listener = -1;
    std::set<int> sockets;
    std::uint64_t born = 0;
    std::uint64_t sequence = 0;
    std::vector<Entry> log;
    bool isDeaf = false;
    bool receivesLate = false;
    bool isPaused = false;
    bool isDraining = false;
    std::optional<double> drainAcknowledgedAt;
    double statusDelay = 0;
    std::optional<std::pair<double, double>> lateResume;
    /// VMs from which it is cut.
    std::set<int> cutVms;
    bool beatNow = false;

    [[nodiscard]] auto last() const -> Position
    {
        return this->log.empty() ? Position() : this->log.back().position;
    }
};

/// One connection to a database.
struct Service::Session
{
    int number = 0;
    int socket = -1;
    int life = 0;
    /// VM of the process at the other end.
    int vm = 0;
    char state = 'I';
    /// Whether the transaction may write, so that only the primary of its term may run it.
    bool isPlain = false;
    std::uint64_t begunInTerm = 0;
    std::vector<Entry> writes;
    std::map<std::string, std::pair<bool, std::string>> prepared;
    Values values;
};

Service::Service(Deployment &deployment, std::string name, int count, int firstAddress, int syncReplicas)
    : deployment(deployment)
    , serviceName(std::move(name))
    , syncReplicas(syncReplicas)
{
    for (auto number = 0; number < count; ++number) {
        auto database = std::make_unique<Database>();
        database->id = "i-" + this->serviceName + std::to_string(number);
        database->address = this->deployment.address(firstAddress + number);
        database->zone = "z" + std::to_string(number % 3 + 1);
        database->log.push_back(Entry{{1, 1}, "first", "first", "first"});
        this->databases.push_back(std::move(database));
    }
}

Service::~Service() = default;

auto Service::name() const -> const std::string &
{
    return this->serviceName;
}

auto Service::start(int number) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    auto &database = *this->databases[static_cast<std::size_t>(number)];
    database.isUp = true;
    database.isPaused = false;
    database.sequence = 0;
    database.born = unixMilliseconds();
    database.listener = listenOn(database.address, Deployment::databasePort);
    const auto life = ++database.life;
    std::thread([this, number, listener = database.listener, life] {
        this->acceptLoop(number, listener, life);
    }).detach();
    std::thread([this, number, life] {
        this->beatLoop(number, life);
    }).detach();
    note("database " + database.id + " starts with " + format(database.last()));
    this->replicate();
}

auto Service::crash(int number) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    auto &database = *this->databases[static_cast<std::size_t>(number)];
    if (!database.isUp) {
        return;
    }
    database.isUp = false;
    ++database.life;
    ::shutdown(database.listener, SHUT_RDWR);
    ::close(database.listener);
    for (const auto socket : database.sockets) {
        ::shutdown(socket, SHUT_RDWR);
    }
    note("database " + database.id + " ends with " + format(database.last()));
    this->changed.notify_all();
}

auto Service::startAgain(int number, bool keepsLog) -> void
{
    if (!keepsLog) {
        const auto guard = std::lock_guard(this->mutex);
        this->databases[static_cast<std::size_t>(number)]->log.clear();
    }
    this->start(number);
}

auto Service::setDeaf(int number, bool deaf) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    auto &database = *this->databases[static_cast<std::size_t>(number)];
    database.isDeaf = deaf;
    note("database " + database.id + (deaf ? " receives nothing from now on, it has " : " receives again, it has ") + format(database.last()));
    this->replicate();
}

auto Service::setReceiveInterval(int number, double seconds) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->databases[static_cast<std::size_t>(number)]->receivesLate = true;
    std::thread([this, seconds] {
        while (true) {
            sleepFor(seconds);
            const auto inner = std::lock_guard(this->mutex);
            this->replicate(true);
        }
    }).detach();
}

auto Service::drain(int number) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    auto &database = *this->databases[static_cast<std::size_t>(number)];
    database.isDraining = true;
    database.beatNow = true;
    note("database " + database.id + " drains");
    this->changed.notify_all();
}

auto Service::drainAcknowledgedAt(int number) -> std::optional<double>
{
    const auto guard = std::lock_guard(this->mutex);
    return this->databases[static_cast<std::size_t>(number)]->drainAcknowledgedAt;
}

auto Service::setCommitTime(double seconds) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->commitTime = seconds;
}

auto Service::setStatusDelay(int number, double seconds) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->databases[static_cast<std::size_t>(number)]->statusDelay = seconds;
}

auto Service::setLateResume(int number, double earliest, double latest) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    this->databases[static_cast<std::size_t>(number)]->lateResume = std::pair(earliest, latest);
}

auto Service::cutFrom(int number, std::set<int> vms) -> void
{
    const auto guard = std::lock_guard(this->mutex);
    auto &database = *this->databases[static_cast<std::size_t>(number)];
    database.cutVms = std::move(vms);
    auto list = std::string();
    for (const auto vm : database.cutVms) {
        list += " " + std::to_string(vm);
    }
    note("database " + database.id + " is cut from the VMs" + list);
    this->changed.notify_all();
}

auto Service::isCut(int number, int vm) -> bool
{
    const auto guard = std::lock_guard(this->mutex);
    return this->databases[static_cast<std::size_t>(number)]->cutVms.contains(vm);
}

auto Service::resumeLate(int number) -> void
{
    auto lock = std::unique_lock(this->mutex);
    auto &database = *this->databases[static_cast<std::size_t>(number)];
    const auto [earliest, latest] = *std::exchange(database.lateResume, std::nullopt);
    const auto orderedAt = elapsed();
    note("order RESUME at " + database.id + " is left unanswered");
    const auto isPausedInTime = [&] {
        return database.isPaused && elapsed() >= orderedAt + earliest;
    };
    while (!isPausedInTime() && elapsed() < orderedAt + latest - 0.5) {
        this->changed.wait_for(lock, std::chrono::milliseconds(10));
    }
    lock.unlock();
    sleepFor(0.2);
    lock.lock();
    char after[32];
    std::snprintf(after, sizeof(after), "%.1f", elapsed() - orderedAt);
    note("order RESUME at " + database.id + " is carried out, " + after + " s late");
    database.isPaused = false;
    this->replicate();
}

auto Service::idOf(int number) -> std::string
{
    return this->databases[static_cast<std::size_t>(number)]->id;
}

auto Service::primary() -> int
{
    const auto guard = std::lock_guard(this->mutex);
    return this->primaryNumber;
}

auto Service::hasCommitted(int number, const std::string &statement) -> bool
{
    const auto guard = std::lock_guard(this->mutex);
    const auto &log = this->databases[static_cast<std::size_t>(number)]->log;
    return std::any_of(log.begin(), log.end(), [&statement](const Entry &entry) {
        return entry.id == statement;
    });
}

auto Service::lastPosition(int number) -> Position
{
    const auto guard = std::lock_guard(this->mutex);
    return this->databases[static_cast<std::size_t>(number)]->last();
}

auto Service::failOver(const std::string &id) -> int
{
    auto guard = std::unique_lock(this->mutex);
    for (auto number = 0; number < static_cast<int>(this->databases.size()); ++number) {
        auto &database = *this->databases[static_cast<std::size_t>(number)];
        if (database.id != id) {
            continue;
        }
        if (!database.isUp) {
            return 409;
        }
        if (this->primaryNumber == number) {
            return 200;
        }
        ++this->term;
        this->primaryNumber = number;
        database.isPaused = false;
        note("database " + id + " leads term " + std::to_string(this->term) + " with " + format(database.last()));
        if (this->onPromoted) {
            guard.unlock();
            this->onPromoted(number);
            guard.lock();
        }
        for (auto &other : this->databases) {
            other->beatNow = true;
        }
        this->replicate();
        this->changed.notify_all();
        return 200;
    }
    return 409;
}

/// Lets the replicas receive what the primary has; what is not in its log is rolled back.
auto Service::replicate(bool alsoLate) -> void
{
    if (this->primaryNumber == nobody || !this->databases[static_cast<std::size_t>(this->primaryNumber)]->isUp) {
        return;
    }
    const auto &lead = *this->databases[static_cast<std::size_t>(this->primaryNumber)];
    for (auto &database : this->databases) {
        const auto isInTime = alsoLate || !database->receivesLate;
        const auto receives = database->isUp && isInTime && !database->isDeaf && !database->isPaused && database.get() != &lead;
        if (receives) {
            database->log = lead.log;
        }
    }
    this->changed.notify_all();
}

auto Service::commit(Session &session, const std::string &id, std::vector<Entry> entries, std::unique_lock<std::mutex> &lock) -> bool
{
    auto &database = *this->databases[static_cast<std::size_t>(session.number)];
    const auto position = Position{this->term, database.last().number + 1};
    for (auto &entry : entries) {
        entry.position = position;
        entry.id = id;
        database.log.push_back(entry);
    }
    this->replicate();
    const auto isConfirmed = [this, &session, position] {
        const auto count = std::count_if(this->databases.begin(), this->databases.end(), [&](const auto &other) {
            return other.get() != this->databases[static_cast<std::size_t>(session.number)].get() && other->isUp && other->last() >= position;
        });
        return count >= this->syncReplicas;
    };
    const auto isOver = [this, &session, &database] {
        return database.life != session.life || this->primaryNumber != session.number;
    };
    this->changed.wait(lock, [&] {
        return isConfirmed() || isOver();
    });
    return !isOver();
}

auto Service::run(Session &session, const std::string &id, std::string text) -> std::string
{
    auto lock = std::unique_lock(this->mutex);
    auto &database = *this->databases[static_cast<std::size_t>(session.number)];
    const auto ready = [&session, &database] {
        const auto position = database.log.empty() ? std::string("-") : format(database.last());
        return "READY " + std::string(1, session.state) + " " + position + "\r\n";
    };
    const auto fail = [&](const std::string &code) {
        session.state = session.state == 'T' ? 'E' : session.state;
        return "ERROR " + code + " " + database.id + "\r\n" + ready();
    };
    const auto done = [&](const std::string &signature) {
        return "COMPLETE " + signature + "\r\n" + ready();
    };
    const auto leads = [&] {
        return this->primaryNumber == session.number;
    };
    if (text.rfind("AFTER ", 0) == 0) {
        const auto parts = words(text, 3);
        const auto dot = parts[1].find('.');
        const auto needed = Position{std::stoull(parts[1].substr(0, dot)), std::stoull(parts[1].substr(dot + 1))};
        if (database.last() < needed) {
            return fail("LAGGING");
        }
        text = parts[2];
    }
    const auto parts = words(text, 4);
    const auto &verb = parts[0];
    if (session.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") {
        return fail("MALFORMED");
    }
    if (verb == "SET") {
        session.values[parts[1]] = words(text, 3).back();
        return done("-");
    }
    if (verb == "PARSE") {
        session.prepared[parts[1]] = {parts[2] == "STORE", parts[3]};
        return done("-");
    }
    if (verb == "DISCARD") {
        session.prepared.clear();
        session.values.clear();
        return done("-");
    }
    if (verb == "ROLLBACK") {
        if (session.state == 'I') {
            return fail("MALFORMED");
        }
        session.state = 'I';
        session.writes.clear();
        return done("-");
    }
    if (verb == "BEGIN") {
        session.isPlain = parts.size() == 1;
        if (session.isPlain && !leads()) {
            return fail("READONLY");
        }
        session.begunInTerm = this->term;
        session.state = 'T';
        return done("-");
    }
    const auto lostLead = session.state == 'T' && session.isPlain && (!leads() || session.begunInTerm != this->term);
    if (verb == "COMMIT") {
        const auto isAborted = session.state == 'E';
        const auto writes = std::exchange(session.writes, {});
        session.state = 'I';
        if (isAborted || (lostLead && !writes.empty())) {
            return fail(isAborted ? "ABORTED" : "READONLY");
        }
        if (this->onRun) {
            this->onRun(session.number, id, text, session.values);
        }
        if (!writes.empty() && !this->commit(session, id, writes, lock)) {
            return {};
        }
        if (this->commitTime > 0) {
            lock.unlock();
            sleepFor(this->commitTime);
            lock.lock();
        }
        return done("sig." + id);
    }
    auto isWrite = verb == "STORE";
    auto item = parts.size() > 1 ? parts[1] : std::string();
    auto data = isWrite ? words(text, 3).back() : std::string();
    if (verb == "EXECUTE") {
        const auto found = session.prepared.find(parts[1]);
        if (found == session.prepared.end()) {
            return fail("UNKNOWN");
        }
        isWrite = found->second.first;
        item = parts.size() > 2 ? parts[2] : std::string();
        data = parts.size() > 3 ? parts[3] : std::string();
    }
    if (lostLead || (isWrite && !leads())) {
        return fail("READONLY");
    }
    if (this->onRun) {
        this->onRun(session.number, id, text, session.values);
    }
    if (!isWrite) {
        auto value = std::string("none");
        for (const auto &entry : database.log) {
            value = entry.item == item ? entry.data : value;
        }
        return "DATAROW " + value + "\r\n" + done("sig." + id);
    }
    if (session.state == 'T') {
        session.writes.push_back(Entry{{}, id, item, data});
        return done("sig." + id);
    }
    return this->commit(session, id, {Entry{{}, id, item, data}}, lock) ? done("sig." + id) : std::string();
}

auto Service::order(Session &session, const std::string &text) -> std::string
{
    auto lock = std::unique_lock(this->mutex);
    auto &database = *this->databases[static_cast<std::size_t>(session.number)];
    const auto parts = words(text, 2);
    const auto given = parts.size() > 1 ? std::stoull(parts[1]) : 0;
    if (database.statusDelay > 0) {
        const auto delay = database.statusDelay;
        lock.unlock();
        sleepFor(delay);
        lock.lock();
        if (database.life != session.life) {
            return {};
        }
    }
    if (parts[0] == "PAUSE" && given > this->term && this->primaryNumber != session.number) {
        database.isPaused = true;
    } else if (parts[0] == "RESUME" && database.lateResume) {
        lock.unlock();
        this->resumeLate(session.number);
        return {};
    } else if (parts[0] == "RESUME") {
        database.isPaused = false;
        this->replicate();
    } else if (parts[0] == "STEPDOWN" && given > this->term && this->primaryNumber == session.number) {
        this->primaryNumber = nobody;
        database.beatNow = true;
        this->changed.notify_all();
    }
    const auto role = this->primaryNumber == session.number ? "primary " : "replica ";
    const auto position = format(database.last());
    note("order " + text + " at " + database.id + ": " + role + std::to_string(this->term) + " " + position);
    const auto row = "DATAROW " + std::string(role) + std::to_string(this->term) + " " + position + " " + std::to_string(this->term) + " 2 0 1\r\n";
    return row + "COMPLETE -\r\nREADY I " + position + "\r\n";
}

auto Service::acceptLoop(int number, int listener, int life) -> void
{
    while (true) {
        const auto socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const auto guard = std::lock_guard(this->mutex);
        auto &database = *this->databases[static_cast<std::size_t>(number)];
        if (socket < 0 || database.life != life) {
            if (socket >= 0) {
                ::close(socket);
            }
            return;
        }
        const auto on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        database.sockets.insert(socket);
        std::thread([this, number, socket, life] {
            this->serve(number, socket, life);
        }).detach();
    }
}

auto Service::serve(int number, int socket, int life) -> void
{
    auto session = Session();
    session.number = number;
    session.socket = socket;
    session.life = life;
    auto peer = sockaddr_in();
    auto size = socklen_t(sizeof(peer));
    ::getpeername(socket, reinterpret_cast<sockaddr *>(&peer), &size);
    session.vm = this->deployment.vmOfPort(ntohs(peer.sin_port));
    auto buffer = std::string();
    auto isGreeted = false;
    auto goesOn = true;
    while (goesOn) {
        if (this->isCut(number, session.vm)) {
            // What was sent before the cut, and what is sent during it, never arrives.
            sleepFor(0.05);
            continue;
        }
        const auto line = takeLine(buffer);
        if (!line) {
            char bytes[8192];
            const auto count = ::recv(socket, bytes, sizeof(bytes), 0);
            if (count <= 0) {
                break;
            }
            buffer.append(bytes, static_cast<std::size_t>(count));
            if (this->isCut(number, session.vm)) {
                buffer.clear();
            }
            continue;
        }
        const auto parts = words(*line, 3);
        auto answer = std::string();
        if (parts[0] == "STARTUP") {
            const auto who = words(*line, 4);
            const auto isRight = who.size() > 1 && who[1] == this->serviceName && (who.size() < 4 || who[3] == this->idOf(number));
            isGreeted = isRight;
            goesOn = isRight;
            answer = isRight ? "READY I " + format(this->lastPosition(number)) + "\r\n" : "ERROR WRONGNODE " + this->idOf(number) + "\r\n";
        } else if (parts[0] == "QUERY" && isGreeted && parts.size() == 3) {
            const auto verb = words(parts[2], 2)[0];
            const auto isOrder = verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN";
            answer = isOrder ? this->order(session, parts[2]) : this->run(session, parts[1], parts[2]);
        } else {
            break;
        }
        goesOn = goesOn && !answer.empty();
        if (this->isCut(number, session.vm)) {
            continue;
        }
        goesOn = sendAll(socket, answer) && goesOn;
    }
    const auto guard = std::lock_guard(this->mutex);
    this->databases[static_cast<std::size_t>(number)]->sockets.erase(socket);
    ::close(socket);
}

auto Service::beatLoop(int number, int life) -> void
{
    while (true) {
        {
            const auto guard = std::lock_guard(this->mutex);
            auto &database = *this->databases[static_cast<std::size_t>(number)];
            if (database.life != life) {
                return;
            }
            database.beatNow = false;
        }
        this->beat(number, life);
        auto lock = std::unique_lock(this->mutex);
        auto &database = *this->databases[static_cast<std::size_t>(number)];
        this->changed.wait_for(lock, std::chrono::duration<double>(heartbeatSeconds), [&] {
            return database.life != life || database.beatNow;
        });
    }
}

auto Service::beat(int number, int life) -> void
{
    auto body = std::string();
    auto isDraining = false;
    auto id = std::string();
    {
        const auto guard = std::lock_guard(this->mutex);
        auto &database = *this->databases[static_cast<std::size_t>(number)];
        id = database.id;
        isDraining = database.isDraining;
        body = "{\"service\":\"" + this->serviceName + "\",\"address\":\"" + database.address + ":" + std::to_string(Deployment::databasePort);
        body += "\",\"zone\":\"" + database.zone + R"(","version":"v1","slots":5,"state":")" + (isDraining ? "draining" : "ready");
        body += std::string(R"(","coldLeftMs":0,"dbRole":")") + (this->primaryNumber == number ? "primary" : "replica");
        body += "\",\"seq\":" + std::to_string(++database.sequence) + ",\"born\":" + std::to_string(database.born) + "}";
    }
    for (const auto seed : this->deployment.seeds) {
        if (this->isCut(number, seed)) {
            continue;
        }
        const auto answer = httpCall(this->deployment.operatorsOf(seed), Deployment::operatorsPort, "POST", "/v1/instances/" + id + "/heartbeat", body, 1);
        if (answer.status / 100 != 2) {
            continue;
        }
        const auto guard = std::lock_guard(this->mutex);
        auto &database = *this->databases[static_cast<std::size_t>(number)];
        if (isDraining && database.life == life && !database.drainAcknowledgedAt) {
            database.drainAcknowledgedAt = elapsed();
            note("VM " + std::to_string(seed) + " acknowledges that " + id + " drains");
        }
        return;
    }
}

Platform::Platform(Deployment &deployment, std::vector<Service *> givenServices, double promoteSeconds)
    : services(std::move(givenServices))
    , promoteSeconds(promoteSeconds)
    , server(deployment.address(200), Deployment::platformPort, [this](const HttpRequest &request) {
        return this->answer(request);
    })
{
}

auto Platform::answer(const HttpRequest &request) -> HttpAnswer
{
    const auto service = jsonField(request.body, "service");
    const auto id = jsonField(request.body, "id");
    const auto headers = request.headers;
    const auto token = headers.contains("fence-token") ? std::stoull(headers.at("fence-token")) : 0;
    const auto holder = headers.contains("duty-holder") ? headers.at("duty-holder") : std::string();
    note("platform: " + request.method + " " + request.path + " " + service + " " + id + " by " + holder + " with token " + std::to_string(token));
    {
        const auto guard = std::lock_guard(this->mutex);
        auto &fence = this->fences[service];
        if (token < fence) {
            return {409, "{}"};
        }
        fence = token;
    }
    sleepFor(this->promoteSeconds);
    for (auto *const one : this->services) {
        if (one->name() == service) {
            const auto status = one->failOver(id);
            note("platform: answer " + std::to_string(status));
            return {status, "{}"};
        }
    }
    return {404, "{}"};
}

Caller::~Caller()
{
    this->close();
}

auto Caller::open(const std::string &address, const std::string &database) -> bool
{
    this->close();
    this->socket = connectTo(address, Deployment::callersPort, 2);
    if (this->socket < 0 || !sendAll(this->socket, "STARTUP " + database + " u1\r\n")) {
        this->close();
        return false;
    }
    const auto line = this->readLine(elapsed() + 2);
    if (!line || line->rfind("READY", 0) != 0) {
        this->close();
        return false;
    }
    return true;
}

auto Caller::query(const std::string &id, const std::string &text, double timeout) -> Answer
{
    auto answer = Answer();
    if (this->socket < 0 || !sendAll(this->socket, "QUERY " + id + " " + text + "\r\n")) {
        this->close();
        return answer;
    }
    const auto until = elapsed() + timeout;
    while (const auto line = this->readLine(until)) {
        const auto parts = words(*line, 2);
        const auto rest = parts.size() > 1 ? parts[1] : std::string();
        if (parts[0] == "DATAROW") {
            answer.rows.push_back(rest);
        } else if (parts[0] == "READY") {
            answer.state = rest.empty() ? '?' : rest[0];
            return answer;
        } else {
            answer.word = parts[0];
            answer.detail = rest;
        }
    }
    answer = Answer();
    this->close();
    return answer;
}

auto Caller::readLine(double until) -> std::optional<std::string>
{
    while (true) {
        if (auto line = takeLine(this->buffer)) {
            return line;
        }
        if (!receiveMore(this->socket, this->buffer, until)) {
            return std::nullopt;
        }
    }
}

auto Caller::close() -> void
{
    if (this->socket >= 0) {
        ::close(this->socket);
    }
    this->socket = -1;
    this->buffer.clear();
}

auto Caller::isOpen() const -> bool
{
    return this->socket >= 0;
}

auto newId() -> std::string
{
    static auto counter = std::atomic<std::uint64_t>(0);
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(0x5c0e000000000000ULL + ++counter));
    return text;
}

} // namespace rig
