#include "greengage/jobs/Operation.h"

#include "CborFields.h"

#include <utility>

using namespace greengage;
using namespace greengage::jobs;
using namespace greengage::jobs::detail;

namespace {

/// Type codes of encoded operations. They are stored in logs on disk and must
/// not change.
enum class OperationCode : std::uint8_t
{
  PutConfiguration = 1,
  AcceptJob = 2,
  CancelJob = 3,
  RemoveJobRecord = 4,
  AssignTask = 5,
  EndRun = 6,
  RegisterWorker = 7,
  RetireWorker = 8,
  StartWave = 9,
  BeginMaintenance = 10,
  RecordOrderIntent = 11,
  ConfirmStart = 12,
  RecordCrash = 13,
  DismissSuspicions = 14,
  RepeatStart = 15,
};

} // namespace

static Cbor
OperationToCbor(const PutConfiguration& aOperation)
{
  return Cbor::array({ OperationCode::PutConfiguration, aOperation.text });
}

static Cbor
OperationToCbor(const AcceptJob& aOperation)
{
  return Cbor::array({ OperationCode::AcceptJob,
                       aOperation.id.Value(),
                       aOperation.queue.Value(),
                       aOperation.team.Value(),
                       aOperation.at.Millis(),
                       ToCbor(aOperation.description),
                       aOperation.address.hostName,
                       aOperation.address.pathPrefix });
}

static Cbor
OperationToCbor(const CancelJob& aOperation)
{
  Cbor encoded = Cbor::array({ OperationCode::CancelJob,
                               aOperation.id.Value(),
                               aOperation.at.Millis() });
  if (aOperation.address) {
    encoded.push_back(aOperation.address->hostName);
    encoded.push_back(aOperation.address->pathPrefix);
    encoded.push_back(aOperation.team.Value());
  }
  return encoded;
}

static Cbor
OperationToCbor(const RemoveJobRecord& aOperation)
{
  return Cbor::array({ OperationCode::RemoveJobRecord, aOperation.id.Value() });
}

static Cbor
OperationToCbor(const AssignTask& aOperation)
{
  return Cbor::array({ OperationCode::AssignTask,
                       ToCbor(aOperation.task),
                       aOperation.attempt.Value(),
                       aOperation.worker.Value() });
}

static Cbor
OperationToCbor(const EndRun& aOperation)
{
  return Cbor::array({ OperationCode::EndRun,
                       ToCbor(aOperation.task),
                       aOperation.attempt.Value(),
                       aOperation.outcome,
                       aOperation.checkpoint,
                       aOperation.at.Millis(),
                       aOperation.suspicion,
                       aOperation.maxAttempts });
}

static Cbor
OperationToCbor(const RegisterWorker& aOperation)
{
  return Cbor::array(
    { OperationCode::RegisterWorker, ToCbor(aOperation.worker) });
}

static Cbor
OperationToCbor(const RetireWorker& aOperation)
{
  return Cbor::array(
    { OperationCode::RetireWorker, aOperation.worker.Value() });
}

static Cbor
OperationToCbor(const StartWave& aOperation)
{
  return Cbor::array({ OperationCode::StartWave, ToCbor(aOperation) });
}

static Cbor
OperationToCbor(const BeginMaintenance& aOperation)
{
  return Cbor::array({ OperationCode::BeginMaintenance,
                       aOperation.wave.Value(),
                       aOperation.host.Value() });
}

static Cbor
OperationToCbor(const RecordOrderIntent& aOperation)
{
  return Cbor::array({ OperationCode::RecordOrderIntent,
                       aOperation.host.Value(),
                       aOperation.at.Millis() });
}

static Cbor
OperationToCbor(const ConfirmStart& aOperation)
{
  return Cbor::array({ OperationCode::ConfirmStart,
                       ToCbor(aOperation.task),
                       aOperation.attempt.Value() });
}

static Cbor
OperationToCbor(const RecordCrash& aOperation)
{
  return Cbor::array({ OperationCode::RecordCrash,
                       ToCbor(aOperation.task),
                       aOperation.attempt.Value(),
                       aOperation.isStartConfirmed,
                       aOperation.at.Millis() });
}

static Cbor
OperationToCbor(const DismissSuspicions& aOperation)
{
  return Cbor::array({ OperationCode::DismissSuspicions,
                       aOperation.worker.Value(),
                       aOperation.incarnation.Value() });
}

static Cbor
OperationToCbor(const RepeatStart& aOperation)
{
  return Cbor::array({ OperationCode::RepeatStart,
                       ToCbor(aOperation.task),
                       aOperation.attempt.Value() });
}

std::string
greengage::jobs::Encode(const Operations& aOperations)
{
  Cbor list = Cbor::array();
  for (const Operation& operation : aOperations)
    list.push_back(std::visit(
      [](const auto& aOperation) { return OperationToCbor(aOperation); },
      operation));
  return SerializeCbor(list);
}

