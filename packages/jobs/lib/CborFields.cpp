#include "CborFields.h"

#include <utility>

using namespace greengage;
using namespace greengage::jobs;
using namespace greengage::jobs::detail;

std::string
detail::SerializeCbor(const Cbor& aValue)
{
  std::string bytes;
  Cbor::to_cbor(aValue, bytes);
  return bytes;
}

Cbor
detail::ToCbor(const Resources& aResources)
{
  return Cbor::array({ aResources.processors.Count(),
                       aResources.memory.Count(),
                       aResources.accelerators.Count() });
}

Resources
detail::ResourcesFromCbor(const Cbor& aValue)
{
  return { .processors = MilliCores(aValue.at(0).get<std::int64_t>()),
           .memory = Mebibytes(aValue.at(1).get<std::int64_t>()),
           .accelerators = Accelerators(aValue.at(2).get<std::int64_t>()) };
}

Cbor
detail::ToCbor(const TaskId& aTask)
{
  return Cbor::array(
    { aTask.job.Value(), aTask.occurrence, aTask.step, aTask.index });
}

TaskId
detail::TaskIdFromCbor(const Cbor& aValue)
{
  return { .job = JobId(aValue.at(0).get<std::uint64_t>()),
           .occurrence = aValue.at(1).get<std::uint32_t>(),
           .step = aValue.at(2).get<std::uint32_t>(),
           .index = aValue.at(3).get<std::uint32_t>() };
}

static Cbor
StepToCbor(const Step& aStep)
{
  return Cbor::array({ aStep.count,
                       ToCbor(aStep.request),
                       aStep.estimate.Millis(),
                       aStep.dependencies,
                       aStep.writesCheckpoints,
                       aStep.isGang,
                       aStep.wantsOneRack,
                       aStep.requiredLabel,
                       aStep.preferredRack.Value(),
                       aStep.maxPerWorker,
                       aStep.allowsSpeculativeCopies,
                       aStep.isPersistent,
                       aStep.image,
                       aStep.targetLatency.Millis(),
                       aStep.usesIdleProcessors,
                       aStep.maxUnavailable });
}

static Step
StepFromCbor(const Cbor& aValue)
{
  std::size_t index = 0;
  const auto next = [&]() -> const Cbor& { return aValue.at(index++); };
  Step step;
  step.count = next().get<std::uint32_t>();
  step.request = ResourcesFromCbor(next());
  step.estimate = Duration(next().get<std::int64_t>());
  step.dependencies = next().get<std::vector<std::uint32_t>>();
  step.writesCheckpoints = next().get<bool>();
  step.isGang = next().get<bool>();
  step.wantsOneRack = next().get<bool>();
  step.requiredLabel = next().get<std::string>();
  step.preferredRack = RackId(next().get<std::string>());
  step.maxPerWorker = next().get<std::uint32_t>();
  step.allowsSpeculativeCopies = next().get<bool>();
  step.isPersistent = next().get<bool>();
  step.image = next().get<std::string>();
  step.targetLatency = Duration(next().get<std::int64_t>());
  step.usesIdleProcessors = next().get<bool>();
  step.maxUnavailable = next().get<std::uint32_t>();
  return step;
}

Cbor
detail::ToCbor(const JobDescription& aJob)
{
  Cbor steps = Cbor::array();
  for (const Step& step : aJob.steps)
    steps.push_back(StepToCbor(step));
  return Cbor::array(
    { Cbor::binary({ aJob.payload.begin(), aJob.payload.end() }),
      std::move(steps),
      aJob.recurrence.count,
      aJob.recurrence.firstDueAt.Millis(),
      aJob.recurrence.interval.Millis() });
}

JobDescription
detail::JobDescriptionFromCbor(const Cbor& aValue)
{
  JobDescription job;
  const auto& payload = aValue.at(0).get_binary();
  job.payload.assign(payload.begin(), payload.end());
  for (const Cbor& step : aValue.at(1))
    job.steps.push_back(StepFromCbor(step));
  job.recurrence.count = aValue.at(2).get<std::uint32_t>();
  job.recurrence.firstDueAt = Time(aValue.at(3).get<std::int64_t>());
  job.recurrence.interval = Duration(aValue.at(4).get<std::int64_t>());
  return job;
}

