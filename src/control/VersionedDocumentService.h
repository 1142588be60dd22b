#ifndef CONTROL_VERSIONEDDOCUMENTSERVICE_H
#define CONTROL_VERSIONEDDOCUMENTSERVICE_H

#include "control/ReplicatedControl.h"

namespace foxtail {

/// The command is committed: its version is the accepted one, or a higher
/// version is.
struct DocumentCommitted
{
  /// The accepted version.
  DocumentVersion version_;
  /// Whether this command accepted it.
  bool isAccepted_ = false;
};

/// Another control instance leads; the request is to be sent there.
struct LeaderRedirect
{
  /// The leader's administration endpoint.
  std::string leader_;
};

/// No quorum confirmed the request, so its outcome is unknown. It may be resent
/// to any control instance.
struct OutcomeUnconfirmed
{
  std::string reason_;
};

using CommitOutcome =
  std::variant<DocumentCommitted, LeaderRedirect, OutcomeUnconfirmed>;

/// The accepted document, confirmed by a quorum.
struct LatestDocument
{
  DocumentVersion version_;
  std::shared_ptr<const std::string> text_;
};

using ReadOutcome =
  std::variant<LatestDocument, LeaderRedirect, OutcomeUnconfirmed>;

/// Commits documents that carry their own version, and reads the accepted
/// document with confirmation by a quorum. Thread safe.
class VersionedDocumentService
{
public:
  explicit VersionedDocumentService(ReplicatedControl& aControl);

  /// @param aText a document that has been validated.
  boost::asio::awaitable<CommitOutcome> Commit(DocumentVersion aVersion,
                                               std::string aText);
  boost::asio::awaitable<ReadOutcome> ReadLatest();

private:
  /// @return the leader's administration endpoint; empty when this instance
  /// leads or no leader is known.
  boost::asio::awaitable<std::string> FindLeader();

  ReplicatedControl& control_;
};

} // namespace foxtail

#endif // CONTROL_VERSIONEDDOCUMENTSERVICE_H
