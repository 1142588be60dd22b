#ifndef CORE_FILEWATCH_H
#define CORE_FILEWATCH_H

#include "core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace foxtail {

/// Detects changes to the contents of a small file, for settings that may
/// change without a signal. The file is polled, because not every file system
/// reports changes and the file may be replaced by another one. Not thread
/// safe.
class FileWatch
{
public:
  /// @param aInterval pause between two reads of the file.
  FileWatch(boost::asio::io_context& aContext,
            std::string aPath,
            milliseconds aInterval);

  /// Starts polling; changes are relative to the contents at this time. A file
  /// that cannot be read counts as unchanged, as it may be about to be
  /// replaced.
  ///
  /// @param aOnChange called on the io_context after each change.
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
