#include "core/FileWatch.h"

#include "core/JsonReader.h"

namespace foxtail {

FileWatch::FileWatch(boost::asio::io_context& aContext,
                     std::string aPath,
                     milliseconds aInterval)
  : path_(std::move(aPath))
  , interval_(aInterval)
  , timer_(aContext)
{
}

void FileWatch::Start(std::function<void()> aOnChange)
{
  onChange_ = std::move(aOnChange);
  text_ = ReadFile(path_).value_or("");
  ScheduleRead();
}

void FileWatch::Stop()
{
  timer_.cancel();
}

void FileWatch::ScheduleRead()
{
  timer_.expires_after(interval_);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    auto text = ReadFile(path_);
    if (text.ok() && *text != text_) {
      text_ = *std::move(text);
      onChange_();
    }
    ScheduleRead();
  });
}

} // namespace foxtail
