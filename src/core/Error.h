#ifndef CORE_ERROR_H
#define CORE_ERROR_H

#include "core/EnumTable.h"

#include <absl/status/status.h>
#include <string_view>

namespace foxtail {

/// Error kinds that modules return to each other in an absl::Status.
enum class ErrorKind
{
  InvalidSettings,
  InvalidDocument,
  InvalidRequest,
  NotFound,
  Unauthorized,
  Forbidden,
  Conflict,
  Overloaded,
  DeadlineExceeded,
  Unavailable,
  NoQuorum,
  Protocol,
  Storage,
  Cancelled,
  Internal,
};

template<>
struct EnumTable<ErrorKind>
{
  static constexpr std::array<EnumName<ErrorKind>, 15> kRows{ {
    { ErrorKind::InvalidSettings, "invalid_settings" },
    { ErrorKind::InvalidDocument, "invalid_document" },
    { ErrorKind::InvalidRequest, "invalid_request" },
    { ErrorKind::NotFound, "not_found" },
    { ErrorKind::Unauthorized, "unauthorized" },
    { ErrorKind::Forbidden, "forbidden" },
    { ErrorKind::Conflict, "conflict" },
    { ErrorKind::Overloaded, "overloaded" },
    { ErrorKind::DeadlineExceeded, "deadline_exceeded" },
    { ErrorKind::Unavailable, "unavailable" },
    { ErrorKind::NoQuorum, "no_quorum" },
    { ErrorKind::Protocol, "protocol" },
    { ErrorKind::Storage, "storage" },
    { ErrorKind::Cancelled, "cancelled" },
    { ErrorKind::Internal, "internal" },
  } };
};

/// @param aKind stored in the status as a payload, which KindOf() reads.
/// @param aMessage describes the error and how to correct it.
absl::Status MakeError(ErrorKind aKind, std::string_view aMessage);

/// @return the kind that MakeError() stored in @p aStatus; Internal when the
/// status was not created by MakeError(). @p aStatus must not be ok.
ErrorKind KindOf(const absl::Status& aStatus);

} // namespace foxtail

#endif // CORE_ERROR_H
