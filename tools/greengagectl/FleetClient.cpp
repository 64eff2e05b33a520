#include "FleetClient.h"

#include "Commands.h"

#include "greengage/http/Client.h"
#include "greengage/pipe/IoDuty.h"
#include "greengage/pipe/Ring.h"
#include "greengage/state/Key.h"

#include <iostream>
#include <string_view>
#include <utility>

using namespace greengage;
using namespace greengage::ctl;
using nlohmann::json;

static constexpr Duration kCallTimeout = Duration::Seconds(5);
static constexpr unsigned kOk = 200;
static constexpr unsigned kUnavailable = 503;
static constexpr std::size_t kRequestIdBytes = 12;

namespace {

/// Keeps results for a thread that waits for them.
class ResultRing final : public pipe::Pipe<http::ClientResult>
{
public:
  bool TryPush(http::ClientResult&& aResult) override
  {
    return ring_.TryPush(std::move(aResult));
  }
  bool Push(http::ClientResult&& aResult) override
  {
    return ring_.Push(std::move(aResult));
  }
  http::ClientResult Pop()
  {
    http::ClientResult result;
    ring_.Pop(result);
    return result;
  }

private:
  pipe::Ring<http::ClientResult> ring_{ 16 };
};

} // namespace

namespace greengage::ctl::detail {

/// The loop that carries the calls.
class FleetClientImpl
{
public:
  FleetClientImpl() { duty_.Start(); }
  FleetClientImpl(const FleetClientImpl&) = delete;
  FleetClientImpl& operator=(const FleetClientImpl&) = delete;
  ~FleetClientImpl() { duty_.Stop(); }

  http::ClientResult Send(http::ClientCall aCall)
  {
    client_.Calls().Push(std::move(aCall));
    return results_.Pop();
  }

private:
  pipe::IoDuty duty_{ "fleet-client" };
  ResultRing results_;
  http::Client client_{ duty_, {}, results_ };
};

} // namespace greengage::ctl::detail

void
greengage::ctl::AddFleetOptions(CLI::App& aApp, FleetOptions& aOptions)
{
  aApp
    .add_option("--entry-host",
                aOptions.entryHosts,
                "operators' ports; the next is asked if one does not answer")
    ->required();
  aApp.add_option("--key", aOptions.key, "operator's key, id.secret")
    ->required();
}

FleetClient::FleetClient(FleetOptions aOptions)
  : options_(std::move(aOptions))
  , impl_(std::make_unique<detail::FleetClientImpl>())
{
}

FleetClient::~FleetClient() = default;

std::optional<FleetAnswer>
FleetClient::CallOne(const std::string& aEntryHost,
                     const FleetCall& aCall,
                     Error& aReason)
{
  const auto endpoint = ParseEndpoint(aEntryHost, aReason);
  if (!endpoint)
    return std::nullopt;
  http::ClientCall call;
  call.endpoint = *endpoint;
  call.method = aCall.method;
  call.target = aCall.target;
  call.authorization = "Bearer " + options_.key;
  call.body = aCall.body;
  call.timeout = kCallTimeout;
  http::ClientResult result = impl_->Send(std::move(call));
  if (result.progress == http::CallProgress::Responded) {
    json value = json::parse(result.body, nullptr, /*allow_exceptions=*/false);
    if (value.is_discarded())
      value = nullptr;
    return FleetAnswer{ result.status,
                        std::move(result.body),
                        std::move(value) };
  }
  const bool isChange = !aCall.requestId.empty();
  const bool mayHaveRun =
    isChange && result.progress == http::CallProgress::SentNoResponse;
  return Fail(aReason,
              mayHaveRun ? ErrorKind::OutcomeUnknown : ErrorKind::Unreachable,
              aEntryHost + ": " + result.reason);
}

