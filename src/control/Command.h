#ifndef CONTROL_COMMAND_H
#define CONTROL_COMMAND_H

#include "caller/ClaimStore.h"
#include "core/EnumTable.h"
#include "core/Ids.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace foxtail {

/// Names one change of the document; the same in each resend.
using ChangeId = StrongId<struct ChangeIdTag, std::string>;
/// Names one call of ClaimStore::Claim(), the same in its own retries and
/// different in any other call, also for the same key.
using GrantId = StrongId<struct GrantIdTag, uint64_t>;

/// Replaces the document, if its version is still the base version.
struct ChangeDocument
{
  ChangeId changeId_;
  DocumentVersion baseVersion_;
  std::string text_;
  /// Name of the operator.
  std::string author_;
};

/// Replaces the document by one that carries its own version, if that is above
/// the version in force; else it changes nothing.
struct AdoptDocument
{
  DocumentVersion version_;
  std::string text_;
};

struct ClaimAction
{
  ClaimRequest claim_;
  GrantId grant_;
  /// How long the claim and its record are kept; set by the leader.
  milliseconds retention_{};
};

struct RecordAction
{
  ClaimRequest claim_;
  GrantId grant_;
  ActionRecord record_;
};

/// Takes a grant back, whether it was made or not: the same grant is not made
/// afterwards either.
struct ReleaseAction
{
  ClaimRequest claim_;
  GrantId grant_;
  milliseconds retention_{};
};

using CommandBody = std::variant<ChangeDocument,
                                 ClaimAction,
                                 RecordAction,
                                 ReleaseAction,
                                 AdoptDocument>;

/// One entry of the log.
struct Command
{
  /// Wall clock of the leader that proposed it; the log's time never goes
  /// back.
  milliseconds time_{};
  CommandBody body_;
};

enum class ChangeOutcome
{
  Accepted,
  /// The base version is not the current one.
  Conflict,
  /// The change id was used for another change.
  IdReused,
  /// The version is not above the one in force, which stays.
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
  /// Accepted: the version that the change made. Else the version that was
  /// current when it was refused.
  DocumentVersion version_;

  friend bool operator==(const ChangeResult&, const ChangeResult&) = default;
};

/// Result of a record or a release.
struct ClaimUpdateResult
{
  /// Whether the grant was still open.
  bool isApplied_ = false;
};

using CommandResult =
  std::variant<ChangeResult, ClaimResult, ClaimUpdateResult>;

std::string EncodeCommand(const Command& aCommand);
/// @return Protocol when the text is no command; it is verified first.
absl::StatusOr<Command> DecodeCommand(std::string_view aText);

} // namespace foxtail

#endif // CONTROL_COMMAND_H
