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
  /// Rows and withdrawals that go down a dissemination tree.
  Spread,
  /// Renewals of leases, sent to their owners.
  Renewals,
  /// A digest of the rows of each zone.
  Digests,
  /// Reply to Digests: the bucket hashes of a zone whose digest differs.
  Buckets,
  /// Rows of the buckets that differ, and the buckets wanted in return.
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

/// An announcement as instances forward it.
struct AnnouncementRow
{
  Announcement announcement_;
  /// Zone of the instances that receive the server's announcements and hold its
  /// lease.
  ZoneName homeZone_;
};

/// Removes a server whose lease has expired, or that has deregistered. Applies
/// to its announcements up to this incarnation and sequence.
struct Withdrawal
{
  BackendId server_;
  Incarnation incarnation_;
  uint64_t sequence_ = 0;
};

/// Renewal of a server's lease, without the content that its owners hold.
struct Renewal
{
  /// Hash of the server's name.
  uint64_t nameHash_ = 0;
  Incarnation incarnation_;
  uint64_t sequence_ = 0;
  /// Hash of the content that the server announced with this sequence.
  uint64_t contentHash_ = 0;
};

struct ZoneDigest
{
  /// Hash of the zone's name.
  uint64_t zoneHash_ = 0;
  /// XOR of the content hashes of the zone's rows.
  uint64_t rowsHash_ = 0;
};

struct AnnouncementMessage
{
  AnnouncementMessageKind kind_ = AnnouncementMessageKind::Spread;
  /// Frame endpoint of the sender, to which replies are sent.
  std::string endpoint_;
  /// Root of the dissemination tree; empty when the receiver is to become it.
  InstanceId origin_;
  std::vector<AnnouncementRow> rows_;
  std::vector<Withdrawal> withdrawals_;
  std::vector<Renewal> renewals_;
  std::vector<ZoneDigest> digests_;
  /// Zone of the buckets.
  ZoneName zone_;
  std::vector<uint64_t> bucketHashes_;
  /// Bit i requests the rows of bucket i.
  uint64_t wantedBuckets_ = 0;
};

/// Payload of an AnnouncementSpread frame.
std::string EncodeAnnouncements(const AnnouncementMessage& aMessage);

/// @return the message, or a Protocol error when it is malformed.
absl::StatusOr<AnnouncementMessage> DecodeAnnouncements(
  std::string_view aPayload);

} // namespace foxtail

#endif // INSTANCE_ANNOUNCEMENTMESSAGES_H
