#ifndef CONSENSUS_DATAFOLDER_H
#define CONSENSUS_DATAFOLDER_H

#include "consensus/FileOperations.h"
#include "core/Ids.h"

#include <absl/status/statusor.h>
#include <string>

namespace foxtail {

/// A member's data folder, locked by one process at a time. It stores a random
/// incarnation, generated when the folder is first used. A lost or emptied
/// folder gets a new incarnation, so that its member is not confused with the
/// previous one, whose log and votes are lost.
class DataFolder
{
public:
  /// Creates the folder when it is missing, locks it, and loads or generates
  /// its incarnation.
  ///
  /// @return Storage when another process has locked the folder, when it has a
  /// log but no incarnation, or when a file cannot be read or written.
  static absl::StatusOr<DataFolder> Open(const std::string& aPath);

  const std::string& Path() const { return path_; }
  Incarnation GetIncarnation() const { return incarnation_; }
  /// @return whether Open() generated the incarnation.
  bool IsNew() const { return isNew_; }

private:
  absl::Status LoadOrCreateIncarnation();

  std::string path_;
  FileDescriptor lock_;
  Incarnation incarnation_;
  bool isNew_ = false;
};

} // namespace foxtail

#endif // CONSENSUS_DATAFOLDER_H
