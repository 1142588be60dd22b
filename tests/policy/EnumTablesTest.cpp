#include "policy/GatherPolicy.h"
#include "policy/PolicySettings.h"
#include "policy/ServerDirectory.h"

#include <doctest/doctest.h>

using namespace foxtail;

TEST_CASE("enum name tables are complete and in order")
{
  CHECK(IsEnumTableOrdered<ZoneDistance>());
  CHECK(IsEnumTableOrdered<SnapshotReason>());
  CHECK(IsEnumTableOrdered<ReplanVerdict>());
  CHECK(IsEnumTableOrdered<ReplicaReason>());
  CHECK(IsEnumTableOrdered<HedgeVerdict>());
  CHECK(IsEnumTableOrdered<FailureKind>());
  CHECK(IsEnumTableOrdered<RetryVerdict>());
  CHECK(IsEnumTableOrdered<AdmissionVerdict>());
  CHECK(IsEnumTableOrdered<EjectionVerdict>());
  CHECK(IsEnumTableOrdered<AnswerVerdict>());
  CHECK(IsEnumTableOrdered<DrainVerdict>());
  CHECK(IsEnumTableOrdered<GatherVerdict>());
  CHECK(IsEnumTableOrdered<ServerPhase>());
  CHECK(IsEnumTableOrdered<DirectoryUpdateResult>());
}
