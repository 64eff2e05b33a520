#include "greengage/peer/Links.h"

#include "FrameStream.h"

#include "greengage/observe/Log.h"
#include "greengage/pipe/Sockets.h"
#include "greengage/state/Key.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

using namespace greengage;
using namespace greengage::peer;

namespace asio = boost::asio;
using boost::system::error_code;
using pipe::ToChrono;
using tcp = asio::ip::tcp;

static constexpr std::size_t kNonceBytes = 16;
/// A dialled connection that has no accepted one beside it after so many times
/// the silence is made anew: the peer, which dials once in each, may never have
/// got the hello.
static constexpr std::int64_t kReturnTimeoutInSilences = 5;

/// What the dialling host proves: who it is, to whom, on this connection.
static std::string
MacOfHello(const std::string& aSecret,
           const std::string& aNonce,
           const EntryHostId& aFrom,
           const EntryHostId& aTo)
{
  return state::MacOf(aSecret,
                      aNonce + "|" + aFrom.Value() + "|" + aTo.Value());
}

namespace greengage::peer::detail {

class LinksImpl : public std::enable_shared_from_this<LinksImpl>
{
public:
  LinksImpl(pipe::IoDuty& aDuty,
            LinkOptions aOptions,
            const Clock& aClock,
            pipe::Pipe<PeerEvent>& aEvents)
    : options_(std::move(aOptions))
    , clock_(aClock)
    , events_(aEvents)
    , context_(aDuty.Context())
    , acceptor_(context_)
    , acceptTimer_(context_)
    , timer_(context_)
    , outbox_(aDuty, options_.capacity, [this](PeerSend&& aSend) {
      Send(std::move(aSend));
    })
  {
    for (const PeerAddress& address : options_.peers)
      peers_[address.id].endpoint = address.endpoint;
  }

  bool Start(Error& aReason);
  void Close();
  pipe::Pipe<PeerSend>& Outbox() { return outbox_; }

private:
  using StreamPtr = std::shared_ptr<FrameStream>;

  struct Peer
  {
    Endpoint endpoint;
    AvailabilityZoneId availabilityZone;
    /// The dialled connection, once the hello has been sent on it.
    StreamPtr outgoing;
    Time outgoingSince;
    /// The accepted connection, once its hello has been verified.
    StreamPtr incoming;
    bool isUp = false;
    /// When to dial next or, while dialling, when to give that up.
    Time nextDial;
    /// Tells the current dialling from those given up.
    std::uint64_t dialAttempt = 0;
    /// The connection being dialled: its socket, then its stream until the
    /// hello has been sent.
    std::weak_ptr<tcp::socket> diallingSocket;
    std::weak_ptr<FrameStream> diallingStream;
    Time heardAt;
    /// The least difference seen between the own clock and the peer's.
    std::optional<Duration> leastOffset;
  };

  /// An accepted connection that has not proved who it is.
  struct Handshake
  {
    std::weak_ptr<FrameStream> stream;
    Time until;
  };

  Peer* FindOrAdd(const EntryHostId& aId);
  void Accept();
  void AcceptLater();
  void OnAccepted(tcp::socket aSocket);
  void OnFirstFrame(const StreamPtr& aStream,
                    const std::string& aNonce,
                    const std::string& aBytes);
  void OnFrame(const EntryHostId& aId,
               const StreamPtr& aStream,
               const std::string& aBytes);
  static Duration DelayOf(Peer& aPeer, Time aSentAt, Time aNow);
  void Dial(const EntryHostId& aId, Peer& aPeer);
  void OnDialled(const EntryHostId& aId,
                 std::uint64_t aAttempt,
                 error_code aError,
                 const std::shared_ptr<tcp::socket>& aSocket);
  void OnChallenge(const EntryHostId& aId,
                   const StreamPtr& aStream,
                   const std::string& aBytes);
  void DialFailed(const EntryHostId& aId);
  static void AbandonDial(const Peer& aPeer);
  void OnOutgoingEnded(const EntryHostId& aId, const StreamPtr& aStream);
  void OnIncomingEnded(const EntryHostId& aId, const StreamPtr& aStream);
  void CheckUp(const EntryHostId& aId, Peer& aPeer);
  void SetDown(const EntryHostId& aId, Peer& aPeer, const char* aWhy);
  void Send(PeerSend&& aSend);
  bool SendTo(Peer& aPeer, const wire::PeerMessage& aMessage);
  void Emit(PeerEvent&& aEvent) { events_.Push(std::move(aEvent)); }
  void Tick();
  void TickPeer(const EntryHostId& aId, Peer& aPeer, Time aNow);
  void DropStaleHandshakes(Time aNow);

