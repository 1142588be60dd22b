#ifndef INSTANCE_MEMBERSHIPSTATE_H
#define INSTANCE_MEMBERSHIPSTATE_H

#include "core/RandomSource.h"
#include "instance/MembershipTypes.h"
#include "instance/ZoneDirectory.h"

#include <map>
#include <set>
#include <unordered_map>

namespace foxtail {

/// Gossip membership protocol of one instance, after SWIM. Within the own zone,
/// each instance has a row of every member, and each member is probed by a few
/// monitors. Of every other zone, an instance has a summary with a few
/// delegates. The methods take received messages and the present time and
/// return the messages to send; they do no I/O and read no clock. Not thread
/// safe.
class MembershipState
{
public:
  using Messages = std::vector<OutgoingMembershipMessage>;

  /// @param aSelf this instance. Its incarnation must be above that of earlier
  /// runs, such as the start time in milliseconds since the epoch.
  MembershipState(MembershipSettings aSettings, Member aSelf, uint64_t aSeed);

  /// Runs everything that is due; to be called about every 50 ms.
  Messages OnTick(TimePoint aNow);
  Messages OnMessage(const MembershipMessage& aMessage, TimePoint aNow);

  /// Sets the version of the document in force here, which each message
  /// carries.
  void SetDocumentVersion(DocumentVersion aVersion)
  {
    documentVersion_ = aVersion;
  }

  /// Marks this instance as shutting down; the next tick notifies the zone.
  void BeginLeave();
  /// Deregisters this instance.
  ///
  /// @return the messages that notify the zone.
  Messages Leave();

  MembershipView MakeView(TimePoint aNow) const;
  /// @return a counter that increases with each change of the view.
  uint64_t Generation() const { return generation_; }
  std::vector<MembershipEvent> TakeEvents();
  const Member& Self() const { return self_; }
  /// @return a hash of the members of the own zone; instances with equal views
  /// have equal hashes.
  uint64_t ViewHash() const { return viewHash_; }

private:
  struct Row
  {
    Member member_;
    /// Hash of the name, for digests and the choice of monitors.
    uint64_t nameHash_ = 0;
    TimePoint changedAt_;
    /// When a suspicion that was not refuted removes the member.
    TimePoint confirmAt_;
    TimePoint nextProbeAt_;
    TimePoint nextRejoinAt_;
    milliseconds rejoinBackoff_{ 0 };
    TimePoint refutationPromptedAt_;
    /// Since when the member's view hash differs from this instance's.
    std::optional<TimePoint> viewDiffersSince_;
  };
  using Rows = std::map<InstanceId, Row>;

  /// A probe that has not been answered yet.
  struct Probe
  {
    InstanceId target_;
    TimePoint indirectAt_;
    TimePoint suspectAt_;
    bool isIndirectSent_ = false;
  };

  /// A probe sent on the request of another instance.
  struct RelayedProbe
  {
    std::string requesterEndpoint_;
    uint64_t sequence_ = 0;
    InstanceId subject_;
    TimePoint expiresAt_;
  };

  // Outgoing messages.
  MembershipMessage MakeMessage(MembershipMessageKind aKind) const;
  void Send(const std::string& aTo, MembershipMessage aMessage);
  void SendSync(const std::string& aTo, bool aHasDigest);
  void SendRows(const std::string& aTo, const std::vector<Member>& aRows);
  void Flush(TimePoint aNow);

  // Rows.
  void Apply(const Member& aMember, TimePoint aNow);
  void ApplyToSelf(const Member& aMember, TimePoint aNow);
  void UpdateRow(Row& aRow, const Member& aMember, TimePoint aNow);
  void RaiseTransitionEvents(MemberState aFrom,
                             const Member& aTo,
                             bool aWasLeaving);
  void Refute(Incarnation aAtLeast);
  void Raise(MembershipEventKind aKind,
             const InstanceId& aInstance,
             const ZoneName& aZone);
  void MarkViewChanged();
  bool IsLive(const Row& aRow) const;
  uint64_t RowHash(const Member& aMember) const;
  void UpdateDerived();

  // Probes.
  void SendDueProbes(TimePoint aNow);
  void SendProbe(Row& aRow, TimePoint aNow);
  void CheckProbeTimeouts(TimePoint aNow);
  void SendIndirectProbes(uint64_t aSequence, const Row& aTarget);
  void Suspect(Row& aRow, TimePoint aNow);
  void ConfirmSuspicions(TimePoint aNow);
  void ExpireRemovedMembers(TimePoint aNow);
  void CompensateOwnPause(TimePoint aNow);
  void Rejoin(TimePoint aNow);
  bool IsMonitoredHere(const Row& aRow) const;

  // Received messages.
  void PromptRefutation(const MembershipMessage& aMessage, TimePoint aNow);
  void CompareViews(const MembershipMessage& aMessage, TimePoint aNow);
  void OnProbe(const MembershipMessage& aMessage);
  void OnAck(const MembershipMessage& aMessage);
  void OnIndirectProbe(const MembershipMessage& aMessage, TimePoint aNow);
  void OnSync(const MembershipMessage& aMessage, TimePoint aNow);
  void OnSyncReply(const MembershipMessage& aMessage);
  void OnZone(const MembershipMessage& aMessage, TimePoint aNow);

  // Other zones.
  ZoneSummary OwnSummary() const;
  bool IsDelegate() const;
  /// @return a hash of the names of all known zones, the own one included.
  uint64_t ZoneNamesHash() const;
  void MergeZone(const ZoneSummary& aSummary, TimePoint aNow);
  void MergeOwnZone(const ZoneSummary& aSummary, TimePoint aNow);
  void ExchangeZoneSummaries(TimePoint aNow);
  void SendZone(MembershipMessageKind aKind,
                const std::string& aTo,
                const ZoneName& aZone,
                std::vector<ZoneSummary> aOthers);
  void SendZoneToDelegate(const ZoneName& aZone, TimePoint aNow);
  void ExpireZones(TimePoint aNow);

  MembershipSettings settings_;
  Member self_;
  uint64_t selfHash_ = 0;
  RandomSource random_;
  DocumentVersion documentVersion_;

  Rows rows_;
  std::unordered_map<uint64_t, InstanceId> namesByHash_;
  std::map<uint64_t, Probe> probes_;
  std::map<uint64_t, RelayedProbe> relayedProbes_;
  uint64_t nextSequence_ = 1;
  /// Members that this instance probes.
  std::vector<InstanceId> probeTargets_;
  /// Members that changed rows are sent to: the probe targets and this
  /// instance's own monitors.
  std::vector<InstanceId> gossipPeers_;

  std::map<InstanceId, Member> pendingRows_;
  std::set<ZoneName> pendingZones_;

  ZoneDirectory zones_;
  /// Hash of this zone's summary that each other zone has reported to have.
  std::map<ZoneName, uint64_t> acknowledgedHashes_;
  ZoneSummary ownSummary_;
  uint64_t pushedSummaryHash_ = 0;
  TimePoint summaryPushedAt_{};
  TimePoint nextZoneSendAt_{};
  size_t nextZoneIndex_ = 0;
  std::optional<TimePoint> delegateSince_;

  TimePoint nextSeedSyncAt_{};
  milliseconds seedBackoff_{ 0 };
  std::optional<TimePoint> lastTickAt_;
  TimePoint lastNameClashAt_{};
  std::vector<MembershipEvent> events_;
  uint64_t generation_ = 1;
  uint64_t viewHash_ = 0;
  bool isDerivedStale_ = true;
  Messages outgoing_;
};

} // namespace foxtail

#endif // INSTANCE_MEMBERSHIPSTATE_H
