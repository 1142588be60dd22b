#ifndef INSTANCE_MEMBERSHIPTYPES_H
#define INSTANCE_MEMBERSHIPTYPES_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/JsonReader.h"
#include "core/Time.h"

#include <memory>
#include <string>
#include <vector>

namespace foxtail {

enum class InstanceRole
{
  /// Accepts callers' queries and holds connections to backend servers.
  Entry,
  Control,
};

template<>
struct EnumTable<InstanceRole>
{
  static constexpr std::array<EnumName<InstanceRole>, 2> kRows{ {
    { InstanceRole::Entry, "entry" },
    { InstanceRole::Control, "control" },
  } };
};

enum class MemberState
{
  Alive,
  /// Did not answer its probes; counts as alive until the suspicion times out.
  Suspect,
  /// Removed. The row is kept for a while, so that outdated rows do not add the
  /// member again.
  Removed,
};

template<>
struct EnumTable<MemberState>
{
  static constexpr std::array<EnumName<MemberState>, 3> kRows{ {
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Removed, "removed" },
  } };
};

/// Row of one instance: its identity, endpoints and state.
struct Member
{
  InstanceId instance_;
  ZoneName zone_;
  /// Endpoint that receives frames, such as 127.0.0.1:7101.
  std::string endpoint_;
  /// Endpoint of the platform port, shown to operators.
  std::string platformEndpoint_;
  InstanceRole role_ = InstanceRole::Entry;
  /// Increases with each restart and each refutation.
  Incarnation incarnation_;
  MemberState state_ = MemberState::Alive;
  /// The instance is shutting down and accepts no new queries.
  bool isLeaving_ = false;

  /// @return whether this row replaces @p aOther, a row of the same instance:
  /// it has a higher incarnation, or the same incarnation and a worse state.
  bool Supersedes(const Member& aOther) const;
};

/// Summary of one zone, as exchanged between zones.
struct ZoneSummary
{
  ZoneName zone_;
  /// Entry instances that are alive and not leaving.
  uint32_t entryCount_ = 0;
  /// A few instances of the zone; all instances of the zone choose the same
  /// ones.
  std::vector<Member> delegates_;
  /// Hash of the entry count and the delegates.
  uint64_t contentHash_ = 0;
  /// Age of the content: time since one of the zone's delegates sent it.
  milliseconds age_{ 0 };
  /// Whether a delegate of the zone sent its summary recently enough.
  bool isReachable_ = true;
};

enum class MembershipMessageKind
{
  Probe,
  /// Answers a probe. With a subject: answers an indirect probe, after the
  /// subject has answered.
  Ack,
  /// Requests the receiver to probe the subject.
  IndirectProbe,
  /// Rows that changed.
  Rows,
  /// Digests of the sender's rows; requests the rows that differ.
  Sync,
  /// Answers a sync: zone summaries, and the name hashes of the rows that the
  /// sync's sender is to return. The rows that differ follow as Rows.
  SyncReply,
  /// A delegate's summary of its own zone, and the hash of its summary of the
  /// receiver's zone.
  Zone,
  ZoneReply,
};

template<>
struct EnumTable<MembershipMessageKind>
{
  static constexpr std::array<EnumName<MembershipMessageKind>, 8> kRows{ {
    { MembershipMessageKind::Probe, "probe" },
    { MembershipMessageKind::Ack, "ack" },
    { MembershipMessageKind::IndirectProbe, "indirect_probe" },
    { MembershipMessageKind::Rows, "rows" },
    { MembershipMessageKind::Sync, "sync" },
    { MembershipMessageKind::SyncReply, "sync_reply" },
    { MembershipMessageKind::Zone, "zone" },
    { MembershipMessageKind::ZoneReply, "zone_reply" },
  } };
};

/// Hashes of one row, to compare views without sending the rows.
struct MemberDigest
{
  uint64_t nameHash_ = 0;
  uint64_t rowHash_ = 0;
};

struct MembershipMessage
{
  MembershipMessageKind kind_ = MembershipMessageKind::Probe;
  uint64_t sequence_ = 0;
  InstanceId from_;
  /// Endpoint at which the sender receives frames.
  std::string endpoint_;
  /// Version of the document in force at the sender.
  DocumentVersion documentVersion_;
  /// Hash of the sender's view of its zone.
  uint64_t viewHash_ = 0;
  /// Target of an indirect probe; empty when a message concerns its two ends
  /// only.
  InstanceId subject_;
  std::string subjectEndpoint_;
  std::vector<Member> members_;
  std::vector<ZoneSummary> zones_;
  std::vector<MemberDigest> digest_;
  /// Name hashes of the rows that the receiver is to return.
  std::vector<uint64_t> wantedNameHashes_;
  /// Content hash of the sender's summary of the receiver's zone; 0 when the
  /// sender has none.
  uint64_t knownZoneHash_ = 0;
};

