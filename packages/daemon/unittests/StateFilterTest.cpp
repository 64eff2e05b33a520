#include "../lib/filters/StateFilter.h"
#include "../lib/LocalLog.h"
#include "../lib/filters/AuthenticateFilter.h"
#include "../lib/filters/OperateFilter.h"

#include "greengage/settings/IniFile.h"

#include <catch2/catch.hpp>

#include <deque>
#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

namespace {

/// Keeps what is pushed, up to a number of places.
template<typename Message>
class Collector final : public pipe::Pipe<Message>
{
public:
  bool TryPush(Message&& aMessage) override
  {
    if (items.size() >= places)
      return false;
    items.push_back(std::move(aMessage));
    return true;
  }
  bool Push(Message&& aMessage) override
  {
    items.push_back(std::move(aMessage));
    return true;
  }
  Message Take()
  {
    REQUIRE_FALSE(items.empty());
    Message message = std::move(items.front());
    items.pop_front();
    return message;
  }

  std::size_t places = 100;
  std::deque<Message> items;
};

/// The filters from a decoded call of an operator to its reply.
class Pipeline
{
public:
  Pipeline()
  {
    Error reason;
    const auto file = settings::IniFile::Parse(
      "[teams/a]\nlimit = 4\nkey.t1 = " + Digest() +
        "\n[operators/night]\nkey.o1 = " + Digest() + "\n",
      "test",
      reason);
    REQUIRE(file);
    state.items.push_back(BeginFleet{
      .tree = state::SettingsTree::FromIni(*file), .patience = {} });
    Run();
  }

  static std::string Digest()
  {
    return state::KeyDigest::Compute("s", "0123456789abcdef").ToString();
  }

  /// Moves all messages on until nothing is left.
  void Run()
  {
    while (!operate.items.empty() || !state.items.empty() ||
           !authenticate.items.empty()) {
      if (!authenticate.items.empty())
        authenticateFilter.Accept(authenticate.Take(), Time(0));
      if (!operate.items.empty())
        operateFilter.Accept(operate.Take(), Time(0));
      if (!state.items.empty())
        stateFilter.Accept(state.Take(), Time(0));
    }
  }

  void Send(api::CallBody aBody, const std::string& aKey = "o1.s")
  {
    const CallId id =
      api::CallOf(http::PortRole::Operators, http::ExchangeId(++exchange));
    authenticate.items.emplace_back(
      api::Call{ .id = id,
                 .authorization = "Bearer " + aKey,
                 .remoteAddress = "127.0.0.1",
                 .body = std::move(aBody) });
  }

  /// Sends a call and gives its reply.
  api::ReplyBody Ask(api::AdministrationCall aCall)
  {
    Send(api::CallBody(std::move(aCall)));
    Run();
    return replies.Take().body;
  }

  /// Sends a change and gives how it ended.
  api::ChangeReply Change(api::AdministrationCall aCall)
  {
    auto reply = Ask(std::move(aCall));
    return std::get<api::ChangeReply>(
      std::get<api::AdministrationReply>(reply));
  }

  HostState host{ EntryHostId("entry-0"), AvailabilityZoneId("z1") };
  ManualClock wallClock{ Time(12345) };
  Collector<AuthenticateMessage> authenticate;
  Collector<dispatch::Event> dispatch;
  Collector<OperatorCall> operate;
  Collector<StateMessage> state;
  Collector<api::Reply> replies;
  Collector<peer::PeerSend> peers;
  std::uint64_t exchange = 0;
  LocalLog log{ state };
  AuthenticateFilter authenticateFilter{ dispatch, operate, replies };
  OperateFilter operateFilter{ host, state, replies };
  StateFilter stateFilter{ host,
                           wallClock,
                           { .proposals = log,
                             .authenticate = authenticate,
                             .dispatch = dispatch,
                             .replies = replies,
                             .peers = peers } };
};

} // namespace

static api::ChangeState
SetLimit(const char* aRequestId, std::uint64_t aBasedOn, const char* aLimit)
{
  return { state::ChangeId(aRequestId),
           state::ChangeSettings{ Version(aBasedOn),
                                  { { "teams/a", "limit", aLimit } } } };
}

static api::GrantKeyCall
Grant(const char* aRequestId, const char* aId)
{
  return { .change = state::ChangeId(aRequestId),
           .holder = { state::Role::Team, "a" },
           .id = KeyId(aId),
           .digest = std::nullopt };
}

