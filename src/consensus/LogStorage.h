#ifndef CONSENSUS_LOGSTORAGE_H
#define CONSENSUS_LOGSTORAGE_H

#include "consensus/Message.h"
#include "consensus/Types.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace foxtail {

/// State of the state machine as of one index.
struct Snapshot
{
  SnapshotMeta meta_;
  /// Encoded state of the state machine; never null.
  std::shared_ptr<const std::string> data_ =
    std::make_shared<const std::string>();
};

/// State that a member has on stable storage.
struct StoredState
{
  HardState hardState_;
  Snapshot snapshot_;
  /// Entries after the snapshot.
  std::vector<LogEntry> entries_;
};

struct WriteHardState
{
  HardState hardState_;
};

/// Appends entries in order of index. Stored entries from the first one's index
/// on are replaced.
struct WriteEntries
{
  std::vector<LogEntry> entries_;
};

/// Replaces the whole stored state; entries that the snapshot covers are
/// dropped.
struct WriteSnapshot
{
  StoredState state_;
};

using LogWrite = std::variant<WriteHardState, WriteEntries, WriteSnapshot>;

/// A member's stable storage. Called from one thread.
class LogStorage
{
public:
  virtual ~LogStorage() = default;

  /// Loads the stored state; it is empty when nothing was stored.
  ///
  /// @return Storage when the stored data is damaged or incomplete; the message
  /// names the remedy.
  virtual absl::StatusOr<StoredState> Load() = 0;

  /// Writes in order and syncs once. After an error every later call fails,
  /// because the content of the disk after a failed sync is unknown.
  virtual absl::Status Write(const std::vector<LogWrite>& aWrites) = 0;
};

} // namespace foxtail

#endif // CONSENSUS_LOGSTORAGE_H
