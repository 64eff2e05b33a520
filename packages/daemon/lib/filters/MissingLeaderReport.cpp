#include "MissingLeaderReport.h"

using namespace greengage;
using namespace greengage::daemon::detail;

/// Elections take 1 to 2 s; what lasts longer is worth a report.
static constexpr Duration kReportInterval = Duration::Seconds(2);

std::optional<MissingLeader>
MissingLeaderReport::Update(const consensus::Replica& aReplica, Time aNow)
{
  if (aReplica.Leader()) {
    missingSince_.reset();
    return std::nullopt;
  }
  if (!missingSince_) {
    missingSince_ = aNow;
    reportAt_ = aNow + kReportInterval;
  }
  if (aNow < reportAt_)
    return std::nullopt;
  reportAt_ = aNow + kReportInterval;
  MissingLeader report{ .lasted = aNow - *missingSince_,
                        .term = aReplica.CurrentTerm(),
                        .role = aReplica.CurrentRole(),
                        .lastIndex = aReplica.CurrentLog().LastIndex(),
                        .voters = {},
                        .heard = {} };
  for (const consensus::ReplicaId& voter : aReplica.CurrentLog().LatestVoters())
    report.voters.push_back(voter.host);
  for (const auto& [host, at] : heardAt_)
    if (aNow - at < kReportInterval)
      report.heard.push_back(host);
  return report;
}
