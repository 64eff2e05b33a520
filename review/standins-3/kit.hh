/// \file
/// Stand-ins for clients, workers and the operator of the third review, and a
/// small deployment of the project's own processes on loopback addresses.

#ifndef GREENGAGE_REVIEW_STANDINS3_KIT_HH
#define GREENGAGE_REVIEW_STANDINS3_KIT_HH

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit3 {

using Json = nlohmann::json;
using Millis = std::int64_t;

inline Millis
SteadyMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline Millis
UnixMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
Sleep(Millis aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

/// What was sent, answered and run, one line each, with the milliseconds since
/// the scene began.
class Record
{
public:
  void Open(const std::string& aPath) { out_.open(aPath); }
  void Write(const std::string& aText)
  {
    const std::lock_guard lock(mutex_);
    const std::string line =
      std::to_string(SteadyMillis() - start_) + " " + aText;
    out_ << line << std::endl;
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
  }

private:
  std::mutex mutex_;
  std::ofstream out_;
  Millis start_ = SteadyMillis();
};

inline Record&
TheRecord()
{
  static Record record;
  return record;
}

inline void
Note(const std::string& aText)
{
  TheRecord().Write(aText);
}

/// The case could not run.
[[noreturn]] void
CannotRun(const std::string& aWhy);

struct Address
{
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &to.sin_addr);
  return to;
}

struct Message
{
  std::string start;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// One HTTP/1.1 message after the other from a socket.
class Reader
{
public:
  explicit Reader(int aSocket)
    : socket_(aSocket)
  {
  }
  /// \returns false at the end of the connection or at \p aUntil.
  bool Read(Message& aMessage, Millis aUntil)
  {
    aMessage = {};
    std::size_t end = 0;
    while ((end = data_.find("\r\n\r\n")) == std::string::npos)
      if (!Fill(aUntil))
        return false;
    std::size_t length = 0;
    std::size_t at = data_.find("\r\n");
    aMessage.start = data_.substr(0, at);
    while (at < end) {
      const std::size_t begin = at + 2;
      at = data_.find("\r\n", begin);
      std::string name;
      const std::size_t colon = data_.find(':', begin);
      for (std::size_t i = begin; i < colon && i < at; ++i)
        name += static_cast<char>(std::tolower(data_[i]));
      std::size_t value = colon + 1;
      while (value < at && data_[value] == ' ')
        ++value;
      aMessage.headers[name] = data_.substr(value, at - value);
    }
    if (aMessage.headers.count("content-length") != 0)
      length = std::stoul(aMessage.headers["content-length"]);
    while (data_.size() < end + 4 + length)
      if (!Fill(aUntil))
        return false;
    aMessage.body = data_.substr(end + 4, length);
    data_.erase(0, end + 4 + length);
    return true;
  }

private:
  bool Fill(Millis aUntil)
  {
    const Millis left = aUntil - SteadyMillis();
    pollfd wait{ .fd = socket_, .events = POLLIN, .revents = 0 };
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[16384];
    const ssize_t count = recv(socket_, bytes, sizeof(bytes), 0);
    if (count <= 0)
      return false;
    data_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  int socket_;
  std::string data_;
};

inline bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

struct Response
{
  /// 0 if there was none.
  int status = 0;
  std::string body;
};

/// Makes a call on a connection of its own.
inline Response
Call(const Address& aTo,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aHost,
     const std::string& aBody,
     Millis aTimeout = 3000,
     const std::string& aKey = {})
{
  const Millis until = SteadyMillis() + aTimeout;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = ToSocketAddress(aTo);
  Response response;
  timeval limit{ .tv_sec = aTimeout / 1000,
                 .tv_usec = (aTimeout % 1000) * 1000 };
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) ==
      0) {
    std::string bytes = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
                        "\r\nContent-Type: application/json\r\n";
    if (!aKey.empty())
      bytes += "Authorization: Token " + aKey + "\r\n";
    bytes += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    Message message;
    Reader reader(socket);
    if (SendAll(socket, bytes + aBody) && reader.Read(message, until) &&
        message.start.size() > 12) {
      response.status = std::atoi(message.start.c_str() + 9);
      response.body = message.body;
    }
  }
  close(socket);
  return response;
}

/// An HTTP server that can crash: it stops to listen and resets what is open.
class Server
{
public:
  using Handler = std::function<Response(const std::string& aMethod,
                                         const std::string& aPath,
                                         const Message& aRequest)>;
  Server(Address aAddress, Handler aHandler)
    : address_(std::move(aAddress))
    , handler_(std::move(aHandler))
  {
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() { Crash(); }

  bool Start()
  {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in at = ToSocketAddress(address_);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) !=
          0 ||
        listen(listener_, 64) != 0)
      return false;
    isUp_ = true;
    thread_ = std::thread([this] { Accept(); });
    return true;
  }

  void Crash()
  {
    if (!isUp_.exchange(false))
      return;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    thread_.join();
    std::unique_lock lock(mutex_);
    for (const int open : open_) {
      const linger reset{ .l_onoff = 1, .l_linger = 0 };
      setsockopt(open, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(open, SHUT_RD);
    }
    idle_.wait(lock, [this] { return open_.empty(); });
  }
  bool IsUp() const { return isUp_; }

private:
  void Accept()
  {
    for (;;) {
      const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        return;
      const int yes = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
      const std::lock_guard lock(mutex_);
      open_.insert(accepted);
      std::thread([this, accepted] { Serve(accepted); }).detach();
    }
  }
  void Serve(int aSocket)
  {
    Reader reader(aSocket);
    Message request;
    while (isUp_ && reader.Read(request, SteadyMillis() + 600000) && isUp_) {
      const std::size_t first = request.start.find(' ');
      const std::size_t second = request.start.find(' ', first + 1);
      const Response response =
        handler_(request.start.substr(0, first),
                 request.start.substr(first + 1, second - first - 1),
                 request);
      if (!isUp_ || response.status == 0)
        break;
      SendAll(aSocket,
              "HTTP/1.1 " + std::to_string(response.status) +
                " x\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(response.body.size()) + "\r\n\r\n" +
                response.body);
    }
    const std::lock_guard lock(mutex_);
    open_.erase(aSocket);
    close(aSocket);
    idle_.notify_all();
  }

  const Address address_;
  const Handler handler_;
  int listener_ = -1;
  std::thread thread_;
  std::atomic<bool> isUp_ = false;
  std::mutex mutex_;
  std::condition_variable idle_;
  std::set<int> open_;
};

/// A process of the project.
class Process
{
public:
  Process(std::string aSettings, std::string aLog)
    : settings_(std::move(aSettings))
    , log_(std::move(aLog))
  {
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { Kill(); }

  void Start()
  {
    const char* program = "target/tools/greengaged/greengaged";
    pid_ = fork();
    if (pid_ != 0)
      return;
    const int log =
      open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, 1);
    dup2(log, 2);
    setenv("GREENGAGEPICK_SETTINGS", settings_.c_str(), 1);
    execl(program, program, "jobs", nullptr);
    _exit(127);
  }
  void Signal(int aSignal) const
  {
    if (pid_ > 0)
      kill(pid_, aSignal);
  }
  void Kill()
  {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  /// Whether the process has ended by itself.
  bool HasEnded()
  {
    if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_)
      return false;
    pid_ = -1;
    return true;
  }

private:
  std::string settings_;
  std::string log_;
  pid_t pid_ = -1;
};

/// A small deployment: control hosts with disks, and entry hosts.
class Deployment
{
public:
  static constexpr int kControls = 3;
  static constexpr int kEntries = 2;

  /// \param aHasPlatform whether the settings name the platform's address.
  explicit Deployment(bool aHasPlatform = false, int aEntries = kEntries)
    : entries_(aEntries)
  {
    char folder[] = "/tmp/review-3-XXXXXX";
    folder_ = mkdtemp(folder);
    ChooseNetwork();
    std::string seeds;
    for (int i = 0; i < kControls; ++i)
      seeds += (i > 0 ? "," : "") + Control(i).Text();
    for (int i = 0; i < kControls + entries_; ++i) {
      const bool isControl = i < kControls;
      const std::string ip = Ip(i + 1);
      const std::string name = folder_ + "/" + ip;
      std::filesystem::create_directories(name + ".data");
      std::ofstream settings(name + ".ini");
      settings << "[host]\naddress = " << ip << "\navailability_zone = serra-"
               << char('a' + i % 3) << "\n"
               << (isControl ? "data_folder = " + name + ".data\n" : "")
               << "[peers]\nport = 7000\nsecret = greengagepick-fleet-secret\n"
               << "seeds = " << seeds << "\n[agreed]\ntolerated_losses = 1\n"
               << "bootstrap = true\n[ports]\n"
               << (isControl ? "control = " + ip + ":8345\n"
                             : "callers = " + ip + ":8340\nreadiness = " + ip +
                                 ":8343\n")
               << "metrics = " << ip << ":9464\n[hosts]\n"
               << (aHasPlatform ? "provider = " + Platform().Text() + "\n" : "")
               << "order_gap = 3000ms\nmove_time = 1.5s\n"
               << "[placement]\n[scheduling]\nmax_lease = 10000ms\n"
               << "job_retention = 120s\n";
      settings.close();
      processes_.push_back(
        std::make_unique<Process>(name + ".ini", name + ".log"));
    }
  }
  ~Deployment()
  {
    processes_.clear();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(folder_, ignored);
    else
      std::printf("%s\n", folder_.c_str());
  }

  Address Control(int aIndex) const { return { Ip(aIndex + 1), 8345 }; }
  Address Entry(int aIndex) const
  {
    return { Ip(kControls + aIndex + 1), 8340 };
  }
  Address Worker(int aIndex) const { return { Ip(100 + aIndex), 8786 }; }
  Address Platform() const { return { Ip(90), 8344 }; }
  Process& ControlProcess(int aIndex) { return *processes_.at(aIndex); }
  Process& EntryProcess(int aIndex)
  {
    return *processes_.at(kControls + aIndex);
  }

  /// Starts all processes and has the configuration accepted.
  void Start(const Json& aConfiguration)
  {
    if (!std::filesystem::exists("target/tools/greengaged/greengaged"))
      CannotRun("the project is not built");
    for (auto& process : processes_)
      process->Start();
    PutConfiguration(aConfiguration);
    for (int entry = 0; entry < entries_; ++entry)
      for (int tries = 0;; ++tries) {
        const Address ready{ Entry(entry).ip, 8343 };
        if (Call(ready, "GET", "/ready", "x", "", 500).status == 200)
          break;
        if (tries > 200)
          CannotRun("an entry host is not ready");
        Sleep(50);
      }
    Note("the deployment is ready");
  }

  /// The control host that began to lead last, by the logs; -1 if there is
  /// none.
  int Leader() const
  {
    int leader = -1;
    std::string latest;
    for (int i = 0; i < kControls; ++i) {
      std::ifstream log(folder_ + "/" + Ip(i + 1) + ".log");
      for (std::string line; std::getline(log, line);)
        if (line.find("scheduling-begun") != std::string::npos &&
            line.substr(0, 23) > latest) {
          latest = line.substr(0, 23);
          leader = i;
        }
    }
    return leader;
  }

  void PutConfiguration(const Json& aConfiguration)
  {
    for (int tries = 0; tries < 200; ++tries) {
      const Response response = Call(Control(tries % kControls),
                                     "POST",
                                     "/config/put",
                                     "x",
                                     aConfiguration.dump(),
                                     1000);
      if (response.status == 200) {
        Note("config " + aConfiguration["version"].dump() + " acknowledged");
        return;
      }
      Sleep(100);
    }
    CannotRun("the configuration was not accepted");
  }

private:
  std::string Ip(int aNumber) const
  {
    return network_ + std::to_string(aNumber);
  }
  void ChooseNetwork()
  {
    for (int tries = 0; tries < 100; ++tries) {
      const int seed = static_cast<int>(getpid()) + tries * 977;
      network_ = "127." + std::to_string(20 + seed % 200) + "." +
                 std::to_string(1 + seed / 200 % 250) + ".";
      const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in at = ToSocketAddress({ Ip(1), 8345 });
      const bool isFree =
        bind(probe, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
      close(probe);
      if (isFree)
        return;
    }
    CannotRun("no free address");
  }

  const int entries_;
  std::string folder_;
  std::string network_;
  std::vector<std::unique_ptr<Process>> processes_;
};

/// A worker by PROTOCOL.md: it runs what it is told to for as long as its lease
/// lasts. A life of it ends with Crash, and Start begins the next one, which
/// knows nothing of those before.
class Worker
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    std::string rack;
    std::string machine;
    std::string kind = "a";
    Address address;
    std::vector<Address> controls;
    int cpu = 16000;
    int memory = 32768;
  };
  /// How long a work unit works; none if it lasts until it is stopped.
  using WorkOf = std::function<std::optional<Millis>(const std::string& aTask)>;

  Worker(Options aOptions, WorkOf aWorkOf)
    : options_(std::move(aOptions))
    , workOf_(std::move(aWorkOf))
  {
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  ~Worker() { Crash(); }

  const std::string& Id() const { return options_.id; }
  const std::string& Machine() const { return options_.machine; }

  void Start()
  {
    {
      const std::lock_guard lock(mutex_);
      life_ += 1;
      bornSteady_ = SteadyMillis();
      born_ = UnixMillis();
      fence_ = 0;
      leaseEnd_ = 0;
      runs_.clear();
      ends_.clear();
      highest_.clear();
      lastEnd_ = 0;
      isUp_ = true;
    }
    server_ =
      std::make_unique<Server>(options_.address,
                               [this](const std::string& aMethod,
                                      const std::string& aPath,
                                      const Message& aRequest) {
                                 return Handle(aMethod, aPath, aRequest);
                               });
    if (!server_->Start())
      CannotRun("the address of a worker is in use");
    Note(options_.id + " up, life " + std::to_string(life_));
    beats_ = std::thread([this, life = life_] { SendHeartbeats(life); });
    work_ = std::thread([this, life = life_] { EndRuns(life); });
  }

  void Crash()
  {
    std::string lost;
    {
      const std::lock_guard lock(mutex_);
      if (!isUp_)
        return;
      isUp_ = false;
      for (const auto& [task, run] : runs_)
        lost += " " + task + "/" + std::to_string(run.attempt);
      runs_.clear();
      changed_.notify_all();
    }
    server_->Crash();
    beats_.join();
    work_.join();
    Note(options_.id + " down, with it" + (lost.empty() ? " nothing" : lost));
  }

  /// The worker begins the next run that it is told to, answers nothing, and
  /// waits for Crash.
  void HangAtNextStart()
  {
    const std::lock_guard lock(mutex_);
    hangsAtStart_ = true;
  }
  bool HasHungAtStart()
  {
    const std::lock_guard lock(mutex_);
    return hasHungAtStart_;
  }
  void CancelHang()
  {
    const std::lock_guard lock(mutex_);
    hangsAtStart_ = false;
  }
  /// The next life takes calls and answers none; its heartbeats are sent.
  void AnswerNothing()
  {
    const std::lock_guard lock(mutex_);
    answersNothing_ = true;
  }
  /// Whether a heartbeat of this life was acknowledged.
  bool IsRegistered()
  {
    const std::lock_guard lock(mutex_);
    return registeredLife_ == life_;
  }
  std::vector<std::string> Running()
  {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> tasks;
    for (const auto& [task, run] : runs_)
      tasks.push_back(task);
    return tasks;
  }
  /// Whether the work unit has begun here in this life.
  bool HasBegun(const std::string& aTask)
  {
    const std::lock_guard lock(mutex_);
    return runs_.count(aTask) != 0 || highest_.count(aTask) != 0;
  }
  /// How long ago the work unit began here; none if it doesn't run here.
  std::optional<Millis> AgeOf(const std::string& aTask)
  {
    const std::lock_guard lock(mutex_);
    const auto run = runs_.find(aTask);
    if (run == runs_.end())
      return std::nullopt;
    return Clock() - run->second.startedAt;
  }

private:
  struct Run
  {
    std::int64_t attempt = 0;
    Millis startedAt = 0;
    std::optional<Millis> work;
    bool isStopped = false;
  };
  static constexpr Millis kMaxLease = 10000;

  Millis Clock() const { return SteadyMillis() - bornSteady_; }

  void SendHeartbeats(int aLife)
  {
    std::size_t at = 0;
    for (std::int64_t sequence = 1;; ++sequence) {
      const Json labels = Json::array({ options_.kind, options_.rack });
      Json body{ { "service", options_.service },
                 { "addr", options_.address.Text() },
                 { "machine", options_.machine },
                 { "zone", "serra-a" },
                 { "version", "v1" },
                 { "slots", 8 },
                 { "state", "ready" },
                 { "cold-left-ms", 0 },
                 { "capacity",
                   { { "cpu", options_.cpu },
                     { "mem-mb", options_.memory },
                     { "gpu", 0 } } },
                 { "labels", labels },
                 { "seq", sequence } };
      {
        const std::lock_guard lock(mutex_);
        if (!isUp_ || life_ != aLife)
          return;
        body["clock-ms"] = Clock();
        body["born"] = born_;
      }
      for (std::size_t tries = 0; tries < options_.controls.size(); ++tries) {
        const Response response =
          Call(options_.controls[at],
               "POST",
               "/instances/" + options_.id + "/heartbeat",
               "x",
               body.dump(),
               1000);
        if (response.status >= 200 && response.status < 300) {
          const std::lock_guard lock(mutex_);
          registeredLife_ = aLife;
          break;
        }
        at = (at + 1) % options_.controls.size();
      }
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, std::chrono::milliseconds(1500), [&] {
        return !isUp_ || life_ != aLife;
      });
      if (!isUp_ || life_ != aLife)
        return;
    }
  }

  Response Answer(int aStatus, Json aBody = Json::object()) const
  {
    aBody["clock-ms"] = Clock();
    aBody["born"] = born_;
    return { .status = aStatus, .body = aBody.dump() };
  }
  Response Refuse(const char* aReason) const
  {
    return Answer(409, { { "reason", aReason } });
  }

  Response Handle(const std::string& aMethod,
                  const std::string& aPath,
                  const Message& aRequest)
  {
    std::unique_lock lock(mutex_);
    if (!isUp_ || !AwaitCrash(answersNothing_ && life_ > 1, lock))
      return {};
    const auto expected = aRequest.headers.find("expect-instance");
    if (expected != aRequest.headers.end() && expected->second != options_.id)
      return Answer(421);
    const Json body = Json::parse(aRequest.body, nullptr, false);
    if (aMethod != "POST" || !body.is_object())
      return Answer(400);
    const auto fence = body.value("fence", std::uint64_t(0));
    if (fence < fence_)
      return Refuse("fence");
    fence_ = fence;
    if (aPath == "/run-start") {
      const Response response = StartRun(body);
      const bool isHung = hangsAtStart_ && response.status == 200;
      hasHungAtStart_ = hasHungAtStart_ || isHung;
      return AwaitCrash(isHung, lock) ? response : Response();
    }
    if (aPath == "/run-stop")
      return StopRun(body);
    if (aPath == "/hold")
      return Hold(body, lock);
    return Answer(404);
  }

  /// \returns true at once, unless the worker hangs: false after its crash.
  bool AwaitCrash(bool aIsHung, std::unique_lock<std::mutex>& aLock)
  {
    const int life = life_;
    if (aIsHung)
      changed_.wait(aLock, [&] { return !isUp_ || life_ != life; });
    return !aIsHung;
  }

  void ExtendLease(const Json& aBody)
  {
    if (!aBody.contains("until-ms"))
      return;
    leaseEnd_ =
      std::max(leaseEnd_,
               std::min(aBody["until-ms"].get<Millis>(), Clock() + kMaxLease));
    changed_.notify_all();
  }

  Response StartRun(const Json& aBody)
  {
    const std::string task = aBody.value("task", "");
    const auto attempt = aBody.value("attempt", std::int64_t(0));
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.attempt == attempt) {
      ExtendLease(aBody);
      return Answer(200);
    }
    const auto highest = highest_.find(task);
    if (run != runs_.end() ||
        (highest != highest_.end() && attempt <= highest->second)) {
      ExtendLease(aBody);
      return Refuse("old");
    }
    if (aBody.value("until-ms", Millis(0)) <= Clock())
      return Refuse("late");
    ExtendLease(aBody);
    runs_[task] = { .attempt = attempt,
                    .startedAt = Clock(),
                    .work = workOf_(task) };
    Note("start of " + task + " attempt " + std::to_string(attempt) + " on " +
         options_.id + ", life " + std::to_string(life_));
    changed_.notify_all();
    return Answer(200);
  }

  Response StopRun(const Json& aBody)
  {
    const std::string task = aBody.value("task", "");
    const auto attempt = aBody.value("attempt", std::int64_t(0));
    highest_[task] = std::max(highest_[task], attempt);
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.attempt <= attempt)
      run->second.isStopped = true;
    changed_.notify_all();
    return Answer(200);
  }

  Response Hold(const Json& aBody, std::unique_lock<std::mutex>& aLock)
  {
    ExtendLease(aBody);
    const auto seen = aBody.value("last-seen", std::int64_t(0));
    std::erase_if(ends_, [&](const Json& aEnd) { return aEnd[0] <= seen; });
    const Millis wait =
      std::min(aBody.value("wait-ms", Millis(0)), Millis(2000));
    const int life = life_;
    changed_.wait_for(aLock, std::chrono::milliseconds(wait), [&] {
      return !ends_.empty() || !isUp_ || life_ != life;
    });
    if (!isUp_ || life_ != life)
      return {};
    Json running = Json::array();
    for (const auto& [task, run] : runs_) {
      Millis percent = 100;
      if (run.work)
        percent = std::min<Millis>(
          99, (Clock() - run.startedAt) * 100 / std::max<Millis>(*run.work, 1));
      running.push_back(Json::array({ task, run.attempt, "", percent, 500 }));
    }
    return Answer(200, { { "running", running }, { "finished", Json(ends_) } });
  }

  void EndRuns(int aLife)
  {
    std::unique_lock lock(mutex_);
    while (isUp_ && life_ == aLife) {
      Millis next = Clock() + 1000;
      for (auto run = runs_.begin(); run != runs_.end();) {
        const Millis now = Clock();
        const char* how = nullptr;
        if (run->second.isStopped)
          how = "stopped";
        else if (now > leaseEnd_)
          how = "lapsed";
        else if (run->second.work &&
                 now >= run->second.startedAt + *run->second.work)
          how = "done";
        if (how == nullptr) {
          next = std::min(next, leaseEnd_ + 1);
          if (run->second.work)
            next = std::min(next, run->second.startedAt + *run->second.work);
          ++run;
          continue;
        }
        ends_.push_back(Json::array(
          { ++lastEnd_, run->first, run->second.attempt, how, "" }));
        highest_[run->first] =
          std::max(highest_[run->first], run->second.attempt);
        Note("end of " + run->first + " attempt " +
             std::to_string(run->second.attempt) + " on " + options_.id + ": " +
             how);
        run = runs_.erase(run);
        changed_.notify_all();
      }
      changed_.wait_for(
        lock, std::chrono::milliseconds(std::max<Millis>(next - Clock(), 1)));
    }
  }

  const Options options_;
  const WorkOf workOf_;
  std::unique_ptr<Server> server_;
  std::thread beats_;
  std::thread work_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool isUp_ = false;
  bool hangsAtStart_ = false;
  bool hasHungAtStart_ = false;
  bool answersNothing_ = false;
  int life_ = 0;
  int registeredLife_ = 0;
  Millis bornSteady_ = 0;
  Millis born_ = 0;
  std::uint64_t fence_ = 0;
  Millis leaseEnd_ = 0;
  std::map<std::string, Run> runs_;
  std::vector<Json> ends_;
  std::map<std::string, std::int64_t> highest_;
  std::int64_t lastEnd_ = 0;
};

