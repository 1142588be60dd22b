#ifndef CONTROL_VERSIONEDDOCUMENTSERVICE_H
#define CONTROL_VERSIONEDDOCUMENTSERVICE_H

#include "control/ReplicatedControl.h"

namespace foxtail {

/// An order is committed: its version is in force, or a higher one is.
struct DocumentCommitted
{
  /// The version in force.
  DocumentVersion version_;
  /// Whether the order made it.
  bool isAccepted_ = false;
};

/// Another control instance leads; ask it.
struct LeaderRedirect
{
  /// Its administration endpoint.
  std::string leader_;
};

/// No quorum has confirmed it, so nothing is certain; ask again, anywhere.
struct OutcomeUnconfirmed
{
  std::string reason_;
};

using CommitOutcome =
  std::variant<DocumentCommitted, LeaderRedirect, OutcomeUnconfirmed>;

/// The newest accepted document.
struct LatestDocument
{
  DocumentVersion version_;
  std::shared_ptr<const std::string> text_;
};

using ReadOutcome =
  std::variant<LatestDocument, LeaderRedirect, OutcomeUnconfirmed>;

/// Takes documents that carry their own version, and reads the newest one for
/// certain. Thread safe.
class VersionedDocumentService
{
public:
  explicit VersionedDocumentService(ReplicatedControl& aControl);

  /// @param aText a valid document.
  boost::asio::awaitable<CommitOutcome> Commit(DocumentVersion aVersion,
                                               std::string aText);
  boost::asio::awaitable<ReadOutcome> ReadLatest();

private:
  /// Where to ask when this instance could not answer.
  boost::asio::awaitable<std::string> FindLeader();

  ReplicatedControl& control_;
};

} // namespace foxtail

#endif // CONTROL_VERSIONEDDOCUMENTSERVICE_H
