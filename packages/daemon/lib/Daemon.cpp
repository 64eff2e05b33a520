#include "greengage/daemon/Daemon.h"

#include "HostState.h"
#include "LocalLog.h"
#include "ReplicatedLog.h"
#include "filters/AuthenticateFilter.h"
#include "filters/DecodeFilter.h"
#include "filters/DispatchFilter.h"
#include "filters/EncodeFilter.h"
#include "filters/OnceFilter.h"
#include "filters/OperateFilter.h"
#include "filters/StateFilter.h"
#include "sources/OnceInlet.h"
#include "sources/OnceReturns.h"
#include "sources/PeerSource.h"
#include "sources/UpstreamSource.h"

#include "greengage/dispatch/FairQueue.h"
#include "greengage/dispatch/GrantLedger.h"
#include "greengage/http/Server.h"
#include "greengage/observe/Log.h"
#include "greengage/once/OnceLedger.h"
#include "greengage/pipe/Duty.h"
#include "greengage/pipe/IoDuty.h"

#include <chrono>
#include <cstdint>
#include <future>
#include <optional>
#include <thread>
#include <utility>

using namespace greengage;
using namespace greengage::daemon;

/// Places in the ring in front of a filter.
static constexpr std::size_t kRingCapacity = 4096;
/// How long a host waits for settings that the fleet may have already before it
/// proposes those of its file.
static constexpr Duration kBeginPatience = Duration(1500);
/// How long the last responses may take to leave at shutdown.
static constexpr std::chrono::seconds kFlushTimeout(5);

static http::ServerOptions
ServerOptionsOf(http::PortRole aRole, const PortSettings& aPort)
{
  return { .port = aRole,
           .endpoint = aPort.endpoint,
           .maxConnections = aPort.maxConnections,
           .maxBodyBytes = aPort.maxBodyBytes,
           .readTimeout = aPort.readTimeout };
}

static peer::LinkOptions
LinkOptionsOf(const DaemonSettings& aSettings)
{
  peer::LinkOptions options;
  options.self = aSettings.id;
  options.availabilityZone = aSettings.availabilityZone;
  options.endpoint = aSettings.peerEndpoint;
  options.secret = aSettings.peerSecret;
  for (const peer::PeerAddress& member : aSettings.members)
    if (member.id != aSettings.id)
      options.peers.push_back(member);
  return options;
}

static dispatch::GrantOptions
GrantOptionsOf(const DaemonSettings& aSettings)
{
  dispatch::GrantOptions options;
  options.self = aSettings.id;
  for (const peer::PeerAddress& member : aSettings.members)
    options.members.push_back(member.id);
  // Later runs need larger numbers, also after the machine has restarted.
  options.incarnation = dispatch::Incarnation(
    static_cast<std::uint64_t>(WallClock().Now().Millis()));
  return options;
}

static once::LedgerOptions
LedgerOptionsOf(const DaemonSettings& aSettings)
{
  once::LedgerOptions options;
  options.self = aSettings.id;
  options.incarnation =
    once::Incarnation(static_cast<std::uint64_t>(WallClock().Now().Millis()));
  for (const peer::PeerAddress& member : aSettings.members)
    options.members.push_back(
      { .id = member.id, .availabilityZone = member.availabilityZone });
  options.retention = aSettings.once.retention;
  options.replica.recoveryWindow = aSettings.once.recoveryWindow;
  options.replica.allowsColdStart = aSettings.once.coldStart;
  options.replica.store.maxRecords = aSettings.once.maxRecords;
  options.replica.store.maxAnswerBytes = aSettings.once.maxAnswerBytes;
  return options;
}

namespace greengage::daemon::detail {

/// Takes messages of the agreed log, which is made after the links. Without a
/// log they are dropped.
class LogInlet final : public pipe::Pipe<ConsensusInput>
{
public:
  void Lead(pipe::Pipe<ConsensusInput>& aTo) { to_ = &aTo; }
  bool TryPush(ConsensusInput&& aInput) override
  {
    return to_ != nullptr && to_->TryPush(std::move(aInput));
  }
  bool Push(ConsensusInput&& aInput) override
  {
    return to_ != nullptr && to_->Push(std::move(aInput));
  }

private:
  pipe::Pipe<ConsensusInput>* to_ = nullptr;
};

/// The duties in the order of the pipeline. Members are destroyed from the
/// last to the first, and everything that a filter refers to stands above it.
class DaemonImpl
{
public:
  DaemonImpl(DaemonSettings aSettings, state::SettingsTree aFirstSettings);