/// A message and its destination endpoint.
struct OutgoingMembershipMessage
{
  std::string to_;
  MembershipMessage message_;
};

enum class MembershipEventKind
{
  Joined,
  Suspected,
  /// A suspicion was refuted.
  Refuted,
  Removed,
  /// The member has announced that it is shutting down.
  Leaving,
  ZoneReachable,
  ZoneUnreachable,
  /// Another process uses this instance's name.
  NameClash,
};

template<>
struct EnumTable<MembershipEventKind>
{
  static constexpr std::array<EnumName<MembershipEventKind>, 8> kRows{ {
    { MembershipEventKind::Joined, "member_joined" },
    { MembershipEventKind::Suspected, "member_suspected" },
    { MembershipEventKind::Refuted, "member_cleared" },
    { MembershipEventKind::Removed, "member_removed" },
    { MembershipEventKind::Leaving, "member_leaving" },
    { MembershipEventKind::ZoneReachable, "zone_reachable" },
    { MembershipEventKind::ZoneUnreachable, "zone_unreachable" },
    { MembershipEventKind::NameClash, "instance_name_clash" },
  } };
};

struct MembershipEvent
{
  MembershipEventKind kind_ = MembershipEventKind::Joined;
  InstanceId instance_;
  ZoneName zone_;
};

/// One instance's view of the fleet. Immutable; published by read-copy-update.
struct MembershipView
{
  ZoneName zone_;
  /// Instances of the own zone that are alive or suspect, this one included,
  /// sorted by name.
  std::vector<Member> members_;
  /// The other zones, sorted by name.
  std::vector<ZoneSummary> zones_;

  /// @return the number of entry instances of the own zone that are not
  /// leaving.
  uint32_t OwnZoneEntryCount() const;
  /// @return the number of entry instances of the own zone and of the
  /// reachable zones.
  uint32_t LiveEntryCount() const;
  /// @return names of the entry instances of the own zone that are not
  /// leaving.
  std::vector<InstanceId> OwnZoneEntryNames() const;
  /// @return one name for each reachable entry instance: the instance's own
  /// name in the own zone and for delegates of other zones, and "zone#index"
  /// for the other instances of other zones.
  std::vector<InstanceId> ReachableEntryNames() const;
  /// @return the member of the own zone, or null.
  const Member* Find(const InstanceId& aInstance) const;
};

struct MembershipSettings
{
  /// Frame endpoints of a few instances to join through.
  std::vector<std::string> seeds_;
  /// Interval at which each monitor of a member probes it.
  milliseconds probeInterval_{ 1000 };
  /// Number of instances that probe each member.
  uint32_t monitors_ = 3;
  /// Time without an answer after which indirect probes are requested.
  milliseconds probeTimeout_{ 400 };
  /// Further time without an answer after which the member is suspected.
  milliseconds indirectTimeout_{ 400 };
  /// Number of instances that are requested to probe indirectly.
  uint32_t indirectProbes_ = 3;
  /// Time after which a suspicion that was not refuted removes the member.
  milliseconds suspicionTimeout_{ 900 };
  /// A longer gap between two ticks counts as a pause of this process itself;
  /// pending timeouts are extended by the gap.
  milliseconds ownPauseThreshold_{ 250 };
  /// Time for which a removed member is kept and rejoin attempts go on.
  milliseconds removedRetention_{ 600000 };
  /// First and longest interval between rejoin attempts with a removed member;
  /// the longest also limits the interval between attempts with the seeds.
  milliseconds rejoinInterval_{ 1000 };
  milliseconds maxRejoinInterval_{ 10000 };
  /// Number of instances of a zone that exchange summaries for it.
  uint32_t delegates_ = 3;
  /// Mean interval at which a delegate sends its summary to the next of the
  /// other zones.
  milliseconds zoneInterval_{ 1000 };
  /// Largest number of rows in one message.
  uint32_t maxRows_ = 64;

  static MembershipSettings Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // INSTANCE_MEMBERSHIPTYPES_H
