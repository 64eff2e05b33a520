#include "greengage/daemon/JobDaemon.h"

#include "ConsensusStage.h"
#include "HostState.h"
#include "filters/DecodeCallFilter.h"
#include "filters/GateFilter.h"
#include "filters/ScheduleFilter.h"
#include "sources/JobPipes.h"

#include "greengage/core/Clock.h"
#include "greengage/http/Client.h"
#include "greengage/http/Server.h"
#include "greengage/observe/Log.h"
#include "greengage/peer/Links.h"
#include "greengage/pipe/Duty.h"
#include "greengage/pipe/IoDuty.h"

#include <chrono>
#include <future>
#include <map>
#include <thread>
#include <utility>

using namespace greengage;
using namespace greengage::daemon;

/// Places in the ring in front of a filter.
static constexpr std::size_t kRingCapacity = 1024;
/// Calls to one worker at once: one that waits for its lists, and starts.
static constexpr std::size_t kConnectionsPerWorker = 4;
/// How long an idle connection to a worker is kept: workers with runs are
/// called every second, and a worker that comes back after its host moved has
/// another address.
static constexpr Duration kWorkerIdleTimeout = Duration::Seconds(5);
/// Calls to the provider of hosts that may wait, and at once.
static constexpr std::size_t kHostRingCapacity = 128;
static constexpr std::size_t kProviderConnections = 4;
/// Calls to the adviser that may wait; the scheduler has one at a time.
static constexpr std::size_t kAdviceRingCapacity = 16;
/// Bytes of a client's request: the configured limit is 256 KiB.
static constexpr std::uint64_t kMaxClientBody = 256 * 1024;
/// Bytes of an operator's request: some thousand queues.
static constexpr std::uint64_t kMaxControlBody = 4 * 1024 * 1024;
/// Bytes of one entry of the agreed log: a configuration is one.
static constexpr std::size_t kMaxEntryBytes = kMaxControlBody + 64 * 1024;
static constexpr std::size_t kMaxConnections = 2048;
/// Silence after which another control host votes in place of one: most cuts
/// and freezes of the users' days are over by then, and it does no harm where
/// one is not.
static constexpr Duration kReplaceVoterAfter = Duration::Seconds(6);
/// How long the last responses may take to leave at shutdown.
static constexpr std::chrono::milliseconds kFlushTimeout(2500);

static peer::LinkOptions
LinkOptionsOf(const JobSettings& aSettings)
{
  peer::LinkOptions options;
  options.self = aSettings.id;
  options.availabilityZone = aSettings.availabilityZone;
  options.endpoint = { .address = aSettings.id.Value(),
                       .port = aSettings.peerPort };
  options.secret = aSettings.peerSecret;
  options.commonPort = aSettings.peerPort;
  options.capacity = kRingCapacity;
  for (const EntryHostId& seed : aSettings.seeds)
    if (seed != aSettings.id)
      options.peers.push_back({ .id = seed,
                                .endpoint = { .address = seed.Value(),
                                              .port = aSettings.peerPort } });
  return options;
}

namespace greengage::daemon::detail {

/// One port with the server behind it.
struct Port
{
  Port(http::PortRole aRole,
       const Endpoint& aEndpoint,
       std::uint64_t aMaxBody,
       pipe::IoDuty& aDuty,
       pipe::Pipe<http::HttpRequest>& aNext)
    : role(aRole)
    , server(aDuty,
             { .port = aRole,
               .endpoint = aEndpoint,
               .maxConnections = kMaxConnections,
               .maxHeaderBytes = 16 * 1024,
               .maxBodyBytes = aMaxBody },
             aNext)
  {
  }
  http::PortRole role;
  http::Server server;
};

/// The duties in the order of the pipeline. Members are destroyed from the
/// last to the first.
class JobDaemonImpl
{
public:
  JobDaemonImpl(JobSettings aSettings, FrontEnd aFrontEnd);

  bool Start(Error& aReason);
  void Reload(const JobSettings& aSettings);
  void ShutDown();

private:
  /// What only a control host has.
  struct Control
  {
    Control(const JobSettings& aSettings,
            const FrontEnd& aFrontEnd,
            const Clock& aClock,
            const Clock& aWallClock,
            HostState& aHost,
            pipe::Pipe<peer::PeerSend>& aPeers,
            pipe::Pipe<GateMessage>& aGate);

