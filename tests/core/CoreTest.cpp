#include "core/Error.h"
#include "core/JsonReader.h"
#include "core/LatencyHistogram.h"
#include "core/Log.h"
#include "core/RcuCell.h"

#include <doctest/doctest.h>

using namespace foxtail;

TEST_CASE("enum tables are complete and ordered")
{
  CHECK(IsEnumTableOrdered<ErrorKind>());
  CHECK(IsEnumTableOrdered<LogLevel>());
  CHECK(NameOf(ErrorKind::Internal) == "internal");
  CHECK(FromName<ErrorKind>("conflict") == ErrorKind::Conflict);
  CHECK_FALSE(FromName<ErrorKind>("no such kind").has_value());
}

TEST_CASE("a status keeps its error kind")
{
  CHECK(KindOf(MakeError(ErrorKind::NoQuorum, "x")) == ErrorKind::NoQuorum);
  CHECK(KindOf(absl::InternalError("y")) == ErrorKind::Internal);
}

TEST_CASE("JsonReader reports each fault with its path")
{
  struct Row
  {
    const char* name_;
    const char* json_;
    const char* fault_;
  };
  const Row rows[] = {
    { "out of range", R"({"port":70000})", "/port is 70000; give a whole" },
    { "fraction", R"({"port":1.5})", "/port is not a whole number" },
    { "text", R"({"port":"1"})", "/port is not a whole number" },
    { "unknown member", R"({"port":1,"prot":2})", "/prot is not a known" },
    { "missing", R"({})", "/port is missing" },
    { "no object", R"([])", "/ is not an object" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    JsonFaults faults;
    const auto value =
      ParseJson(row.json_, "test", ErrorKind::InvalidSettings).value();
    JsonReader reader(value, "", faults);
    reader.RequiredInteger("port", 1, 65535);
    reader.Finish();
    const auto status = faults.ToStatus(ErrorKind::InvalidSettings, "test");
    CHECK(std::string(status.message()).find(row.fault_) != std::string::npos);
  }
}

// One object with many members, sent by anybody, blocked the process that read
// it for minutes.
TEST_CASE("ParseJson reads an object with many members within a second")
{
  constexpr int kMembers = 300000;
  std::string text = "{";
  for (int i = 0; i < kMembers; ++i) {
    text += "\"m" + std::to_string(i) + "\":0,";
  }
  const TimePoint begin = Now();
  CHECK(ParseJson(text + "\"last\":0}", "the text", ErrorKind::InvalidRequest)
          .ok());
  // Senders of announcements and orders wait this long for a reply.
  CHECK(Now() - begin < seconds(1));
  CHECK_FALSE(
    ParseJson(text + "\"m0\":0}", "the text", ErrorKind::InvalidRequest).ok());
}

TEST_CASE(
  "ParseJson rejects deep nesting, duplicate members and malformed text")
{
  const std::string deep(100, '[');
  for (const std::string& text : { deep,
                                   std::string(R"({"a":1,"a":2})"),
                                   std::string("{"),
                                   std::string(""),
                                   std::string("\xff\xfe") }) {
    CHECK_FALSE(ParseJson(text, "test", ErrorKind::InvalidRequest).ok());
  }
  CHECK(ParseJson(R"({"a":{"b":1},"b":"a:","c":[{"a":1},{"a":1}]})",
                  "test",
                  ErrorKind::InvalidRequest)
          .ok());
}

TEST_CASE("LatencyHistogram keeps quantiles within its relative error")
{
  LatencyHistogram histogram;
  for (int i = 1; i <= 10000; ++i) {
    histogram.Add(microseconds(i * 10));
  }
  const double p99 = ToMilliseconds(histogram.Quantile(0.99));
  CHECK(p99 >= 99.0 * (1 - 1.0 / 32));
  CHECK(p99 <= 99.0 * (1 + 1.0 / 32));
  CHECK(histogram.Quantile(1.0) == histogram.Max());
}

TEST_CASE("RcuReader returns the latest published value")
{
  RcuCell<int> cell(std::make_shared<const int>(1));
  RcuReader<int> reader(cell);
  const auto held = reader.Get();
  cell.Publish(std::make_shared<const int>(2));
  CHECK(*held == 1);
  CHECK(*reader.Get() == 2);
}

TEST_CASE("AppendJsonString escapes quotes, backslashes and control characters")
{
  std::string text;
  AppendJsonString(text, "a\"b\\c\n\x01");
  CHECK(text == R"("a\"b\\c\n\u0001")");
}
