#ifndef POLICY_LINKBACKLOG_H
#define POLICY_LINKBACKLOG_H

#include "core/Time.h"

#include <cstddef>

namespace foxtail {

struct LinkSettings
{
  /// Bit rate of the machine's network link, Mbit/s. 0: unknown; transmission
  /// then counts as instantaneous.
  double megabitsPerSecond_ = 0;
};

/// Estimates how long written bytes wait for the machine's network link. The
/// requests of a query to many shards are written at once and leave one after
/// the other; an answer written meanwhile leaves after them. Not thread safe.
class LinkBacklog
{
public:
  explicit LinkBacklog(LinkSettings aSettings);

  /// Counts one message of @p aBytes that is written to a connection now.
  void OnWrite(size_t aBytes, TimePoint aNow);

  /// @return the time from a write at @p aNow of @p aBytes until its last byte
  /// has left the machine.
  Duration DelayOf(size_t aBytes, TimePoint aNow) const;

private:
  Duration TransmissionTime(size_t aBytes) const;

  LinkSettings settings_;
  /// When the last byte written so far will have left.
  TimePoint freeAt_{};
};

} // namespace foxtail

#endif // POLICY_LINKBACKLOG_H