std::optional<FleetAnswer>
FleetClient::Call(const FleetCall& aCall, Error& aReason)
{
  bool mayHaveRun = false;
  std::optional<FleetAnswer> busy;
  for (const std::string& entryHost : options_.entryHosts) {
    auto answer = CallOne(entryHost, aCall, aReason);
    if (answer && answer->status != kUnavailable)
      return answer;
    if (answer)
      busy = std::move(answer);
    else if (aReason.kind == ErrorKind::Malformed)
      return std::nullopt;
    mayHaveRun = mayHaveRun || aReason.kind == ErrorKind::OutcomeUnknown;
  }
  if (mayHaveRun)
    return Fail(aReason,
                ErrorKind::OutcomeUnknown,
                "no entry host confirmed the change with request id " +
                  aCall.requestId);
  return busy;
}

static void
PrintRefusal(const FleetAnswer& aAnswer)
{
  const json& refusal = aAnswer.json;
  if (!refusal.is_object() || !refusal.contains("detail")) {
    std::cerr << "greengagectl: status " << aAnswer.status << ": "
              << aAnswer.body << "\n";
    return;
  }
  std::cerr << "greengagectl: " << TextOf(refusal["detail"]) << "; "
            << TextOf(refusal.value("remedy", json())) << "\n";
  if (!refusal.contains("winner"))
    return;
  const json& winner = refusal["winner"];
  std::cerr << "version " << winner["version"] << " was made by "
            << TextOf(winner["who"]) << " from " << TextOf(winner["from"])
            << ":\n";
  PrintChanges(std::cerr, winner["changes"]);
}

std::optional<json>
greengage::ctl::Ask(FleetClient& aClient,
                    const FleetCall& aCall,
                    int& aExitCode)
{
  Error reason;
  auto answer = aClient.Call(aCall, reason);
  aExitCode = kExitFailed;
  if (!answer) {
    const bool isUsage = reason.kind == ErrorKind::Malformed;
    Report(reason, kExitFailed);
    aExitCode = isUsage ? kExitUsage : kExitFailed;
    return std::nullopt;
  }
  if (answer->status != kOk || !answer->json.is_object()) {
    PrintRefusal(*answer);
    return std::nullopt;
  }
  aExitCode = kExitOk;
  return std::move(answer->json);
}

int
greengage::ctl::SendChange(FleetClient& aClient,
                           const std::string& aTarget,
                           json aBody,
                           std::string aRequestId,
                           json& aAnswer)
{
  if (aRequestId.empty())
    aRequestId = "ctl-" + state::RandomHex(kRequestIdBytes);
  aBody["request_id"] = aRequestId;
  int exitCode = kExitOk;
  const FleetCall call{ "POST",
                        aTarget,
                        aBody.dump(
                          -1, ' ', false, json::error_handler_t::replace),
                        aRequestId };
  auto answer = Ask(aClient, call, exitCode);
  if (!answer)
    return exitCode;
  std::cout << "accepted as version " << (*answer)["version"] << "\n";
  if (answer->contains("note"))
    std::cout << "note: " << TextOf((*answer)["note"]) << "\n";
  aAnswer = std::move(*answer);
  return kExitOk;
}

std::string
greengage::ctl::EscapeQuery(const std::string& aText)
{
  static constexpr std::string_view kPlain =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/:";
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string text;
  for (const char byte : aText) {
    const auto value = static_cast<unsigned char>(byte);
    if (kPlain.find(byte) != std::string_view::npos) {
      text += byte;
      continue;
    }
    text += '%';
    text += kDigits[value >> 4U];
    text += kDigits[value & 0xFU];
  }
  return text;
}

std::string
greengage::ctl::TextOf(const json& aValue)
{
  if (aValue.is_null())
    return "-";
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

void
greengage::ctl::PrintChanges(std::ostream& aStream, const json& aChanges)
{
  for (const json& change : aChanges)
    aStream << "  [" << TextOf(change["branch"]) << "] "
            << TextOf(change["name"]) << ": " << TextOf(change["before"])
            << " -> " << TextOf(change["after"]) << "\n";
}
