/// \file
/// A stand-in for the platform's workers: each announces itself to the entry
/// hosts, runs requests as timers, refuses beyond its slots, and keeps a record
/// of what it ran for the checker.

#include "greengage/core/Endpoint.h"
#include "greengage/http/Client.h"
#include "greengage/http/Server.h"
#include "greengage/pipe/Duty.h"
#include "greengage/pipe/IoDuty.h"
#include "greengage/pipe/StopSignals.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

using namespace greengage;
using nlohmann::json;

/// How long workers that leave stay to announce it and finish their work.
static constexpr std::chrono::seconds kLeaveTime(2);
static constexpr std::chrono::seconds kLingerTime(5);

namespace {

struct WorkerOptions
{
  std::string id;
  Endpoint endpoint;
  std::string availabilityZone;
  std::string rack;
  std::string pool;
  std::int64_t slots = 8;
  std::string key;
  std::vector<Endpoint> entryHosts;
  /// Each request fails if set: a broken worker.
  bool failsAll = false;
  /// Takes work even while leaving, for tests that count such work.
  bool lingers = false;
  /// Runs take so many times as long as asked for.
  double slowness = 1;
};

/// Asks a worker to say that it is leaving.
struct LeaveMessage
{};

using WorkerMessage =
  std::variant<http::HttpRequest, http::ClientResult, LeaveMessage>;

/// Writes one line for each start and end of a run.
class RunRecord
{
public:
  explicit RunRecord(const std::string& aPath)
    : file_(aPath, std::ios::app)
  {
  }
  void Write(const json& aLine)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << aLine.dump() << "\n" << std::flush;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// Hands messages of one type on as WorkerMessage.
template<typename Kind>
class Adapter final : public pipe::Pipe<Kind>
{
public:
  explicit Adapter(pipe::Pipe<WorkerMessage>& aNext)
    : next_(aNext)
  {
  }
  bool TryPush(Kind&& aMessage) override
  {
    return next_.TryPush(std::move(aMessage));
  }
  bool Push(Kind&& aMessage) override
  {
    return next_.Push(std::move(aMessage));
  }

private:
  pipe::Pipe<WorkerMessage>& next_;
};

/// One worker: a filter whose timers are the requests that it runs.
class Worker final : public pipe::Filter<WorkerMessage>
{
public:
  Worker(WorkerOptions aOptions,
         RunRecord& aRecord,
         pipe::Pipe<http::ClientCall>& aCalls)
    : options_(std::move(aOptions))
    , record_(aRecord)
    , calls_(aCalls)
  {
  }

  void SetResponses(pipe::Pipe<http::HttpResponse>& aResponses)
  {
    responses_ = &aResponses;
  }

  void Accept(WorkerMessage&& aMessage, Time aNow) override
  {
    if (auto* request = std::get_if<http::HttpRequest>(&aMessage))
      Run(std::move(*request), aNow);
    if (std::holds_alternative<LeaveMessage>(aMessage)) {
      leaving_ = true;
      nextAnnouncement_ = aNow;
      record_.Write({ { "event", "leave" },
                      { "at_ms", aNow.Millis() },
                      { "upstream", options_.id } });
    }
  }

  std::optional<Time> NextTimer() const override
  {
    if (running_.empty())
      return nextAnnouncement_;
    return std::min(nextAnnouncement_, running_.begin()->first);
  }

  void OnTimer(Time aNow) override
  {
    while (!running_.empty() && running_.begin()->first <= aNow) {
      Finish(running_.begin()->second);
      running_.erase(running_.begin());
    }
    if (nextAnnouncement_ <= aNow) {
      Announce();
      nextAnnouncement_ = aNow + kAnnounceInterval;
    }
  }

private:
  static constexpr Duration kAnnounceInterval = Duration(1000);
  static constexpr Duration kDefaultRun = Duration(5);

  struct RunningRequest
  {
    http::ExchangeId exchange;
    std::string id;
    std::string team;
    std::string payload;
    std::string entryHost;
    std::uint64_t dispatch = 0;
  };

  void Respond(http::ExchangeId aExchange, unsigned aStatus, const json& aBody)
  {
    http::HttpResponse response;
    response.exchange = aExchange;
    response.status = aStatus;
    response.body = aBody.dump();
    responses_->Push(std::move(response));
  }

