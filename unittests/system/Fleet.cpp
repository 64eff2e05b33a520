#include "Fleet.h"

#include "Http.h"

#include "greengage/state/Key.h"
#include "greengage/support/FreePort.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

using namespace greengage;
using namespace greengage::system_tests;

using std::chrono::milliseconds;

static constexpr milliseconds kPollInterval(20);
static constexpr std::chrono::seconds kAwaitLimit(15);

Process::Process(const std::vector<std::string>& aArguments)
{
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (const std::string& argument : aArguments)
    arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  id_ = fork();
  if (id_ != 0)
    return;
  execv(arguments[0], arguments.data());
  _exit(127);
}

Process::Process(Process&& aOther) noexcept
  : id_(std::exchange(aOther.id_, -1))
{
}

Process::~Process()
{
  if (id_ < 0)
    return;
  Signal(SIGKILL);
  waitpid(id_, nullptr, 0);
}

void
Process::Signal(int aSignal) const
{
  kill(id_, aSignal);
}

std::optional<int>
Process::Wait(milliseconds aLimit)
{
  const auto until = std::chrono::steady_clock::now() + aLimit;
  int status = 0;
  while (waitpid(id_, &status, WNOHANG) == 0) {
    if (std::chrono::steady_clock::now() >= until)
      return std::nullopt;
    std::this_thread::sleep_for(kPollInterval);
  }
  id_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

template<typename Condition>
static void
Await(const std::string& aWhat, Condition aCondition)
{
  const auto until = std::chrono::steady_clock::now() + kAwaitLimit;
  while (!aCondition()) {
    INFO("waiting for " << aWhat);
    REQUIRE(std::chrono::steady_clock::now() < until);
    std::this_thread::sleep_for(kPollInterval);
  }
}

/// A free loopback endpoint that no other call has returned.
static Endpoint
FreeEndpoint()
{
  static std::set<std::uint16_t> used;
  std::uint16_t port = support::FreePort();
  while (!used.insert(port).second)
    port = support::FreePort();
  return { .address = "127.0.0.1", .port = port };
}

Fleet::Fleet(FleetOptions aOptions)
  : options_(std::move(aOptions))
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "greengage-XXXXXX").string();
  REQUIRE(mkdtemp(pattern.data()) != nullptr);
  folder_ = pattern;
  for (std::size_t host = 0; host < size(); ++host)
    ports_.push_back(
      { FreeEndpoint(), FreeEndpoint(), FreeEndpoint(), FreeEndpoint() });
  WriteFleetFile();
  for (std::size_t host = 0; host < size(); ++host) {
    WriteSettings(host);
    StartHost(host);
  }
  for (std::size_t host = 0; host < size(); ++host)
    AwaitReady(host);
  StartWorkers();
  const std::set<std::string> zones(options_.zones.begin(),
                                    options_.zones.end());
  AwaitSlots(static_cast<double>(8 * options_.workersPerZone * zones.size()));
  AwaitRecords();
}

