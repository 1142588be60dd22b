#include "consensus/FileOperations.h"

#include "core/Error.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace foxtail {
namespace {

constexpr mode_t kFileMode = 0600;

std::string TemporaryPathOf(const std::string& aFolder,
                            const std::string& aName)
{
  return aFolder + "/" + aName + ".new";
}

} // namespace

absl::Status MakeFileError(const std::string& aAction, const std::string& aPath)
{
  return MakeError(ErrorKind::Storage,
                   "cannot " + aAction + " " + aPath + ": " +
                     std::strerror(errno) +
                     "; check the disk and the owner of the folder, then "
                     "restart");
}

absl::Status FileOperations::WriteAt(int aFile,
                                     std::string_view aData,
                                     uint64_t aOffset)
{
  while (!aData.empty()) {
    const ssize_t written =
      ::pwrite(aFile, aData.data(), aData.size(), static_cast<off_t>(aOffset));
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return MakeFileError("write", "the log");
    }
    aData.remove_prefix(static_cast<size_t>(written));
    aOffset += static_cast<uint64_t>(written);
  }
  return absl::OkStatus();
}

absl::Status FileOperations::Sync(int aFile)
{
  if (::fdatasync(aFile) != 0) {
    return MakeFileError("sync", "the log");
  }
  return absl::OkStatus();
}

FileDescriptor::FileDescriptor(FileDescriptor&& aOther) noexcept
  : file_(std::exchange(aOther.file_, -1))
{
}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& aOther) noexcept
{
  if (this != &aOther) {
    Close();
    file_ = std::exchange(aOther.file_, -1);
  }
  return *this;
}

void FileDescriptor::Close()
{
  if (file_ >= 0) {
    ::close(file_);
    file_ = -1;
  }
}

absl::Status SyncFolder(const std::string& aFolder)
{
  const FileDescriptor folder(
    ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.IsOpen() || ::fsync(folder.Get()) != 0) {
    return MakeFileError("sync", aFolder);
  }
  return absl::OkStatus();
}

void RemoveTemporaryFile(const std::string& aFolder, const std::string& aName)
{
  ::unlink(TemporaryPathOf(aFolder, aName).c_str());
}

absl::Status ReplaceFile(FileOperations& aOperations,
                         const std::string& aFolder,
                         const std::string& aName,
                         std::string_view aData)
{
  const std::string path = aFolder + "/" + aName;
  const std::string temporaryPath = TemporaryPathOf(aFolder, aName);
  const FileDescriptor file(::open(temporaryPath.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                                   kFileMode));
  if (!file.IsOpen()) {
    return MakeFileError("create", temporaryPath);
  }
  auto status = aOperations.WriteAt(file.Get(), aData, 0);
  if (status.ok()) {
    status = aOperations.Sync(file.Get());
  }
  if (!status.ok()) {
    // A full disk needs the room.
    RemoveTemporaryFile(aFolder, aName);
    return status;
  }
  if (::rename(temporaryPath.c_str(), path.c_str()) != 0) {
    return MakeFileError("rename", temporaryPath);
  }
  return SyncFolder(aFolder);
}

} // namespace foxtail
