#ifndef FORWARD_PENDINGREQUEST_H
#define FORWARD_PENDINGREQUEST_H

#include "core/Time.h"

namespace foxtail {

/// A request that has been accepted from a caller and not been answered yet.
class PendingRequest
{
public:
  virtual ~PendingRequest() = default;
  /// Abandons the request without an answer, because the caller has closed its
  /// connection.
  virtual void OnCallerDisconnected(TimePoint aNow) = 0;
  /// Ends the request with what it has by @p aAnswerBy, as the instance is
  /// stopping.
  virtual void LimitAnswerTime(TimePoint aAnswerBy, TimePoint aNow) = 0;
};

} // namespace foxtail

#endif // FORWARD_PENDINGREQUEST_H