  bool Start(Error& aReason);
  bool ShutDown();

private:
  pipe::Pipe<state::Proposal>& OpenLog();
  void StopDuties();

  DaemonSettings settings_;
  state::SettingsTree firstSettings_;
  BootClock clock_;
  WallClock wallClock_;
  HostState host_;
  std::promise<void> drained_;

  // The rings between the filters.
  pipe::Duty<http::HttpRequest> decode_;
  pipe::Duty<AuthenticateMessage> authenticate_;
  pipe::Duty<OnceMessage> once_;
  pipe::Duty<dispatch::Event> dispatch_;
  pipe::Duty<OperatorCall> operate_;
  pipe::Duty<StateMessage> state_;
  pipe::Duty<api::Reply> encode_;

  // Ways into the once duty, past which nothing reaches or leaves dispatch.
  OnceInlet onceInlet_;
  OnceReturns onceReturns_;

  // Sources and sinks: the sockets.
  pipe::IoDuty callersDuty_{ "callers" };
  pipe::IoDuty upstreamsDuty_{ "upstreams" };
  pipe::IoDuty operatorsDuty_{ "operators" };
  pipe::IoDuty clientDuty_{ "run-client" };
  pipe::IoDuty peersDuty_{ "peers" };
  http::Server callers_;
  http::Server upstreams_;
  http::Server operators_;
  UpstreamSource upstreamSource_;
  http::Client client_;
  LogInlet logInlet_;
  PeerSource peerSource_;
  peer::Links links_;

  // The decisions.
  once::OnceLedger ledger_;
  dispatch::FairQueue queue_;
  dispatch::GrantLedger limits_;
  dispatch::RequestPlane plane_;

  // Puts proposals in order: with the other hosts, or on a fleet without disks
  // for this host alone.
  LocalLog localLog_;
  std::optional<ReplicatedLog> replicatedLog_;

