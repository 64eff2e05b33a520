/// \file
/// CBOR encoding of the values that occur both in operations and in snapshots.
/// The decoding functions throw nlohmann::json exceptions, which the callers
/// convert into errors.

#ifndef GREENGAGE_JOBS_LIB_CBORFIELDS_H
#define GREENGAGE_JOBS_LIB_CBORFIELDS_H

#include "greengage/jobs/Configuration.h"
#include "greengage/jobs/Job.h"
#include "greengage/jobs/Operation.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengage::jobs::detail {

using Cbor = nlohmann::json;

/// Serializes \p aValue to CBOR.
std::string
SerializeCbor(const Cbor& aValue);

Cbor
ToCbor(const Resources& aResources);
Resources
ResourcesFromCbor(const Cbor& aValue);

Cbor
ToCbor(const TaskId& aTask);
TaskId
TaskIdFromCbor(const Cbor& aValue);

Cbor
ToCbor(const JobDescription& aJob);
JobDescription
JobDescriptionFromCbor(const Cbor& aValue);

Cbor
ToCbor(const WorkerRecord& aWorker);
WorkerRecord
WorkerRecordFromCbor(const Cbor& aValue);

Cbor
ToCbor(const Queue& aQueue);
Queue
QueueFromCbor(const Cbor& aValue);

Cbor
ToCbor(const StartWave& aWave);
StartWave
StartWaveFromCbor(const Cbor& aValue);

} // namespace greengage::jobs::detail

#endif // GREENGAGE_JOBS_LIB_CBORFIELDS_H
