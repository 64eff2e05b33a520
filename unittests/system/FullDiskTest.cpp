#include "Fleet.h"
#include "Http.h"

#include "greengage/support/FreePort.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

using namespace greengage;
using namespace greengage::system_tests;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than the program waits before it tries again.
static constexpr milliseconds kSeveralAttempts(2500);
static constexpr seconds kPatience(15);

namespace {

/// An empty data folder in which the first file that a host needs can be made
/// but not written.
class FullDataFolder
{
public:
  explicit FullDataFolder(const std::filesystem::path& aFolder)
    : firstFile_(aFolder / "identity.tmp")
  {
    std::filesystem::create_directories(aFolder);
    std::filesystem::create_symlink("/dev/full", firstFile_);
  }
  void MakeRoom() const { std::filesystem::remove(firstFile_); }

private:
  std::filesystem::path firstFile_;
};

/// A folder that is removed with its content.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "greengage-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path_ = pattern;
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder()
  {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  const std::filesystem::path& Path() const { return path_; }

private:
  std::filesystem::path path_;
};

/// The only control host of a fleet, with its data folder on a full disk.
class ControlHost
{
public:
  ControlHost()
    : data(folder.Path() / "data")
    , readiness{ .address = "127.0.0.1", .port = support::FreePort() }
    , process({ GREENGAGED, "--config", WriteSettings(), "jobs" })
  {
  }

  TemporaryFolder folder;
  FullDataFolder data;
  Endpoint readiness;
  Process process;

private:
  std::string WriteSettings() const
  {
    std::uint16_t peers = support::FreePort();
    while (peers == readiness.port)
      peers = support::FreePort();
    const std::filesystem::path path = folder.Path() / "control.ini";
    std::ofstream file(path);
    file
      << "[host]\naddress = 127.0.0.1\navailability_zone = z1\ndata_folder = "
      << (folder.Path() / "data").string() << "\n[peers]\nport = " << peers
      << "\nsecret = secret-of-the-tests\nseeds = 127.0.0.1:" << peers
      << "\n[ports]\nreadiness = " << ToString(readiness)
      << "\n[shutdown]\nnotice = 100ms\n";
    return path.string();
  }
};

} // namespace

TEST_CASE("a control host that starts while its disk is full leads once there "
          "is space")
{
  ControlHost host;
  REQUIRE_FALSE(host.process.Wait(kSeveralAttempts));
  CHECK(Fetch(host.readiness, "GET", "/").status != 200);
  host.data.MakeRoom();
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (Fetch(host.readiness, "GET", "/").status != 200) {
    REQUIRE(std::chrono::steady_clock::now() < until);
    std::this_thread::sleep_for(milliseconds(50));
  }
  host.process.Signal(SIGTERM);
  CHECK(host.process.Wait(kPatience) == 0);
}

TEST_CASE("a control host that waits for disk space stops when told to")
{
  ControlHost host;
  REQUIRE_FALSE(host.process.Wait(kSeveralAttempts));
  host.process.Signal(SIGTERM);
  CHECK(host.process.Wait(seconds(5)) == 0);
}

TEST_CASE("a voter that starts while its disk is full joins once there is "
          "space")
{
  Fleet fleet({ .zones = { "z1", "z2", "z3" },
                .voters = { 0, 1, 2 },
                .workersPerZone = 1 });
  fleet.Host(1).Signal(SIGKILL);
  REQUIRE(fleet.Host(1).Wait(seconds(5)));
  std::filesystem::remove_all(fleet.DataFolder(1));
  const FullDataFolder data(fleet.DataFolder(1));
  fleet.ForgetHost(1);
  fleet.StartHost(1);
  REQUIRE_FALSE(fleet.Host(1).Wait(kSeveralAttempts));
  std::stringstream log;
  log << std::ifstream(fleet.Folder() / "entry-1.log").rdbuf();
  CHECK(log.str().find("start-delayed") != std::string::npos);
  data.MakeRoom();
  fleet.AwaitReady(1);
  fleet.AwaitMetric(1, "greengage_agreed_voter", 1);
}