TEST_CASE("the first settings reach the request path and make the host ready")
{
  Pipeline line;
  REQUIRE(line.host.hasState);
  const auto event = line.dispatch.Take();
  const auto& view = std::get<dispatch::ViewChanged>(event).view;
  REQUIRE(view->version == Version(1));
  REQUIRE(view->teams.at(TeamId("a")).limit == Slots(4));
}

TEST_CASE("an accepted change is published before its operator hears of it")
{
  Pipeline line;
  line.dispatch.items.clear();
  line.Send(api::CallBody(SetLimit("r1", 1, "9")));
  while (line.replies.items.empty()) {
    REQUIRE(line.dispatch.items.empty());
    if (!line.authenticate.items.empty())
      line.authenticateFilter.Accept(line.authenticate.Take(), Time(0));
    else if (!line.operate.items.empty())
      line.operateFilter.Accept(line.operate.Take(), Time(0));
    else
      line.stateFilter.Accept(line.state.Take(), Time(0));
  }
  const auto event = line.dispatch.Take();
  const auto& view = std::get<dispatch::ViewChanged>(event).view;
  REQUIRE(view->teams.at(TeamId("a")).limit == Slots(9));
}

TEST_CASE("a refused change publishes nothing")
{
  Pipeline line;
  line.dispatch.items.clear();
  const auto reply = line.Change(SetLimit("r1", 7, "9"));
  REQUIRE(std::holds_alternative<state::Refused>(reply.result.end));
  REQUIRE(line.dispatch.items.empty());
}

TEST_CASE("a secret made by the host works and is told once")
{
  Pipeline line;
  const auto reply = line.Change(Grant("r1", "t2"));
  REQUIRE(reply.secret);
  line.Send(api::StatusCall{}, "t2." + *reply.secret);
  line.Run();
  // The key is known; it is only not meant for this port.
  const auto refused = line.replies.Take();
  REQUIRE(std::get<api::ErrorReply>(refused.body).error.kind ==
          ErrorKind::Forbidden);
  const auto resent = line.Change(Grant("r1", "t2"));
  REQUIRE(resent.result.isResend);
  REQUIRE_FALSE(resent.secret);
  // Nor is the secret of a refused grant told.
  REQUIRE_FALSE(line.Change(Grant("r2", "t2")).secret);
}

TEST_CASE("a withdrawn operator's key is refused from the next call on")
{
  Pipeline line;
  const auto granted =
    line.Change(api::GrantKeyCall{ .change = state::ChangeId("r1"),
                                   .holder = { state::Role::Operator, "day" },
                                   .id = KeyId("o2"),
                                   .digest = std::nullopt });
  REQUIRE(granted.secret);
  line.Change(api::ChangeState{ state::ChangeId("r2"),
                                state::WithdrawKey{ KeyId("o2") } });
  line.Send(api::CallBody(SetLimit("r3", 1, "9")), "o2." + *granted.secret);
  line.Run();
  const auto reply = line.replies.Take();
  REQUIRE(std::get<api::ErrorReply>(reply.body).error.kind ==
          ErrorKind::Unauthenticated);
}

TEST_CASE("a team's key has no powers on the administration port")
{
  Pipeline line;
  line.Send(api::CallBody(SetLimit("r1", 1, "9")), "t1.s");
  line.Run();
  const auto reply = line.replies.Take();
  REQUIRE(std::get<api::ErrorReply>(reply.body).error.kind ==
          ErrorKind::Forbidden);
}

TEST_CASE("full rings refuse a change by name and leave nothing behind")
{
  Pipeline line;
  line.state.places = 0;
  line.Send(api::CallBody(SetLimit("r1", 1, "9")));
  line.Run();
  const auto early = line.replies.Take();
  REQUIRE(std::get<api::ErrorReply>(early.body).error.kind ==
          ErrorKind::Overloaded);
  // Room for the call, none for its delivery.
  line.stateFilter.Accept(
    AdministrationRequest{ .call = CallId(1),
                           .who = state::OperatorId("night"),
                           .remoteAddress = "::1",
                           .body = SetLimit("r1", 1, "9") },
    Time(0));
  const auto late = line.replies.Take();
  REQUIRE(std::get<api::ErrorReply>(late.body).error.kind ==
          ErrorKind::Overloaded);
  line.state.places = 10;
  const auto reply = line.Change(SetLimit("r1", 1, "9"));
  REQUIRE_FALSE(reply.result.isResend);
  REQUIRE(std::holds_alternative<state::Accepted>(reply.result.end));
}

