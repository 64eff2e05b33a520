#include "greengage/load/Load.h"

#include "greengage/http/Client.h"
#include "greengage/pipe/Duty.h"
#include "greengage/pipe/IoDuty.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <future>
#include <unordered_map>
#include <utility>

using namespace greengage;
using namespace greengage::load;
using nlohmann::json;

static constexpr std::size_t kRingCapacity = 65536;
/// How much longer than the deadline a caller waits for its answer.
static constexpr Duration kAnswerGrace = Duration::Seconds(2);
static constexpr unsigned kStatusOk = 200;
static constexpr double kMicrosPerMilli = 1000;
static constexpr double kMillisPerSecond = 1000;

double
TeamReport::Percentile(double aPart) const
{
  if (latencies.empty())
    return 0;
  std::vector<double> sorted = latencies;
  std::sort(sorted.begin(), sorted.end());
  const auto rank =
    static_cast<std::size_t>(aPart * static_cast<double>(sorted.size()));
  return sorted[std::min(rank, sorted.size() - 1)];
}

namespace {

/// A request that waits for its answer.
struct Sent
{
  std::size_t team = 0;
  std::string id;
  std::string payload;
  /// The entry host that it was sent to last.
  std::size_t entryHost = 0;
  int sends = 0;
  std::chrono::steady_clock::time_point at;
};

/// Sends on its timer and counts results.
class LoadFilter final : public pipe::Filter<http::ClientResult>
{
public:
  LoadFilter(const LoadOptions& aOptions,
             pipe::Pipe<http::ClientCall>& aCalls,
             Time aStart)
    : options_(aOptions)
    , calls_(aCalls)
    , start_(aStart)
    , total_(static_cast<std::uint64_t>(
        aOptions.rate * static_cast<double>(aOptions.span.Millis()) /
        kMillisPerSecond))
  {
    if (!options_.recordPath.empty())
      record_.open(options_.recordPath, std::ios::app);
  }

  std::future<void> Done() { return done_.get_future(); }
  LoadReport TakeReport() { return std::move(report_); }

  std::optional<Time> NextTimer() const override
  {
    if (sent_ >= total_)
      return std::nullopt;
    return TimeOf(sent_);
  }

  void OnTimer(Time aNow) override
  {
    while (sent_ < total_ && TimeOf(sent_) <= aNow)
      SendNext();
  }

  void Accept(http::ClientResult&& aResult, Time /*aNow*/) override
  {
    const auto found = waiting_.find(aResult.id);
    const json body = json::parse(aResult.body, nullptr, false);
    std::string outcome = body.is_object() ? body.value("outcome", "") : "";
    if (options_.direct && aResult.status == kStatusOk)
      outcome = "answered";
    if (aResult.progress == http::CallProgress::NotSent)
      outcome = "not-run";
    if (outcome == "not-run" && found->second.sends < options_.maxSends) {
      SendAgain(aResult.id, found->second);
      return;
    }
    Count(found->second, outcome, body, aResult);
    waiting_.erase(found);
    if (sent_ >= total_ && waiting_.empty())
      done_.set_value();
  }

private:
  Time TimeOf(std::uint64_t aIndex) const
  {
    const double millis =
      static_cast<double>(aIndex) * kMillisPerSecond / options_.rate;
    return start_ + Duration(static_cast<std::int64_t>(millis));
  }

  void SendNext()
  {
    const std::uint64_t index = sent_++;
    const std::size_t team = index % options_.teams.size();
    // Every team visits every entry host.
    const std::uint64_t turn = index / options_.teams.size() + team;
    Sent sent{ .team = team,
               .id = options_.runId + "-" + std::to_string(index),
               .payload = options_.payload + " n=" + std::to_string(index),
               .entryHost = turn % options_.entryHosts.size(),
               .sends = 0,
               .at = std::chrono::steady_clock::now() };
    Note("sent", sent);
    ++ReportOf(team).sent;
    const http::ClientCallId id(index);
    Send(id, waiting_.emplace(id, std::move(sent)).first->second);
  }

  void SendAgain(http::ClientCallId aId, Sent& aSent)
  {
    aSent.entryHost = (aSent.entryHost + 1) % options_.entryHosts.size();
    Send(aId, aSent);
  }

  void Send(http::ClientCallId aId, Sent& aSent)
  {
    ++aSent.sends;
    http::ClientCall call;
    call.id = aId;
    call.endpoint = options_.entryHosts[aSent.entryHost];
    call.target = options_.direct ? "/v1/run" : "/v1/requests";
    call.authorization = "Bearer " + options_.teams[aSent.team].key;
    call.body = options_.direct ? RunBody(aSent) : SubmitBody(aSent);
    call.timeout = options_.deadline + kAnswerGrace;
    calls_.Push(std::move(call));
  }

  std::string RunBody(const Sent& aSent) const
  {
    return json{
      { "id", aSent.id },
      { "team", options_.teams[aSent.team].name },
      { "payload", aSent.payload },
      { "lease_ms", options_.deadline.Millis() }
    }.dump();
  }