/// Upper bounds for the numbers and flags of an operation, those of one step of
/// a job, and what precedes the bytes of a text or a number in a list.
static constexpr std::size_t kMaxFixedBytes = 512;
static constexpr std::size_t kMaxItemHeaderBytes = 9;

static std::size_t
TextBytes(const Operation& aOperation)
{
  std::size_t bytes = 0;
  const auto add = [&](const std::string& aText) {
    bytes += aText.size() + kMaxItemHeaderBytes;
  };
  if (const auto* put = std::get_if<PutConfiguration>(&aOperation)) {
    add(put->text);
  } else if (const auto* accept = std::get_if<AcceptJob>(&aOperation)) {
    add(accept->queue.Value());
    add(accept->team.Value());
    add(accept->address.hostName);
    add(accept->address.pathPrefix);
    add(accept->description.payload);
    for (const Step& step : accept->description.steps) {
      add(step.requiredLabel);
      add(step.preferredRack.Value());
      add(step.image);
      bytes += kMaxFixedBytes + step.dependencies.size() * kMaxItemHeaderBytes;
    }
  } else if (const auto* cancel = std::get_if<CancelJob>(&aOperation)) {
    if (cancel->address) {
      add(cancel->address->hostName);
      add(cancel->address->pathPrefix);
    }
    add(cancel->team.Value());
  } else if (const auto* end = std::get_if<EndRun>(&aOperation)) {
    add(end->checkpoint);
  } else if (const auto* known = std::get_if<RegisterWorker>(&aOperation)) {
    const WorkerRecord& worker = known->worker;
    add(worker.id.Value());
    add(worker.host.Value());
    add(worker.endpoint.address);
    add(worker.pool.Value());
    add(worker.availabilityZone.Value());
    add(worker.rack.Value());
    for (const std::string& label : worker.labels)
      add(label);
  } else if (const auto* wave = std::get_if<StartWave>(&aOperation)) {
    for (const HostId& host : wave->hosts)
      add(host.Value());
  } else if (const auto* begin = std::get_if<BeginMaintenance>(&aOperation)) {
    add(begin->host.Value());
  } else if (const auto* intent = std::get_if<RecordOrderIntent>(&aOperation)) {
    add(intent->host.Value());
  } else if (const auto* up = std::get_if<DismissSuspicions>(&aOperation)) {
    add(up->worker.Value());
  }
  return bytes;
}

std::size_t
greengage::jobs::EncodedSizeBound(const Operation& aOperation)
{
  return kMaxFixedBytes + TextBytes(aOperation);
}

static RunOutcome
RunOutcomeFromCbor(const Cbor& aValue)
{
  const auto number = aValue.get<std::uint8_t>();
  return number <= static_cast<std::uint8_t>(RunOutcome::Lost)
           ? static_cast<RunOutcome>(number)
           : RunOutcome::Lost;
}

static CrashSuspicion
SuspicionFromCbor(const Cbor& aValue)
{
  const auto number = aValue.get<std::uint8_t>();
  return number <= static_cast<std::uint8_t>(CrashSuspicion::StartConfirmed)
           ? static_cast<CrashSuspicion>(number)
           : CrashSuspicion::None;
}

static EndRun
EndRunFromCbor(const Cbor& aValue)
{
  EndRun end{ .task = TaskIdFromCbor(aValue.at(1)),
              .attempt = Attempt(aValue.at(2).get<std::uint32_t>()),
              .outcome = RunOutcomeFromCbor(aValue.at(3)),
              .checkpoint = aValue.at(4).get<std::string>(),
              .at = Time(aValue.at(5).get<std::int64_t>()) };
  // Entries of earlier versions lack the fields.
  constexpr std::size_t kSuspicionIndex = 6;
  if (aValue.size() > kSuspicionIndex)
    end.suspicion = SuspicionFromCbor(aValue.at(kSuspicionIndex));
  constexpr std::size_t kMaxAttemptsIndex = 7;
  if (aValue.size() > kMaxAttemptsIndex)
    end.maxAttempts = aValue.at(kMaxAttemptsIndex).get<std::uint32_t>();
  return end;
}

static AcceptJob
AcceptJobFromCbor(const Cbor& aValue)
{
  AcceptJob accept{ .id = JobId(aValue.at(1).get<std::uint64_t>()),
                    .queue = QueueId(aValue.at(2).get<std::string>()),
                    .team = TeamId(aValue.at(3).get<std::string>()),
                    .at = Time(aValue.at(4).get<std::int64_t>()),
                    .description = JobDescriptionFromCbor(aValue.at(5)) };
  // Entries of earlier versions lack the fields.
  constexpr std::size_t kAddressIndex = 6;
  if (aValue.size() > kAddressIndex + 1)
    accept.address = { .hostName = aValue.at(kAddressIndex).get<std::string>(),
                       .pathPrefix =
                         aValue.at(kAddressIndex + 1).get<std::string>() };
  return accept;
}

