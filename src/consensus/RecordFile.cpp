#include "consensus/RecordFile.h"

#include "core/Error.h"

#include <cstring>
#include <optional>
#include <xxhash.h>

namespace foxtail {
namespace {

struct RecordHeader
{
  uint32_t payloadBytes_ = 0;
  uint32_t position_ = 0;
  uint64_t batch_ = 0;
  uint64_t payloadChecksum_ = 0;
  uint64_t headerChecksum_ = 0;
};
constexpr size_t kHeaderBytes = sizeof(RecordHeader);
static_assert(kHeaderBytes == 32);
/// Alignment of records in bytes, as FlatBuffers requires for the payloads.
constexpr uint64_t kAlignment = 8;
/// Seed of the checksums, so that a header of zeros is not valid.
constexpr uint64_t kChecksumSeed = 0x666f787461696c31;

uint64_t ChecksumOf(RecordHeader aHeader)
{
  aHeader.headerChecksum_ = 0;
  return XXH3_64bits_withSeed(&aHeader, kHeaderBytes, kChecksumSeed);
}

uint64_t Padded(uint64_t aBytes)
{
  return (aBytes + kAlignment - 1) / kAlignment * kAlignment;
}

/// @return the header at @p aOffset, or nothing when it is cut off or its
/// checksum does not match.
std::optional<RecordHeader> ReadHeaderAt(std::string_view aText,
                                         uint64_t aOffset)
{
  if (aOffset + kHeaderBytes > aText.size()) {
    return std::nullopt;
  }
  RecordHeader header;
  std::memcpy(&header, aText.data() + aOffset, kHeaderBytes);
  if (header.headerChecksum_ != ChecksumOf(header)) {
    return std::nullopt;
  }
  return header;
}

/// @return the payload of the record at @p aOffset, or nothing when it is cut
/// off or its checksum does not match.
std::optional<std::string_view> ReadPayloadAt(std::string_view aText,
                                              uint64_t aOffset,
                                              const RecordHeader& aHeader)
{
  const uint64_t begin = aOffset + kHeaderBytes;
  if (begin + Padded(aHeader.payloadBytes_) > aText.size()) {
    return std::nullopt;
  }
  const std::string_view payload = aText.substr(begin, aHeader.payloadBytes_);
  const uint64_t checksum =
    XXH3_64bits_withSeed(payload.data(), payload.size(), kChecksumSeed);
  if (checksum != aHeader.payloadChecksum_) {
    return std::nullopt;
  }
  return payload;
}

/// @return whether @p aText has a valid header of a batch after @p aBatch at
/// @p aOffset or later.
bool IsFollowedByLaterBatch(std::string_view aText,
                            uint64_t aOffset,
                            uint64_t aBatch)
{
  for (uint64_t offset = aOffset; offset + kHeaderBytes <= aText.size();
       offset += kAlignment) {
    const std::optional<RecordHeader> header = ReadHeaderAt(aText, offset);
    if (header.has_value() && header->batch_ > aBatch) {
      return true;
    }
  }
  return false;
}

} // namespace

void AppendRecord(std::string& aOut,
                  uint64_t aBatch,
                  RecordPosition aPosition,
                  std::string_view aPayload)
{
  RecordHeader header;
  header.payloadBytes_ = static_cast<uint32_t>(aPayload.size());
  header.position_ = static_cast<uint32_t>(aPosition);
  header.batch_ = aBatch;
  header.payloadChecksum_ =
    XXH3_64bits_withSeed(aPayload.data(), aPayload.size(), kChecksumSeed);
  header.headerChecksum_ = ChecksumOf(header);
  aOut.append(reinterpret_cast<const char*>(&header), kHeaderBytes);
  aOut.append(aPayload);
  aOut.append(Padded(aPayload.size()) - aPayload.size(), '\0');
}

void AppendBatch(std::string& aOut,
                 uint64_t aBatch,
                 const std::vector<std::string>& aPayloads)
{
  for (size_t i = 0; i < aPayloads.size(); ++i) {
    const bool isLast = i + 1 == aPayloads.size();
    AppendRecord(aOut,
                 aBatch,
                 isLast ? RecordPosition::EndOfBatch
                        : RecordPosition::WithinBatch,
                 aPayloads[i]);
  }
}

absl::StatusOr<RecordScan> ScanRecords(std::string_view aText)
{
  RecordScan scan;
  uint64_t offset = 0;
  bool isWithinBatch = false;
  while (offset < aText.size()) {
    const std::optional<RecordHeader> header = ReadHeaderAt(aText, offset);
    const std::optional<std::string_view> payload =
      header.has_value() ? ReadPayloadAt(aText, offset, *header) : std::nullopt;
    if (!payload.has_value()) {
      break;
    }
    scan.payloads_.push_back(*payload);
    isWithinBatch =
      header->position_ != static_cast<uint32_t>(RecordPosition::EndOfBatch);
    scan.nextBatch_ = isWithinBatch ? header->batch_ : header->batch_ + 1;
    offset += kHeaderBytes + Padded(payload->size());
  }
  scan.validBytes_ = offset;
  // Earlier releases began a batch at each start and left the one before it
  // without an end, so the torn record may itself be of the batch after.
  const std::optional<RecordHeader> torn = ReadHeaderAt(aText, offset);
  const bool isOfBatchAfter =
    isWithinBatch && torn.has_value() && torn->batch_ == scan.nextBatch_ + 1;
  const uint64_t tornBatch = isOfBatchAfter ? torn->batch_ : scan.nextBatch_;
  if (IsFollowedByLaterBatch(aText, offset, tornBatch)) {
    return MakeError(
      ErrorKind::Storage,
      "the log is damaged at byte " + std::to_string(offset) +
        ", before records that were synced later; its content is unreliable. "
        "Move the data folder away and start with an empty one: the instance "
        "joins again as a new member");
  }
  return scan;
}

std::optional<FirstRecord> ReadFirstRecord(std::string_view aText)
{
  const std::optional<RecordHeader> header = ReadHeaderAt(aText, 0);
  if (!header.has_value()) {
    return std::nullopt;
  }
  const std::optional<std::string_view> payload =
    ReadPayloadAt(aText, 0, *header);
  if (!payload.has_value()) {
    return std::nullopt;
  }
  return FirstRecord{ *payload, kHeaderBytes + Padded(payload->size()) };
}

} // namespace foxtail
