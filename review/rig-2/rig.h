// rig.h: stand-ins for one small deployment: processes, operator, databases, platform and clients, all on loopback addresses.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rig
{

/// Exit codes of a case.
constexpr auto ruleHeld = 0;
constexpr auto ruleBroken = 1;
constexpr auto couldNotRun = 2;

/// \return whether the disruption takes place; TROUBLE=0 leaves it out
auto hasTrouble() -> bool;

/// \return seconds since the case began
auto elapsed() -> double;
auto sleepFor(double seconds) -> void;

/// Appends one line with the time to the record.
auto note(const std::string &line) -> void;

/// Begins the record of a case in \p file.
auto openRecord(const std::string &file) -> void;

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct HttpAnswer
{
    /// 0 if no answer came.
    int status = 0;
    std::string body;
};

auto httpCall(const std::string &address, int port, const std::string &method, const std::string &path, const std::string &body, double timeout) -> HttpAnswer;

/// \return the text or number of the field \p name in a flat JSON object
auto jsonField(const std::string &object, const std::string &name) -> std::string;

/// Answers HTTP requests, one connection a thread. Lives as long as the case.
class HttpServer
{
public:
    using Handler = std::function<HttpAnswer(const HttpRequest &)>;
    HttpServer(const std::string &address, int port, Handler handler);

private:
    auto acceptLoop() -> void;
    auto serve(int socket) -> void;

    int listener;
    Handler handler;
};

/// The processes of the system, with settings as the templates of the deploy file make them.
class Deployment
{
public:
    explicit Deployment(double drainGrace = 6);
    /// Ends all processes that the case started, and the case itself with \p code.
    [[noreturn]] auto finish(int code) -> void;

    /// \return the address of VM \p number
    [[nodiscard]] auto address(int number) const -> std::string;
    auto startControl(int vm, bool firstStart) -> void;
    auto startProxy(int vm, bool firstStart) -> void;
    /// Sends \p signal to the process with the control role of VM \p vm, or with its proxy role.
    auto signalControl(int vm, int signal) -> void;
    auto signalProxy(int vm, int signal) -> void;
    /// \return whether the process ended within \p seconds
    auto awaitControlEnd(int vm, double seconds) -> bool;
    auto awaitProxyEnd(int vm, double seconds) -> bool;
    /// \return whether the process ended although nobody stopped it
    auto hasEndedByItself() -> bool;
    /// \return the VM whose process holds the local end \p port of a connection; 0 if none does
    auto vmOfPort(int port) -> int;
    /// Removes all files of the disk of VM \p vm.
    auto loseDisk(int vm) -> void;
    [[nodiscard]] auto operatorsOf(int vm) const -> std::string;

    static constexpr auto operatorsPort = 8782;
    static constexpr auto callersPort = 8784;
    static constexpr auto platformPort = 8783;
    static constexpr auto databasePort = 8080;

    std::vector<int> seeds = {1, 2, 3};

private:
    struct Process
    {
        int pid = 0;
        int vm = 0;
        bool expectedToEnd = false;
        bool ended = false;
    };
    auto start(const std::string &name, int vm, const std::string &settings) -> void;
    auto signal(const std::string &name, int number) -> void;
    auto awaitEnd(const std::string &name, double seconds) -> bool;
    [[nodiscard]] auto seedList() const -> std::string;

    std::string base;
    std::string folder;
    double grace;
    std::mutex mutex;
    std::map<std::string, Process> processes;
};

/// A route of the configuration.
struct Route
{
    std::string host;
    std::string type;
    std::string service;
    int timeoutMs = 800;
};

/// \return a configuration as the operator sends it
auto configurationText(int version, const std::vector<Route> &routes, const std::vector<std::string> &services, int syncReplicas) -> std::string;

/// Sends \p text to the control VMs in turn until one acknowledges it.
/// \return whether one did within \p seconds
auto sendConfiguration(const Deployment &deployment, const std::vector<int> &vms, const std::string &text, double seconds) -> bool;

/// A position in the log of a service.
struct Position
{
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    auto operator<=>(const Position &) const = default;
};

struct Entry
{
    Position position;
    std::string id;
    std::string item;
    std::string data;
};

/// One service of databases, and what the platform does to it. Lives as long as the case.
class Service
{
public:
    Service(Deployment &deployment, std::string name, int databases, int firstAddress, int syncReplicas);
    ~Service();
    Service(const Service &) = delete;
    auto operator=(const Service &) -> Service & = delete;

    /// Lets database \p number serve and send heartbeats.
    auto start(int number) -> void;
    /// Ends database \p number; its connections are reset.
    auto crash(int number) -> void;
    /// Starts it again under its id. With \p keepsLog it has the log that it had, otherwise it holds nothing.
    auto startAgain(int number, bool keepsLog) -> void;
    /// Whether database \p number receives what the primary commits.
    auto setDeaf(int number, bool deaf) -> void;
    /// Lets database \p number receive only every \p seconds what the primary commits.
    auto setReceiveInterval(int number, double seconds) -> void;
    /// Lets it say `draining` in its heartbeats from now on.
    auto drain(int number) -> void;
    /// \return when a VM first acknowledged a heartbeat with `draining` of it
    auto drainAcknowledgedAt(int number) -> std::optional<double>;
    /// Lets every commit of a transaction take \p seconds.
    auto setCommitTime(double seconds) -> void;
    /// Lets it answer `STATUS`, `PAUSE`, `RESUME` and `STEPDOWN` after \p seconds.
    auto setStatusDelay(int number, double seconds) -> void;

    /// Lets database \p number leave its next `RESUME` unanswered and carry it out late: a fifth of a second after its next `PAUSE`, but not
    /// sooner than \p earliest and not later than \p latest seconds after the order.
    auto setLateResume(int number, double earliest, double latest) -> void;
    /// Cuts database \p number from all processes on \p vms: nothing passes in either direction.
    auto cutFrom(int number, std::set<int> vms) -> void;

    /// Makes \p id the primary of the next term, as POST /failover does.
    /// \return the status of the answer
    auto failOver(const std::string &id) -> int;

    [[nodiscard]] auto name() const -> const std::string &;
    auto idOf(int number) -> std::string;
    /// \return the number of the primary; -1 if there is none that runs
    auto primary() -> int;
    auto hasCommitted(int number, const std::string &statement) -> bool;
    auto lastPosition(int number) -> Position;

    /// Values that were set on a connection, by name.
    using Values = std::map<std::string, std::string>;
    /// Called when a database runs a read, write or commit: database, statement id, text, values of the connection.
    std::function<void(int, const std::string &, const std::string &, const Values &)> onRun;
    /// Called with the number of the database that leads the next term, before any log is rolled back.
    std::function<void(int)> onPromoted;

private:
    struct Database;
    struct Session;

    auto acceptLoop(int number, int listener, int life) -> void;
    auto serve(int number, int socket, int life) -> void;
    auto run(Session &session, const std::string &id, std::string text) -> std::string;
    auto order(Session &session, const std::string &text) -> std::string;
    auto resumeLate(int number) -> void;
    auto isCut(int number, int vm) -> bool;
    auto commit(Session &session, const std::string &id, std::vector<Entry> entries, std::unique_lock<std::mutex> &lock) -> bool;
    /// \param alsoLate whether databases with a receive interval receive too
    auto replicate(bool alsoLate = false) -> void;
    auto beatLoop(int number, int life) -> void;
    auto beat(int number, int life) -> void;

    Deployment &deployment;
    std::string serviceName;
    int syncReplicas;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t term = 1;
    double commitTime = 0;
    int primaryNumber = 0;
    std::vector<std::unique_ptr<Database>> databases;
};

/// The platform: carries out POST /failover for the services, with fences.
class Platform
{
public:
    Platform(Deployment &deployment, std::vector<Service *> services, double promoteSeconds);

private:
    auto answer(const HttpRequest &request) -> HttpAnswer;

    std::vector<Service *> services;
    double promoteSeconds;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> fences;
    HttpServer server;
};

/// Answer to one statement of a client.
struct Answer
{
    /// `COMPLETE`, `ERROR`, or empty if the connection ended without an answer.
    std::string word;
    /// Signature or code with text.
    std::string detail;
    std::vector<std::string> rows;
    char state = '?';

    [[nodiscard]] auto succeeded() const -> bool
    {
        return this->word == "COMPLETE";
    }
};

/// One session of a client.
class Caller
{
public:
    Caller() = default;
    ~Caller();
    Caller(const Caller &) = delete;
    auto operator=(const Caller &) -> Caller & = delete;

    auto open(const std::string &address, const std::string &database) -> bool;
    auto query(const std::string &id, const std::string &text, double timeout = 10) -> Answer;
    auto close() -> void;
    [[nodiscard]] auto isOpen() const -> bool;

private:
    auto readLine(double until) -> std::optional<std::string>;

    int socket = -1;
    std::string buffer;
};

/// \return an id that no statement had before
auto newId() -> std::string;

} // namespace rig