static CancelJob
CancelJobFromCbor(const Cbor& aValue)
{
  CancelJob cancel{ .id = JobId(aValue.at(1).get<std::uint64_t>()),
                    .at = Time(aValue.at(2).get<std::int64_t>()) };
  constexpr std::size_t kAddressIndex = 3;
  if (aValue.size() > kAddressIndex) {
    cancel.address =
      QueueAddress{ .hostName = aValue.at(kAddressIndex).get<std::string>(),
                    .pathPrefix =
                      aValue.at(kAddressIndex + 1).get<std::string>() };
    cancel.team = TeamId(aValue.at(kAddressIndex + 2).get<std::string>());
  }
  return cancel;
}

static std::optional<Operation>
OperationFromCbor(const Cbor& aValue)
{
  const auto textAt = [&](std::size_t aIndex) {
    return aValue.at(aIndex).get<std::string>();
  };
  const auto numberAt = [&](std::size_t aIndex) {
    return aValue.at(aIndex).get<std::uint64_t>();
  };
  const auto timeAt = [&](std::size_t aIndex) {
    return Time(aValue.at(aIndex).get<std::int64_t>());
  };
  switch (aValue.at(0).get<OperationCode>()) {
    case OperationCode::PutConfiguration:
      return PutConfiguration{ .text = textAt(1) };
    case OperationCode::AcceptJob:
      return AcceptJobFromCbor(aValue);
    case OperationCode::CancelJob:
      return CancelJobFromCbor(aValue);
    case OperationCode::RemoveJobRecord:
      return RemoveJobRecord{ .id = JobId(numberAt(1)) };
    case OperationCode::AssignTask:
      return AssignTask{ .task = TaskIdFromCbor(aValue.at(1)),
                         .attempt = Attempt(aValue.at(2).get<std::uint32_t>()),
                         .worker =
                           WorkerNumber(aValue.at(3).get<std::uint32_t>()) };
    case OperationCode::EndRun:
      return EndRunFromCbor(aValue);
    case OperationCode::RegisterWorker:
      return RegisterWorker{ .worker = WorkerRecordFromCbor(aValue.at(1)) };
    case OperationCode::RetireWorker:
      return RetireWorker{ .worker =
                             WorkerNumber(aValue.at(1).get<std::uint32_t>()) };
    case OperationCode::StartWave:
      return StartWaveFromCbor(aValue.at(1));
    case OperationCode::BeginMaintenance:
      return BeginMaintenance{ .wave = WaveId(numberAt(1)),
                               .host = HostId(textAt(2)) };
    case OperationCode::RecordOrderIntent:
      // Entries of earlier versions lack the time.
      return RecordOrderIntent{ .host = HostId(textAt(1)),
                                .at = aValue.size() > 2 ? timeAt(2) : Time(0) };
    case OperationCode::ConfirmStart:
      return ConfirmStart{ .task = TaskIdFromCbor(aValue.at(1)),
                           .attempt =
                             Attempt(aValue.at(2).get<std::uint32_t>()) };
    case OperationCode::RecordCrash:
      return RecordCrash{ .task = TaskIdFromCbor(aValue.at(1)),
                          .attempt = Attempt(aValue.at(2).get<std::uint32_t>()),
                          .isStartConfirmed = aValue.at(3).get<bool>(),
                          .at = timeAt(4) };
    case OperationCode::DismissSuspicions:
      return DismissSuspicions{ .worker = WorkerId(textAt(1)),
                                .incarnation = Incarnation(
                                  aValue.at(2).get<std::int64_t>()) };
    case OperationCode::RepeatStart:
      return RepeatStart{ .task = TaskIdFromCbor(aValue.at(1)),
                          .attempt =
                            Attempt(aValue.at(2).get<std::uint32_t>()) };
  }
  return std::nullopt;
}

std::optional<Operations>
greengage::jobs::Decode(std::string_view aBytes, Error& aReason)
{
  try {
    const Cbor list = Cbor::from_cbor(aBytes.begin(), aBytes.end());
    Operations operations;
    for (const Cbor& item : list) {
      auto operation = OperationFromCbor(item);
      if (!operation)
        return Fail(aReason,
                    ErrorKind::Unsupported,
                    "unknown operation code in log entry");
      operations.push_back(std::move(*operation));
    }
    return operations;
  } catch (const nlohmann::json::exception& error) {
    return Fail(aReason,
                ErrorKind::Malformed,
                std::string("log entry is not a valid list of operations: ") +
                  error.what());
  }
}
