#ifndef POLICY_STARTUPDOCUMENT_H
#define POLICY_STARTUPDOCUMENT_H

#include "core/Ids.h"
#include "core/Time.h"

#include <optional>

namespace foxtail {

struct StartupDocumentSettings
{
  /// A starting instance waits this long, from its first document, for a quorum
  /// to confirm the newest version. Then it is cut off from the leader and
  /// serves with the newest document that its control instances have followed,
  /// as instances do that were cut off while they ran. Longer than several
  /// elections. A version that a quorum has confirmed is waited for without
  /// limit.
  milliseconds confirmationTimeout_{ 3000 };
};

/// The newest version that the control group has accepted, confirmed by a
/// quorum.
struct LatestVersion
{
  /// None when the group has accepted no document.
  std::optional<DocumentVersion> version_;
};

/// Decides from when on a starting instance may put the newest document that it
/// has received in force. The control instance that sent it may have stood
/// still, or lost its leader, and lack a version that was acknowledged. An
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
