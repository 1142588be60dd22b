#include "../Support.h"
#include "ForwardFixture.h"

#include <array>
#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

std::string IdOf(const std::string& aRequest)
{
  const std::string name = HeaderNames{}.requestId_ + ": ";
  const size_t begin = aRequest.find(name) + name.size();
  return aRequest.substr(begin, aRequest.find("\r\n", begin) - begin);
}

} // namespace

// Guards against a new server that gets all requests at once, as it has none
// outstanding, and against one that is left idle.
TEST_CASE("a server that has just started gets a growing part of the requests")
{
  const auto serve = [](const std::string& aRequest, size_t) {
    return ScriptedReply{ SignedReply("ok", "sig-1", IdOf(aRequest)),
                          milliseconds(40) };
  };
  std::array<size_t, 2> earlyRequests{};
  for (const bool isPaced : { false, true }) {
    CAPTURE(isPaced);
    ScriptedServer present(serve);
    ScriptedServer added(serve);
    ForwardSettings settings = ForwardFixture::StartedSettings();
    settings.pace_.isEnabled_ = isPaced;
    ForwardFixture fixture(settings);
    RouteDocument document =
      SingleRoutes({ "proofs" }, RouteEffect::Idempotent);
    document.services_[0].warmup_ = milliseconds(3000);
    fixture.SetRoutes(std::move(document));
    fixture.Announce("i-1", "proofs", present.Address());
    for (int i = 0; i < 20; ++i) {
      fixture.Get("/proofs/1", seconds(2), "first-" + std::to_string(i));
    }
    fixture.Announce("i-2", "proofs", added.Address());
    // More callers than one server has slots, so that the new one is needed.
    constexpr size_t kCallers = 9;
    constexpr size_t kRequestsEach = 60;
    constexpr size_t kFirst = 60;
    std::atomic<size_t> sent{ 0 };
    std::atomic<size_t> early{ 0 };
    std::vector<std::thread> callers;
    for (size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i] {
        for (size_t n = 0; n < kRequestsEach; ++n) {
          const std::string id = std::to_string(i) + "-" + std::to_string(n);
          fixture.Get("/proofs/1", seconds(2), id);
          if (++sent == kFirst) {
            early = added.Requests().size();
          }
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    const size_t all = added.Requests().size();
    MESSAGE("paced: ",
            isPaced,
            ", ",
            early.load(),
            " of the first ",
            kFirst,
            ", ",
            all,
            " of ",
            kCallers * kRequestsEach);
    earlyRequests[isPaced ? 1 : 0] = early;
    CHECK(all > kCallers * kRequestsEach / 8);
  }
  CHECK(earlyRequests[1] < earlyRequests[0]);
}
