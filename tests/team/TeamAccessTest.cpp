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
  enum : unsigned
  {
    kNoList = 1,
    kEmptyList = 2,
    kPublic = 4,
    kNewer = 8,
    /// Without contact for just less than the limit, and for the limit.
    kRecent = 16,
    kCutOff = 32,
    kFailClosed = 64,
  };
  struct Row
  {
    const char* name_;
    const char* authorization_;
    unsigned flags_;
    const char* expected_;
  };
  constexpr unsigned kWorst = kNewer | kCutOff | kFailClosed;
  const Row rows[] = {
    { "no list", "", kNoList | kWorst, "allowed" },
    { "no list, a key", "Token x", kNoList | kWorst, "allowed" },
    { "empty list", "Token key-1", kEmptyList, "401 unknown_key" },
    { "empty list, public", "", kEmptyList | kPublic, "allowed" },
    { "key", "Token key-1", 0, "a" },
    { "second key", "Token key-2", 0, "a" },
    { "key with a space", "Token key 3", 0, "b" },
    { "scheme in other case", "tOKEN key-1", 0, "a" },
    { "more space", " Token \t key-1 ", 0, "a" },
    { "key in other case", "Token KEY-1", 0, "401 unknown_key" },
    { "unknown key", "Token key-9", 0, "401 unknown_key" },
    { "part of a key", "Token key-", 0, "401 unknown_key" },
    { "no header", "", 0, "401 no_key" },
    { "scheme alone", "Token ", 0, "401 no_key" },
    { "key alone", "key-1", 0, "401 no_key" },
    { "wrong scheme", "Bearer key-1", 0, "401 no_key" },
    { "longer scheme", "Tokens key-1", 0, "401 no_key" },
    { "public, key", "Token key-1", kPublic, "a" },
    { "public, no key", "", kPublic, "allowed" },
    { "public, unknown key", "Token x", kPublic | kWorst, "allowed" },
    { "newer, unknown key", "Token x", kNewer, "503 newer_document" },
    { "newer, no key", "", kNewer, "401 no_key" },
    { "newer, known key", "Token key-1", kNewer, "a" },
    { "fail open", "Token key-1", kCutOff, "a" },
    { "fail closed", "Token key-1", kCutOff | kFailClosed, "503 no_control" },
    { "fail closed, no key", "", kCutOff | kFailClosed, "503 no_control" },
    { "fail closed, recent", "Token key-1", kRecent | kFailClosed, "a" },
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name_));
    const auto has = [&](unsigned aFlag) { return (row.flags_ & aFlag) != 0; };
    TeamAccessSettings settings;
    settings.refusesKeysWithoutControl_ = has(kFailClosed);
    TeamAccessRequest request;
    request.teams_ = has(kEmptyList) ? &empty : &some;
    if (has(kNoList)) {
      request.teams_ = nullptr;
    }
    request.isRoutePublic_ = has(kPublic);
    request.authorization_ = row.authorization_;
    request.isNewerDocumentKnown_ = has(kNewer);
    request.sinceControlContact_ =
      milliseconds(has(kRecent) ? 4999 : (has(kCutOff) ? 5000 : 0));
    const TeamAccess access = DecideTeamAccess(settings, "Token", request);
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