constexpr const char* kHost = "pule25.example";

inline Json
Queue(const std::string& aName,
      const std::string& aPrefix,
      const std::string& aService,
      int aAttempts)
{
  return {
    { "name", aName },    { "host", kHost },       { "prefix", aPrefix },
    { "kind", "unsafe" }, { "timeout-ms", 3000 },  { "slo-ms", 2500 },
    { "prio", 0 },        { "service", aService }, { "attempts", aAttempts },
    { "stretch", 2.2 },   { "public", true }
  };
}

inline Json
Configuration(int aVersion,
              const std::vector<std::string>& aServices,
              const Json& aQueues)
{
  Json services = Json::array();
  for (const std::string& name : aServices)
    services.push_back({ { "name", name },
                         { "health-path", "/health" },
                         { "max-conns", 64 },
                         { "protocol", "h1" },
                         { "tls", false },
                         { "preconditions", false },
                         { "spare", false } });
  return { { "version", aVersion },
           { "routes", aQueues },
           { "services", services },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 262144 },
               { "header-timeout-ms", 3000 },
               { "idle-timeout-ms", 15000 } } },
           { "tenants", Json::array() } };
}

/// A consumer: hands in, asks for the state and cancels, and asks again, at the
/// other entry host, where it gets no clear answer.
class Client
{
public:
  explicit Client(const Deployment& aDeployment)
    : deployment_(aDeployment)
  {
  }
  Response Ask(const std::string& aMethod,
               const std::string& aPath,
               const std::string& aBody = {},
               Millis aPatience = 10000)
  {
    const Millis until = SteadyMillis() + aPatience;
    Response response;
    for (;;) {
      response = Call(deployment_.Entry(entry_++ % Deployment::kEntries),
                      aMethod,
                      aPath,
                      kHost,
                      aBody);
      const bool isClear =
        response.status != 0 && response.status < 500 && response.status != 429;
      if (isClear || SteadyMillis() > until)
        return response;
      Sleep(100);
    }
  }
  void Submit(const std::string& aPath, const Json& aSubmission)
  {
    const Response response = Ask("POST", aPath, aSubmission.dump());
    Note("POST " + aPath + " -> " + std::to_string(response.status));
    if (response.status != 200)
      CannotRun("a submission was not accepted");
  }
  void Cancel(const std::string& aPath)
  {
    const Response response = Ask("DELETE", aPath);
    Note("DELETE " + aPath + " -> " + std::to_string(response.status));
  }
  std::string StateOf(const std::string& aPath)
  {
    const Response response = Ask("GET", aPath);
    const Json body = Json::parse(response.body, nullptr, false);
    if (response.status != 200 || !body.is_object())
      return "status " + std::to_string(response.status);
    return body.value("state", "");
  }

private:
  const Deployment& deployment_;
  int entry_ = 0;
};

template<typename Predicate>
bool
Await(Predicate aPredicate, Millis aPatience)
{
  const Millis until = SteadyMillis() + aPatience;
  while (!aPredicate()) {
    if (SteadyMillis() > until)
      return false;
    Sleep(5);
  }
  return true;
}

struct CaseCannotRun
{};

inline void
CannotRun(const std::string& aWhy)
{
  Note("cannot run: " + aWhy);
  throw CaseCannotRun();
}

inline bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// Runs a scene. \returns the exit status of the script: 1 if the scene says
/// that the rule was broken, 0 if it held, 2 if the scene could not run.
inline int
RunScene(const char* aRecord, const std::function<bool()>& aIsBroken)
{
  std::signal(SIGPIPE, SIG_IGN);
  TheRecord().Open(aRecord);
  try {
    const bool isBroken = aIsBroken();
    Note(isBroken ? "RULE BROKEN" : "the rule held");
    return isBroken ? 1 : 0;
  } catch (const CaseCannotRun&) {
    return 2;
  }
}

} // namespace kit3

#endif // GREENGAGE_REVIEW_STANDINS3_KIT_HH
