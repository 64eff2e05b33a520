/// \file
/// A small fleet of real processes on the loopback for tests: entry hosts and
/// stand-in upstreams that a test can stop, kill, freeze and start again.

#ifndef GREENGAGE_UNITTESTS_SYSTEM_FLEET_H
#define GREENGAGE_UNITTESTS_SYSTEM_FLEET_H

#include "greengage/core/Endpoint.h"
#include "greengage/load/Load.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengage::system_tests {

/// A child process that is killed at the latest when it goes out of scope.
class Process
{
public:
  explicit Process(const std::vector<std::string>& aArguments);
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&&) = delete;
  ~Process();

  void Signal(int aSignal) const;
  /// The exit code, or 128 plus the signal; nothing if it runs on.
  std::optional<int> Wait(std::chrono::milliseconds aLimit);
  pid_t Id() const { return id_; }

private:
  pid_t id_ = -1;
};

/// Ports of one entry host.
struct HostPorts
{
  Endpoint callers;
  Endpoint upstreams;
  Endpoint operators;
  Endpoint peers;
};

/// How a test's fleet looks.
struct FleetOptions
{
  /// The availability zone of each entry host.
  std::vector<std::string> zones = { "z1", "z1", "z1", "z2", "z2", "z3", "z3" };
  /// The hosts with disks, as far as the fleet has so many hosts.
  std::vector<std::size_t> voters = { 0, 3, 5 };
  std::size_t workersPerZone = 2;
  /// Workers that leave stay for five seconds and take any work they get.
  bool workersLinger = false;
  /// Lines of the settings tree in place of the default limits.
  std::string defaults = "limit = 64\nqueue.max = 2000\n";
  std::string shutdownNotice = "200ms";
  std::string shutdownTimeout = "20s";
};

/// Starts everything, and ends it with the test.
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions = {});
  ~Fleet();

  void StartHost(std::size_t aHost);
  Process& Host(std::size_t aHost) { return hosts_.at(aHost); }
  void ForgetHost(std::size_t aHost) { hosts_.erase(aHost); }
  Process& Workers(const std::string& aZone) { return workers_.at(aZone); }
  const HostPorts& Ports(std::size_t aHost) const { return ports_.at(aHost); }
  std::size_t size() const { return options_.zones.size(); }

  /// Waits until /readyz of a host says \p aStatus.
  void AwaitReady(std::size_t aHost, unsigned aStatus = 200) const;
  /// Waits until the hosts report so many free slots in all.
  void AwaitSlots(double aSlots) const;
  /// Waits until the replicas of all hosts serve the records of request ids.
  void AwaitRecords() const;
  /// Waits until a metric of one host has a value.
  void AwaitMetric(std::size_t aHost,
                   const std::string& aName,
                   double aValue) const;
  double SumMetric(const std::string& aName) const;

  /// A load over all hosts for both teams.
  load::LoadOptions Load(double aRate, Duration aSpan) const;
  /// Runs a load in the background; it must not be empty.
  static std::future<load::LoadReport> StartLoad(
    const load::LoadOptions& aOptions);
  std::string Key(const std::string& aTeam) const { return keys_.at(aTeam); }
  /// The lines of the workers' record.
  std::vector<nlohmann::json> Record() const;
  /// Starts of each request id that the workers recorded, by "team id".
  std::map<std::string, int> Runs() const;
  const std::filesystem::path& Folder() const { return folder_; }
  std::string SettingsPath(std::size_t aHost) const;
  std::filesystem::path DataFolder(std::size_t aHost) const;

private:
  double Metric(std::size_t aHost, const std::string& aName) const;
  std::string NewKey(const std::string& aId);
  void WriteFleetFile();
  bool IsVoter(std::size_t aHost) const;
  std::string VoterNames() const;
  void WriteSettings(std::size_t aHost) const;
  void StartWorkers();

  FleetOptions options_;
  std::filesystem::path folder_;
  std::vector<HostPorts> ports_;
  /// Keys by team, or "operator" and "upstream".
  std::map<std::string, std::string> keys_;
  std::map<std::string, std::string> digests_;
  std::map<std::size_t, Process> hosts_;
  std::map<std::string, Process> workers_;
};

} // namespace greengage::system_tests

#endif // GREENGAGE_UNITTESTS_SYSTEM_FLEET_H
