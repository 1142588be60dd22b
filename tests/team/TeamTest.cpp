#include "team/Team.h"

#include "core/Error.h"

#include <doctest/doctest.h>

using namespace foxtail;

namespace {

Team TeamWith(std::string aName, std::vector<std::string> aKeys)
{
  Team team;
  team.name_ = std::move(aName);
  team.keys_ = std::move(aKeys);
  return team;
}

} // namespace

TEST_CASE("team: invalid lists of teams are rejected without showing a key")
{
  Team negative = TeamWith("a", {});
  negative.requestsPerSecond_ = -1;
  struct Row
  {
    const char* name_;
    std::vector<Team> teams_;
    /// Parts of the message.
    std::vector<std::string> places_;
  };
  const Row rows[] = {
    { "a team without a name", { TeamWith("", { "secret" }) }, {} },
    { "two teams with one name",
      { TeamWith("a", {}), TeamWith("a", {}) },
      { "team a" } },
    { "two teams with one key",
      { TeamWith("a", { "other", "secret" }), TeamWith("b", { "secret" }) },
      { "team a, key 2", "team b, key 1" } },
    { "a team with one key twice",
      { TeamWith("a", { "secret", "secret" }) },
      { "team a, key 1", "team a, key 2" } },
    { "an empty key", { TeamWith("a", { "" }) }, { "team a" } },
    { "a negative rate", { negative }, { "team a" } },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    const absl::Status status = Validate(row.teams_);
    CHECK(KindOf(status) == ErrorKind::InvalidDocument);
    for (const std::string& place : row.places_) {
      CHECK(status.message().find(place) != std::string_view::npos);
    }
    CHECK(status.message().find("secret") == std::string_view::npos);
  }
}

TEST_CASE("team: teams with keys of their own are accepted")
{
  CHECK(Validate({}).ok());
  CHECK(Validate({ TeamWith("a", { "1", "2" }), TeamWith("b", { "3" }) }).ok());
  CHECK(Validate({ TeamWith("a", {}), TeamWith("b", {}) }).ok());
}