  void Run(http::HttpRequest&& aRequest, Time aNow)
  {
    const json body = json::parse(aRequest.body, nullptr, false);
    if (aRequest.method == "DELETE" && body.is_object()) {
      Cancel(aRequest, body.value("entry_host", ""), aNow);
      return;
    }
    if (aRequest.target != "/v1/run" || !body.is_object()) {
      Respond(aRequest.exchange, 400, { { "error", "malformed" } });
      return;
    }
    if (leaving_ && !options_.lingers) {
      Respond(aRequest.exchange, 503, { { "error", "leaving" } });
      return;
    }
    if (static_cast<std::int64_t>(running_.size()) >= options_.slots) {
      Respond(aRequest.exchange, 409, { { "error", "slots-taken" } });
      return;
    }
    RunningRequest run{ .exchange = aRequest.exchange,
                        .id = body.value("id", ""),
                        .team = body.value("team", ""),
                        .payload = body.value("payload", ""),
                        .entryHost = body.value("entry_host", ""),
                        .dispatch =
                          body.value("dispatch", std::uint64_t{ 0 }) };
    record_.Write({ { "event", "start" },
                    { "at_ms", aNow.Millis() },
                    { "upstream", options_.id },
                    { "team", run.team },
                    { "id", run.id } });
    const Duration lease(body.value("lease_ms", std::int64_t{ 1000 }));
    running_.emplace(aNow + std::min(lease, TimeOf(run.payload)), run);
  }

  /// Stops the run that "/v1/run/<dispatch>" names.
  void Cancel(const http::HttpRequest& aRequest,
              const std::string& aEntryHost,
              Time aNow)
  {
    const auto isMeant = [&](const auto& aRunning) {
      const RunningRequest& run = aRunning.second;
      return run.entryHost == aEntryHost &&
             aRequest.target == "/v1/run/" + std::to_string(run.dispatch);
    };
    const auto found = std::find_if(running_.begin(), running_.end(), isMeant);
    if (found != running_.end()) {
      record_.Write({ { "event", "cancel" },
                      { "at_ms", aNow.Millis() },
                      { "upstream", options_.id },
                      { "team", found->second.team },
                      { "id", found->second.id } });
      Respond(found->second.exchange, 410, { { "error", "cancelled" } });
      running_.erase(found);
    }
    Respond(aRequest.exchange, 200, { { "stopped", true } });
  }

  /// Payloads of the form "ms=N ..." run for N milliseconds.
  Duration TimeOf(const std::string& aPayload) const
  {
    Duration span = kDefaultRun;
    if (aPayload.starts_with("ms="))
      span = Duration(std::atoll(aPayload.c_str() + 3));
    return Duration(static_cast<std::int64_t>(
      static_cast<double>(span.Millis()) * options_.slowness));
  }

  void Finish(const RunningRequest& aRun)
  {
    record_.Write({ { "event", "end" },
                    { "upstream", options_.id },
                    { "team", aRun.team },
                    { "id", aRun.id } });
    Respond(aRun.exchange,
            200,
            { { "id", aRun.id },
              { "succeeded", !options_.failsAll },
              { "answer", aRun.id + ":" + aRun.payload } });
  }

  void Announce()
  {
    const json body = { { "id", options_.id },
                        { "availability_zone", options_.availabilityZone },
                        { "rack", options_.rack },
                        { "pool", options_.pool },
                        { "address", options_.endpoint.address },
                        { "port", options_.endpoint.port },
                        { "slots", options_.slots },
                        { "connections", 64 },
                        { "millicores", 16000 },
                        { "memory_mib", 32768 },
                        { "lease_ms", 3000 },
                        { "leaving", leaving_ } };
    http::ClientCall call;
    call.id = http::ClientCallId(++lastCall_);
    call.endpoint = options_.entryHosts[lastCall_ % options_.entryHosts.size()];
    call.target = "/v1/upstreams";
    call.authorization = "Bearer " + options_.key;
    call.body = body.dump();
    call.timeout = Duration(500);
    calls_.TryPush(std::move(call));
  }

