#include "greengage/daemon/DaemonSettings.h"

#include "SettingsReader.h"

#include "greengage/core/Utf8.h"
#include "greengage/settings/Values.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

using namespace greengage;
using namespace greengage::daemon;
using detail::SettingsReader;
using settings::IniEntry;
using settings::IniFile;

static constexpr std::size_t kMinSecret = 16;
static constexpr settings::IntegerRange kConnectionRange{ 1, 60000 };
static constexpr settings::IntegerRange kBodyRange{ 1024, 64 * 1024 * 1024 };
static constexpr settings::IntegerRange kRecordRange{ 1000, 100000000 };
static constexpr settings::IntegerRange kAnswerRange{ 0, 1LL << 34 };
static constexpr std::string_view kMembersSection = "members";

static PortSettings
ReadPort(SettingsReader& aReader, const char* aSection)
{
  PortSettings port;
  port.endpoint = aReader.ReadEndpoint(aSection, "listen");
  aReader.ReadInteger(
    aSection, "max_connections", kConnectionRange, port.maxConnections);
  aReader.ReadInteger(
    aSection, "max_body_bytes", kBodyRange, port.maxBodyBytes);
  aReader.ReadDuration(aSection, "read_timeout", port.readTimeout);
  return port;
}

/// Reads "127.0.0.1:7000 z1".
static peer::PeerAddress
ReadMember(SettingsReader& aReader, const IniEntry& aEntry)
{
  if (!IsValidIdentifier(aEntry.key, detail::kMaxSettingName))
    aReader.FailAt(aEntry, "name of the entry host is not an identifier");
  const std::size_t space = aEntry.value.find(' ');
  const std::size_t zone = aEntry.value.find_first_not_of(' ', space);
  if (zone == std::string::npos ||
      !IsValidIdentifier(aEntry.value.substr(zone), detail::kMaxSettingName)) {
    aReader.FailAt(aEntry, "availability zone after the address is missing");
    return {};
  }
  return { .id = EntryHostId(aEntry.key),
           .endpoint =
             aReader.EndpointOf(aEntry, aEntry.value.substr(0, space)),
           .availabilityZone = AvailabilityZoneId(aEntry.value.substr(zone)) };
}

static void
ReadMembers(SettingsReader& aReader,
            const IniFile& aFile,
            DaemonSettings& aSettings)
{
  for (const IniEntry& entry : aFile.Entries()) {
    if (entry.section != kMembersSection)
      continue;
    aSettings.members.push_back(ReadMember(aReader, entry));
  }
  std::sort(
    aSettings.members.begin(),
    aSettings.members.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.id < aRight.id; });
  const bool isMember =
    std::any_of(aSettings.members.begin(),
                aSettings.members.end(),
                [&](const auto& aMember) {
                  return aMember.id == aSettings.id &&
                         aMember.availabilityZone == aSettings.availabilityZone;
                });
  if (!isMember)
    aReader.Fail("[members] does not list \"" + aSettings.id.Value() +
                 "\" in \"" + aSettings.availabilityZone.Value() + "\"");
}

static void
ReadOnce(SettingsReader& aReader, OnceSettings& aOnce)
{
  aReader.ReadDuration("once", "retention", aOnce.retention);
  aReader.ReadDuration("once", "recovery_window", aOnce.recoveryWindow);
  aReader.ReadBoolean("once", "cold_start", aOnce.coldStart);
  aReader.ReadInteger("once", "max_records", kRecordRange, aOnce.maxRecords);
  aReader.ReadInteger(
    "once", "max_answer_bytes", kAnswerRange, aOnce.maxAnswerBytes);
  if (aOnce.recoveryWindow < aOnce.retention)
    aReader.Fail("[once] recovery_window is shorter than retention");
}

/// Reads "entry-0 entry-3 entry-5".
static void
ReadVoters(SettingsReader& aReader, DaemonSettings& aSettings)
{
  if (const IniEntry* data = aReader.Entry("host", "data", false))
    aSettings.dataFolder = data->value;
  if (const IniEntry* voters = aReader.Entry("agreed", "voters", false)) {
    std::istringstream names(voters->value);
    std::string name;
    while (names >> name) {
      const EntryHostId id(name);
      const bool isMember =
        std::any_of(aSettings.members.begin(),
                    aSettings.members.end(),
                    [&](const auto& aMember) { return aMember.id == id; });
      if (!isMember)
        aReader.FailAt(*voters, "[members] does not list \"" + name + "\"");
      aSettings.voters.insert(id);
    }
  }
  const bool isVoter = aSettings.voters.contains(aSettings.id);
  if (isVoter && aSettings.dataFolder.empty())
    aReader.Fail("[host] data is missing, and [agreed] voters lists this host");
  if (!isVoter && !aSettings.dataFolder.empty())
    aReader.Fail("[host] data is set, and [agreed] voters does not list \"" +
                 aSettings.id.Value() + "\"");
}

static void
ReadSecret(SettingsReader& aReader, DaemonSettings& aSettings)
{
  const IniEntry* secret = aReader.Entry("peers", "secret", true);
  if (secret == nullptr)
    return;
  if (secret->value.size() < kMinSecret)
    aReader.FailAt(*secret,
                   "secret is shorter than " + std::to_string(kMinSecret) +
                     " characters");
  aSettings.peerSecret = secret->value;
}

static void
ReadLog(SettingsReader& aReader, DaemonSettings& aSettings)
{
  if (const IniEntry* path = aReader.Entry("log", "path", false))
    aSettings.log.path = path->value;
  const IniEntry* level = aReader.Entry("log", "level", false);
  if (level == nullptr)
    return;
  if (level->value == "debug")
    aSettings.log.level = observe::LogLevel::Debug;
  else if (level->value == "info")
    aSettings.log.level = observe::LogLevel::Info;
  else if (level->value == "warning")
    aSettings.log.level = observe::LogLevel::Warning;
  else if (level->value == "error")
    aSettings.log.level = observe::LogLevel::Error;
  else
    aReader.FailAt(*level, "level is not debug, info, warning or error");
}

std::optional<DaemonSettings>
greengage::daemon::ReadDaemonSettings(const IniFile& aFile, Error& aReason)
{
  SettingsReader reader(aFile, aReason);
  DaemonSettings result;
  result.id = EntryHostId(reader.Identifier("host", "id"));
  result.availabilityZone =
    AvailabilityZoneId(reader.Identifier("host", "availability_zone"));
  result.callers = ReadPort(reader, "callers");
  result.upstreams = ReadPort(reader, "upstreams");
  result.operators = ReadPort(reader, "operators");
  result.peerEndpoint = reader.ReadEndpoint("peers", "listen");
  ReadSecret(reader, result);
  ReadMembers(reader, aFile, result);
  ReadVoters(reader, result);
  ReadOnce(reader, result.once);
  if (const IniEntry* fleet = reader.Entry("fleet", "settings", true))
    result.fleetFile = fleet->value;
  ReadLog(reader, result);
  reader.ReadDuration("shutdown", "notice", result.shutdownNotice);
  reader.ReadDuration("shutdown", "timeout", result.shutdownTimeout);
  reader.RejectUnknown({ std::string(kMembersSection) });
  if (reader.HasFailed())
    return std::nullopt;
  return result;
}
