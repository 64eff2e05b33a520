#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::schedule;

namespace {

/// A worker that persistent tasks fill, so that a further one waits.
struct FilledWorker : SimulatedFleet
{
  FilledWorker()
  {
    AddWorker("w1");
    Run(Duration(1000));
    Submit({ { .count = 2,
               .request = { MilliCores(100), kDefaultCapacity.memory, {} },
               .isPersistent = true } });
    Run(Duration(1000));
    REQUIRE(TotalRuns() == 1);
  }
};

} // namespace

TEST_CASE_METHOD(FilledWorker,
                 "a persistent task without a worker is reported after 5 s")
{
  Run(Duration(3000));
  REQUIRE(IdlePersistentTaskCount() == 0);
  Run(Duration(4000));
  REQUIRE(IdlePersistentTaskCount() == 1);
  AddWorker("w2");
  Run(Duration(2000));
  REQUIRE(TotalRuns() == 2);
  REQUIRE(IdlePersistentTaskCount() == 0);
}

TEST_CASE_METHOD(SimulatedFleet,
                 "a persistent task is reported while its worker is silent")
{
  AddWorker("w1");
  Run(Duration(1000));
  Submit({ { .count = 1,
             .request = { MilliCores(100), Mebibytes(100), {} },
             .isPersistent = true } });
  Run(Duration(1000));
  REQUIRE(TotalRuns() == 1);
  PartitionWorker("w1", Duration(60000));
  Run(Duration(10000));
  REQUIRE(IdlePersistentTaskCount() == 1);
}

TEST_CASE_METHOD(FilledWorker, "a new leader reports a task that already waits")
{
  ChangeLeader();
  Run(Duration(7000));
  REQUIRE(IdlePersistentTaskCount() == 1);
}