TEST_CASE("neither export nor settings nor diff show digests")
{
  Pipeline line;
  const auto settings = line.Ask(api::ReadSettings{});
  const auto& tree =
    std::get<api::SettingsReply>(std::get<api::AdministrationReply>(settings))
      .tree;
  REQUIRE(tree.Explain("teams/a", "limit"));
  REQUIRE_FALSE(tree.Explain("teams/a", "key.t1"));
  const auto exported = line.Ask(api::ExportSettings{});
  const std::string& ini =
    std::get<api::ExportReply>(std::get<api::AdministrationReply>(exported))
      .ini;
  REQUIRE(ini.find("limit") != std::string::npos);
  REQUIRE(ini.find("key.") == std::string::npos);
  const auto diff = line.Ask(api::DiffSettings{ state::SettingsTree() });
  REQUIRE(std::get<api::DiffReply>(std::get<api::AdministrationReply>(diff))
            .changes.size() == 1);
}

TEST_CASE("the audit trail names operator, address and time of the call")
{
  Pipeline line;
  line.Change(SetLimit("r1", 1, "9"));
  const auto reply = line.Ask(api::QueryAudit{ { .limit = 1 } });
  const auto& entries =
    std::get<api::AuditReply>(std::get<api::AdministrationReply>(reply))
      .entries;
  REQUIRE(entries.size() == 1);
  REQUIRE(entries[0].origin.who == state::OperatorId("night"));
  REQUIRE(entries[0].origin.remoteAddress == "127.0.0.1");
  REQUIRE(entries[0].origin.at == Time(12345));
  REQUIRE(entries[0].changes[0].before == "4");
}

namespace {

/// A state duty whose proposals go nowhere by themselves, and an operator who
/// waits for one.
struct ProposalFixture
{
  ProposalFixture()
  {
    filter.Accept(AdministrationRequest{ .call = CallId(7),
                                         .who = state::OperatorId("night"),
                                         .remoteAddress = "::1",
                                         .body = SetLimit("r1", 1, "9") },
                  Time(0));
  }

  Pipeline line;
  Collector<state::Proposal> proposals;
  StateFilter filter{ line.host,
                      line.wallClock,
                      { .proposals = proposals,
                        .authenticate = line.authenticate,
                        .dispatch = line.dispatch,
                        .replies = line.replies,
                        .peers = line.peers } };
};

} // namespace

TEST_CASE_METHOD(ProposalFixture,
                 "a proposal that failed is told to its operator")
{
  REQUIRE(line.replies.items.empty());
  const auto proposal = proposals.Take();
  filter.Accept(
    state::ProposalFailed{ proposal.id,
                           { ErrorKind::OutcomeUnknown, "leader was lost" } },
    Time(0));
  const auto reply = line.replies.Take();
  REQUIRE(reply.call == CallId(7));
  REQUIRE(std::get<api::ErrorReply>(reply.body).error.kind ==
          ErrorKind::OutcomeUnknown);
}

TEST_CASE_METHOD(ProposalFixture,
                 "a proposal goes to the leader until it comes out")
{
  const auto proposal = proposals.Take();
  filter.Accept(
    ProposalRedirected{ .id = proposal.id, .leader = EntryHostId("e2") },
    Time(10));
  const auto sent = line.peers.Take();
  REQUIRE(sent.to == EntryHostId("e2"));
  REQUIRE(std::get<wire::ForwardedProposal>(sent.message).command ==
          proposal.command);
  filter.OnTimer(Time(400));
  REQUIRE(proposals.items.empty());
  filter.OnTimer(Time(600));
  REQUIRE(proposals.Take().command == proposal.command);
  // Another host put it into the log: no proposal of this host is named.
  filter.Accept(state::Delivery{ .index = state::LogIndex(1),
                                 .command = proposal.command,
                                 .proposal = std::nullopt },
                Time(700));
  REQUIRE(line.replies.items.size() == 1);
  filter.OnTimer(Time(1200));
  REQUIRE(proposals.items.empty());
}

TEST_CASE_METHOD(ProposalFixture,
                 "a proposal that never comes out ends as unknown")
{
  filter.OnTimer(Time(7900));
  REQUIRE(line.replies.items.empty());
  filter.OnTimer(Time(8000));
  const auto reply = line.replies.Take();
  REQUIRE(std::get<api::ErrorReply>(reply.body).error.kind ==
          ErrorKind::OutcomeUnknown);
}
