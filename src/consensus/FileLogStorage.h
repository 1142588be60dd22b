#ifndef CONSENSUS_FILELOGSTORAGE_H
#define CONSENSUS_FILELOGSTORAGE_H

#include "consensus/FileOperations.h"
#include "consensus/LogStorage.h"

#include <memory>
#include <string>

namespace foxtail {

/// Keeps a member's log in a folder: `snapshot`, and `log` with the records
/// after it. Each batch of writes is one write and one fdatasync. A torn tail
/// is cut off on loading; damage to what was synced is refused. Once a write
/// or a sync has failed, every later one is refused: only a restart, which
/// reads what is really there, may go on.
class FileLogStorage : public LogStorage
{
public:
  /// @param aFolder an existing folder that only this process uses.
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
  /// Records of the batch being built.
  std::vector<std::string> pendingRecords_;
  /// The first failure.
  absl::Status firstError_;
};

} // namespace foxtail

#endif // CONSENSUS_FILELOGSTORAGE_H
