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
  ForgetJob = 4,
  AssignTask = 5,
  EndTask = 6,
  RegisterWorker = 7,
  RetireWorker = 8,
  StartWave = 9,
  BeginUpkeep = 10,
  AnnounceOrder = 11,
};

} // namespace

static Cbor
Fields(const PutConfiguration& aOperation)
{
  return Cbor::array({ OperationCode::PutConfiguration, aOperation.text });
}

static Cbor
Fields(const AcceptJob& aOperation)
{
  return Cbor::array({ OperationCode::AcceptJob,
                       aOperation.id.Value(),
                       aOperation.queue.Value(),
                       aOperation.team.Value(),
                       aOperation.at.Millis(),
                       ToCbor(aOperation.description) });
}

static Cbor
Fields(const CancelJob& aOperation)
{
  return Cbor::array({ OperationCode::CancelJob,
                       aOperation.id.Value(),
                       aOperation.at.Millis() });
}

static Cbor
Fields(const ForgetJob& aOperation)
{
  return Cbor::array({ OperationCode::ForgetJob, aOperation.id.Value() });
}

static Cbor
Fields(const AssignTask& aOperation)
{
  return Cbor::array({ OperationCode::AssignTask,
                       ToCbor(aOperation.task),
                       aOperation.attempt.Value(),
                       aOperation.worker.Value() });
}

static Cbor
Fields(const EndTask& aOperation)
{
  return Cbor::array({ OperationCode::EndTask,
                       ToCbor(aOperation.task),
                       aOperation.attempt.Value(),
                       aOperation.how,
                       aOperation.checkpoint,
                       aOperation.at.Millis() });
}

static Cbor
Fields(const RegisterWorker& aOperation)
{
  return Cbor::array(
    { OperationCode::RegisterWorker, ToCbor(aOperation.worker) });
}

static Cbor
Fields(const RetireWorker& aOperation)
{
  return Cbor::array(
    { OperationCode::RetireWorker, aOperation.worker.Value() });
}

static Cbor
Fields(const StartWave& aOperation)
{
  return Cbor::array({ OperationCode::StartWave, ToCbor(aOperation) });
}

static Cbor
Fields(const BeginUpkeep& aOperation)
{
  return Cbor::array({ OperationCode::BeginUpkeep,
                       aOperation.wave.Value(),
                       aOperation.host.Value() });
}

static Cbor
Fields(const AnnounceOrder& aOperation)
{
  return Cbor::array({ OperationCode::AnnounceOrder, aOperation.host.Value() });
}

std::string
greengage::jobs::Encode(const Operations& aOperations)
{
  Cbor list = Cbor::array();
  for (const Operation& operation : aOperations)
    list.push_back(
      std::visit([](const auto& aAny) { return Fields(aAny); }, operation));
  return BytesOf(list);
}

static RunEnd
RunEndFrom(const Cbor& aValue)
{
  const auto number = aValue.get<std::uint8_t>();
  return number <= static_cast<std::uint8_t>(RunEnd::Lost)
           ? static_cast<RunEnd>(number)
           : RunEnd::Lost;
}

static std::optional<Operation>
OperationFrom(const Cbor& aValue)
{
  const auto text = [&](std::size_t aPlace) {
    return aValue.at(aPlace).get<std::string>();
  };
  const auto number = [&](std::size_t aPlace) {
    return aValue.at(aPlace).get<std::uint64_t>();
  };
  const auto time = [&](std::size_t aPlace) {
    return Time(aValue.at(aPlace).get<std::int64_t>());
  };
  switch (aValue.at(0).get<OperationCode>()) {
    case OperationCode::PutConfiguration:
      return PutConfiguration{ .text = text(1) };
    case OperationCode::AcceptJob:
      return AcceptJob{ .id = JobId(number(1)),
                        .queue = QueueId(text(2)),
                        .team = TeamId(text(3)),
                        .at = time(4),
                        .description = DescriptionFrom(aValue.at(5)) };
    case OperationCode::CancelJob:
      return CancelJob{ .id = JobId(number(1)), .at = time(2) };
    case OperationCode::ForgetJob:
      return ForgetJob{ .id = JobId(number(1)) };
    case OperationCode::AssignTask:
      return AssignTask{ .task = TaskFrom(aValue.at(1)),
                         .attempt = Attempt(aValue.at(2).get<std::uint32_t>()),
                         .worker =
                           WorkerNumber(aValue.at(3).get<std::uint32_t>()) };
    case OperationCode::EndTask:
      return EndTask{ .task = TaskFrom(aValue.at(1)),
                      .attempt = Attempt(aValue.at(2).get<std::uint32_t>()),
                      .how = RunEndFrom(aValue.at(3)),
                      .checkpoint = text(4),
                      .at = time(5) };
    case OperationCode::RegisterWorker:
      return RegisterWorker{ .worker = WorkerFrom(aValue.at(1)) };
    case OperationCode::RetireWorker:
      return RetireWorker{ .worker =
                             WorkerNumber(aValue.at(1).get<std::uint32_t>()) };
    case OperationCode::StartWave:
      return WaveFrom(aValue.at(1));
    case OperationCode::BeginUpkeep:
      return BeginUpkeep{ .wave = WaveId(number(1)), .host = HostId(text(2)) };
    case OperationCode::AnnounceOrder:
      return AnnounceOrder{ .host = HostId(text(1)) };
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
      auto operation = OperationFrom(item);
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
