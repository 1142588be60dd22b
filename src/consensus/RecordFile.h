#ifndef CONSENSUS_RECORDFILE_H
#define CONSENSUS_RECORDFILE_H

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// Format of the log file: consecutive records, padded to 8 bytes. The header of
// a record has the payload's length, the number of the sync batch, whether the
// record ends that batch, and checksums of the header and the payload. A batch
// is synced before the next one is written, and a process that starts continues
// a batch without an end. An unreadable record is therefore a torn write only
// when no record of a later batch follows it. Otherwise synced data is damaged,
// and no record may be dropped.

/// Position of a record in its sync batch.
enum class RecordPosition
{
  /// Further records of the same batch follow.
  WithinBatch,
  /// The last record of its batch.
  EndOfBatch,
};

/// Appends one record to @p aOut, whose size must be a multiple of 8 bytes.
void AppendRecord(std::string& aOut,
                  uint64_t aBatch,
                  RecordPosition aPosition,
                  std::string_view aPayload);

/// Appends the records of one complete batch.
void AppendBatch(std::string& aOut,
                 uint64_t aBatch,
                 const std::vector<std::string>& aPayloads);

/// Result of ScanRecords().
struct RecordScan
{
  /// Payloads of the records; views of the scanned text.
  std::vector<std::string_view> payloads_;
  /// Bytes up to the end of the last complete record; the rest is a torn write.
  uint64_t validBytes_ = 0;
  /// Batch number that the next record has: that of the last complete record,
  /// or the one after it if that record ends its batch.
  uint64_t nextBatch_ = 1;
};

/// Reads all records of a log file.
///
/// @param aText content of the file.
/// @return Storage when synced records are damaged.
absl::StatusOr<RecordScan> ScanRecords(std::string_view aText);

/// Result of ReadFirstRecord().
struct FirstRecord
{
  std::string_view payload_;
  /// Offset of the first byte after the record, in bytes.
  uint64_t endOffset_ = 0;
};

/// @return the record at the beginning of @p aText, or nothing when it is
/// incomplete or damaged.
std::optional<FirstRecord> ReadFirstRecord(std::string_view aText);

} // namespace foxtail

#endif // CONSENSUS_RECORDFILE_H
