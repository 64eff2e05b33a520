#include "greengage/schedule/WorkerSession.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::schedule;

TEST_CASE("an answer that is handled late does not set a worker's clock back")
{
  WorkerSession session;
  session.UpdateClock(Time(10000), Time(1000));
  session.UpdateClock(Time(10050), Time(2000));
  REQUIRE(session.WorkerClockAt(Time(2000)));
  CHECK(session.WorkerClockAt(Time(2000))->Millis() == 10980);
  session.UpdateClock(Time(11000), Time(2000));
  CHECK(session.WorkerClockAt(Time(2000))->Millis() == 11000);
}
