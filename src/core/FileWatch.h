#ifndef CORE_FILEWATCH_H
#define CORE_FILEWATCH_H

#include "core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace foxtail {

/// Notices that a small file has another text than before, for settings that
/// may change without a signal. It reads the file again and again: not all
/// systems tell of changes, and a file may be replaced by another. One
/// thread's.
class FileWatch
{
public:
  /// @param aInterval pause between two looks.
  FileWatch(boost::asio::io_context& aContext,
            std::string aPath,
            milliseconds aInterval);

  /// Begins to look; the text at this time is the known one. A file that cannot
  /// be read counts as unchanged: it may be about to be replaced.
  void Start(std::function<void()> aOnChange);
  void Stop();

private:
  void ScheduleRead();

  const std::string path_;
  const milliseconds interval_;
  boost::asio::steady_timer timer_;
  std::string text_;
  std::function<void()> onChange_;
};

} // namespace foxtail

#endif // CORE_FILEWATCH_H
