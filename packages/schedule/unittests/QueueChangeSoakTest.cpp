// Random changes of queues, cancellations that overtake their submissions, and
// changes of leader.

#include "ConfiguredFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

class Soak : public ConfiguredFleetWithWorkers
{
public:
  explicit Soak(std::uint64_t aSeed)
    : draws_(aSeed)
  {
    faults.lostReplyPercent = 5;
    ChangeQueues(true);
  }
  void PlayRound()
  {
    switch (Draw(6)) {
      case 0:
        ChangeQueues(false);
        break;
      case 1:
        ChangeLeader(Duration(Draw(2) * 500));
        break;
      case 2:
        if (Draw(4) == 0)
          RestartControlHosts();
        break;
      case 3:
        CancelBeforeSubmission();
        break;
      default:
        SubmitOne();
        break;
    }
    Run(Duration(Draw(600)));
  }
  /// Has each accepted job end as it should once its queue is configured.
  void Finish()
  {
    faults.lostReplyPercent = 0;
    ChangeQueues(true);
    for (const auto& item : accepted_) {
      const jobs::JobId job = item.first;
      pathPrefix = item.second;
      INFO(ToString(job) << " at " << pathPrefix);
      CHECK(RunUntil([&] { return QueryState(job) == JobProgress::Completed; },
                     Duration::Seconds(60)));
    }
    for (const auto& [job, prefix] : cancelled_) {
      pathPrefix = prefix;
      CHECK(QueryState(job) == std::nullopt);
    }
    CheckInvariants();
  }

private:
  std::int64_t Draw(std::uint64_t aCount)
  {
    return static_cast<std::int64_t>(draws_() % aCount);
  }
  /// Two paths, each with a queue of any of three names or with none.
  void ChangeQueues(bool aHasAll)
  {
    std::vector<std::string> names{ "plan", "other", "third" };
    std::shuffle(names.begin(), names.end(), draws_);
    std::vector<jobs::Queue> queues;
    for (const char* prefix : { "/p/", "/o/" }) {
      jobs::Queue queue = Plan();
      queue.id = jobs::QueueId(names[queues.size()]);
      queue.pathPrefix = prefix;
      if (aHasAll || Draw(3) != 0)
        queues.push_back(queue);
    }
    Configure(++version_, queues);
  }
  void SubmitOne()
  {
    pathPrefix = Draw(2) == 0 ? "/p/" : "/o/";
    // Below the attempt limit of 3.
    const auto failures = static_cast<std::uint32_t>(Draw(3));
    ++lastSubmitted_;
    const jobs::JobId job =
      Submit({ MakeStep(1 + static_cast<std::uint32_t>(Draw(2))) },
             { .runTime = Duration(300), .failures = failures });
    Run(Duration(50));
    if (LastReply() != nullptr &&
        std::holds_alternative<Accepted>(*LastReply()))
      accepted_[job] = pathPrefix;
  }
  void CancelBeforeSubmission()
  {
    pathPrefix = Draw(2) == 0 ? "/p/" : "/o/";
    const jobs::JobId job(++lastSubmitted_);
    Send(QueueCall{ .verb = QueueVerb::Cancel,
                    .hostName = "h",
                    .path = pathPrefix + ToString(job),
                    .key = key,
                    .job = std::nullopt });
    Run(Duration(50));
    const bool isAcknowledged =
      LastReply() != nullptr && std::holds_alternative<NoSuchJob>(*LastReply());
    if (Draw(2) == 0)
      ChangeQueues(false);
    if (Draw(2) == 0)
      ChangeLeader();
    REQUIRE(Submit({ MakeStep(1) }) == job);
    Run(Duration(50));
    const bool isAccepted =
      LastReply() != nullptr && std::holds_alternative<Accepted>(*LastReply());
    CHECK_FALSE((isAcknowledged && isAccepted));
    if (isAcknowledged)
      cancelled_[job] = pathPrefix;
    else if (isAccepted)
      accepted_[job] = pathPrefix;
  }

  std::mt19937_64 draws_;
  std::uint64_t version_ = 1;
  std::uint64_t lastSubmitted_ = 0;
  std::map<jobs::JobId, std::string> accepted_;
  std::map<jobs::JobId, std::string> cancelled_;
};

} // namespace

TEST_CASE("accepted jobs complete and cancelled ones never run while queues "
          "and leaders change")
{
  const auto [first, last] = SeedRange();
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    INFO("seed " << seed);
    Soak soak(seed);
    for (int round = 0; round < 40; ++round)
      soak.PlayRound();
    soak.Finish();
  }
}
