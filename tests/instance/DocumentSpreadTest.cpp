#include "../Support.h"
#include "instance/DocumentSpreadService.h"

#include <doctest/doctest.h>
#include <mutex>

using namespace foxtail;

namespace {

VersionedText MakeDocument(uint64_t aVersion)
{
  return { DocumentVersion(aVersion),
           R"({"teams":[{"name":"t"}],"services":[{"name":"s","team":"t",)"
           R"("kind":"query","catalogues":["c"]}]})" };
}

FrameTransportSettings FrameSettings()
{
  FrameTransportSettings settings;
  settings.instance_ = InstanceId("entry-1");
  settings.deploymentKey_ = "key of the tests";
  return settings;
}

} // namespace

// Queries would run by limits and keys of teams that were replaced before the
// instance started.
TEST_CASE("document spread: a starting instance does not use an old document "
          "while a quorum may confirm a newer one")
{
  struct Case
  {
    const char* name_;
    /// Replies of the control instances; the last one repeats.
    std::vector<DocumentSourceResult> replies_;
    std::vector<uint64_t> applied_;
  };
  const Case cases[] = {
    { "a control instance that was paused replies first",
      { { MakeDocument(1), false }, { MakeDocument(2), true } },
      { 2 } },
    { "no quorum can be reached", { { MakeDocument(1), false } }, { 1 } },
    { "the confirmed document arrives later",
      { { MakeDocument(1), false }, { {}, false }, { MakeDocument(3), true } },
      { 3 } },
  };
  for (const Case& row : cases) {
    CAPTURE(std::string(row.name_));
    RcuCell<Document> cell(std::make_shared<const Document>());
    DocumentHolder holder(cell);
    WorkerPool pool(1);
    FrameTransport frames(FrameSettings(), pool);
    DocumentSpreadSettings settings;
    settings.quorumTimeout_ = milliseconds(500);
    size_t reads = 0;
    bool wasInForceEarly = false;
    DocumentSpreadService* service = nullptr;
    DocumentSpreadService spread(
      settings,
      InstanceId("entry-1"),
      ZoneName("zone-a"),
      holder,
      [&](DocumentVersion, milliseconds)
        -> boost::asio::awaitable<absl::StatusOr<DocumentSourceResult>> {
        wasInForceEarly |= !service->IsReady() && holder.Version().Value() != 0;
        const size_t index = std::min(reads++, row.replies_.size() - 1);
        co_return row.replies_[index];
      },
      frames,
      pool);
    service = &spread;
    std::mutex mutex;
    std::vector<uint64_t> applied;
    spread.OnApplied([&](DocumentVersion aVersion) {
      const std::lock_guard lock(mutex);
      applied.push_back(aVersion.Value());
    });
    spread.Attach();
    REQUIRE(frames.Start().ok());
    spread.Start("127.0.0.1:1", {});
    pool.Start();
    CHECK(WaitUntil([&] { return spread.IsReady(); }));
    spread.Stop();
    frames.Stop();
    pool.Stop();
    CHECK_FALSE(wasInForceEarly);
    CHECK(applied == row.applied_);
  }
}
