#include "policy/ReplyLimits.h"

#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>
#include <vector>

using namespace foxtail;

namespace {

constexpr size_t kKilobyte = 1024;
constexpr size_t kMegabyte = 1024 * kKilobyte;

} // namespace

TEST_CASE("reply size: an endless reply is cut by what the route usually needs")
{
  ReplySizeLimit limit;
  CHECK(limit.MaxBytes() == kMegabyte);
  for (int i = 0; i < 20; ++i) {
    limit.OnReply(400);
  }
  CHECK(limit.MaxBytes() == 64 * kKilobyte);
  limit.OnReply(100 * kKilobyte);
  CHECK(limit.MaxBytes() == 800 * kKilobyte);
}

TEST_CASE("reply size: a large reply is expected again")
{
  ReplySizeLimit limit;
  limit.OnReply(2 * kMegabyte);
  CHECK(limit.MaxBytes() == 16 * kMegabyte);
}

TEST_CASE("reply memory: 300 servers that send without end share one bound")
{
  constexpr size_t kServers = 300;
  const ReplyMemorySettings settings;
  ReplyMemory memory(settings);
  std::vector<size_t> held(kServers, 0);
  size_t givenUp = 0;
  for (size_t round = 1; round <= 1000; ++round) {
    for (size_t& reply : held) {
      if (!memory.Resize(reply, reply + 4 * kKilobyte)) {
        memory.Resize(reply, 0);
        ++givenUp;
      }
    }
    const size_t total = std::accumulate(held.begin(), held.end(), size_t{ 0 });
    REQUIRE(total <=
            settings.sharedBytes_ + kServers * settings.guaranteedBytes_);
  }
  CHECK(givenUp > 0);
}

TEST_CASE("reply memory: small replies continue beside large ones")
{
  ReplyMemory memory({ 16 * kKilobyte, kMegabyte });
  size_t large = 0;
  REQUIRE(memory.Resize(large, kMegabyte + 16 * kKilobyte));
  CHECK_FALSE(memory.Resize(large, 2 * kMegabyte));
  size_t small = 0;
  CHECK(memory.Resize(small, 16 * kKilobyte));
  CHECK_FALSE(memory.Resize(small, 17 * kKilobyte));
  CHECK(memory.Resize(large, 0));
  CHECK(memory.Resize(small, 17 * kKilobyte));
}

TEST_CASE("reply memory: what is in use is what the replies hold")
{
  const bool holds =
    rc::check("the sum of all shared parts stays within the bound", [] {
      ReplyMemory memory({ 10, 1000 });
      std::vector<size_t> held(5, 0);
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 600)));
      for (const auto& [index, size] : steps) {
        const size_t before = held[static_cast<size_t>(index)];
        const bool isGranted = memory.Resize(held[static_cast<size_t>(index)],
                                             static_cast<size_t>(size));
        RC_ASSERT(isGranted || held[static_cast<size_t>(index)] == before);
        RC_ASSERT(isGranted || static_cast<size_t>(size) > before);
        size_t expected = 0;
        for (const size_t bytes : held) {
          expected += bytes > 10 ? bytes - 10 : 0;
        }
        RC_ASSERT(memory.SharedBytesInUse() == expected);
        RC_ASSERT(expected <= 1000);
      }
    });
  CHECK(holds);
}
