// Stand-ins for the review: consumers, workers and the operator, and a small
// deployment of the project's own programs on loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

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
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using nlohmann::json;

inline std::int64_t
SteadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline std::int64_t
WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
Sleep(std::int64_t aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

// What was sent, answered and run, with milliseconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file_(aPath)
    , begin_(SteadyMs())
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mutex_);
    file_ << (SteadyMs() - begin_) << " ms  " << aText << std::endl;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
  std::int64_t begin_;
};

struct Request
{
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response
{
  int status = 0;
  std::string body;
};

inline std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), ::tolower);
  return aText;
}

// Reads one message with a Content-Length body; false at the end.
class Reader
{
public:
  explicit Reader(int aSocket)
    : socket_(aSocket)
  {
  }
  bool Read(std::string& aFirstLine,
            std::map<std::string, std::string>& aHeaders,
            std::string& aBody,
            std::int64_t aUntil)
  {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!More(aUntil))
        return false;
    std::string head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    aFirstLine = head.substr(0, at);
    aHeaders.clear();
    while (at != std::string::npos) {
      const std::size_t next = head.find("\r\n", at + 2);
      const std::string line = head.substr(
        at + 2, next == std::string::npos ? next : next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
          ++value;
        aHeaders[Lower(line.substr(0, colon))] = line.substr(value);
      }
      at = next;
    }
    const auto length = aHeaders.find("content-length");
    const std::size_t size =
      length == aHeaders.end() ? 0 : std::stoul(length->second);
    while (buffer_.size() < size)
      if (!More(aUntil))
        return false;
    aBody = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

private:
  bool More(std::int64_t aUntil)
  {
    pollfd item{ socket_, POLLIN, 0 };
    const std::int64_t left = aUntil - SteadyMs();
    if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[16384];
    const ssize_t count = ::recv(socket_, bytes, sizeof bytes, 0);
    if (count <= 0)
      return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int socket_;
  std::string buffer_;
};

inline sockaddr_in
SocketAddress(const std::string& aAddress, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  return address;
}

inline bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// One call on a connection of its own; nothing if there was no whole answer.
inline std::optional<Response>
Call(const std::string& aAddress,
     int aPort,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::map<std::string, std::string>& aHeaders,
     const std::string& aBody,
     std::int64_t aTimeout)
{
  const std::int64_t until = SteadyMs() + aTimeout;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = SocketAddress(aAddress, aPort);
  std::optional<Response> result;
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
  ::connect(
    socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  pollfd item{ socket, POLLOUT, 0 };
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&item, 1, static_cast<int>(aTimeout)) > 0 &&
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
      error == 0) {
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    std::string bytes = aMethod + " " + aTarget + " HTTP/1.1\r\n";
    for (const auto& [name, value] : aHeaders)
      bytes += name + ": " + value + "\r\n";
    if (aHeaders.count("Host") == 0)
      bytes += "Host: " + aAddress + "\r\n";
    bytes += "Content-Type: application/json\r\nContent-Length: " +
             std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    Reader reader(socket);
    std::string first;
    std::map<std::string, std::string> headers;
    std::string body;
    if (SendAll(socket, bytes) && reader.Read(first, headers, body, until) &&
        first.size() > 12)
      result = Response{ std::atoi(first.c_str() + 9), body };
  }
  ::close(socket);
  return result;
}

// A small HTTP server with a thread for each connection. The handler returns
// nothing where the connection is to end without an answer.
class Server
{
public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  ~Server() { Stop(); }

  bool Start(const std::string& aAddress, int aPort, Handler aHandler)
  {
    handler_ = std::move(aHandler);
    listening_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto address = SocketAddress(aAddress, aPort);
    if (::bind(listening_,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listening_, 64) != 0)
      return false;
    isOpen_ = true;
    acceptor_ = std::thread([this] { Accept(); });
    return true;
  }

