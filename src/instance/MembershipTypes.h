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
  /// Takes callers' queries and holds connections to backend servers.
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
  /// Missed its probes; counted as alive until the suspicion is confirmed.
  Suspect,
  /// Removed. Remembered for a while, so that old news does not bring it back.
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

/// What is known of one instance.
struct Member
{
  InstanceId instance_;
  ZoneName zone_;
  /// Endpoint of frames, such as 127.0.0.1:7101.
  std::string endpoint_;
  /// Endpoint of the platform port, for operators.
  std::string platformEndpoint_;
  InstanceRole role_ = InstanceRole::Entry;
  /// Grows with each restart and each refutation.
  Incarnation incarnation_;
  MemberState state_ = MemberState::Alive;
  /// The instance is shutting down and takes no new queries.
  bool isLeaving_ = false;

  /// @return whether this row replaces @p aOther, which is of the same
  /// instance: a higher incarnation, or the same one in a worse state.
  bool Supersedes(const Member& aOther) const;
};

/// What an instance knows of a zone other than its own.
struct ZoneSummary
{
  ZoneName zone_;
  /// Entry instances that are alive and not leaving.
  uint32_t entryCount_ = 0;
  /// A few of its instances, chosen alike by all instances of that zone.
  std::vector<Member> delegates_;
  /// Changes with the content.
  uint64_t contentHash_ = 0;
  /// How old the content is: since one of its delegates told it.
  milliseconds age_{ 0 };
  /// Whether that zone was heard of lately.
  bool isReachable_ = true;
};

enum class MembershipMessageKind
{
  Probe,
  /// Answers a probe; with a subject, on behalf of the one who asked.
  Ack,
  /// Asks the receiver to probe the subject.
  IndirectProbe,
  /// Rows that changed.
  Rows,
  /// Digests of the sender's rows; wants the rows that differ.
  Sync,
  /// Rows that differ, and the names of rows that are wanted in return.
  SyncReply,
  /// What a delegate knows of its own zone and the receiver's.
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

/// Hashes of one row, for comparing views without sending them.
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
  /// Endpoint of frames of the sender.
  std::string endpoint_;
  /// The document in force at the sender.
  DocumentVersion documentVersion_;
  /// Hash of the sender's view of its zone.
  uint64_t viewHash_ = 0;
  /// Whose liveness is asked or told, when it is neither end's.
  InstanceId subject_;
  std::string subjectEndpoint_;
  std::vector<Member> members_;
  std::vector<ZoneSummary> zones_;
  std::vector<MemberDigest> digest_;
  /// Hashes of the names whose rows are wanted.
  std::vector<uint64_t> wantedNameHashes_;
  /// Content hash of what the sender knows of the receiver's zone; 0: nothing.
  uint64_t knownZoneHash_ = 0;
};

/// A message and the endpoint that it goes to.
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
  /// Said that it leaves.
  Leaving,
  ZoneReachable,
  ZoneUnreachable,
  /// Another process claims this instance's name.
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

/// Immutable view of the fleet from one instance, published by
/// read-copy-update.
struct MembershipView
{
  ZoneName zone_;
  /// Instances of the own zone that are alive or suspect, this one included,
  /// in the order of their names.
  std::vector<Member> members_;
  /// The other zones, in the order of their names.
  std::vector<ZoneSummary> zones_;

  /// @return entry instances of the own zone that are not leaving.
  uint32_t OwnZoneEntryCount() const;
  /// @return entry instances of the own zone and of the zones that can be
  /// reached.
  uint32_t LiveEntryCount() const;
  /// @return names of the entry instances of the own zone that are not
  /// leaving.
  std::vector<InstanceId> OwnZoneEntryNames() const;
  /// @return names that stand for all entry instances that can be reached:
  /// those of the own zone and the delegates of others by their own names, the
  /// rest of other zones by a number in their zone.
  std::vector<InstanceId> ReachableEntryNames() const;
  /// @return the member of the own zone, or null.
  const Member* Find(const InstanceId& aInstance) const;
};

struct MembershipSettings
{
  /// Endpoints of frames of a few instances, to join by.
  std::vector<std::string> seeds_;
  /// How often each member is probed by each of its monitors.
  milliseconds probeInterval_{ 1000 };
  /// Instances that probe each member.
  uint32_t monitors_ = 3;
  /// Without an answer for this long, others are asked to probe.
  milliseconds probeTimeout_{ 400 };
  /// Without any answer for this long more, the member is suspected.
  milliseconds indirectTimeout_{ 400 };
  /// Instances that are asked to probe.
  uint32_t indirectProbes_ = 3;
  /// A suspicion that is not refuted for this long removes the member.
  milliseconds suspicionTimeout_{ 900 };
  /// A gap between two ticks above this is a pause of this process itself: the
  /// waiting times are put off by it.
  milliseconds ownPauseThreshold_{ 250 };
  /// How long a removed member is remembered and tried again.
  milliseconds removedRetention_{ 600000 };
  /// How often a removed member or a seed is tried again, at first and at
  /// most.
  milliseconds rejoinInterval_{ 1000 };
  milliseconds maxRejoinInterval_{ 10000 };
  /// Instances of a zone that speak for it.
  uint32_t delegates_ = 3;
  /// How often a delegate speaks to the next other zone.
  milliseconds zoneInterval_{ 1000 };
  /// Rows in one message.
  uint32_t maxRows_ = 64;

  static MembershipSettings Read(JsonReader& aReader);
};

} // namespace foxtail

#endif // INSTANCE_MEMBERSHIPTYPES_H
