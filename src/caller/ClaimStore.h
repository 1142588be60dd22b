#ifndef CALLER_CLAIMSTORE_H
#define CALLER_CLAIMSTORE_H

#include "core/EnumTable.h"
#include "core/Ids.h"
#include "core/Time.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <string>

namespace foxtail {

enum class ClaimState
{
  /// This call made the claim; the caller may dispatch the action once.
  Granted,
  /// An earlier call claimed the key and its outcome is recorded.
  Recorded,
  /// An earlier call claimed the key and its outcome is unknown.
  Unknown,
  /// The key was claimed by a request with a different body.
  Mismatch,
};

template<>
struct EnumTable<ClaimState>
{
  static constexpr std::array<EnumName<ClaimState>, 4> kRows{ {
    { ClaimState::Granted, "granted" },
    { ClaimState::Recorded, "recorded" },
    { ClaimState::Unknown, "unknown" },
    { ClaimState::Mismatch, "mismatch" },
  } };
};

/// Claim of one action under its idempotency key.
struct ClaimRequest
{
  ServiceName service_;
  std::string key_;
  /// Hash of the service name and the request's body.
  uint64_t bodyHash_ = 0;
  RequestId request_;
};

/// The recorded outcome of an action.
struct ActionRecord
{
  /// HTTP status of the first response.
  uint32_t httpStatus_ = 200;
  /// Complete body of the first response.
  std::string body_;
};

struct ClaimResult
{
  ClaimState state_ = ClaimState::Unknown;
  /// Set with ClaimState::Recorded only.
  ActionRecord record_;
};

/// Durable claims of actions under idempotency keys. Thread safe.
class ClaimStore
{
public:
  virtual ~ClaimStore() = default;

  /// Claims a key durably.
  ///
  /// @return NoQuorum or Unavailable when the claim was certainly not made;
  /// with any other error it may have been made. With either error the caller
  /// must not dispatch the action: this call has not run it.
  virtual boost::asio::awaitable<absl::StatusOr<ClaimResult>> Claim(
    ClaimRequest aRequest,
    milliseconds aTimeout) = 0;

  /// Records the outcome of a granted claim.
  virtual boost::asio::awaitable<absl::Status> Record(
    ClaimRequest aRequest,
    ActionRecord aRecord,
    milliseconds aTimeout) = 0;

  /// Releases a granted claim after the action was shown not to have been run,
  /// so that a resend may run it.
  virtual boost::asio::awaitable<absl::Status> Release(
    ClaimRequest aRequest,
    milliseconds aTimeout) = 0;
};

} // namespace foxtail

#endif // CALLER_CLAIMSTORE_H