  LinkOptions options_;
  const Clock& clock_;
  pipe::Pipe<PeerEvent>& events_;
  asio::io_context& context_;
  tcp::acceptor acceptor_;
  asio::steady_timer acceptTimer_;
  asio::steady_timer timer_;
  pipe::IoPipe<PeerSend> outbox_;
  std::map<EntryHostId, Peer> peers_;
  std::deque<Handshake> handshakes_;
};

bool
LinksImpl::Start(Error& aReason)
{
  if (!pipe::ListenOn(acceptor_, options_.endpoint, aReason))
    return false;
  Accept();
  Tick();
  return true;
}

/// Breaks the cycles between this object and its streams.
void
LinksImpl::Close()
{
  error_code ignored;
  acceptor_.close(ignored);
  for (auto& [id, peer] : peers_) {
    AbandonDial(peer);
    if (peer.outgoing)
      peer.outgoing->Close();
    if (peer.incoming)
      peer.incoming->Close();
  }
  peers_.clear();
}

/// The record of \p aId; null if it is not known and can't be a peer.
LinksImpl::Peer*
LinksImpl::FindOrAdd(const EntryHostId& aId)
{
  const auto found = peers_.find(aId);
  if (found != peers_.end())
    return &found->second;
  if (!options_.commonPort || aId == options_.self)
    return nullptr;
  Error reason;
  const auto endpoint = ParseEndpoint(
    aId.Value() + ':' + std::to_string(*options_.commonPort), reason);
  if (!endpoint)
    return nullptr;
  Peer& peer = peers_[aId];
  peer.endpoint = *endpoint;
  observe::Log(
    observe::LogLevel::Info, "peer-added", { { "peer", aId.Value() } });
  return &peer;
}

void
LinksImpl::Accept()
{
  auto self = shared_from_this();
  acceptor_.async_accept([self](error_code aError, tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted)
      return;
    if (aError) {
      self->AcceptLater();
      return;
    }
    self->OnAccepted(std::move(aSocket));
    self->Accept();
  });
}

void
LinksImpl::AcceptLater()
{
  auto self = shared_from_this();
  acceptTimer_.expires_after(ToChrono(pipe::kAcceptRetryDelay));
  acceptTimer_.async_wait([self](error_code aError) {
    if (!aError && self->acceptor_.is_open())
      self->Accept();
  });
}

void
LinksImpl::OnAccepted(tcp::socket aSocket)
{
  auto stream = std::make_shared<FrameStream>(std::move(aSocket));
  const std::string nonce = state::RandomHex(kNonceBytes);
  stream->Send(Encode(wire::Challenge{ .nonce = nonce }, clock_.Now()),
               options_.maxBacklogBytes);
  const std::weak_ptr<FrameStream> weak = stream;
  handshakes_.push_back(
    { .stream = weak, .until = clock_.Now() + options_.silence });
  auto self = shared_from_this();
  stream->Start(
    [self, weak, nonce](const std::string& aBytes) {
      if (const StreamPtr strong = weak.lock())
        self->OnFirstFrame(strong, nonce, aBytes);
    },
    [] {});
}

void
LinksImpl::OnFirstFrame(const StreamPtr& aStream,
                        const std::string& aNonce,
                        const std::string& aBytes)
{
  Error reason;
  const auto message = wire::Decode(aBytes, clock_.Now(), reason);
  const auto* hello = message ? std::get_if<wire::Hello>(&*message) : nullptr;
  const bool isGenuine =
    hello != nullptr && hello->protocol == wire::kProtocolVersion &&
    state::ConstantTimeEqual(
      hello->mac,
      MacOfHello(options_.secret, aNonce, hello->from, options_.self));
  Peer* const known = isGenuine ? FindOrAdd(hello->from) : nullptr;
  if (known == nullptr) {
    observe::Log(observe::LogLevel::Warning,
                 "peer-refused",
                 { { "peer", hello == nullptr ? "" : hello->from.Value() } });
    aStream->Close();
    return;
  }
  const EntryHostId id = hello->from;
  Peer& peer = *known;
  if (peer.incoming)
    peer.incoming->Close();
  peer.incoming = aStream;
  peer.availabilityZone = hello->availabilityZone;
  peer.heardAt = clock_.Now();
  peer.leastOffset.reset();
  const std::weak_ptr<FrameStream> weak = aStream;
  auto self = shared_from_this();
  aStream->Handle(
    [self, id, weak](const std::string& aNext) {
      if (const StreamPtr strong = weak.lock())
        self->OnFrame(id, strong, aNext);
    },
    [self, id, weak] {
      if (const StreamPtr strong = weak.lock())
        self->OnIncomingEnded(id, strong);
    });
  CheckUp(id, peer);
}

