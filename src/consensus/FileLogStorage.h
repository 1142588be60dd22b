#ifndef CONSENSUS_FILELOGSTORAGE_H
#define CONSENSUS_FILELOGSTORAGE_H

#include "consensus/FileOperations.h"
#include "consensus/LogStorage.h"

#include <memory>
#include <string>

namespace foxtail {

/// Stores a member's log in a folder: the file `snapshot`, and the file `log`
/// with the records after it. Each batch of writes is one write and one
/// fdatasync. Load() truncates a torn write at the end of the log, and fails
/// when synced data is damaged. Once a write or a sync has failed, every later
/// write fails: a restart is needed to load the actual content of the disk.
class FileLogStorage : public LogStorage
{
public:
  /// @param aFolder existing folder that no other process uses.
  explicit FileLogStorage(std::string aFolder,
                          std::unique_ptr<FileOperations> aOperations =
                            std::make_unique<FileOperations>());

  absl::StatusOr<StoredState> Load() override;
  absl::Status Write(const std::vector<LogWrite>& aWrites) override;

  /// @return the size of the log file, in bytes.
  uint64_t LogBytes() const { return logBytes_; }

private:
  absl::Status LoadSnapshot(StoredState& aState);
  absl::Status LoadLog(StoredState& aState);
  absl::Status OpenLog();
  absl::Status WriteBatch(const std::vector<LogWrite>& aWrites);
  absl::Status Flush();
  absl::Status ReplaceContents(const StoredState& aState);
  void AppendSyncMarker();

  std::string folder_;
  std::unique_ptr<FileOperations> operations_;
  FileDescriptor log_;
  uint64_t logBytes_ = 0;
  uint64_t nextBatch_ = 0;
  /// Encoded records of the batch that is being built.
  std::vector<std::string> pendingRecords_;
  /// The first error of Write(), which every later call returns.
  absl::Status firstError_;
};

} // namespace foxtail

#endif // CONSENSUS_FILELOGSTORAGE_H
