#include "greengage/daemon/DaemonSettings.h"

#include "greengage/core/Utf8.h"
#include "greengage/settings/Values.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

using namespace greengage;
using namespace greengage::daemon;
using settings::IniEntry;
using settings::IniFile;

static constexpr std::size_t kMaxName = 64;
static constexpr std::size_t kMinSecret = 16;
static constexpr settings::IntegerRange kConnectionRange{ 1, 60000 };
static constexpr settings::IntegerRange kBodyRange{ 1024, 64 * 1024 * 1024 };
static constexpr settings::IntegerRange kRecordRange{ 1000, 100000000 };
static constexpr settings::IntegerRange kAnswerRange{ 0, 1LL << 34 };
static constexpr std::string_view kMembersSection = "members";

namespace {

/// Reads keys until one is wrong and remembers which were asked for.
class SettingsReader
{
public:
  SettingsReader(const IniFile& aFile, Error& aReason)
    : file_(aFile)
    , reason_(aReason)
  {
  }

  bool HasFailed() const { return failed_; }

  /// The entry, or null; null for a required one is a failure.
  const IniEntry* Entry(const char* aSection, const char* aKey, bool aRequired)
  {
    asked_.emplace(aSection, aKey);
    const IniEntry* entry = file_.Find(aSection, aKey);
    if (entry == nullptr && aRequired)
      Fail("[" + std::string(aSection) + "] " + aKey + " is missing");
    return failed_ ? nullptr : entry;
  }

  std::string Identifier(const char* aSection, const char* aKey)
  {
    const IniEntry* entry = Entry(aSection, aKey, true);
    if (entry == nullptr)
      return {};
    if (!IsValidIdentifier(entry->value, kMaxName))
      FailAt(*entry, "\"" + entry->value + "\" is not an identifier");
    return entry->value;
  }

  Endpoint ReadEndpoint(const char* aSection, const char* aKey)
  {
    const IniEntry* entry = Entry(aSection, aKey, true);
    return entry == nullptr ? Endpoint() : EndpointOf(*entry, entry->value);
  }

  Endpoint EndpointOf(const IniEntry& aEntry, const std::string& aText)
  {
    Error reason;
    const auto endpoint = ParseEndpoint(aText, reason);
    if (!endpoint)
      FailAt(aEntry, reason.detail);
    return endpoint.value_or(Endpoint());
  }

  void ReadDuration(const char* aSection, const char* aKey, Duration& aValue)
  {
    const IniEntry* entry = Entry(aSection, aKey, false);
    if (entry == nullptr)
      return;
    Error reason;
    const auto value = settings::ParseDuration(entry->value, reason);
    if (!value)
      FailAt(*entry, reason.detail);
    aValue = value.value_or(aValue);
  }

  template<typename Number>
  void ReadInteger(const char* aSection,
                   const char* aKey,
                   settings::IntegerRange aRange,
                   Number& aValue)
  {
    const IniEntry* entry = Entry(aSection, aKey, false);
    if (entry == nullptr)
      return;
    Error reason;
    const auto value = settings::ParseInteger(entry->value, aRange, reason);
    if (value)
      aValue = static_cast<Number>(*value);
    else
      FailAt(*entry, reason.detail);
  }

  void ReadBoolean(const char* aSection, const char* aKey, bool& aValue)
  {
    const IniEntry* entry = Entry(aSection, aKey, false);
    if (entry == nullptr)
      return;
    Error reason;
    const auto value = settings::ParseBoolean(entry->value, reason);
    if (!value)
      FailAt(*entry, reason.detail);
    aValue = value.value_or(aValue);
  }

  void FailAt(const IniEntry& aEntry, const std::string& aDetail)
  {
    Fail(file_.Where(aEntry) + ": " + aDetail);
  }

  void Fail(const std::string& aDetail)
  {
    if (failed_)
      return;
    failed_ = true;
    const bool isLocated = aDetail.starts_with(file_.Name());
    greengage::Fail(reason_,
                    ErrorKind::InvalidSetting,
                    isLocated ? aDetail : file_.Name() + ": " + aDetail);
  }

  /// Fails on the first key that nobody asked for.
  void RejectUnknown()
  {
    for (const IniEntry& entry : file_.Entries())
      if (entry.section != kMembersSection &&
          !asked_.contains({ entry.section, entry.key }))
        FailAt(entry, "setting is not known");
  }

private:
  const IniFile& file_;
  Error& reason_;
  std::set<std::pair<std::string, std::string>> asked_;
  bool failed_ = false;
};

} // namespace

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
  if (!IsValidIdentifier(aEntry.key, kMaxName))
    aReader.FailAt(aEntry, "name of the entry host is not an identifier");
  const std::size_t space = aEntry.value.find(' ');
  const std::size_t zone = aEntry.value.find_first_not_of(' ', space);
  if (zone == std::string::npos ||
      !IsValidIdentifier(aEntry.value.substr(zone), kMaxName)) {
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
  reader.RejectUnknown();
  if (reader.HasFailed())
    return std::nullopt;
  return result;
}
