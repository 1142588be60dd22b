#ifndef CONSENSUS_RECORDFILE_H
#define CONSENSUS_RECORDFILE_H

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// Format of the log file: records one after the other, padded to 8 bytes, each
// with its length, the number of the sync batch it belongs to, whether it ends
// that batch, and checksums of header and payload. A batch is synced before the
// next one is written. A record that cannot be read is therefore a torn write
// only when nothing of a later batch follows it; else what was synced has
// changed, and nothing may be dropped.

enum class RecordPosition
{
  /// More records of the same batch follow.
  WithinBatch,
  /// The last record of its batch.
  EndOfBatch,
};

/// Appends one record to @p aOut, whose size is a multiple of 8.
void AppendRecord(std::string& aOut,
                  uint64_t aBatch,
                  RecordPosition aPosition,
                  std::string_view aPayload);

/// Appends the records of one whole batch.
void AppendBatch(std::string& aOut,
                 uint64_t aBatch,
                 const std::vector<std::string>& aPayloads);

struct RecordScan
{
  /// Payloads of the records, referring to the scanned text.
  std::vector<std::string_view> payloads_;
  /// Bytes up to the end of the last whole record; the rest is a torn write.
  uint64_t validBytes_ = 0;
  /// Batch of the last whole record.
  uint64_t lastBatch_ = 0;
};

/// Reads every record of a log file.
///
/// @param aText the whole file.
/// @return Storage when a record was damaged after it had been synced.
absl::StatusOr<RecordScan> ScanRecords(std::string_view aText);

struct FirstRecord
{
  std::string_view payload_;
  /// Where the text after the record begins.
  uint64_t endOffset_ = 0;
};

/// @return the record that @p aText begins with, or nothing when it is not
/// whole.
std::optional<FirstRecord> ReadFirstRecord(std::string_view aText);

} // namespace foxtail

#endif // CONSENSUS_RECORDFILE_H
