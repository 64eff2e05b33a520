/// \file
/// What the scripts of this review share: blocking HTTP over loopback, child
/// processes, the settings of a small deployment, and the record.

#ifndef REVIEW_STANDINS_2_KIT_H
#define REVIEW_STANDINS_2_KIT_H

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using Json = nlohmann::json;

inline std::int64_t
SteadyMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline std::int64_t
UnixMillis()
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

/// Appends lines to a file that several processes share.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : fd_(open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
  {
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record() { close(fd_); }
  /// The time is steady milliseconds, the same clock in all processes.
  void Write(const std::string& aWho, const std::string& aWhat)
  {
    const std::string line =
      std::to_string(SteadyMillis()) + " " + aWho + " " + aWhat + "\n";
    [[maybe_unused]] const ssize_t written =
      write(fd_, line.data(), line.size());
  }

private:
  int fd_;
};

struct Address
{
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline Address
ParseAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  return { aText.substr(0, colon),
           static_cast<std::uint16_t>(std::stoi(aText.substr(colon + 1))) };
}

inline sockaddr_in
ToSocket(const Address& aAddress)
{
  sockaddr_in socket{};
  socket.sin_family = AF_INET;
  socket.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.ip.c_str(), &socket.sin_addr);
  return socket;
}

/// A listening socket; -1 if the address can't be had.
inline int
Listen(const Address& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSocket(aAddress);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool
IsFree(const Address& aAddress)
{
  const int fd = Listen(aAddress);
  if (fd >= 0)
    close(fd);
  return fd >= 0;
}

struct Message
{
  std::string start;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Waits for bytes; false after \p aUntil or at the end of the connection.
inline bool
ReadMore(int aFd, std::string& aBuffer, std::int64_t aUntil)
{
  for (;;) {
    const std::int64_t left = aUntil - SteadyMillis();
    if (left <= 0)
      return false;
    pollfd waited{ aFd, POLLIN, 0 };
    const int ready = poll(&waited, 1, static_cast<int>(left));
    if (ready < 0 && errno == EINTR)
      continue;
    if (ready <= 0)
      return false;
    char bytes[65536];
    const ssize_t count = read(aFd, bytes, sizeof(bytes));
    if (count <= 0)
      return false;
    aBuffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
}

inline std::string
Lower(std::string aText)
{
  for (char& character : aText)
    character = static_cast<char>(std::tolower(character));
  return aText;
}

/// Reads one request or response with a Content-Length.
inline std::optional<Message>
ReadMessage(int aFd, std::string& aBuffer, std::int64_t aUntil)
{
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos)
    if (!ReadMore(aFd, aBuffer, aUntil))
      return std::nullopt;
  Message message;
  std::istringstream head(aBuffer.substr(0, end));
  std::getline(head, message.start);
  if (!message.start.empty() && message.start.back() == '\r')
    message.start.pop_back();
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ')
      ++value;
    message.headers[Lower(line.substr(0, colon))] = line.substr(value);
  }
  std::size_t length = 0;
  if (const auto found = message.headers.find("content-length");
      found != message.headers.end())
    length = std::stoul(found->second);
  aBuffer.erase(0, end + 4);
  while (aBuffer.size() < length)
    if (!ReadMore(aFd, aBuffer, aUntil))
      return std::nullopt;
  message.body = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return message;
}

inline bool
WriteAll(int aFd, const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t count =
      send(aFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    done += static_cast<std::size_t>(count);
  }
  return true;
}

/// Closes with a reset instead of an orderly end.
inline void
Reset(int aFd)
{
  const linger now{ 1, 0 };
  setsockopt(aFd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(aFd);
}

struct Response
{
  /// 0: no response came.
  int status = 0;
  std::string body;
  Json Value() const { return Json::parse(body, nullptr, false); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// One call on a connection of its own.
inline Response
Call(const Address& aTo,
     const std::string& aMethod,
     const std::string& aPath,
     const Headers& aHeaders,
     const std::string& aBody,
     std::int64_t aTimeout)
{
  const std::int64_t until = SteadyMillis() + aTimeout;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = ToSocket(aTo);
  Response response;
  if (connect(fd,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    std::string request = aMethod + " " + aPath + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto& [name, value] : aHeaders) {
      request += name + ": " + value + "\r\n";
      hasHost = hasHost || name == "Host";
    }
    if (!hasHost)
      request += "Host: " + aTo.Text() + "\r\n";
    if (!aBody.empty())
      request += "Content-Type: application/json\r\n";
    request += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    request += aBody;
    std::string buffer;
    if (WriteAll(fd, request))
      if (const auto message = ReadMessage(fd, buffer, until);
          message && message->start.size() > 12) {
        response.status = std::stoi(message->start.substr(9, 3));
        response.body = message->body;
      }
  }
  close(fd);
  return response;
}

struct Request
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// No response: the connection is reset.
using Handler = std::function<std::optional<Response>(const Request&)>;

/// Serves each connection on a thread of its own, for the life of the process.
inline bool
Serve(const Address& aAddress, Handler aHandler)
{
  const int listening = Listen(aAddress);
  if (listening < 0)
    return false;
  std::thread([listening, aHandler] {
    for (;;) {
      const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, aHandler] {
        std::string buffer;
        constexpr std::int64_t kIdleMillis = 60000;
        while (const auto message =
                 ReadMessage(fd, buffer, SteadyMillis() + kIdleMillis)) {
          std::istringstream start(message->start);
          Request request;
          start >> request.method >> request.path;
          request.headers = message->headers;
          request.body = message->body;
          const auto response = aHandler(request);
          if (!response) {
            Reset(fd);
            return;
          }
          std::string text =
            "HTTP/1.1 " + std::to_string(response->status) +
            " status\r\nContent-Type: application/json\r\n" +
            "Content-Length: " + std::to_string(response->body.size()) +
            "\r\n\r\n" + response->body;
          if (!WriteAll(fd, text))
            break;
        }
        close(fd);
      }).detach();
    }
  }).detach();
  return true;
}

/// A child process in the repository's root.
class Process
{
public:
  Process(std::vector<std::string> aCommand,
          std::map<std::string, std::string> aEnvironment,
          std::string aLog)
    : command_(std::move(aCommand))
    , environment_(std::move(aEnvironment))
    , log_(std::move(aLog))
  {
    Start();
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { End(); }

  void Start()
  {
    std::vector<char*> arguments;
    for (std::string& word : command_)
      arguments.push_back(word.data());
    arguments.push_back(nullptr);
    pid_ = fork();
    if (pid_ != 0)
      return;
    // No child outlives a script that is ended.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (const auto& [name, value] : environment_)
      setenv(name.c_str(), value.c_str(), 1);
    const int log =
      open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  void Signal(int aSignal) const
  {
    if (pid_ > 0)
      kill(pid_, aSignal);
  }
  /// SIGKILL, as the platform's power loss or a crash.
  void Kill()
  {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  bool IsRunning() const
  {
    return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0;
  }

private:
  void End()
  {
    if (pid_ > 0)
      kill(pid_, SIGCONT);
    Kill();
  }

  std::vector<std::string> command_;
  std::map<std::string, std::string> environment_;
  std::string log_;
  pid_t pid_ = -1;
};

/// Three control hosts and two entry hosts on loopback addresses, started with
/// the command and the settings of the deploy file.
class Deployment
{
public:
  static constexpr int kControlHosts = 3;
  static constexpr int kEntryHosts = 2;

  Deployment()
  {
    char folder[] = "/tmp/review-2-XXXXXX";
    folder_ = mkdtemp(folder);
    std::random_device random;
    std::uniform_int_distribution<int> part(10, 240);
    std::uniform_int_distribution<int> port(12000, 29000);
    do {
      net_ = "127." + std::to_string(part(random)) + "." +
             std::to_string(part(random)) + ".";
      port_ = static_cast<std::uint16_t>(port(random));
    } while (!AreFree());
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment()
  {
    entries.clear();
    controls.clear();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(folder_, ignored);
  }

  void Start()
  {
    for (int index = 0; index < kControlHosts; ++index)
      controls.push_back(StartHost(ControlIp(index), index, true));
    for (int index = 0; index < kEntryHosts; ++index)
      entries.push_back(StartHost(EntryIp(index), index, false));
  }

  const std::string& Folder() const { return folder_; }
  std::string Ip(int aLast) const { return net_ + std::to_string(aLast); }
  std::string ControlIp(int aIndex) const { return Ip(11 + aIndex); }
  std::string EntryIp(int aIndex) const { return Ip(21 + aIndex); }
  Address Control(int aIndex) const
  {
    return { ControlIp(aIndex), static_cast<std::uint16_t>(port_ + 1) };
  }
  Address Front(int aIndex) const
  {
    return { EntryIp(aIndex), static_cast<std::uint16_t>(port_ + 2) };
  }
  Address Ready(int aIndex) const
  {
    return { EntryIp(aIndex), static_cast<std::uint16_t>(port_ + 3) };
  }
  Address Worker(int aIndex) const
  {
    return { Ip(31 + aIndex), static_cast<std::uint16_t>(port_ + 4) };
  }
  std::string ControlList() const
  {
    std::string list;
    for (int index = 0; index < kControlHosts; ++index)
      list += (index == 0 ? "" : ",") + Control(index).Text();
    return list;
  }

  /// Sends the operator's call to the control hosts in turn until it gets an
  /// answer that ends it; status 0 after the time.
  Response Operate(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody,
                   std::int64_t aMillis) const
  {
    const std::int64_t until = SteadyMillis() + aMillis;
    for (int turn = 0; SteadyMillis() < until; ++turn) {
      const Response response =
        Call(Control(turn % kControlHosts), aMethod, aPath, {}, aBody, 1000);
      if (response.status == 200 || response.status == 400)
        return response;
      Sleep(100);
    }
    return {};
  }

  /// Waits until all entry hosts are ready.
  bool AwaitReady(std::int64_t aMillis) const
  {
    const std::int64_t until = SteadyMillis() + aMillis;
    for (int index = 0; index < kEntryHosts; ++index)
      while (Call(Ready(index), "GET", "/ready", {}, "", 500).status != 200) {
        if (SteadyMillis() > until)
          return false;
        Sleep(50);
      }
    return true;
  }

  /// The number of the control host that leads, by what the hosts log.
  int Leader() const
  {
    int leader = -1;
    std::int64_t latest = -1;
    for (int index = 0; index < kControlHosts; ++index) {
      std::ifstream log(folder_ + "/" + ControlIp(index) + ".log");
      bool leads = false;
      std::int64_t term = -1;
      for (std::string line; std::getline(log, line);) {
        const std::size_t at = line.find("scheduling-begun term=");
        if (at != std::string::npos) {
          leads = true;
          term = std::stoll(line.substr(at + 22));
        } else if (line.find("scheduling-ended") != std::string::npos) {
          leads = false;
        }
      }
      if (leads && term > latest) {
        leader = index;
        latest = term;
      }
    }
    return leader;
  }

  std::vector<std::unique_ptr<Process>> controls;
  std::vector<std::unique_ptr<Process>> entries;

private:
  bool AreFree() const
  {
    constexpr std::uint16_t kMetrics = 9464;
    for (const int last :
         { 11, 12, 13, 21, 22, 31, 32, 33, 34, 35, 36, 37, 38, 39, 40, 41, 42 })
      for (const int offset : { 0, 1, 2, 3, 4 })
        if (!IsFree({ Ip(last), static_cast<std::uint16_t>(port_ + offset) }) ||
            !IsFree({ Ip(last), kMetrics }))
          return false;
    return true;
  }

  /// What deploy/settings.ini.in makes of the platform's fields, without a
  /// provider of machines and without an adviser.
  std::unique_ptr<Process> StartHost(const std::string& aIp,
                                     int aIndex,
                                     bool aIsControl) const
  {
    static const char* const kZones[] = { "serra-a", "serra-b", "serra-c" };
    const std::string settings = folder_ + "/" + aIp + ".ini";
    std::ofstream out(settings);
    out << "[host]\naddress = " << aIp
        << "\navailability_zone = " << kZones[aIndex] << "\n";
    if (aIsControl)
      out << "data_folder = " << folder_ << "/" << aIp << ".data\n";
    out << "[peers]\nport = " << port_
        << "\nsecret = greengagepick-fleet-secret\nseeds = " << ControlList()
        << "\n[agreed]\ntolerated_losses = 1\nbootstrap = true\n[ports]\n";
    if (aIsControl)
      out << "control = " << Control(aIndex).Text() << "\n";
    else
      out << "callers = " << Front(aIndex).Text()
          << "\nreadiness = " << Ready(aIndex).Text() << "\n";
    out << "metrics = " << aIp << ":9464\n"
        << "[hosts]\norder_gap = 3000ms\nmove_time = 1.5s\n"
        << "[scheduling]\nmax_lease = 10000ms\njob_retention = 120s\n";
    out.close();
    return std::make_unique<Process>(
      std::vector<std::string>{ "target/tools/greengaged/greengaged", "jobs" },
      std::map<std::string, std::string>{
        { "GREENGAGEPICK_SETTINGS", settings } },
      folder_ + "/" + aIp + ".log");
  }

  std::string folder_;
  std::string net_;
  std::uint16_t port_ = 0;
};

inline bool
IsTroubled()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace kit

#endif // REVIEW_STANDINS_2_KIT_H
