#ifndef CONTROL_CONTROLDOCUMENTREADER_H
#define CONTROL_CONTROLDOCUMENTREADER_H

#include "control/ControlSettings.h"
#include "instance/DocumentMessages.h"
#include "instance/FrameTransport.h"

#include <string>
#include <vector>

namespace foxtail {

/// What the control instances answered to a read of the document.
struct DocumentReadResult
{
  /// The newest version that any of them gave; without a text when it is the
  /// one that was known.
  VersionedText document_;
  /// Whether a quorum has confirmed that nothing newer was accepted before.
  bool isConfirmed_ = false;
  /// Control instances that answered.
  size_t replyCount_ = 0;
};

/// Reads the accepted document from the control instances, for an entry
/// instance. Thread safe.
class ControlDocumentReader
{
public:
  /// @param aOwnEndpoint where this instance takes frames, so that it can be
  /// told of new versions.
  ControlDocumentReader(const std::vector<ControlPeer>& aPeers,
                        std::string aOwnEndpoint,
                        FrameTransport& aFrames);

  /// Asks the control instances in turn until one answers with the proof of a
  /// quorum. A version without that proof was accepted too, but a newer one
  /// may exist: it may replace an older version, never a newer one.
  ///
  /// @param aKnownVersion the version that this instance holds.
  /// @param aTimeout for each control instance.
  /// @return Unavailable when none answered.
  boost::asio::awaitable<absl::StatusOr<DocumentReadResult>> Read(
    DocumentVersion aKnownVersion,
    milliseconds aTimeout);

private:
  std::vector<FrameTransport::Endpoint> endpoints_;
  std::string ownEndpoint_;
  FrameTransport& frames_;
};

} // namespace foxtail

#endif // CONTROL_CONTROLDOCUMENTREADER_H
