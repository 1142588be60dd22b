#ifndef CONTROL_CONTROLDOCUMENTREADER_H
#define CONTROL_CONTROLDOCUMENTREADER_H

#include "control/ControlSettings.h"
#include "instance/DocumentMessages.h"
#include "instance/FrameTransport.h"

#include <string>
#include <vector>

namespace foxtail {

/// Result of reading the document from the control instances.
struct DocumentReadResult
{
  /// The newest version in the replies; without text when the reader already
  /// has that version.
  VersionedText document_;
  /// Whether a quorum confirmed that no newer version was accepted before the
  /// read.
  bool isConfirmed_ = false;
  /// Number of control instances that replied.
  size_t replyCount_ = 0;
};

/// Reads the accepted document from the control instances, for an entry
/// instance. Thread safe.
class ControlDocumentReader
{
public:
  /// @param aOwnEndpoint this instance's endpoint for frames, to which the
  /// control instances send new versions.
  ControlDocumentReader(const std::vector<ControlPeer>& aPeers,
                        std::string aOwnEndpoint,
                        FrameTransport& aFrames);

  /// Sends the read to the control instances in turn until one replies with
  /// confirmation by a quorum. A version without confirmation was accepted too,
  /// but a newer one may exist: it may replace an older version, never a newer
  /// one.
  ///
  /// @param aKnownVersion the version that this instance holds.
  /// @param aTimeout timeout per control instance.
  /// @return Unavailable when no control instance replied.
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
