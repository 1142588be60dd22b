#ifndef FEED_FEEDMESSAGES_H
#define FEED_FEEDMESSAGES_H

#include "core/Ids.h"
#include "policy/CrashSuspects.h"
#include "policy/ServerDirectory.h"
#include "policy/StartupDocument.h"

#include <absl/status/statusor.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

/// Random id of one process of a source, which separates cursors of an earlier
/// process from those of the present one.
using FeedSourceId = StrongId<struct FeedSourceIdTag, uint64_t>;

/// Slowness of a backend server, and the time since the request that showed it
/// was sent.
struct FeedSlowServer
{
  BackendId id_;
  /// Latency of that request divided by the usual one.
  double ratio_ = 1;
  milliseconds age_{ 0 };
};

/// A backend server crashed while it had a request of an entry instance.
struct FeedCrash
{
  RequestFingerprint request_;
  BackendId server_;
  uint64_t serverStartedAtMs_ = 0;
  /// Time since the attempt was sent, and since its connection ended.
  milliseconds sentAge_{ 0 };
  milliseconds endedAge_{ 0 };
  /// Whether the server was alive when the request reached it.
  bool hasReachedServer_ = true;
};

/// A request that may crash backend servers, and how long it is treated so.
struct FeedQuarantine
{
  RequestFingerprint request_;
  milliseconds remaining_{ 0 };
  SuspectTreatment treatment_ = SuspectTreatment::Refuse;
};

/// A backend server process whose replies say that it is leaving.
struct FeedLeavingServer
{
  BackendId id_;
  uint64_t startedAtMs_ = 0;
};

/// Long-poll request for updates.
struct FeedRequest
{
  /// Process of the source that the cursor belongs to; 0 in the first request.
  FeedSourceId source_;
  /// Revision of the source's directory up to which the client has all changes.
  uint64_t cursor_ = 0;
  /// None while the client has no document.
  std::optional<DocumentVersion> knownVersion_;
  /// How long the reply may wait for updates.
  milliseconds wait_{ 0 };
  /// Whether the reply should hold the text of a newer document.
  bool wantsText_ = true;
  /// Whether the reply should also list servers that have not changed.
  bool wantsRenewals_ = true;
  /// Revision of the list of control instances that the client last received
  /// from this source.
  uint64_t knownControlsRevision_ = 0;
  /// Whether the reply should hold changed servers; else only their digest.
  bool wantsServers_ = true;
  /// The client is a control instance: it receives only changes that servers
  /// announced to the source itself, and is not counted as an entry instance.
  bool isControl_ = false;
  /// Slow servers that the client has found since its last report.
  std::vector<FeedSlowServer> slowServers_{};
  /// Revision of the source's slow servers up to which the client has all.
  uint64_t knownSlowRevision_ = 0;
  /// Crashes that the client has seen since its last report.
  std::vector<FeedCrash> crashes_{};
  /// Requests whose crashes were reported and that a server has replied to
  /// since.
  std::vector<RequestFingerprint> answered_{};
  /// Quarantines in force at the client that a restarted source may lack.
  std::vector<FeedQuarantine> quarantines_{};
  /// Revision of the source's quarantines up to which the client has all.
  uint64_t knownQuarantineRevision_ = 0;
  /// Leaving servers that the client has found since its last report.
  std::vector<FeedLeavingServer> leavingServers_{};
  /// Revision of the evacuated zones that the client has, from whichever
  /// source; 0 for none.
  uint64_t knownEvacuationRevision_ = 0;
  /// Whether the reply should state the newest version that a quorum confirms.
  bool wantsConfirmation_ = false;
};

/// A backend server and the time since its last announcement.
struct FeedServer
{
  ServerAnnouncement announcement_;
  milliseconds age_{ 0 };
};

/// A backend server that announced itself again without a change, and the time
/// since then.
struct FeedRenewal
{
  ServerRenewal renewal_;
  milliseconds age_{ 0 };
};

struct FeedReply
{
  FeedSourceId source_;
  uint64_t cursor_ = 0;
  /// None when the source has no document.
  std::optional<DocumentVersion> version_;
  /// Compressed; null unless the request asks for it and the client's version
  /// is older.
  std::shared_ptr<const std::string> compressedText_;
  std::vector<FeedServer> servers_;
  std::vector<FeedRenewal> renewals_;
  /// Revision of the list of control instances.
  uint64_t controlsRevision_ = 0;
  /// Frame endpoints of the control instances; empty when the client has this
  /// revision of the list.
  std::vector<std::string> controls_;
  /// Number of entry instances that sent this source a request recently.
  uint32_t entryInstances_ = 0;
  /// Whether the source has run long enough to have received a request from
  /// each entry instance that reaches it.
  bool hasAllEntryInstances_ = false;
  ZoneName zone_;
  /// Digest of the source's directory, and the revision that it was taken at.
  uint64_t digest_ = 0;
  uint64_t revision_ = 0;
  /// Slow servers published since the request's knownSlowRevision_.
  std::vector<FeedSlowServer> slowServers_;
  uint64_t slowRevision_ = 0;
  /// Quarantines that began since the request's knownQuarantineRevision_.
  std::vector<FeedQuarantine> quarantines_;
  uint64_t quarantineRevision_ = 0;
  /// Availability zones whose servers receive no requests, and the revision of
  /// that set; see EvacuatedZones. The set is empty when the client has this
  /// revision or a later one.
  std::vector<ZoneName> evacuatedZones_;
  uint64_t evacuationRevision_ = 0;
  /// Confirmed by a quorum after the request was received; only from the
  /// leader, when the request asks for it.
  std::optional<LatestVersion> confirmation_;
};

std::string EncodeFeedRequest(const FeedRequest& aRequest);
absl::StatusOr<FeedRequest> DecodeFeedRequest(std::string_view aText);
std::string EncodeFeedReply(const FeedReply& aReply);
/// Verifies and decodes a reply.
///
/// @return Protocol when the bytes are not a valid reply.
absl::StatusOr<FeedReply> DecodeFeedReply(std::string_view aText);

} // namespace foxtail

#endif // FEED_FEEDMESSAGES_H
