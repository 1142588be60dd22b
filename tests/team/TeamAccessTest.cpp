#include "team/TeamAccess.h"

#include <doctest/doctest.h>
#include <optional>

using namespace foxtail;

namespace {

Team TeamWith(std::string aName, std::vector<std::string> aKeys)
{
  Team team;
  team.name_ = std::move(aName);
  team.keys_ = std::move(aKeys);
  return team;
}

/// @return a short form of a decision: the team, "allowed", or the status and
/// the reason.
std::string TextOf(const TeamAccess& aAccess)
{
  if (const auto* allowed = std::get_if<AccessAllowed>(&aAccess)) {
    return allowed->team_ == nullptr ? "allowed" : allowed->team_->name_;
  }
  if (const auto* denied = std::get_if<AccessDenied>(&aAccess)) {
    return "401 " + std::string(NameOf(denied->reason_));
  }
  return "503 " +
         std::string(NameOf(std::get<AccessUnavailable>(aAccess).reason_));
}

} // namespace

TEST_CASE("team access: callers without a valid key get no service of a team")
{
  const std::vector<Team> teams{ TeamWith("a", { "key-1", "key-2" }),
                                 TeamWith("b", { "key 3" }) };
  const TeamTable some(teams);
  const std::vector<Team> none;
  const TeamTable empty(none);
  constexpr milliseconds kRecent{ 4999 };
  constexpr milliseconds kLong{ 5000 };
  struct Row
  {
    const char* name_;
    const TeamTable* teams_;
    bool isPublic_;
    const char* authorization_;
    bool isNewerKnown_;
    Duration sinceContact_;
    bool refusesWithoutControl_;
    const char* expected_;
  };
  const Row rows[] = {
    { "no list", nullptr, false, "", true, kLong, true, "allowed" },
    { "no list, a key",
      nullptr,
      false,
      "Token x",
      true,
      kLong,
      true,
      "allowed" },
    { "empty list",
      &empty,
      false,
      "Token key-1",
      false,
      {},
      false,
      "401 unknown_key" },
    { "empty list, public", &empty, true, "", false, {}, false, "allowed" },
    { "key", &some, false, "Token key-1", false, {}, false, "a" },
    { "second key", &some, false, "Token key-2", false, {}, false, "a" },
    { "key with a space", &some, false, "Token key 3", false, {}, false, "b" },
    { "scheme in other case",
      &some,
      false,
      "tOKEN key-1",
      false,
      {},
      false,
      "a" },
    { "more space", &some, false, " Token \t key-1 ", false, {}, false, "a" },
    { "key in other case",
      &some,
      false,
      "Token KEY-1",
      false,
      {},
      false,
      "401 unknown_key" },
    { "unknown key",
      &some,
      false,
      "Token key-9",
      false,
      {},
      false,
      "401 unknown_key" },
    { "part of a key",
      &some,
      false,
      "Token key-",
      false,
      {},
      false,
      "401 unknown_key" },
    { "no header", &some, false, "", false, {}, false, "401 no_key" },
    { "scheme alone", &some, false, "Token ", false, {}, false, "401 no_key" },
    { "key alone", &some, false, "key-1", false, {}, false, "401 no_key" },
    { "wrong scheme",
      &some,
      false,
      "Bearer key-1",
      false,
      {},
      false,
      "401 no_key" },
    { "longer scheme",
      &some,
      false,
      "Tokens key-1",
      false,
      {},
      false,
      "401 no_key" },
    { "public, key", &some, true, "Token key-1", false, {}, false, "a" },
    { "public, no key", &some, true, "", false, {}, false, "allowed" },
    { "public, unknown key",
      &some,
      true,
      "Token x",
      true,
      kLong,
      true,
      "allowed" },
    { "newer, unknown key",
      &some,
      false,
      "Token x",
      true,
      {},
      false,
      "503 newer_document" },
    { "newer, no key", &some, false, "", true, {}, false, "401 no_key" },
    { "newer, known key", &some, false, "Token key-1", true, {}, false, "a" },
    { "fail open", &some, false, "Token key-1", false, kLong, false, "a" },
    { "fail closed",
      &some,
      false,
      "Token key-1",
      false,
      kLong,
      true,
      "503 no_control" },
    { "fail closed, no key",
      &some,
      false,
      "",
      false,
      kLong,
      true,
      "503 no_control" },
    { "fail closed, recent",
      &some,
      false,
      "Token key-1",
      false,
      kRecent,
      true,
      "a" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    TeamAccessSettings settings;
    settings.refusesKeysWithoutControl_ = row.refusesWithoutControl_;
    const TeamAccess access = DecideTeamAccess(settings,
                                               "Token",
                                               { row.teams_,
                                                 row.isPublic_,
                                                 row.authorization_,
                                                 row.isNewerKnown_,
                                                 row.sinceContact_ });
    CHECK(TextOf(access) == row.expected_);
    if (const auto* unavailable = std::get_if<AccessUnavailable>(&access)) {
      CHECK(unavailable->retryAfter_ > milliseconds::zero());
    }
  }
}

TEST_CASE("team table: a lookup among ten thousand teams compares as few keys")
{
  constexpr size_t kFewComparisons = 16;
  for (const size_t count : { size_t{ 1 }, size_t{ 10'000 } }) {
    CAPTURE(count);
    std::vector<Team> teams;
    for (size_t i = 0; i < count; ++i) {
      const std::string number = std::to_string(i);
      teams.push_back(TeamWith("team-" + number, { "key-" + number }));
    }
    const TeamTable table(teams);
    CHECK(table.MaxComparisons() <= kFewComparisons);
    CHECK(table.FindByKey("key-" + std::to_string(count - 1)) == &teams.back());
    CHECK(table.FindByName("team-0") == &teams.front());
    CHECK(table.FindByKey("key-x") == nullptr);
  }
}
