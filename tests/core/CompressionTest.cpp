#include "core/Compression.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtail;

TEST_CASE("compression: decompressing a compressed text restores it")
{
  CHECK(rc::check([](const std::string& aText) {
    const auto restored = Decompress(Compress(aText), aText.size());
    RC_ASSERT(restored.ok());
    RC_ASSERT(*restored == aText);
  }));
}

TEST_CASE(
  "compression: a document with many routes shrinks to less than a quarter")
{
  std::string text;
  for (int i = 0; i < 350; ++i) {
    text += R"({"name":"r)" + std::to_string(i * 7919) +
            R"(","host":"shop.example","timeout_ms":2500,"shards":["a","b"]},)";
  }
  CHECK(Compress(text).size() * 4 < text.size());
}

TEST_CASE("compression: invalid, truncated or oversized data is rejected")
{
  const std::string bytes = Compress(std::string(100000, 'x'));
  CHECK_FALSE(Decompress(bytes, 99999).ok());
  CHECK(Decompress(bytes, 100000).ok());
  CHECK_FALSE(Decompress(bytes.substr(0, bytes.size() / 2), 100000).ok());
  CHECK_FALSE(Decompress("", 10).ok());
  CHECK_FALSE(Decompress("no compressed bytes", 1000).ok());
  CHECK(rc::check("decompressing damaged bytes never crashes", [&] {
    std::string damaged = bytes;
    damaged[*rc::gen::inRange<size_t>(0, bytes.size())] =
      *rc::gen::arbitrary<char>();
    (void)Decompress(damaged, 200000);
  }));
}