  // The filters.
  EncodeFilter encodeFilter_;
  StateFilter stateFilter_;
  OperateFilter operateFilter_;
  DispatchFilter dispatchFilter_;
  OnceFilter onceFilter_;
  AuthenticateFilter authenticateFilter_;
  DecodeFilter decodeFilter_;
};

DaemonImpl::DaemonImpl(DaemonSettings aSettings,
                       state::SettingsTree aFirstSettings)
  : settings_(std::move(aSettings))
  , firstSettings_(std::move(aFirstSettings))
  , host_(settings_.id, settings_.availabilityZone)
  , decode_({ .name = "decode", .capacity = kRingCapacity }, clock_)
  , authenticate_({ .name = "authenticate", .capacity = kRingCapacity }, clock_)
  , once_({ .name = "once", .capacity = kRingCapacity }, clock_)
  , dispatch_({ .name = "dispatch", .capacity = kRingCapacity }, clock_)
  , operate_({ .name = "operate", .capacity = kRingCapacity }, clock_)
  , state_({ .name = "state", .capacity = kRingCapacity }, clock_)
  , encode_({ .name = "encode", .capacity = kRingCapacity }, clock_)
  , onceInlet_(once_, dispatch_)
  , onceReturns_(once_, encode_)
  , callers_(callersDuty_,
             ServerOptionsOf(http::PortRole::Callers, settings_.callers),
             decode_)
  , upstreams_(upstreamsDuty_,
               ServerOptionsOf(http::PortRole::Upstreams, settings_.upstreams),
               decode_)
  , operators_(operatorsDuty_,
               ServerOptionsOf(http::PortRole::Operators, settings_.operators),
               decode_)
  , upstreamSource_(dispatch_)
  , client_(clientDuty_, {}, upstreamSource_)
  , peerSource_(onceInlet_, once_, &logInlet_)
  , links_(peersDuty_, LinkOptionsOf(settings_), clock_, peerSource_)
  , ledger_(LedgerOptionsOf(settings_), clock_.Now())
  , limits_(GrantOptionsOf(settings_))
  , plane_(
      { .self = settings_.id, .availabilityZone = settings_.availabilityZone },
      queue_,
      limits_)
  , localLog_(state_)
  , encodeFilter_({ { http::PortRole::Callers, &callers_.Responses() },
                    { http::PortRole::Upstreams, &upstreams_.Responses() },
                    { http::PortRole::Operators, &operators_.Responses() } })
  , stateFilter_(host_,
                 wallClock_,
                 { .proposals = OpenLog(),
                   .authenticate = authenticate_,
                   .dispatch = dispatch_,
                   .replies = encode_,
                   .peers = links_.Outbox() })
  , operateFilter_(host_, state_, encode_)
  , dispatchFilter_(plane_,
                    host_,
                    { .replies = onceReturns_,
                      .upstreams = client_.Calls(),
                      .peers = links_.Outbox(),
                      .onDrained = [this] { drained_.set_value(); } })
  , onceFilter_(
      ledger_,
      host_,
      { .replies = encode_, .dispatch = dispatch_, .peers = links_.Outbox() })
  , authenticateFilter_(onceInlet_, operate_, encode_)
  , decodeFilter_(authenticate_, encode_)
{
}

/// Where proposals go.
pipe::Pipe<state::Proposal>&
DaemonImpl::OpenLog()
{
  if (settings_.voters.empty())
    return localLog_;
  replicatedLog_.emplace(
    ConsensusStageOptions{ .self = settings_.id,
                           .voters = settings_.voters,
                           .dataFolder = settings_.dataFolder },
    clock_,
    host_,
    links_.Outbox(),
    state_);
  logInlet_.Lead(replicatedLog_->Inlet());
  return *replicatedLog_;
}

bool
DaemonImpl::Start(Error& aReason)
{
  if (replicatedLog_ && !replicatedLog_->Open(aReason))
    return false;
  if (!callers_.Listen(aReason) || !upstreams_.Listen(aReason) ||
      !operators_.Listen(aReason) || !links_.Start(aReason))
    return false;
  encode_.Start(encodeFilter_);
  state_.Start(stateFilter_);
  operate_.Start(operateFilter_);
  dispatch_.Start(dispatchFilter_);
  once_.Start(onceFilter_);
  authenticate_.Start(authenticateFilter_);
  decode_.Start(decodeFilter_);
  if (replicatedLog_)
    replicatedLog_->Start();
  state_.Push(
    BeginFleet{ .tree = std::move(firstSettings_),
                .patience = replicatedLog_ ? kBeginPatience : Duration(0) });
  peersDuty_.Start();
  clientDuty_.Start();
  upstreamsDuty_.Start();
  operatorsDuty_.Start();
  callersDuty_.Start();
  host_.isReady = true;
  observe::Log(observe::LogLevel::Info,
               "started",
               { { "host", settings_.id.Value() },
                 { "availability_zone", settings_.availabilityZone.Value() },
                 { "callers", ToString(settings_.callers.endpoint) } });
  return true;
}

bool
DaemonImpl::ShutDown()
{
  const std::string id = settings_.id.Value();
  observe::Log(observe::LogLevel::Info, "shutdown-notice", { { "host", id } });
  host_.isReady = false;
  callers_.Retire();
  upstreams_.Retire();
  operators_.Retire();
  std::this_thread::sleep_for(
    std::chrono::milliseconds(settings_.shutdownNotice.Millis()));
  dispatch_.Push(dispatch::BeginShutdown{});
  const auto status = drained_.get_future().wait_for(
    std::chrono::milliseconds(settings_.shutdownTimeout.Millis()));
  const bool isDrained = status == std::future_status::ready;
  StopDuties();
  observe::Log(isDrained ? observe::LogLevel::Info : observe::LogLevel::Error,
               isDrained ? "stopped" : "stopped-with-work-in-progress",
               { { "host", id } });
  return isDrained;
}

/// Ends the duties from the sources to the sinks, so that each can finish
/// what is in its ring.
void
DaemonImpl::StopDuties()
{
  decode_.Stop();
  authenticate_.Stop();
  operate_.Stop();
  if (replicatedLog_)
    replicatedLog_->Stop();
  state_.Stop();
  dispatch_.Stop();
  once_.Stop();
  encode_.Stop();
  callers_.Drain().wait_for(kFlushTimeout);
  upstreams_.Drain().wait_for(kFlushTimeout);
  operators_.Drain().wait_for(kFlushTimeout);
  callersDuty_.Stop();
  upstreamsDuty_.Stop();
  operatorsDuty_.Stop();
  clientDuty_.Stop();
  peersDuty_.Stop();
}

} // namespace greengage::daemon::detail

Daemon::Daemon(DaemonSettings aSettings, state::SettingsTree aFirstSettings)
  : impl_(std::make_unique<detail::DaemonImpl>(std::move(aSettings),
                                               std::move(aFirstSettings)))
{
}

Daemon::~Daemon() = default;

bool
Daemon::Start(Error& aReason)
{
  return impl_->Start(aReason);
}

bool
Daemon::ShutDown()
{
  return impl_->ShutDown();
}
