#ifndef INSTANCE_ANNOUNCEMENTMESSAGES_H
#define INSTANCE_ANNOUNCEMENTMESSAGES_H

#include "core/EnumTable.h"
#include "policy/Announcement.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

enum class AnnouncementMessageKind
{
  /// Rows and withdrawals on their way down a tree.
  Spread,
  /// Renewed leases, to their owners.
  Renewals,
  /// Hash of the rows of each zone.
  Digests,
  /// Hashes of the parts of one zone's rows.
  Buckets,
  /// Rows of the parts that differ, and the parts wanted in return.
  Rows,
};

template<>
struct EnumTable<AnnouncementMessageKind>
{
  static constexpr std::array<EnumName<AnnouncementMessageKind>, 5> kRows{ {
    { AnnouncementMessageKind::Spread, "spread" },
    { AnnouncementMessageKind::Renewals, "renewals" },
    { AnnouncementMessageKind::Digests, "compare" },
    { AnnouncementMessageKind::Buckets, "buckets" },
    { AnnouncementMessageKind::Rows, "rows" },
  } };
};

/// An announcement as instances pass it on.
struct AnnouncementRow
{
  Announcement announcement_;
  /// Zone whose instances hear the server and hold its lease.
  ZoneName homeZone_;
};

/// Says that a server's lease ran out, as of this announcement.
struct Withdrawal
{
  BackendId server_;
  Incarnation incarnation_;
  uint64_t sequence_ = 0;
};

struct Renewal
{
  uint64_t nameHash_ = 0;
  Incarnation incarnation_;
  uint64_t sequence_ = 0;
};

struct ZoneDigest
{
  uint64_t zone_ = 0;
  uint64_t rows_ = 0;
};

struct AnnouncementMessage
{
  AnnouncementMessageKind kind_ = AnnouncementMessageKind::Spread;
  /// Endpoint of frames of the sender.
  std::string endpoint_;
  /// Root of the tree; empty when the receiver is to become the root.
  InstanceId origin_;
  std::vector<AnnouncementRow> rows_;
  std::vector<Withdrawal> withdrawals_;
  std::vector<Renewal> renewals_;
  std::vector<ZoneDigest> digests_;
  ZoneName zone_;
  std::vector<uint64_t> bucketHashes_;
  uint64_t wantedBuckets_ = 0;
};

/// Payload of an AnnouncementSpread frame.
std::string EncodeAnnouncements(const AnnouncementMessage& aMessage);

/// @return the message, or a Protocol error when it is malformed.
absl::StatusOr<AnnouncementMessage> DecodeAnnouncements(
  std::string_view aPayload);

} // namespace foxtail

#endif // INSTANCE_ANNOUNCEMENTMESSAGES_H
