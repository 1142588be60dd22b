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

/// State of the state machine at one index.
struct Snapshot
{
  SnapshotMeta meta_;
  /// The state machine's encoding; never null.
  std::shared_ptr<const std::string> data_ =
    std::make_shared<const std::string>();
};

/// What a member has on disk.
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

/// Entries in order; the first replaces what the log has from its index on.
struct WriteEntries
{
  std::vector<LogEntry> entries_;
};

/// Replaces all that is stored: what the snapshot covers is dropped.
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

  /// Reads what was stored; an empty state when nothing was.
  ///
  /// @return Storage when what is there cannot be trusted; the message names
  /// the remedy.
  virtual absl::StatusOr<StoredState> Load() = 0;

  /// Writes in order and syncs once. After an error the storage refuses every
  /// later call, because what a failed sync has left on the disk is unknown.
  virtual absl::Status Write(const std::vector<LogWrite>& aWrites) = 0;
};

} // namespace foxtail

#endif // CONSENSUS_LOGSTORAGE_H