  WorkerOptions options_;
  RunRecord& record_;
  pipe::Pipe<http::ClientCall>& calls_;
  pipe::Pipe<http::HttpResponse>* responses_ = nullptr;
  std::multimap<Time, RunningRequest> running_;
  Time nextAnnouncement_;
  std::uint64_t lastCall_ = 0;
  bool leaving_ = false;
};

/// A worker with its own duty and port; the sockets' threads are shared.
struct RunningWorker
{
  RunningWorker(WorkerOptions aOptions,
                RunRecord& aRecord,
                const Clock& aClock,
                pipe::IoDuty& aServerDuty,
                pipe::IoDuty& aClientDuty)
    : duty({ .name = aOptions.id, .capacity = 256 }, aClock)
    , requests(duty)
    , results(duty)
    , client(aClientDuty, { .capacity = 64 }, results)
    , server(aServerDuty,
             { .endpoint = aOptions.endpoint, .maxConnections = 64 },
             requests)
    , worker(std::move(aOptions), aRecord, client.Calls())
  {
    worker.SetResponses(server.Responses());
  }

  pipe::Duty<WorkerMessage> duty;
  Adapter<http::HttpRequest> requests;
  Adapter<http::ClientResult> results;
  http::Client client;
  http::Server server;
  Worker worker;
};

} // namespace

/// All endpoints, or none if one of them is wrong.
static std::vector<Endpoint>
ParseEndpoints(const std::vector<std::string>& aTexts, Error& aReason)
{
  std::vector<Endpoint> endpoints;
  for (const std::string& text : aTexts) {
    const auto endpoint = ParseEndpoint(text, aReason);
    if (!endpoint)
      return {};
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

int
main(int argc, char** argv)
{
  CLI::App app{ "stand-in for upstreams" };
  WorkerOptions base;
  std::vector<std::string> listen;
  std::string recordPath = "/dev/null";
  std::vector<std::string> entries;
  std::size_t rackSize = 4;
  app.add_option("--id", base.id, "prefix of the ids")->required();
  app.add_option("--listen", listen, "endpoints, one for each worker")
    ->required();
  app.add_option("--zone", base.availabilityZone)->required();
  app.add_option("--pool", base.pool)->required();
  app.add_option("--slots", base.slots);
  app.add_option("--key", base.key, "id.secret")->required();
  app.add_option("--entry", entries, "upstream ports of entry hosts")
    ->required();
  app.add_option("--rack-size", rackSize);
  app.add_option("--record", recordPath, "file for the record of runs");
  app.add_flag("--fails-all", base.failsAll);
  app.add_flag("--lingers", base.lingers, "take work while leaving");
  app.add_option("--slowness", base.slowness);
  CLI11_PARSE(app, argc, argv);

  const pipe::StopSignals signals;
  Error reason;
  const auto listenOn = ParseEndpoints(listen, reason);
  base.entryHosts = ParseEndpoints(entries, reason);
  if (listenOn.empty() || base.entryHosts.empty()) {
    std::cerr << "standin-upstream: " << Describe(reason) << "\n";
    return 2;
  }

  const BootClock clock;
  RunRecord record(recordPath);
  pipe::IoDuty serverDuty("serve");
  pipe::IoDuty clientDuty("announce");
  std::vector<std::unique_ptr<RunningWorker>> workers;
  for (std::size_t index = 0; index < listenOn.size(); ++index) {
    WorkerOptions options = base;
    options.id += "-" + std::to_string(index);
    options.rack =
      base.availabilityZone + "-rack-" + std::to_string(index / rackSize);
    options.endpoint = listenOn[index];
    workers.push_back(std::make_unique<RunningWorker>(
      std::move(options), record, clock, serverDuty, clientDuty));
    if (!workers.back()->server.Listen(reason)) {
      std::cerr << "standin-upstream: " << Describe(reason) << "\n";
      return 1;
    }
    workers.back()->duty.Start(workers.back()->worker);
  }
  serverDuty.Start();
  clientDuty.Start();

  signals.Wait();
  for (const auto& worker : workers)
    worker->duty.Push(LeaveMessage{});
  // Long enough for the leaving to be announced and the work to finish.
  std::this_thread::sleep_for(base.lingers ? kLingerTime : kLeaveTime);
  for (const auto& worker : workers)
    worker->duty.Stop();
  serverDuty.Stop();
  clientDuty.Stop();
  return 0;
}