Fleet::~Fleet()
{
  hosts_.clear();
  workers_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string
Fleet::NewKey(const std::string& aId)
{
  const std::string secret = state::RandomHex(16);
  digests_[aId] =
    state::KeyDigest::Compute(secret, state::RandomHex(8)).ToString();
  return aId + "." + secret;
}

void
Fleet::WriteFleetFile()
{
  keys_["plan"] = NewKey("plan1");
  keys_["certify"] = NewKey("certify1");
  keys_["operator"] = NewKey("operator1");
  keys_["upstream"] = NewKey("upstream1");
  std::ofstream file(folder_ / "fleet.ini");
  file << options_.defaults
       << "\n[teams/plan]\nshare = 2\nkey.plan1 = " << digests_["plan1"]
       << "\n[teams/certify]\nkey.certify1 = " << digests_["certify1"]
       << "\n[pools/lines]\ndescription = lines\n"
       << "[operators/night]\nkey.operator1 = " << digests_["operator1"]
       << "\n[upstreams/platform]\nkey.upstream1 = " << digests_["upstream1"]
       << "\n";
}

std::string
Fleet::SettingsPath(std::size_t aHost) const
{
  return (folder_ / ("entry-" + std::to_string(aHost) + ".ini")).string();
}

std::filesystem::path
Fleet::DataFolder(std::size_t aHost) const
{
  return folder_ / ("entry-" + std::to_string(aHost) + ".data");
}

bool
Fleet::IsVoter(std::size_t aHost) const
{
  return std::find(options_.voters.begin(), options_.voters.end(), aHost) !=
         options_.voters.end();
}

void
Fleet::WriteSettings(std::size_t aHost) const
{
  const HostPorts& ports = ports_[aHost];
  std::ofstream file(SettingsPath(aHost));
  file << "[host]\nid = entry-" << aHost
       << "\navailability_zone = " << options_.zones[aHost]
       << (IsVoter(aHost) ? "\ndata = " + DataFolder(aHost).string() : "")
       << "\n[agreed]\nvoters = " << VoterNames()
       << "\n[callers]\nlisten = " << ToString(ports.callers)
       << "\n[upstreams]\nlisten = " << ToString(ports.upstreams)
       << "\n[operators]\nlisten = " << ToString(ports.operators)
       << "\n[peers]\nlisten = " << ToString(ports.peers)
       << "\nsecret = secret-of-the-tests\n[fleet]\nsettings = "
       << (folder_ / "fleet.ini").string()
       << "\n[shutdown]\nnotice = " << options_.shutdownNotice
       << "\ntimeout = " << options_.shutdownTimeout << "\n[log]\npath = "
       << (folder_ / ("entry-" + std::to_string(aHost) + ".log")).string()
       << "\n[once]\ncold_start = true\n[members]\n";
  for (std::size_t other = 0; other < size(); ++other)
    file << "entry-" << other << " = " << ToString(ports_[other].peers) << " "
         << options_.zones[other] << "\n";
}

std::string
Fleet::VoterNames() const
{
  std::string names;
  for (const std::size_t voter : options_.voters)
    if (voter < size())
      names += "entry-" + std::to_string(voter) + " ";
  return names;
}

void
Fleet::StartHost(std::size_t aHost)
{
  hosts_.erase(aHost);
  hosts_.emplace(aHost,
                 Process({ GREENGAGED, "--config", SettingsPath(aHost) }));
}

void
Fleet::StartWorkers()
{
  for (const std::string& zone : options_.zones) {
    if (workers_.contains(zone))
      continue;
    std::vector<std::string> arguments = { STANDIN_UPSTREAM,
                                           "--id",
                                           "worker-" + zone,
                                           "--zone",
                                           zone,
                                           "--pool",
                                           "lines",
                                           "--key",
                                           keys_["upstream"],
                                           "--record",
                                           (folder_ / "runs.jsonl").string() };
    for (std::size_t worker = 0; worker < options_.workersPerZone; ++worker)
      arguments.insert(arguments.end(),
                       { "--listen", ToString(FreeEndpoint()) });
    if (options_.workersLinger)
      arguments.emplace_back("--lingers");
    for (const HostPorts& ports : ports_)
      arguments.insert(arguments.end(),
                       { "--entry", ToString(ports.upstreams) });
    workers_.emplace(zone, Process(arguments));
  }
}

void
Fleet::AwaitReady(std::size_t aHost, unsigned aStatus) const
{
  Await("host " + std::to_string(aHost), [&] {
    return Fetch(Ports(aHost).operators, "GET", "/readyz").status == aStatus;
  });
}

/// The sum of a metric over its labels.
double
Fleet::Metric(std::size_t aHost, const std::string& aName) const
{
  double sum = 0;
  std::istringstream lines(
    Fetch(Ports(aHost).operators, "GET", "/metrics").body);
  std::string line;
  while (std::getline(lines, line))
    if (line.starts_with(aName + "{") || line.starts_with(aName + " "))
      sum += std::stod(line.substr(line.rfind(' ') + 1));
  return sum;
}

double
Fleet::SumMetric(const std::string& aName) const
{
  double sum = 0;
  for (const auto& [host, process] : hosts_)
    sum += Metric(host, aName);
  return sum;
}

void
Fleet::AwaitMetric(std::size_t aHost,
                   const std::string& aName,
                   double aValue) const
{
  Await(aName, [&] { return Metric(aHost, aName) == aValue; });
}

void
Fleet::AwaitSlots(double aSlots) const
{
  Await("free slots",
        [&] { return SumMetric("greengage_free_slots") == aSlots; });
}

void
Fleet::AwaitRecords() const
{
  Await("records of request ids", [&] {
    return SumMetric("greengage_once_vouches") ==
           static_cast<double>(hosts_.size());
  });
}

load::LoadOptions
Fleet::Load(double aRate, Duration aSpan) const
{
  load::LoadOptions options;
  for (const HostPorts& ports : ports_)
    options.entryHosts.push_back(ports.callers);
  options.teams = { { "plan", Key("plan") }, { "certify", Key("certify") } };
  options.pool = PoolId("lines");
  options.rate = aRate;
  options.span = aSpan;
  options.payload = "ms=20";
  options.runId = "run-" + state::RandomHex(4);
  return options;
}

std::future<load::LoadReport>
Fleet::StartLoad(const load::LoadOptions& aOptions)
{
  return std::async(std::launch::async, [aOptions] {
    Error reason;
    return load::RunLoad(aOptions, reason).value_or(load::LoadReport());
  });
}

std::vector<nlohmann::json>
Fleet::Record() const
{
  std::vector<nlohmann::json> record;
  std::ifstream file(folder_ / "runs.jsonl");
  std::string line;
  while (std::getline(file, line))
    record.push_back(nlohmann::json::parse(line));
  return record;
}

std::map<std::string, int>
Fleet::Runs() const
{
  std::map<std::string, int> runs;
  for (const auto& entry : Record())
    if (entry["event"] == "start")
      ++runs[entry.value("team", "") + " " + entry.value("id", "")];
  return runs;
}