  // Ends all connections, as the end of a process does.
  void Stop()
  {
    if (!isOpen_.exchange(false))
      return;
    ::shutdown(listening_, SHUT_RDWR);
    acceptor_.join();
    ::close(listening_);
    {
      const std::lock_guard lock(mutex_);
      for (const int socket : sockets_)
        ::shutdown(socket, SHUT_RDWR);
    }
    for (auto& thread : threads_)
      thread.join();
    threads_.clear();
  }

private:
  void Accept()
  {
    while (isOpen_) {
      const int socket =
        ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0)
        continue;
      const std::lock_guard lock(mutex_);
      sockets_.insert(socket);
      threads_.emplace_back([this, socket] { Serve(socket); });
    }
  }

  void Serve(int aSocket)
  {
    const int one = 1;
    ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    Reader reader(aSocket);
    std::string first;
    Request request;
    while (isOpen_ && reader.Read(first,
                                  request.headers,
                                  request.body,
                                  SteadyMs() + 60000)) {
      const std::size_t space = first.find(' ');
      const std::size_t second = first.find(' ', space + 1);
      request.method = first.substr(0, space);
      request.target = first.substr(space + 1, second - space - 1);
      const auto response = handler_(request);
      if (!response || !isOpen_)
        break;
      const std::string bytes =
        "HTTP/1.1 " + std::to_string(response->status) +
        " X\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
      if (!SendAll(aSocket, bytes))
        break;
    }
    const std::lock_guard lock(mutex_);
    sockets_.erase(aSocket);
    ::close(aSocket);
  }

  Handler handler_;
  int listening_ = -1;
  std::atomic<bool> isOpen_{ false };
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::list<std::thread> threads_;
};

// A deployment: control hosts with disks and fronts, each on a loopback address
// of its own, started as the deploy file says with settings as its template
// gives them.
class Fleet
{
public:
  struct Host
  {
    std::string address;
    bool isControl = false;
    pid_t pid = -1;
  };

  Fleet(Record& aRecord, std::size_t aControls, std::size_t aFronts)
    : record_(aRecord)
  {
    char name[] = "/tmp/greengage-review-XXXXXX";
    folder_ = ::mkdtemp(name);
    std::random_device random;
    do
      block_ = "127." + std::to_string(20 + random() % 200) + "." +
               std::to_string(1 + random() % 250) + ".";
    while (!IsFree(block_ + "1") || !IsFree(block_ + "9"));
    for (std::size_t index = 0; index < aControls; ++index)
      controls.push_back({ block_ + std::to_string(1 + index), true });
    for (std::size_t index = 0; index < aFronts; ++index)
      fronts.push_back({ block_ + std::to_string(50 + index), false });
  }

