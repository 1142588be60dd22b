#ifndef CONSENSUS_TYPES_H
#define CONSENSUS_TYPES_H

#include "core/EnumTable.h"
#include "core/Ids.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

/// Raft term; at most one leader is elected in each.
using Term = uint64_t;
/// Position of an entry in the replicated log, starting at 1; 0 is before the
/// first entry.
using LogIndex = uint64_t;

/// Identifies a member of a group: an instance and the incarnation of its data
/// folder. An instance that lost its data folder gets a new incarnation and is
/// therefore another member, which is not bound by votes and entries that it no
/// longer has.
struct MemberId
{
  InstanceId instance_;
  Incarnation incarnation_;

  friend auto operator<=>(const MemberId&, const MemberId&) = default;
};

/// @return "instance/incarnation", with the incarnation as a decimal number.
std::string ToText(const MemberId& aId);

enum class VotingRole
{
  /// Replicates the log, but neither votes nor counts toward a quorum.
  Learner,
  /// Votes and counts toward a quorum.
  Voter,
};

template<>
struct EnumTable<VotingRole>
{
  static constexpr std::array<EnumName<VotingRole>, 2> kRows{ {
    { VotingRole::Learner, "learner" },
    { VotingRole::Voter, "voter" },
  } };
};

struct GroupMember
{
  MemberId id_;
  VotingRole role_ = VotingRole::Learner;
  /// Address and port for frames, such as 127.0.0.1:7000.
  std::string endpoint_;
  /// Address and port of the administration API.
  std::string admin_;

  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

enum class EntryKind : uint8_t
{
  /// The payload is a command for the state machine.
  Command,
  /// The payload is an encoded Membership.
  Membership,
  /// Appended by a new leader, so that it can commit entries of earlier terms.
  Noop,
};

template<>
struct EnumTable<EntryKind>
{
  static constexpr std::array<EnumName<EntryKind>, 3> kRows{ {
    { EntryKind::Command, "command" },
    { EntryKind::Membership, "membership" },
    { EntryKind::Noop, "noop" },
  } };
};

struct LogEntry
{
  Term term_ = 0;
  LogIndex index_ = 0;
  EntryKind kind_ = EntryKind::Command;
  std::string payload_;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// Election state that a member must persist across restarts.
struct HardState
{
  Term term_ = 0;
  /// Candidate that the member voted for in term_.
  std::optional<MemberId> vote_;

  friend bool operator==(const HardState&, const HardState&) = default;
};

} // namespace foxtail

#endif // CONSENSUS_TYPES_H