  std::string SubmitBody(const Sent& aSent) const
  {
    json body;
    body["id"] = aSent.id;
    body["pool"] = options_.pool.Value();
    body["kind"] = "load";
    body["price_class"] = NameOf(options_.priceClass);
    body["idempotent"] = options_.idempotence == Idempotence::Idempotent;
    body["first_send"] = aSent.sends <= 1;
    body["deadline_ms"] = options_.deadline.Millis();
    body["payload"] = aSent.payload;
    return body.dump();
  }

  TeamReport& ReportOf(std::size_t aTeam)
  {
    return report_[options_.teams[aTeam].name];
  }

  void Count(const Sent& aSent,
             const std::string& aOutcome,
             const json& aBody,
             const http::ClientResult& aResult)
  {
    TeamReport& report = ReportOf(aSent.team);
    if (aOutcome == "answered")
      CountAnswer(aSent, aBody, report);
    else if (aOutcome == "not-run")
      CountNotRun(aSent, report);
    else
      CountFailure(aOutcome, aSent, aBody, aResult, report);
    Note(aOutcome.empty() ? "no-response" : aOutcome.c_str(), aSent);
  }

  static void CountNotRun(const Sent& aSent, TeamReport& aReport)
  {
    ++aReport.notRun;
    aReport.notRunIds.push_back(aSent.id);
  }

  void CountFailure(const std::string& aOutcome,
                    const Sent& aSent,
                    const json& aBody,
                    const http::ClientResult& aResult,
                    TeamReport& aReport) const
  {
    const bool isUnknown = aOutcome == "unknown";
    ++(isUnknown ? aReport.unknown : aReport.noResponse);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - aSent.at);
    aReport.failures.push_back(
      aSent.id + " at " + ToString(options_.entryHosts[aSent.entryHost]) +
      " after " + std::to_string(age.count()) + " ms and " +
      std::to_string(aSent.sends) +
      " sends: " + (isUnknown ? aBody.value("detail", "") : aResult.reason));
  }

  static void CountAnswer(const Sent& aSent,
                          const json& aBody,
                          TeamReport& aReport)
  {
    const bool isOwn =
      aBody.value("id", "") == aSent.id &&
      aBody.value("answer", "").find(aSent.payload) != std::string::npos;
    if (!isOwn)
      ++aReport.crossed;
    if (!aBody.value("succeeded", false))
      ++aReport.failed;
    ++aReport.answered;
    const auto span = std::chrono::steady_clock::now() - aSent.at;
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(span).count();
    aReport.latencies.push_back(static_cast<double>(micros) / kMicrosPerMilli);
  }

  void Note(const char* aEvent, const Sent& aSent)
  {
    if (record_.is_open())
      record_ << json{
        { "event", aEvent },
        { "team", options_.teams[aSent.team].name },
        { "id", aSent.id }
      }.dump() << "\n";
  }

  const LoadOptions& options_;
  pipe::Pipe<http::ClientCall>& calls_;
  Time start_;
  std::uint64_t total_;
  std::uint64_t sent_ = 0;
  std::unordered_map<http::ClientCallId, Sent> waiting_;
  LoadReport report_;
  std::ofstream record_;
  std::promise<void> done_;
};

} // namespace

static bool
Check(const LoadOptions& aOptions, Error& aReason)
{
  const double total = aOptions.rate *
                       static_cast<double>(aOptions.span.Millis()) /
                       kMillisPerSecond;
  const char* problem = nullptr;
  if (aOptions.entryHosts.empty())
    problem = "no entry host to send to";
  else if (aOptions.teams.empty())
    problem = "no team to send for";
  else if (!(total >= 1))
    problem = "rate and duration give less than one request";
  if (problem == nullptr)
    return true;
  Fail(aReason, ErrorKind::InvalidSetting, problem);
  return false;
}

std::optional<LoadReport>
greengage::load::RunLoad(const LoadOptions& aOptions, Error& aReason)
{
  if (!Check(aOptions, aReason))
    return std::nullopt;
  const BootClock clock;
  pipe::Duty<http::ClientResult> loadDuty(
    { .name = "load", .capacity = kRingCapacity }, clock);
  pipe::IoDuty clientDuty("load-client");
  http::Client client(clientDuty,
                      { .capacity = kRingCapacity, .idlePerEndpoint = 1024 },
                      loadDuty);
  LoadFilter filter(aOptions, client.Calls(), clock.Now());
  std::future<void> done = filter.Done();
  clientDuty.Start();
  loadDuty.Start(filter);
  done.wait();
  loadDuty.Stop();
  clientDuty.Stop();
  return filter.TakeReport();
}

std::string
greengage::load::FormatReport(const LoadReport& aReport)
{
  std::string text =
    "team                    sent answered failed not-run unknown no-resp "
    "crossed   p50ms   p99ms\n";
  for (const auto& [team, report] : aReport) {
    char line[160];
    std::snprintf(line,
                  sizeof line,
                  "%-22s %5zu %8zu %6zu %7zu %7zu %7zu %7zu %7.2f %7.2f\n",
                  team.c_str(),
                  report.sent,
                  report.answered,
                  report.failed,
                  report.notRun,
                  report.unknown,
                  report.noResponse,
                  report.crossed,
                  report.Percentile(0.5),
                  report.Percentile(0.99));
    text += line;
  }
  return text;
}