void
LinksImpl::OnFrame(const EntryHostId& aId,
                   const StreamPtr& aStream,
                   const std::string& aBytes)
{
  Peer& peer = peers_.at(aId);
  if (peer.incoming != aStream)
    return;
  Error reason;
  const Time now = clock_.Now();
  const auto sentAt = wire::SentAt(aBytes, reason);
  const Duration delay = sentAt ? DelayOf(peer, *sentAt, now) : Duration(0);
  // What remained when the message was sent has shrunk by its delay.
  auto message = wire::Decode(aBytes, now - delay, reason);
  if (!message) {
    observe::Log(observe::LogLevel::Warning,
                 "peer-message-refused",
                 { { "peer", aId.Value() }, { "reason", reason.detail } });
    aStream->Close();
    OnIncomingEnded(aId, aStream);
    return;
  }
  peer.heardAt = now;
  CheckUp(aId, peer);
  if (!std::holds_alternative<wire::Heartbeat>(*message))
    Emit(PeerReceived{ .peer = aId, .message = std::move(*message) });
}

/// How much longer a message took than the quickest one on its connection.
Duration
LinksImpl::DelayOf(Peer& aPeer, Time aSentAt, Time aNow)
{
  const Duration offset = aNow - aSentAt;
  if (!aPeer.leastOffset || offset < *aPeer.leastOffset)
    aPeer.leastOffset = offset;
  return offset - *aPeer.leastOffset;
}

void
LinksImpl::Dial(const EntryHostId& aId, Peer& aPeer)
{
  AbandonDial(aPeer);
  const std::uint64_t attempt = ++aPeer.dialAttempt;
  aPeer.nextDial = clock_.Now() + options_.silence;
  auto socket = std::make_shared<tcp::socket>(context_);
  aPeer.diallingSocket = socket;
  error_code ignored;
  const auto address = asio::ip::make_address(aPeer.endpoint.address, ignored);
  auto self = shared_from_this();
  socket->async_connect(tcp::endpoint(address, aPeer.endpoint.port),
                        [self, aId, attempt, socket](error_code aError) {
                          self->OnDialled(aId, attempt, aError, socket);
                        });
}

/// Closes a connection that is still being dialled: a peer that doesn't answer
/// would collect descriptors with each attempt.
void
LinksImpl::AbandonDial(const Peer& aPeer)
{
  error_code ignored;
  if (const auto socket = aPeer.diallingSocket.lock())
    socket->close(ignored);
  if (const auto stream = aPeer.diallingStream.lock())
    stream->Close();
}

void
LinksImpl::DialFailed(const EntryHostId& aId)
{
  Peer& peer = peers_.at(aId);
  peer.nextDial = clock_.Now() + options_.redial;
}

void
LinksImpl::OnDialled(const EntryHostId& aId,
                     std::uint64_t aAttempt,
                     error_code aError,
                     const std::shared_ptr<tcp::socket>& aSocket)
{
  Peer& peer = peers_.at(aId);
  if (peer.dialAttempt != aAttempt)
    return;
  if (aError) {
    DialFailed(aId);
    return;
  }
  auto stream = std::make_shared<FrameStream>(std::move(*aSocket));
  peer.diallingStream = stream;
  auto self = shared_from_this();
  // The stream keeps itself alive while it reads.
  const std::weak_ptr<FrameStream> weak = stream;
  stream->Start(
    [self, aId, weak](const std::string& aBytes) {
      if (const StreamPtr strong = weak.lock())
        self->OnChallenge(aId, strong, aBytes);
    },
    [self, aId, weak] {
      if (const StreamPtr strong = weak.lock())
        self->OnOutgoingEnded(aId, strong);
    });
}

void
LinksImpl::OnChallenge(const EntryHostId& aId,
                       const StreamPtr& aStream,
                       const std::string& aBytes)
{
  Peer& peer = peers_.at(aId);
  Error reason;
  const auto message = wire::Decode(aBytes, clock_.Now(), reason);
  const auto* challenge =
    message ? std::get_if<wire::Challenge>(&*message) : nullptr;
  if (challenge == nullptr || challenge->protocol != wire::kProtocolVersion ||
      peer.outgoing) {
    aStream->Close();
    OnOutgoingEnded(aId, aStream);
    return;
  }
  const wire::Hello hello{
    .from = options_.self,
    .availabilityZone = options_.availabilityZone,
    .mac = MacOfHello(options_.secret, challenge->nonce, options_.self, aId)
  };
  aStream->Send(Encode(hello, clock_.Now()), options_.maxBacklogBytes);
  peer.outgoing = aStream;
  peer.outgoingSince = clock_.Now();
  peer.diallingStream.reset();
  CheckUp(aId, peer);
}

