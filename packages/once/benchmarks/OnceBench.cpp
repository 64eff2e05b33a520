// Measures the time of claims and lookups and the memory per record, depending
// on the number of records in the store.

#include "greengage/once/RecordStore.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <cstdint>
#include <string>

using namespace greengage;
using namespace greengage::once;

static constexpr std::uint64_t kTeams = 330;
static constexpr std::uint64_t kMaxRecords = 100000000;

static Claim
MakeClaim(std::uint64_t aNumber)
{
  return { .key = { .team = TeamId("team-" + std::to_string(aNumber % kTeams)),
                    .id = RequestId("request-" + std::to_string(aNumber)) },
           .claim = { .host = EntryHostId("entry-1"),
                      .incarnation = Incarnation(1),
                      .number = ClaimNumber(aNumber) },
           .fingerprint = aNumber,
           .remaining = Duration::Seconds(10) };
}

static void
FillStore(RecordStore& aStore, std::uint64_t aRecords)
{
  for (std::uint64_t number = 0; number < aRecords; ++number)
    aStore.TryClaim(MakeClaim(number), Time(static_cast<std::int64_t>(number)));
}

/// Adds a claim, records its outcome and expires it, so that the number of
/// records stays constant.
static void
ClaimAndEnd(benchmark::State& aState)
{
  const auto records = static_cast<std::uint64_t>(aState.range(0));
  RecordStore store({ .maxRecords = kMaxRecords });
  FillStore(store, records);
  std::uint64_t number = records;
  for (auto _ : aState) {
    const Claim claim = MakeClaim(number++);
    benchmark::DoNotOptimize(store.TryClaim(claim, Time(0)));
    store.Complete({ .key = claim.key,
                     .claim = claim.claim,
                     .fingerprint = claim.fingerprint,
                     .hasEnded = true,
                     .outcome = Answered{ .upstream = UpstreamId("w"),
                                          .succeeded = true,
                                          .payload = "answer" },
                     .timeToLive = Duration(1) },
                   Time(0));
    store.RemoveExpired(Time(1));
  }
}
BENCHMARK(ClaimAndEnd)
  ->RangeMultiplier(10)
  ->Range(1000, 1000000)
  ->Unit(benchmark::kMicrosecond);

/// Attempts to claim an id that has a record.
static void
Lookup(benchmark::State& aState)
{
  const auto records = static_cast<std::uint64_t>(aState.range(0));
  const std::size_t before = mallinfo2().uordblks;
  RecordStore store({ .maxRecords = kMaxRecords });
  FillStore(store, records);
  const std::size_t after = mallinfo2().uordblks;
  std::uint64_t number = 0;
  // A prime, so that the lookups visit all records in scattered order.
  constexpr std::uint64_t kStride = 7919;
  for (auto _ : aState) {
    number = (number + kStride) % records;
    Claim claim = MakeClaim(number);
    claim.claim.number = ClaimNumber(records);
    benchmark::DoNotOptimize(store.TryClaim(claim, Time(0)));
  }
  aState.counters["bytes_per_record"] =
    static_cast<double>(after - before) / static_cast<double>(records);
}
BENCHMARK(Lookup)
  ->RangeMultiplier(10)
  ->Range(1000, 1000000)
  ->Unit(benchmark::kMicrosecond);
