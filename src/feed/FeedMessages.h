#ifndef FEED_FEEDMESSAGES_H
#define FEED_FEEDMESSAGES_H

#include "core/Ids.h"
#include "policy/ServerDirectory.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <vector>

namespace foxtail {

/// Drawn by each process of a source, so that a cursor of an earlier one is
/// told apart.
using FeedSourceId = StrongId<struct FeedSourceIdTag, uint64_t>;

/// A question for news.
struct FeedRequest
{
  FeedSourceId source_;
  uint64_t cursor_ = 0;
  DocumentVersion knownVersion_;
  milliseconds wait_{ 0 };
  /// Whether a newer document is wanted with its text.
  bool wantsText_ = true;
  /// Whether servers that have not changed are wanted too.
  bool wantsRenewals_ = true;
  /// Number of the list of control instances that the asker knows from here.
  uint64_t knownControlsRevision_ = 0;
  /// Whether servers that have changed are wanted; else only their digest.
  bool wantsServers_ = true;
  /// The asker is a control instance: it wants what servers told the source
  /// itself, and does not count as an entry instance.
  bool isControl_ = false;
};

/// A backend server and how long ago it was heard.
struct FeedServer
{
  ServerAnnouncement announcement_;
  milliseconds age_{ 0 };
};

/// A backend server that was heard again and has not changed.
struct FeedRenewal
{
  BackendId id_;
  uint64_t sequence_ = 0;
  milliseconds age_{ 0 };
};

struct FeedReply
{
  FeedSourceId source_;
  uint64_t cursor_ = 0;
  DocumentVersion version_;
  /// Compressed; null unless it is wanted and the asker knows an older version.
  std::shared_ptr<const std::string> compressedText_;
  std::vector<FeedServer> servers_;
  std::vector<FeedRenewal> renewals_;
  /// Number of the list of control instances; it changes with the list.
  uint64_t controlsRevision_ = 0;
  /// Endpoints of frames of the control instances; empty when the asker knows
  /// the list.
  std::vector<std::string> controls_;
  /// Entry instances that asked this source lately.
  uint32_t entryInstances_ = 0;
  /// Whether the source has run long enough to have been asked by all.
  bool hasAllEntryInstances_ = false;
  ZoneName zone_;
  /// Digest of the source's directory and the revision that it is of.
  uint64_t digest_ = 0;
  uint64_t revision_ = 0;
};

std::string EncodeFeedRequest(const FeedRequest& aRequest);
absl::StatusOr<FeedRequest> DecodeFeedRequest(std::string_view aText);
std::string EncodeFeedReply(const FeedReply& aReply);
/// @return Protocol when the text is no reply; it is verified first.
absl::StatusOr<FeedReply> DecodeFeedReply(std::string_view aText);

} // namespace foxtail

#endif // FEED_FEEDMESSAGES_H