Cbor
detail::ToCbor(const WorkerRecord& aWorker)
{
  return Cbor::array({ aWorker.id.Value(),
                       aWorker.incarnation.Value(),
                       aWorker.host.Value(),
                       aWorker.endpoint.address,
                       aWorker.endpoint.port,
                       aWorker.pool.Value(),
                       aWorker.availabilityZone.Value(),
                       aWorker.rack.Value(),
                       aWorker.labels,
                       ToCbor(aWorker.capacity),
                       aWorker.isDraining });
}

WorkerRecord
detail::WorkerRecordFromCbor(const Cbor& aValue)
{
  std::size_t index = 0;
  const auto next = [&]() -> const Cbor& { return aValue.at(index++); };
  WorkerRecord worker;
  worker.id = WorkerId(next().get<std::string>());
  worker.incarnation = Incarnation(next().get<std::int64_t>());
  worker.host = HostId(next().get<std::string>());
  worker.endpoint.address = next().get<std::string>();
  worker.endpoint.port = next().get<std::uint16_t>();
  worker.pool = PoolId(next().get<std::string>());
  worker.availabilityZone = AvailabilityZoneId(next().get<std::string>());
  worker.rack = RackId(next().get<std::string>());
  worker.labels = next().get<std::vector<std::string>>();
  worker.capacity = ResourcesFromCbor(next());
  worker.isDraining = next().get<bool>();
  return worker;
}

Cbor
detail::ToCbor(const Queue& aQueue)
{
  Cbor advice;
  if (aQueue.advice)
    advice = Cbor::array({ aQueue.advice->base.Millis(),
                           aQueue.advice->perWorker.Millis(),
                           aQueue.advice->validity.Millis() });
  return Cbor::array({ aQueue.id.Value(),
                       aQueue.hostName,
                       aQueue.pathPrefix,
                       aQueue.pool.Value(),
                       aQueue.priority,
                       aQueue.maxAttempts,
                       aQueue.stretch,
                       aQueue.objective.Millis(),
                       aQueue.timeout.Millis(),
                       aQueue.allowsAnonymous,
                       std::move(advice) });
}

Queue
detail::QueueFromCbor(const Cbor& aValue)
{
  const auto millisAt = [](const Cbor& aList, std::size_t aIndex) {
    return Duration(aList.at(aIndex).get<std::int64_t>());
  };
  Queue queue{ .id = QueueId(aValue.at(0).get<std::string>()),
               .hostName = aValue.at(1).get<std::string>(),
               .pathPrefix = aValue.at(2).get<std::string>(),
               .pool = PoolId(aValue.at(3).get<std::string>()),
               .priority = aValue.at(4).get<std::uint32_t>(),
               .maxAttempts = aValue.at(5).get<std::uint32_t>(),
               .stretch = aValue.at(6).get<double>(),
               .objective = millisAt(aValue, 7),
               .timeout = millisAt(aValue, 8),
               .allowsAnonymous = aValue.at(9).get<bool>() };
  if (const Cbor& advice = aValue.at(10); advice.is_array())
    queue.advice = { .base = millisAt(advice, 0),
                     .perWorker = millisAt(advice, 1),
                     .validity = millisAt(advice, 2) };
  return queue;
}

Cbor
detail::ToCbor(const StartWave& aWave)
{
  Cbor hosts = Cbor::array();
  for (const HostId& host : aWave.hosts)
    hosts.push_back(host.Value());
  return Cbor::array({ aWave.id.Value(),
                       std::move(hosts),
                       aWave.maxConcurrentHosts,
                       aWave.deadline.Millis() });
}

StartWave
detail::StartWaveFromCbor(const Cbor& aValue)
{
  StartWave wave;
  wave.id = WaveId(aValue.at(0).get<std::uint64_t>());
  for (const Cbor& host : aValue.at(1))
    wave.hosts.emplace_back(host.get<std::string>());
  wave.maxConcurrentHosts = aValue.at(2).get<std::uint32_t>();
  wave.deadline = Time(aValue.at(3).get<std::int64_t>());
  return wave;
}
