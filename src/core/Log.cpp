#include "core/Log.h"

#include "core/Time.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace foxtail {
namespace {

// Queues lines for its writer thread, the only thread that calls log4cxx.
class LogWriter
{
public:
  LogWriter(log4cxx::LoggerPtr aLogger, size_t aQueueLines)
    : logger_(std::move(aLogger))
    , queueLines_(aQueueLines)
    , thread_([this] { Run(); })
  {
  }

  ~LogWriter()
  {
    {
      const std::lock_guard lock(mutex_);
      isStopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }

  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void Push(std::string aLine)
  {
    bool wasEmpty = false;
    {
      const std::lock_guard lock(mutex_);
      if (queue_.size() >= queueLines_) {
        dropped_.fetch_add(1, std::memory_order_relaxed);
        return;
      }
      wasEmpty = queue_.empty();
      queue_.push_back(std::move(aLine));
    }
    if (wasEmpty) {
      wake_.notify_one();
    }
  }

  uint64_t Dropped() const { return dropped_.load(std::memory_order_relaxed); }

private:
  void Run()
  {
    std::vector<std::string> batch;
    bool isStopping = false;
    while (!isStopping) {
      {
        std::unique_lock lock(mutex_);
        wake_.wait(lock, [this] { return isStopping_ || !queue_.empty(); });
        batch.swap(queue_);
        isStopping = isStopping_;
      }
      for (const std::string& line : batch) {
        logger_->forcedLog(log4cxx::Level::getInfo(), line);
      }
      batch.clear();
    }
  }

  log4cxx::LoggerPtr logger_;
  const size_t queueLines_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::string> queue_;
  bool isStopping_ = false;
  std::atomic<uint64_t> dropped_{ 0 };
  std::thread thread_;
};

std::unique_ptr<LogWriter> sWriter;
std::atomic<LogLevel> sLevel{ LogLevel::Info };
std::string sProgram;

} // namespace

LogSettings LogSettings::Read(JsonReader& aReader)
{
  constexpr int64_t kMaxQueueLines = 1 << 20;
  LogSettings settings;
  settings.level_ = aReader.Enum("level", settings.level_);
  settings.file_ = aReader.String("file", settings.file_);
  settings.queueLines_ = static_cast<size_t>(
    aReader.Integer("queue_lines",
                    static_cast<int64_t>(settings.queueLines_),
                    1,
                    kMaxQueueLines));
  return settings;
}

absl::Status StartLog(const LogSettings& aSettings, std::string_view aProgram)
{
  // Each line is already complete JSON, so log4cxx adds only the newline.
  auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  log4cxx::AppenderPtr appender;
  const bool isStandardOutput = aSettings.file_ == "stdout";
  if (aSettings.file_.empty() || isStandardOutput) {
    appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout,
      isStandardOutput ? log4cxx::ConsoleAppender::getSystemOut()
                       : log4cxx::ConsoleAppender::getSystemErr());
  } else {
    if (FILE* file = std::fopen(aSettings.file_.c_str(), "a")) {
      std::fclose(file);
    } else {
      return MakeError(ErrorKind::InvalidSettings,
                       "settings: /log/file " + aSettings.file_ +
                         " cannot be opened; give a file in a folder that "
                         "exists and may be written");
    }
    appender =
      std::make_shared<log4cxx::FileAppender>(layout, aSettings.file_, true);
  }
  auto logger = log4cxx::Logger::getLogger("foxtail");
  logger->removeAllAppenders();
  logger->addAppender(appender);
  logger->setAdditivity(false);
  sProgram = aProgram;
  sLevel = aSettings.level_;
  sWriter = std::make_unique<LogWriter>(logger, aSettings.queueLines_);
  return absl::OkStatus();
}

void StopLog()
{
  sWriter.reset();
}

uint64_t DroppedLogLines()
{
  return sWriter ? sWriter->Dropped() : 0;
}

bool IsLogged(LogLevel aLevel)
{
  return sWriter != nullptr && aLevel >= sLevel.load(std::memory_order_relaxed);
}

LogLine::LogLine(LogLevel aLevel, std::string_view aEvent)
  : isLogged_(IsLogged(aLevel))
  , level_(aLevel)
{
  if (!isLogged_) {
    return;
  }
  constexpr size_t kTypicalLineBytes = 384;
  text_.reserve(kTypicalLineBytes);
  text_ = R"({"time":")";
  text_ += FormatWallTime(std::chrono::system_clock::now());
  text_ += R"(","level":")";
  text_ += NameOf(level_);
  text_ += R"(","program":)";
  AppendJsonString(text_, sProgram);
  Add("event", aEvent);
}

LogLine::~LogLine()
{
  if (!isLogged_ || !sWriter) {
    return;
  }
  text_ += '}';
  sWriter->Push(std::move(text_));
}

LogLine& LogLine::Add(std::string_view aName, std::string_view aValue)
{
  if (isLogged_) {
    text_ += ',';
    AppendJsonString(text_, aName);
    text_ += ':';
    AppendJsonString(text_, aValue);
  }
  return *this;
}

LogLine& LogLine::Add(std::string_view aName, double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", aValue);
  return AddRaw(aName, text.data());
}

LogLine& LogLine::Add(std::string_view aName, bool aValue)
{
  return AddRaw(aName, aValue ? "true" : "false");
}

LogLine& LogLine::Add(std::string_view aName, const absl::Status& aStatus)
{
  if (!aStatus.ok()) {
    Add("error_kind", NameOf(KindOf(aStatus)));
  }
  return Add(aName, std::string(aStatus.message()));
}

LogLine& LogLine::AddRaw(std::string_view aName, std::string_view aJson)
{
  if (isLogged_) {
    text_ += ',';
    AppendJsonString(text_, aName);
    text_ += ':';
    text_ += aJson;
  }
  return *this;
}

void AppendJsonString(std::string& aOut, std::string_view aText)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  aOut += '"';
  for (const char c : aText) {
    switch (c) {
      case '"':
        aOut += "\\\"";
        break;
      case '\\':
        aOut += "\\\\";
        break;
      case '\n':
        aOut += "\\n";
        break;
      case '\r':
        aOut += "\\r";
        break;
      case '\t':
        aOut += "\\t";
        break;
      default:
        if (static_cast<unsigned char>(c) < kFirstPrintable) {
          std::array<char, 8> escape{};
          std::snprintf(escape.data(),
                        escape.size(),
                        "\\u%04x",
                        static_cast<unsigned>(static_cast<unsigned char>(c)));
          aOut += escape.data();
        } else {
          aOut += c;
        }
    }
  }
  aOut += '"';
}

} // namespace foxtail
