#include "greengage/daemon/JobDaemon.h"

#include <catch2/catch.hpp>

#include <string>

using namespace greengage;
using namespace greengage::daemon;

namespace {

const std::string kEntry = "[host]\n"
                           "address = 10.1.0.23\n"
                           "availability_zone = serra-a\n"
                           "[peers]\n"
                           "port = 7000\n"
                           "secret = 0123456789abcdef\n"
                           "seeds = 10.1.0.26:8345,10.2.0.17:8345\n"
                           "[agreed]\n"
                           "tolerated_losses = 2\n"
                           "bootstrap = false\n"
                           "[ports]\n"
                           "callers = 10.1.0.23:8340\n"
                           "readiness = 10.1.0.23:8343\n"
                           "[hosts]\n"
                           "provider = 10.200.0.82:8344\n"
                           "order_gap = 3000ms\n"
                           "[placement]\n"
                           "adviser = 10.200.1.9:8344\n"
                           "[scheduling]\n"
                           "max_lease = 10000ms\n"
                           "job_retention = 120s\n";

std::optional<JobSettings>
Read(const std::string& aText, Error& aReason)
{
  const auto file = settings::IniFile::Parse(aText, "host.ini", aReason);
  REQUIRE(file);
  return ReadJobSettings(*file, aReason);
}

std::string
Replaced(const std::string& aOld, const std::string& aNew)
{
  std::string text = kEntry;
  const auto at = text.find(aOld);
  REQUIRE(at != std::string::npos);
  return text.replace(at, aOld.size(), aNew);
}

} // namespace

TEST_CASE("the settings of an entry host are read")
{
  Error reason;
  const auto settings = Read(kEntry, reason);
  REQUIRE(settings);
  CHECK(settings->id == EntryHostId("10.1.0.23"));
  CHECK(settings->peerPort == 7000);
  REQUIRE(settings->seeds.size() == 2);
  CHECK(settings->seeds[1] == EntryHostId("10.2.0.17"));
  CHECK(settings->toleratedLosses == 2);
  CHECK_FALSE(settings->mayBootstrap);
  CHECK(settings->callers->port == 8340);
  CHECK_FALSE(settings->control);
  CHECK(settings->dataFolder.empty());
  CHECK(settings->hostProvider->port == 8344);
  CHECK(settings->adviser->address == "10.200.1.9");
  CHECK(settings->scheduler.maxLease == Duration::Seconds(10));
  CHECK(settings->scheduler.retention == Duration::Seconds(120));
}

TEST_CASE("wrong settings are refused with their place")
{
  const auto [old, fresh, place] =
    GENERATE(table<const char*, const char*, const char*>(
      { { "address = 10.1.0.23\n", "", "address" },
        { "port = 7000", "port = 70000", "port" },
        { "0123456789abcdef", "short", "secret" },
        { "10.2.0.17:8345", "10.2.0.17", "seeds" },
        { "tolerated_losses = 2", "tolerated_losses = -1", "tolerated" },
        { "bootstrap = false", "bootstrap = no", "bootstrap" },
        { "10.1.0.23:8340", "entry:8340", "callers" },
        { "max_lease = 10000ms", "max_lease = 10000", "max_lease" },
        { "max_lease = 10000ms", "max_lease = 1000ms", "lease" },
        { "job_retention", "job_retentoin", "job_retentoin" } }));
  INFO(fresh);
  Error reason;
  CHECK_FALSE(Read(Replaced(old, fresh), reason));
  CHECK(reason.kind == ErrorKind::InvalidSetting);
  CHECK(reason.detail.find("host.ini") != std::string::npos);
  CHECK(reason.detail.find(place) != std::string::npos);
}
