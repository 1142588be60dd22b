#ifndef BACKEND_REPORTEDLOAD_H
#define BACKEND_REPORTEDLOAD_H

#include "policy/Announcement.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace foxtail {

/// Load that a backend server reports on a reply.
struct ReportedLoad
{
  uint32_t inFlight_ = 0;
  uint32_t queued_ = 0;
  uint32_t slots_ = 0;
  BackendState state_ = BackendState::Ready;

  /// Parses a Foxtail-Load header such as
  /// "in_flight=2 queued=0 slots=3 state=ready". Members may be missing and
  /// unknown ones are skipped.
  ///
  /// @return nothing when a member has no usable value.
  static std::optional<ReportedLoad> Parse(std::string_view aText);
};

} // namespace foxtail

#endif // BACKEND_REPORTEDLOAD_H
