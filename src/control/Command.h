#ifndef CONTROL_COMMAND_H
#define CONTROL_COMMAND_H

#include "caller/ClaimStore.h"
#include "core/EnumTable.h"
#include "core/Ids.h"
#include "policy/ServerDirectory.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace foxtail {

/// Identifies one change of the document; the same in each resend.
using ChangeId = StrongId<struct ChangeIdTag, std::string>;
/// Identifies one call of ClaimStore::Claim(): the same in retries of the call,
/// different in any other call, even for the same key.
using GrantId = StrongId<struct GrantIdTag, uint64_t>;

/// Replaces the document if its current version is the base version.
struct ChangeDocument
{
  ChangeId changeId_;
  DocumentVersion baseVersion_;
  std::string text_;
  /// Name of the operator.
  std::string author_;
};

/// Replaces the document by one that carries its own version if that version is
/// above the current one; otherwise changes nothing.
struct AdoptDocument
{
  DocumentVersion version_;
  std::string text_;
};

struct ClaimAction
{
  ClaimRequest claim_;
  GrantId grant_;
  /// Retention of the claim and its record; set by the leader.
  milliseconds retention_{};
};

struct RecordAction
{
  ClaimRequest claim_;
  GrantId grant_;
  ActionRecord record_;
};

/// Releases a grant, whether or not the claim was granted before: a delayed
/// claim under the same grant is not granted afterwards.
struct ReleaseAction
{
  ClaimRequest claim_;
  GrantId grant_;
  milliseconds retention_{};
};

/// Records that a backend server drains or has deregistered.
struct RecordDeparture
{
  /// Its phase is Draining or Gone. Only the id and the start are set when the
  /// instance that received a deregistration has no announcement of the server.
  ServerAnnouncement announcement_;
};

/// Begins or ends the evacuation of an availability zone.
struct SetEvacuation
{
  ZoneName zone_;
  /// Whether the evacuation begins; else it ends.
  bool isEvacuated_ = false;
  /// Number of orders applied when the sender read the state.
  uint64_t knownOrders_ = 0;
};

using CommandBody = std::variant<ChangeDocument,
                                 ClaimAction,
                                 RecordAction,
                                 ReleaseAction,
                                 AdoptDocument,
                                 RecordDeparture,
                                 SetEvacuation>;

/// A command entry of the replicated log.
struct Command
{
  /// Wall-clock time of the leader that proposed the command, since the epoch.
  /// Log time is the maximum over the commands applied, so it never decreases.
  milliseconds time_{};
  CommandBody body_;
};

enum class ChangeOutcome
{
  Accepted,
  /// The base version is not the current version.
  Conflict,
  /// The change id was used for another change.
  IdReused,
  /// The version is not above the current one; nothing changed.
  NotNewer,
};

template<>
struct EnumTable<ChangeOutcome>
{
  static constexpr std::array<EnumName<ChangeOutcome>, 4> kRows{ {
    { ChangeOutcome::Accepted, "accepted" },
    { ChangeOutcome::Conflict, "conflict" },
    { ChangeOutcome::IdReused, "id_reused" },
    { ChangeOutcome::NotNewer, "held" },
  } };
};

struct ChangeResult
{
  ChangeOutcome outcome_ = ChangeOutcome::Conflict;
  /// Accepted: the new version. Otherwise the version that was current when the
  /// change was refused.
  DocumentVersion version_;

  friend bool operator==(const ChangeResult&, const ChangeResult&) = default;
};

/// Result of a record or release command.
struct ClaimUpdateResult
{
  /// False when the claim is held under another grant, or its state does not
  /// allow the update.
  bool isApplied_ = false;
};

/// Result of a command that records a departure, which is never refused.
struct DepartureRecorded
{};

struct EvacuationResult
{
  /// False when another order was applied since the sender read the state, and
  /// this one would have changed the set.
  bool isApplied_ = false;
  /// Revision of the set of evacuated zones.
  uint64_t revision_ = 0;
};

using CommandResult = std::variant<ChangeResult,
                                   ClaimResult,
                                   ClaimUpdateResult,
                                   DepartureRecorded,
                                   EvacuationResult>;

/// @return whether a command that has no other result was applied.
bool IsApplied(const CommandResult& aResult);

std::string EncodeCommand(const Command& aCommand);
/// Verifies the text before it is read.
///
/// @return Protocol when the text is not a valid command.
absl::StatusOr<Command> DecodeCommand(std::string_view aText);

} // namespace foxtail

#endif // CONTROL_COMMAND_H
