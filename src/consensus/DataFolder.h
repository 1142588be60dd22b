#ifndef CONSENSUS_DATAFOLDER_H
#define CONSENSUS_DATAFOLDER_H

#include "consensus/FileOperations.h"
#include "core/Ids.h"

#include <absl/status/statusor.h>
#include <string>

namespace foxtail {

/// A member's data folder: held by one process at a time, with the random
/// incarnation that was drawn when the folder was first used. A folder that is
/// lost or emptied gets another incarnation, so that its member cannot be
/// taken for the one whose log and votes are gone.
class DataFolder
{
public:
  /// Creates the folder when it is missing, and locks it.
  ///
  /// @return Storage when another process holds it, or when it has a log but
  /// no incarnation.
  static absl::StatusOr<DataFolder> Open(const std::string& aPath);

  const std::string& Path() const { return path_; }
  Incarnation GetIncarnation() const { return incarnation_; }
  /// @return whether the incarnation was drawn by this Open().
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