  ~Fleet()
  {
    for (auto* hosts : { &controls, &fronts })
      for (Host& host : *hosts)
        Kill(host);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  std::string WorkerAddress(std::size_t aIndex) const
  {
    return block_ + std::to_string(100 + aIndex);
  }

  bool Start()
  {
    for (Host& host : controls)
      Spawn(host, true);
    for (Host& host : fronts)
      Spawn(host, true);
    const std::int64_t until = SteadyMs() + 20000;
    while (SteadyMs() < until) {
      Sleep(100);
      const bool areReady = std::all_of(
        fronts.begin(), fronts.end(), [&](const Host& aHost) {
          const auto reply =
            Call(aHost.address, 8343, "GET", "/ready", {}, "", 500);
          return reply && reply->status == 200;
        });
      if (areReady)
        return true;
    }
    return false;
  }

  void Spawn(Host& aHost, bool aIsFirst)
  {
    const std::string path = folder_ + "/" + aHost.address + ".ini";
    std::ofstream file(path);
    std::string seeds;
    for (const Host& host : controls)
      seeds += (seeds.empty() ? "" : ",") + host.address + ":8345";
    const std::size_t zone =
      std::stoul(aHost.address.substr(aHost.address.rfind('.') + 1)) % 3;
    file << "[host]\naddress = " << aHost.address
         << "\navailability_zone = zone-" << "abc"[zone] << "\n";
    if (aHost.isControl)
      file << "data_folder = " << folder_ << "/" << aHost.address << ".data\n";
    file << "[peers]\nport = 7000\nsecret = greengagepick-fleet-secret\n"
         << "seeds = " << seeds << "\n[agreed]\ntolerated_losses = 1\n"
         << "bootstrap = " << (aIsFirst ? "true" : "false") << "\n[ports]\n";
    if (aHost.isControl)
      file << "control = " << aHost.address << ":8345\n";
    else
      file << "callers = " << aHost.address << ":8340\nreadiness = "
           << aHost.address << ":8343\n";
    file << "metrics = " << aHost.address
         << ":9464\n[hosts]\norder_gap = 3000ms\nmove_time = 1.5s\n"
            "[placement]\n[scheduling]\nmax_lease = 10000ms\n"
            "job_retention = 120s\n";
    file.close();
    const std::string log = folder_ + "/" + aHost.address + ".log";
    aHost.pid = ::fork();
    if (aHost.pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("GREENGAGEPICK_SETTINGS", path.c_str(), 1);
      ::execl("target/tools/greengaged/greengaged",
              "greengaged",
              "jobs",
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    record_.Line("started " + aHost.address +
                 (aHost.isControl ? " (control)" : " (front)"));
  }

  static void Kill(Host& aHost)
  {
    if (aHost.pid <= 0)
      return;
    ::kill(aHost.pid, SIGKILL);
    ::waitpid(aHost.pid, nullptr, 0);
    aHost.pid = -1;
  }

  // Sends a configuration to one control host after the other until one
  // acknowledges it.
  bool PutConfiguration(const json& aConfiguration)
  {
    const std::string body = aConfiguration.dump();
    const std::int64_t until = SteadyMs() + 15000;
    for (std::size_t index = 0; SteadyMs() < until; ++index) {
      const Host& host = controls[index % controls.size()];
      const auto reply =
        Call(host.address, 8345, "POST", "/config/put", {}, body, 1000);
      if (reply && reply->status == 200) {
        record_.Line("operator: version " + aConfiguration["version"].dump() +
                     " with routes " + RouteNames(aConfiguration) +
                     " acknowledged by " + host.address);
        return true;
      }
      Sleep(200);
    }
    record_.Line("operator: version " + aConfiguration["version"].dump() +
                 " was not acknowledged");
    return false;
  }

  // A consumer's call to a front, repeated after no answer, 502 and 504.
  Response Consume(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody)
  {
    Response last;
    for (int attempt = 0; attempt < 5; ++attempt) {
      const Host& host = fronts[attempt % fronts.size()];
      const auto reply = Call(host.address,
                              8340,
                              aMethod,
                              aPath,
                              { { "Host", "queue.example" },
                                { "Authorization", "Token key-of-tenant-one" },
                                { "Deadline-Ms", "3000" } },
                              aBody,
                              3000);
      last = reply.value_or(Response{});
      record_.Line("consumer: " + aMethod + " " + aPath + " at " +
                   host.address + " -> " +
                   (reply ? std::to_string(last.status) + " " + last.body
                          : std::string("no answer")));
      if (reply && last.status != 502 && last.status != 504 &&
          last.status != 503 && last.status != 429)
        return last;
      Sleep(1000);
    }
    return last;
  }

  // The state of a submission by its GET, or "status N".
  std::string StateOf(const std::string& aPath)
  {
    const Response reply = Consume("GET", aPath, "");
    if (reply.status != 200)
      return "status " + std::to_string(reply.status);
    const json body = json::parse(reply.body, nullptr, false);
    return body.is_object() ? body.value("state", "") : "";
  }

  const std::string& Folder() const { return folder_; }
  std::vector<Host> controls;
  std::vector<Host> fronts;

private:
  static std::string RouteNames(const json& aConfiguration)
  {
    std::string names;
    for (const json& route : aConfiguration["routes"])
      names += (names.empty() ? "" : ",") + route["name"].get<std::string>();
    return names;
  }

  static bool IsFree(const std::string& aAddress)
  {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = SocketAddress(aAddress, 7000);
    const bool isFree =
      ::bind(socket,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address) == 0;
    ::close(socket);
    return isFree;
  }

  Record& record_;
  std::string folder_;
  std::string block_;
};

// What a work unit does once it runs.
struct Plan
{
  std::int64_t duration = 300;
  std::string how = "done";
};

// A worker as PROTOCOL.md describes it, with `preconditions` false. It keeps
// fences, leases, the numbers of ends and its lists.
class Worker
{
public:
  using Planner =
    std::function<Plan(const std::string& aTask, std::int64_t aAttempt)>;
  using StartHook =
    std::function<void(const std::string& aTask, std::int64_t aAttempt)>;

  Worker(Record& aRecord,
         const Fleet& aFleet,
         std::string aId,
         std::string aAddress,
         std::string aService,
         Planner aPlanner)
    : record_(aRecord)
    , fleet_(aFleet)
    , id_(std::move(aId))
    , address_(std::move(aAddress))
    , service_(std::move(aService))
    , planner_(std::move(aPlanner))
  {
  }
  ~Worker() { Crash(false); }

  const std::string& Id() const { return id_; }

  // Starts a life. All it knew of before is gone. The first heartbeat comes
  // after \p aFirstBeat milliseconds.
  bool Start(std::int64_t aFirstBeat = 0)
  {
    firstBeat_ = aFirstBeat;
    {
      const std::lock_guard lock(mutex_);
      born_ = WallMs();
      clockZero_ = SteadyMs() - 1000;
      fence_ = 0;
      until_ = 0;
      sequence_ = 0;
      lastEnd_ = 0;
      running_.clear();
      finished_.clear();
      ended_.clear();
    }
    isUp_ = true;
    if (!server_.Start(address_, 8080, [this](const Request& aRequest) {
          return Handle(aRequest);
        }))
      return false;
    beat_ = std::thread([this] { Beat(); });
    keeper_ = std::thread([this] { Keep(); });
    record_.Line("worker " + id_ + ": up, born " + std::to_string(born_));
    return true;
  }

  // Ends without a word. Everything that runs on it is gone.
  void Crash(bool aIsNoted = true)
  {
    if (!isUp_.exchange(false))
      return;
    changed_.notify_all();
    server_.Stop();
    beat_.join();
    keeper_.join();
    const std::lock_guard lock(mutex_);
    if (aIsNoted)
      record_.Line("worker " + id_ + ": crashed with " +
                   std::to_string(running_.size()) + " runs");
    running_.clear();
  }

  void OnStart(StartHook aHook) { hook_ = std::move(aHook); }
  // \p aHook says whether the worker ends the connection of a start that has
  // arrived without carrying it out.
  void OnArrival(std::function<bool()> aHook) { arrival_ = std::move(aHook); }

  // The number of ends `failed` that this worker has listed, over all lives.
  int FailedEnds() const { return failedEnds_; }
  std::size_t RunCount()
  {
    const std::lock_guard lock(mutex_);
    return running_.size();
  }

private:
  struct Run
  {
    std::int64_t attempt = 0;
    std::int64_t startedAt = 0;
    std::int64_t endsAt = 0;
    Plan plan;
  };

  std::int64_t Clock() const { return SteadyMs() - clockZero_; }

  void Beat()
  {
    std::size_t at = std::hash<std::string>()(id_);
    for (const auto first = SteadyMs() + firstBeat_;
         isUp_ && SteadyMs() < first;)
      Sleep(20);
    while (isUp_) {
      json body{ { "service", service_ },
                 { "addr", address_ + ":8080" },
                 { "zone", "zone-a" },
                 { "version", "v1" },
                 { "slots", 8 },
                 { "state", "ready" },
                 { "cold-left-ms", 0 },
                 { "machine", "m-" + id_ },
                 { "capacity",
                   { { "cpu", 16000 }, { "mem-mb", 32768 }, { "gpu", 0 } } },
                 { "labels", { "a", "r1-1" } } };
      {
        const std::lock_guard lock(mutex_);
        body["clock-ms"] = Clock();
        body["seq"] = ++sequence_;
        body["born"] = born_;
      }
      for (std::size_t tries = 0; isUp_ && tries < fleet_.controls.size();
           ++tries) {
        const auto reply =
          Call(fleet_.controls[at % fleet_.controls.size()].address,
               8345,
               "POST",
               "/instances/" + id_ + "/heartbeat",
               {},
               body.dump(),
               1000);
        if (reply && reply->status / 100 == 2)
          break;
        ++at;
      }
      const std::int64_t next = SteadyMs() + 1500;
      while (isUp_ && SteadyMs() < next)
        Sleep(20);
    }
  }

  void End(const std::string& aTask, const Run& aRun, const std::string& aHow)
  {
    finished_.push_back(
      json::array({ ++lastEnd_, aTask, aRun.attempt, aHow, "" }));
    ended_[aTask] = std::max(ended_[aTask], aRun.attempt);
    failedEnds_ += aHow == "failed" ? 1 : 0;
    record_.Line("worker " + id_ + ": " + aTask + " run " +
                 std::to_string(aRun.attempt) + " ended " + aHow);
    changed_.notify_all();
  }

  // Ends what is due, and everything once the lease has run out.
  void Keep()
  {
    while (isUp_) {
      {
        const std::lock_guard lock(mutex_);
        const std::int64_t now = Clock();
        for (auto it = running_.begin(); it != running_.end();) {
          const bool isLapsed = now >= until_;
          if (!isLapsed && now < it->second.endsAt) {
            ++it;
            continue;
          }
          const Run run = it->second;
          const std::string task = it->first;
          it = running_.erase(it);
          End(task, run, isLapsed ? "lapsed" : run.plan.how);
        }
      }
      Sleep(5);
    }
  }

  Response Answer(int aStatus, json aBody)
  {
    aBody["clock-ms"] = Clock();
    aBody["born"] = born_;
    return { aStatus, aBody.dump() };
  }

  std::optional<Response> Handle(const Request& aRequest)
  {
    std::unique_lock lock(mutex_);
    const auto expected = aRequest.headers.find("expect-instance");
    if (expected != aRequest.headers.end() && expected->second != id_)
      return Answer(421, json::object());
    const json body = json::parse(aRequest.body, nullptr, false);
    if (!body.is_object())
      return Answer(400, json::object());
    const auto fence = body.value("fence", std::uint64_t(0));
    if (fence < fence_)
      return Answer(409, { { "reason", "fence" } });
    fence_ = fence;
    constexpr std::int64_t kMaxHold = 10000;
    if (body.contains("until-ms"))
      until_ = std::max(until_,
                        std::min(body["until-ms"].get<std::int64_t>(),
                                 Clock() + kMaxHold));
    if (aRequest.target == "/run-start") {
      if (arrival_ && arrival_())
        return std::nullopt;
      return StartRun(body);
    }
    if (aRequest.target == "/run-stop")
      return StopRun(body);
    if (aRequest.target == "/pace")
      return Answer(200, json::object());
    if (aRequest.target == "/hold")
      return Hold(body, lock);
    return Answer(404, json::object());
  }

  Response StartRun(const json& aBody)
  {
    const std::string task = aBody["task"];
    const std::int64_t attempt = aBody["attempt"];
    const auto running = running_.find(task);
    if (running != running_.end() && running->second.attempt == attempt)
      return Answer(200, json::object());
    if (running != running_.end() || attempt <= ended_[task])
      return Answer(409, { { "reason", "old" } });
    if (aBody["until-ms"].get<std::int64_t>() < Clock())
      return Answer(409, { { "reason", "late" } });
    Run run;
    run.attempt = attempt;
    run.startedAt = Clock();
    run.plan = planner_(task, attempt);
    run.endsAt = run.startedAt + run.plan.duration;
    running_[task] = run;
    record_.Line("worker " + id_ + ": starts " + task + " run " +
                 std::to_string(attempt));
    if (hook_)
      hook_(task, attempt);
    return Answer(200, json::object());
  }

  Response StopRun(const json& aBody)
  {
    const std::string task = aBody["task"];
    const std::int64_t attempt = aBody["attempt"];
    const auto running = running_.find(task);
    record_.Line("worker " + id_ + ": told to stop " + task + " run " +
                 std::to_string(attempt));
    if (running != running_.end() && running->second.attempt <= attempt) {
      const Run run = running->second;
      running_.erase(running);
      End(task, run, "stopped");
    }
    ended_[task] = std::max(ended_[task], attempt);
    return Answer(200, json::object());
  }

  Response Hold(const json& aBody, std::unique_lock<std::mutex>& aLock)
  {
    const std::int64_t seen = aBody.value("last-seen", std::int64_t(0));
    while (!finished_.empty() &&
           finished_.front()[0].get<std::int64_t>() <= seen)
      finished_.pop_front();
    const std::int64_t wait = aBody.value("wait-ms", std::int64_t(0));
    const std::int64_t last = lastEnd_;
    changed_.wait_for(aLock, std::chrono::milliseconds(wait), [&] {
      return lastEnd_ != last || !isUp_;
    });
    json running = json::array();
    for (const auto& [task, run] : running_) {
      const std::int64_t percent = std::min<std::int64_t>(
        100 * (Clock() - run.startedAt) /
          std::max<std::int64_t>(run.plan.duration, 1),
        99);
      running.push_back(json::array({ task, run.attempt, "", percent, 500 }));
    }
    json finished = json::array();
    for (const json& end : finished_) {
      if (finished.size() >= 500)
        break;
      finished.push_back(end);
    }
    return Answer(200, { { "running", running }, { "finished", finished } });
  }

  Record& record_;
  const Fleet& fleet_;
  std::string id_;
  std::string address_;
  std::string service_;
  Planner planner_;
  StartHook hook_;
  std::function<bool()> arrival_;
  std::int64_t firstBeat_ = 0;
  Server server_;
  std::atomic<bool> isUp_{ false };
  std::thread beat_;
  std::thread keeper_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t born_ = 0;
  std::int64_t clockZero_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t until_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t lastEnd_ = 0;
  std::map<std::string, Run> running_;
  std::list<json> finished_;
  std::map<std::string, std::int64_t> ended_;
  std::atomic<int> failedEnds_{ 0 };
};

inline json
Route(const std::string& aName,
      const std::string& aPrefix,
      const std::string& aService,
      int aAttempts)
{
  return { { "name", aName },       { "host", "queue.example" },
           { "prefix", aPrefix },   { "kind", "unsafe" },
           { "timeout-ms", 3000 },  { "slo-ms", 600 },
           { "prio", 0 },           { "service", aService },
           { "attempts", aAttempts }, { "stretch", 1.6 },
           { "public", false } };
}

inline json
Service(const std::string& aName)
{
  return { { "name", aName },       { "health-path", "/health" },
           { "max-conns", 64 },     { "protocol", "h1" },
           { "tls", false },        { "preconditions", false },
           { "spare", false } };
}

inline json
Configuration(int aVersion, json aRoutes, json aServices)
{
  return { { "version", aVersion },
           { "routes", std::move(aRoutes) },
           { "services", std::move(aServices) },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 262144 },
               { "header-timeout-ms", 3000 },
               { "idle-timeout-ms", 15000 } } },
           { "tenants",
             json::array({ { { "name", "tenant-one" },
                             { "api-keys", { "key-of-tenant-one" } },
                             { "prio", 1 },
                             { "weight", 37 },
                             { "cap",
                               { { "cpu", 2000000 },
                                 { "mem-mb", 9000000 },
                                 { "gpu", 0 } } } } }) } };
}

inline bool
HasTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Ends the whole case as one that could not run if it takes too long.
inline void
LimitTime(int aSeconds)
{
  std::thread([aSeconds] {
    Sleep(std::int64_t(aSeconds) * 1000);
    ::_exit(2);
  }).detach();
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

} // namespace lab
