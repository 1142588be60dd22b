#include "consensus/DataFolder.h"

#include "core/Error.h"
#include "core/JsonReader.h"
#include "core/RandomSource.h"

#include <charconv>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>

namespace foxtail {
namespace {

constexpr const char* kIdentityFileName = "identity";
constexpr mode_t kFileMode = 0600;
/// Incarnations have 53 bits, so that JSON readers that store numbers as
/// doubles read them exactly.
constexpr int kBitsBeyondDoublePrecision = 11;

} // namespace

absl::StatusOr<DataFolder> DataFolder::Open(const std::string& aPath)
{
  std::error_code error;
  std::filesystem::create_directories(aPath, error);
  if (error) {
    return MakeError(ErrorKind::Storage,
                     "cannot create the data folder " + aPath + ": " +
                       error.message() +
                       "; check that its parent folder exists and is writable");
  }
  DataFolder folder;
  folder.path_ = aPath;
  const std::string lock = aPath + "/lock";
  folder.lock_ = FileDescriptor(
    ::open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!folder.lock_.IsOpen()) {
    return MakeFileError("open", lock);
  }
  if (::flock(folder.lock_.Get(), LOCK_EX | LOCK_NB) != 0) {
    return MakeError(ErrorKind::Storage,
                     "another process uses the data folder " + aPath +
                       "; stop that process first, or set another data folder");
  }
  if (auto status = folder.LoadOrCreateIncarnation(); !status.ok()) {
    return status;
  }
  return folder;
}

absl::Status DataFolder::LoadOrCreateIncarnation()
{
  const std::string path = path_ + "/" + kIdentityFileName;
  if (std::filesystem::exists(path)) {
    const auto text = ReadFile(path);
    if (!text.ok()) {
      return text.status();
    }
    uint64_t value = 0;
    const auto result =
      std::from_chars(text->data(), text->data() + text->size(), value);
    if (result.ec != std::errc() || value == 0) {
      return MakeError(ErrorKind::Storage,
                       path + " is damaged; move the data folder away and "
                              "start with an empty one");
    }
    incarnation_ = Incarnation(value);
    return absl::OkStatus();
  }
  if (std::filesystem::exists(path_ + "/log")) {
    return MakeError(ErrorKind::Storage,
                     path +
                       " is missing although the data folder has a log; move "
                       "the data folder away and start with an empty one");
  }
  isNew_ = true;
  incarnation_ =
    Incarnation((RandomSource::SystemSeed() >> kBitsBeyondDoublePrecision) | 1);
  FileOperations operations;
  return ReplaceFile(operations,
                     path_,
                     kIdentityFileName,
                     std::to_string(incarnation_.Value()) + "\n");
}

} // namespace foxtail
