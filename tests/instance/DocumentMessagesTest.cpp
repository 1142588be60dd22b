#include "instance/DocumentMessages.h"

#include <doctest/doctest.h>

using namespace foxtail;

TEST_CASE("decoding returns the encoded document messages")
{
  const VersionedText document{ DocumentVersion(7), "{\"a\":1}" };
  CHECK(*DecodeDocumentRead(EncodeDocumentRead(DocumentVersion(3))) ==
        DocumentVersion(3));
  const auto reply = DecodeDocumentReadReply(EncodeDocumentReadReply(document));
  REQUIRE(reply.ok());
  CHECK(reply->version_ == document.version_);
  CHECK(reply->text_ == document.text_);
  const auto spread = DecodeDocumentSpread(
    EncodeDocumentSpread({ document, "127.0.0.1:1", InstanceId("a"), true }));
  REQUIRE(spread.ok());
  CHECK(spread->document_.text_ == document.text_);
  CHECK(spread->endpoint_ == "127.0.0.1:1");
  CHECK(spread->origin_ == InstanceId("a"));
  CHECK(spread->isOwnZoneOnly_);
}

TEST_CASE("malformed document messages are refused")
{
  const std::string good = EncodeDocumentSpread(
    { { DocumentVersion(7), "text" }, "127.0.0.1:1", InstanceId("a"), true });
  const std::string faults[] = {
    "", "x", std::string(64, '\xFF'), good.substr(0, good.size() / 2)
  };
  for (const std::string& fault : faults) {
    CAPTURE(fault.size());
    CHECK(!DecodeDocumentRead(fault).ok());
    CHECK(!DecodeDocumentReadReply(fault).ok());
    CHECK(!DecodeDocumentSpread(fault).ok());
  }
}
