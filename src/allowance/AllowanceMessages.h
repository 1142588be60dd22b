#ifndef ALLOWANCE_ALLOWANCEMESSAGES_H
#define ALLOWANCE_ALLOWANCEMESSAGES_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/Time.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace foxtail {

enum class AllowanceOutcome : uint8_t
{
  /// The permits asked for, or as many as there are, were moved.
  Granted,
  /// This instance has none, others may: the request may be repeated with a
  /// wait.
  Short,
  /// There is none; expectedIn_ says when one is expected.
  Refused,
  /// The document in force at the control instance states no limit.
  Unlimited,
};

template<>
struct EnumTable<AllowanceOutcome>
{
  static constexpr std::array<EnumName<AllowanceOutcome>, 4> kRows{ {
    { AllowanceOutcome::Granted, "granted" },
    { AllowanceOutcome::Short, "short" },
    { AllowanceOutcome::Refused, "refused" },
    { AllowanceOutcome::Unlimited, "unlimited" },
  } };
};

/// Largest number of asks in a message; the others follow in the next one.
constexpr size_t kMaxAllowanceAsks = 512;

struct AllowanceAsk
{
  std::string name_;
  /// Permits that are asked for.
  double amount_ = 0;
  /// Requests that the entry instance has received since its last message.
  double demand_ = 0;
  /// Nothing is to be lent if it is less than this: permits that do not add up
  /// to a whole one expire unused at the borrower.
  double least_ = 0;
};

struct AllowanceRequest
{
  std::vector<AllowanceAsk> asks_;
  /// Document that the sender has in force, or none.
  std::optional<DocumentVersion> version_;
  bool isControl_ = false;
  /// How long the reply may wait for permits of other control instances.
  microseconds wait_{ 0 };
};

struct AllowanceGrant
{
  std::string name_;
  double amount_ = 0;
  AllowanceOutcome outcome_ = AllowanceOutcome::Granted;
  milliseconds expectedIn_{ 0 };
  /// Permits that the replying control instance could lend beyond these.
  double lendable_ = 0;
};

struct AllowanceReply
{
  std::vector<AllowanceGrant> grants_;
  /// Whether the instance may give permits at present.
  bool gives_ = false;
};

std::string EncodeAllowanceRequest(const AllowanceRequest& aRequest);
/// @return Protocol when the bytes are not a valid request, or an amount is
/// negative or not a number.
absl::StatusOr<AllowanceRequest> DecodeAllowanceRequest(std::string_view aText);
std::string EncodeAllowanceReply(const AllowanceReply& aReply);
/// @return Protocol, as for a request.
absl::StatusOr<AllowanceReply> DecodeAllowanceReply(std::string_view aText);

} // namespace foxtail

#endif // ALLOWANCE_ALLOWANCEMESSAGES_H
