#include "instance/DocumentHolder.h"

#include <doctest/doctest.h>
#include <thread>

using namespace foxtail;

namespace {

VersionedText MakeDocument(uint64_t aVersion)
{
  return { DocumentVersion(aVersion),
           R"({"teams":[{"name":"t"}],"services":[{"name":"s","team":"t",)"
           R"("kind":"query","catalogues":["c"]}]})" };
}

} // namespace

TEST_CASE("the version in force never decreases")
{
  struct Row
  {
    const char* name_;
    VersionedText document_;
    DocumentApplyResult expected_;
    uint64_t inForce_;
  };
  const Row rows[] = {
    { "older", MakeDocument(4), DocumentApplyResult::NotNewer, 5 },
    { "the same", MakeDocument(5), DocumentApplyResult::NotNewer, 5 },
    { "newer", MakeDocument(6), DocumentApplyResult::Applied, 6 },
    { "newer and malformed",
      { DocumentVersion(7), "{" },
      DocumentApplyResult::Invalid,
      5 },
    { "version 0", MakeDocument(0), DocumentApplyResult::NotNewer, 5 },
  };
  for (const Row& row : rows) {
    INFO(std::string(row.name_));
    RcuCell<Document> cell(std::make_shared<const Document>());
    DocumentHolder holder(cell);
    REQUIRE(holder.Apply(MakeDocument(5)) == DocumentApplyResult::Applied);
    CHECK(holder.Apply(row.document_) == row.expected_);
    CHECK(holder.Version() == DocumentVersion(row.inForce_));
    CHECK(cell.Load()->version_ == DocumentVersion(row.inForce_));
  }
  CHECK(IsEnumTableOrdered<DocumentApplyResult>());
}

TEST_CASE("concurrent updates leave the highest version in force")
{
  constexpr uint64_t kLast = 200;
  RcuCell<Document> cell(std::make_shared<const Document>());
  DocumentHolder holder(cell);
  std::vector<std::thread> threads;
  for (uint64_t thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&holder, thread] {
      for (uint64_t i = 1; i <= kLast; ++i) {
        holder.Apply(MakeDocument(thread % 2 == 0 ? i : kLast + 1 - i));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(holder.Version() == DocumentVersion(kLast));
  CHECK(cell.Load()->version_ == DocumentVersion(kLast));
}
