#ifndef POLICY_STARTUPDOCUMENT_H
#define POLICY_STARTUPDOCUMENT_H

#include "core/Ids.h"
#include "core/Time.h"

#include <optional>

namespace foxtail {

struct StartupDocumentSettings
{
  /// How long a starting instance waits, from its first document on, for a
  /// quorum to confirm the newest version: longer than several elections. After
  /// it, the instance is taken to be cut off from the leader and uses the
  /// newest document of its control instances, as those do that were cut off
  /// while they ran. A version that a quorum has confirmed is waited for
  /// without limit.
  milliseconds confirmationTimeout_{ 3000 };
};

/// The newest version that the control group has accepted, confirmed by a
/// quorum.
struct LatestVersion
{
  /// None when the group has accepted no document.
  std::optional<DocumentVersion> version_;
};

/// Decides when a starting instance may put the newest document that it has
/// received in force. The control instance that sent it may have been paused,
/// or have lost its leader, and lack a version that was acknowledged. An
/// instance that has a document in force needs no confirmation for newer ones.
class StartupDocument
{
public:
  explicit StartupDocument(StartupDocumentSettings aSettings);

  /// Call with the newest version received.
  void OnReceived(DocumentVersion aVersion, TimePoint aNow);
  /// Call with a confirmation that was requested after the start of this
  /// process.
  void OnConfirmed(const LatestVersion& aLatest);

  /// @return whether a quorum has confirmed a version.
  bool IsConfirmed() const { return confirmed_.has_value(); }
  /// @return whether the newest document received may be put in force.
  bool MayApply(TimePoint aNow) const;

private:
  const StartupDocumentSettings settings_;
  std::optional<DocumentVersion> received_;
  TimePoint firstReceivedAt_{};
  std::optional<LatestVersion> confirmed_;
};

} // namespace foxtail

#endif // POLICY_STARTUPDOCUMENT_H