void
LinksImpl::OnOutgoingEnded(const EntryHostId& aId, const StreamPtr& aStream)
{
  Peer& peer = peers_.at(aId);
  if (peer.outgoing && peer.outgoing != aStream)
    return;
  peer.outgoing.reset();
  DialFailed(aId);
  SetDown(aId, peer, "outgoing connection ended");
}

void
LinksImpl::OnIncomingEnded(const EntryHostId& aId, const StreamPtr& aStream)
{
  Peer& peer = peers_.at(aId);
  if (peer.incoming != aStream)
    return;
  peer.incoming.reset();
  SetDown(aId, peer, "incoming connection ended");
}

void
LinksImpl::CheckUp(const EntryHostId& aId, Peer& aPeer)
{
  if (aPeer.isUp || !aPeer.outgoing || !aPeer.incoming)
    return;
  aPeer.isUp = true;
  observe::Log(observe::LogLevel::Info,
               "peer-up",
               { { "peer", aId.Value() },
                 { "availability_zone", aPeer.availabilityZone.Value() } });
  Emit(
    PeerConnected{ .peer = aId, .availabilityZone = aPeer.availabilityZone });
}

void
LinksImpl::SetDown(const EntryHostId& aId, Peer& aPeer, const char* aWhy)
{
  if (!aPeer.isUp)
    return;
  aPeer.isUp = false;
  if (aPeer.outgoing)
    aPeer.outgoing->Close();
  if (aPeer.incoming)
    aPeer.incoming->Close();
  aPeer.outgoing.reset();
  aPeer.incoming.reset();
  aPeer.nextDial = clock_.Now() + options_.redial;
  observe::Log(observe::LogLevel::Warning,
               "peer-down",
               { { "peer", aId.Value() }, { "reason", aWhy } });
  Emit(PeerDisconnected{ .peer = aId });
}

bool
LinksImpl::SendTo(Peer& aPeer, const wire::PeerMessage& aMessage)
{
  return aPeer.isUp && aPeer.outgoing &&
         aPeer.outgoing->Send(Encode(aMessage, clock_.Now()),
                              options_.maxBacklogBytes);
}

void
LinksImpl::Send(PeerSend&& aSend)
{
  if (!aSend.to) {
    for (auto& [id, peer] : peers_)
      SendTo(peer, aSend.message);
    return;
  }
  Peer* const peer = FindOrAdd(*aSend.to);
  if (peer != nullptr && SendTo(*peer, aSend.message))
    return;
  Emit(PeerUndeliverable{ .peer = std::move(*aSend.to),
                          .message = std::move(aSend.message) });
}

/// Sends heartbeats, notices silence and dials.
void
LinksImpl::Tick()
{
  const Time now = clock_.Now();
  for (auto& [id, peer] : peers_)
    TickPeer(id, peer, now);
  DropStaleHandshakes(now);
  timer_.expires_after(ToChrono(options_.heartbeat));
  auto self = shared_from_this();
  timer_.async_wait([self](error_code aError) {
    if (!aError)
      self->Tick();
  });
}

void
LinksImpl::TickPeer(const EntryHostId& aId, Peer& aPeer, Time aNow)
{
  if (aPeer.isUp && aPeer.heardAt + options_.silence <= aNow)
    SetDown(aId, aPeer, "silence");
  const Time returnDue =
    aPeer.outgoingSince + options_.silence * kReturnTimeoutInSilences;
  if (aPeer.outgoing && !aPeer.isUp && returnDue <= aNow) {
    aPeer.outgoing->Close();
    aPeer.outgoing.reset();
  }
  if (aPeer.outgoing) {
    aPeer.outgoing->Send(Encode(wire::Heartbeat{}, aNow),
                         options_.maxBacklogBytes);
    return;
  }
  if (aPeer.nextDial <= aNow)
    Dial(aId, aPeer);
}

void
LinksImpl::DropStaleHandshakes(Time aNow)
{
  while (!handshakes_.empty() && handshakes_.front().until <= aNow) {
    const StreamPtr stream = handshakes_.front().stream.lock();
    handshakes_.pop_front();
    bool isKnown = false;
    for (const auto& [id, peer] : peers_)
      isKnown = isKnown || peer.incoming == stream;
    if (stream && !isKnown)
      stream->Close();
  }
}

} // namespace greengage::peer::detail

Links::Links(pipe::IoDuty& aDuty,
             LinkOptions aOptions,
             const Clock& aClock,
             pipe::Pipe<PeerEvent>& aEvents)
  : impl_(std::make_shared<detail::LinksImpl>(aDuty,
                                              std::move(aOptions),
                                              aClock,
                                              aEvents))
{
}

Links::~Links()
{
  impl_->Close();
}

bool
Links::Start(Error& aReason)
{
  return impl_->Start(aReason);
}

pipe::Pipe<PeerSend>&
Links::Outbox()
{
  return impl_->Outbox();
}
