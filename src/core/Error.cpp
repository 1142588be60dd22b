#include "core/Error.h"

#include <absl/strings/cord.h>

namespace foxtail {
namespace {

constexpr std::string_view kErrorKindPayloadUrl = "foxtail/error-kind";

absl::StatusCode CodeOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidSettings:
    case ErrorKind::InvalidDocument:
    case ErrorKind::InvalidRequest:
    case ErrorKind::Protocol:
      return absl::StatusCode::kInvalidArgument;
    case ErrorKind::NotFound:
      return absl::StatusCode::kNotFound;
    case ErrorKind::Unauthorized:
      return absl::StatusCode::kUnauthenticated;
    case ErrorKind::Forbidden:
      return absl::StatusCode::kPermissionDenied;
    case ErrorKind::Conflict:
      return absl::StatusCode::kAborted;
    case ErrorKind::Overloaded:
      return absl::StatusCode::kResourceExhausted;
    case ErrorKind::DeadlineExceeded:
      return absl::StatusCode::kDeadlineExceeded;
    case ErrorKind::Unavailable:
    case ErrorKind::NoQuorum:
      return absl::StatusCode::kUnavailable;
    case ErrorKind::Storage:
      return absl::StatusCode::kDataLoss;
    case ErrorKind::Cancelled:
      return absl::StatusCode::kCancelled;
    case ErrorKind::Internal:
      break;
  }
  return absl::StatusCode::kInternal;
}

} // namespace

absl::Status MakeError(ErrorKind aKind, std::string_view aMessage)
{
  absl::Status status(CodeOf(aKind),
                      absl::string_view(aMessage.data(), aMessage.size()));
  const std::string_view name = NameOf(aKind);
  status.SetPayload(
    absl::string_view(kErrorKindPayloadUrl.data(), kErrorKindPayloadUrl.size()),
    absl::Cord(absl::string_view(name.data(), name.size())));
  return status;
}

ErrorKind KindOf(const absl::Status& aStatus)
{
  const auto payload = aStatus.GetPayload(absl::string_view(
    kErrorKindPayloadUrl.data(), kErrorKindPayloadUrl.size()));
  if (!payload) {
    return ErrorKind::Internal;
  }
  const std::string name(*payload);
  return FromName<ErrorKind>(name).value_or(ErrorKind::Internal);
}

} // namespace foxtail