    pipe::Duty<RawCall> decode;
    pipe::Duty<ScheduleMessage> schedule;
    pipe::IoDuty clientDuty{ "workers" };
    AnswerSource<frontend::WorkerCodec> workerSource;
    AnswerSource<frontend::HostCodec> hostSource;
    AnswerSource<frontend::AdviceCodec> adviceSource;
    http::Client workers;
    http::Client hosts;
    http::Client adviser;
    CallSink<schedule::WorkerCall, frontend::WorkerCodec> workerSink;
    CallSink<schedule::HostCall, frontend::HostCodec> hostSink;
    CallSink<schedule::AdviceCall, frontend::AdviceCodec> adviceSink;
    ReplySink replySink;
    RemoteMachine machine;
    LeadershipSink leadershipSink;
    WrappingPipe<ProposalEnded, ScheduleMessage> proposalEnds;
    ConsensusStage log;
    ScheduleFilter scheduleFilter;
    DecodeCallFilter decodeFilter;
  };

  std::map<http::PortRole, pipe::Pipe<http::HttpResponse>*> OpenPorts();

  JobSettings settings_;
  BootClock clock_;
  WallClock wallClock_;
  HostState host_;
  pipe::Duty<GateMessage> gate_;
  WrappingPipe<http::HttpRequest, GateMessage> requests_;
  WrappingPipe<peer::PeerEvent, GateMessage> peerEvents_;
  pipe::IoDuty portsDuty_{ "ports" };
  pipe::IoDuty peersDuty_{ "peers" };
  std::vector<std::unique_ptr<Port>> ports_;
  peer::Links links_;
  std::unique_ptr<Control> control_;
  GateFilter gateFilter_;
};

JobDaemonImpl::Control::Control(const JobSettings& aSettings,
                                const FrontEnd& aFrontEnd,
                                const Clock& aClock,
                                const Clock& aWallClock,
                                HostState& aHost,
                                pipe::Pipe<peer::PeerSend>& aPeers,
                                pipe::Pipe<GateMessage>& aGate)
  : decode({ .name = "decode", .capacity = kRingCapacity }, aClock)
  , schedule({ .name = "schedule", .capacity = kRingCapacity }, aClock)
  , workerSource(aFrontEnd.workers, schedule)
  , hostSource(aFrontEnd.hosts, schedule)
  , adviceSource(aFrontEnd.advice, schedule)
  , workers(clientDuty,
            { .capacity = kRingCapacity,
              .idlePerEndpoint = kConnectionsPerWorker,
              .idleTimeout = kWorkerIdleTimeout,
              .maxPerEndpoint = kConnectionsPerWorker,
              .peerReader = &aFrontEnd.workers },
            workerSource)
  , hosts(clientDuty,
          { .capacity = kHostRingCapacity,
            .idlePerEndpoint = kProviderConnections,
            .maxPerEndpoint = kProviderConnections },
          hostSource)
  , adviser(clientDuty,
            { .capacity = kAdviceRingCapacity,
              .idlePerEndpoint = 1,
              .maxPerEndpoint = 1 },
            adviceSource)
  , workerSink(aFrontEnd.workers, workers.Calls())
  , hostSink(aFrontEnd.hosts, hosts.Calls())
  , adviceSink(aFrontEnd.advice, adviser.Calls())
  , replySink(aFrontEnd.calls, aGate)
  , machine(aFrontEnd.configurations, schedule)
  , leadershipSink(schedule, aGate)
  , proposalEnds(schedule)
  , log({ .self = aSettings.id,
          .availabilityZone = aSettings.availabilityZone,
          .voters = { aSettings.seeds.begin(), aSettings.seeds.end() },
          .voterReplacementTimeout = kReplaceVoterAfter,
          .toleratedLosses = aSettings.toleratedLosses,
          .mayBootstrap = aSettings.mayBootstrap,
          .dataFolder = aSettings.dataFolder,
          .maxEntryBytes = kMaxEntryBytes },
        aClock,
        machine,
        aHost,
        aPeers,
        proposalEnds,
        &leadershipSink)
  , scheduleFilter(aSettings.scheduler,
                   { .isEnabled = aSettings.hostProvider.has_value(),
                     .self = aSettings.id,
                     .minOrderGap = aSettings.hostOrderGap,
                     .moveTime = aSettings.hostMoveTime },
                   aFrontEnd.configurations,
                   aHost,
                   aWallClock,
                   { .log = log.Inlet(),
                     .workers = workerSink,
                     .hosts = hostSink,
                     .advice = adviceSink,
                     .replies = replySink })
  , decodeFilter(aFrontEnd.calls, schedule)
{
}

JobDaemonImpl::JobDaemonImpl(JobSettings aSettings, FrontEnd aFrontEnd)
  : settings_(std::move(aSettings))
  , host_(settings_.id, settings_.availabilityZone)
  , gate_({ .name = "gate", .capacity = kRingCapacity }, clock_)
  , requests_(gate_)
  , peerEvents_(gate_)
  , links_(peersDuty_, LinkOptionsOf(settings_), clock_, peerEvents_)
  , control_(settings_.dataFolder.empty()
               ? nullptr
               : std::make_unique<Control>(settings_,
                                           aFrontEnd,
                                           clock_,
                                           wallClock_,
                                           host_,
                                           links_.Outbox(),
                                           gate_))
  , gateFilter_(host_,
                { .ports = OpenPorts(),
                  .peers = links_.Outbox(),
                  .served = control_ ? &control_->decode : nullptr,
                  .log = control_ ? &control_->log.Inlet() : nullptr })
{
}

std::map<http::PortRole, pipe::Pipe<http::HttpResponse>*>
JobDaemonImpl::OpenPorts()
{
  std::map<http::PortRole, pipe::Pipe<http::HttpResponse>*> responses;
  const auto open = [&](http::PortRole aRole,
                        const std::optional<Endpoint>& aEndpoint,
                        std::uint64_t aMaxBody) {
    if (!aEndpoint)
      return;
    ports_.push_back(std::make_unique<Port>(
      aRole, *aEndpoint, aMaxBody, portsDuty_, requests_));
    responses[aRole] = &ports_.back()->server.Responses();
  };
  open(http::PortRole::Callers, settings_.callers, kMaxClientBody);
  open(http::PortRole::Readiness, settings_.readiness, kMaxClientBody);
  open(http::PortRole::Control, settings_.control, kMaxControlBody);
  open(http::PortRole::Metrics, settings_.metrics, kMaxClientBody);
  return responses;
}

bool
JobDaemonImpl::Start(Error& aReason)
{
  if (control_ && !control_->log.Open(aReason))
    return false;
  for (const auto& port : ports_)
    if (!port->server.Listen(aReason))
      return false;
  if (!links_.Start(aReason))
    return false;
  gate_.Start(gateFilter_);
  if (control_) {
    control_->schedule.Start(control_->scheduleFilter);
    control_->decode.Start(control_->decodeFilter);
    control_->clientDuty.Start();
    control_->log.Start();
  }
  peersDuty_.Start();
  portsDuty_.Start();
  observe::Log(observe::LogLevel::Info,
               "started",
               { { "host", settings_.id.Value() },
                 { "availability_zone", settings_.availabilityZone.Value() },
                 { "control", control_ ? "yes" : "no" },
                 { "seeds", std::to_string(settings_.seeds.size()) } });
  return true;
}

void
JobDaemonImpl::Reload(const JobSettings& aSettings)
{
  // A message to a host that is not known makes it a peer.
  for (const EntryHostId& seed : aSettings.seeds)
    if (seed != settings_.id)
      links_.Outbox().TryPush({ .to = seed, .message = wire::Heartbeat{} });
  settings_.seeds = aSettings.seeds;
  observe::Log(observe::LogLevel::Info,
               "settings-reloaded",
               { { "seeds", std::to_string(settings_.seeds.size()) } });
}

void
JobDaemonImpl::ShutDown()
{
  observe::Log(observe::LogLevel::Info,
               "shutdown-notice",
               { { "host", settings_.id.Value() } });
  gate_.Push(BeginStop{});
  for (const auto& port : ports_)
    port->server.Retire();
  if (control_)
    control_->log.Stop();
  std::this_thread::sleep_for(
    std::chrono::milliseconds(settings_.shutdownNotice.Millis()));
  std::vector<std::future<void>> drained;
  for (const auto& port : ports_)
    drained.push_back(port->server.Drain());
  for (const auto& port : drained)
    port.wait_for(kFlushTimeout);
  if (control_) {
    control_->decode.Stop();
    control_->schedule.Stop();
  }
  gate_.Stop();
  portsDuty_.Stop();
  if (control_)
    control_->clientDuty.Stop();
  peersDuty_.Stop();
  observe::Log(
    observe::LogLevel::Info, "stopped", { { "host", settings_.id.Value() } });
}

} // namespace greengage::daemon::detail

JobDaemon::JobDaemon(JobSettings aSettings, FrontEnd aFrontEnd)
  : impl_(
      std::make_unique<detail::JobDaemonImpl>(std::move(aSettings), aFrontEnd))
{
}

JobDaemon::~JobDaemon() = default;

bool
JobDaemon::Start(Error& aReason)
{
  return impl_->Start(aReason);
}

void
JobDaemon::Reload(const JobSettings& aSettings)
{
  impl_->Reload(aSettings);
}

void
JobDaemon::ShutDown()
{
  impl_->ShutDown();
}
