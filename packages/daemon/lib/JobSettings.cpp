#include "greengage/daemon/JobDaemon.h"

#include "SettingsReader.h"

#include <sstream>
#include <string_view>

using namespace greengage;
using namespace greengage::daemon;
using detail::SettingsReader;

static constexpr std::size_t kMinSecret = 16;
static constexpr settings::IntegerRange kPortRange{ 1, 65535 };
static constexpr settings::IntegerRange kToleratedLossesRange{ 0, 1000 };

static std::optional<Endpoint>
OptionalEndpoint(SettingsReader& aReader,
                 const char* aSection,
                 const char* aKey)
{
  const settings::IniEntry* entry = aReader.Entry(aSection, aKey, false);
  if (entry == nullptr || entry->value.empty())
    return std::nullopt;
  return aReader.EndpointOf(*entry, entry->value);
}

/// Reads "ADDRESS:PORT,..."; only the addresses count, since all hosts listen
/// for each other on one port.
static std::vector<EntryHostId>
ReadSeeds(SettingsReader& aReader)
{
  std::vector<EntryHostId> seeds;
  const settings::IniEntry* entry = aReader.Entry("peers", "seeds", true);
  if (entry == nullptr)
    return seeds;
  std::istringstream list(entry->value);
  for (std::string item; std::getline(list, item, ',');)
    seeds.emplace_back(aReader.EndpointOf(*entry, item).address);
  return seeds;
}

std::optional<JobSettings>
greengage::daemon::ReadJobSettings(const settings::IniFile& aFile,
                                   Error& aReason)
{
  SettingsReader reader(aFile, aReason);
  JobSettings settings;
  settings.id = EntryHostId(reader.Identifier("host", "address"));
  settings.availabilityZone =
    AvailabilityZoneId(reader.Identifier("host", "availability_zone"));
  if (const auto* folder = reader.Entry("host", "data_folder", false))
    settings.dataFolder = folder->value;
  reader.ReadInteger("peers", "port", kPortRange, settings.peerPort);
  if (const auto* secret = reader.Entry("peers", "secret", true)) {
    settings.peerSecret = secret->value;
    if (secret->value.size() < kMinSecret)
      reader.FailAt(*secret,
                    "the secret needs at least " + std::to_string(kMinSecret) +
                      " characters");
  }
  settings.seeds = ReadSeeds(reader);
  reader.ReadInteger("agreed",
                     "tolerated_losses",
                     kToleratedLossesRange,
                     settings.toleratedLosses);
  reader.ReadBoolean("agreed", "bootstrap", settings.mayBootstrap);
  settings.callers = OptionalEndpoint(reader, "ports", "callers");
  settings.readiness = OptionalEndpoint(reader, "ports", "readiness");
  settings.control = OptionalEndpoint(reader, "ports", "control");
  settings.metrics = OptionalEndpoint(reader, "ports", "metrics");
  reader.ReadDuration("scheduling", "max_lease", settings.scheduler.maxLease);
  reader.ReadDuration("scheduling", "lease", settings.scheduler.lease);
  reader.ReadDuration(
    "scheduling", "job_retention", settings.scheduler.retention);
  settings.hostProvider = OptionalEndpoint(reader, "hosts", "provider");
  settings.adviser = OptionalEndpoint(reader, "placement", "adviser");
  reader.ReadDuration("hosts", "order_gap", settings.hostOrderGap);
  reader.ReadDuration("hosts", "move_time", settings.hostMoveTime);
  reader.ReadDuration("shutdown", "notice", settings.shutdownNotice);
  reader.RejectUnknown();
  if (settings.scheduler.lease > settings.scheduler.maxLease)
    reader.Fail("[scheduling] lease is longer than max_lease");
  if (reader.HasFailed())
    return std::nullopt;
  return settings;
}
