#include "policy/StartupDocument.h"

#include <doctest/doctest.h>
#include <vector>

using namespace foxtail;

// A control instance that was paused sends an old document; with it, requests
// run by routes and keys that were replaced before the instance started.
TEST_CASE("startup document: an old document is not put in force before a "
          "newer one that was acknowledged")
{
  constexpr milliseconds kTimeout{ 3000 };
  const std::optional<DocumentVersion> none;
  const auto version = [](uint64_t aVersion) {
    return std::optional(DocumentVersion(aVersion));
  };
  struct Case
  {
    std::string name_;
    /// Received at 1 s, and later.
    std::optional<DocumentVersion> received_;
    std::optional<LatestVersion> confirmed_;
    std::optional<DocumentVersion> receivedLater_;
    /// Whether the newest may be in force then, and after the timeout.
    bool isApplied_;
    bool isAppliedWhenCutOff_;
  };
  const std::vector<Case> cases{
    { "nothing received",
      none,
      LatestVersion{ version(7) },
      none,
      false,
      false },
    { "not confirmed yet", version(7), std::nullopt, none, false, true },
    { "confirmed as the newest",
      version(7),
      LatestVersion{ version(7) },
      none,
      true,
      true },
    { "a newer one is confirmed",
      version(7),
      LatestVersion{ version(8) },
      none,
      false,
      false },
    { "the newer one arrives",
      version(7),
      LatestVersion{ version(8) },
      version(8),
      true,
      true },
    { "newer than the confirmed one",
      version(7),
      LatestVersion{ version(7) },
      version(9),
      true,
      true },
    { "the first one of a deployment",
      none,
      LatestVersion{ none },
      version(1),
      true,
      true },
    { "the first one has version 0",
      none,
      LatestVersion{ none },
      version(0),
      true,
      true },
    { "version 0 is confirmed",
      version(0),
      LatestVersion{ version(0) },
      none,
      true,
      true },
    { "0 is received, 1 confirmed",
      version(0),
      LatestVersion{ version(1) },
      none,
      false,
      false },
  };
  for (const Case& row : cases) {
    CAPTURE(row.name_);
    StartupDocument document({ kTimeout });
    TimePoint now{ seconds(1) };
    for (const auto& received : { row.received_, row.receivedLater_ }) {
      if (received) {
        document.OnReceived(*received, now);
      }
      if (row.confirmed_) {
        document.OnConfirmed(*row.confirmed_);
      }
    }
    CHECK(document.IsConfirmed() == row.confirmed_.has_value());
    CHECK(document.MayApply(now) == row.isApplied_);
    now += kTimeout - milliseconds(1);
    CHECK(document.MayApply(now) == row.isApplied_);
    now += milliseconds(1);
    CHECK(document.MayApply(now) == row.isAppliedWhenCutOff_);
  }
}
