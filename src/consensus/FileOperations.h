#ifndef CONSENSUS_FILEOPERATIONS_H
#define CONSENSUS_FILEOPERATIONS_H

#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace foxtail {

/// File operations that write and sync data; tests override them to inject
/// failures.
class FileOperations
{
public:
  virtual ~FileOperations() = default;

  /// Writes all of @p aData at byte @p aOffset.
  ///
  /// @return Storage when not all of the data could be written.
  virtual absl::Status WriteAt(int aFile,
                               std::string_view aData,
                               uint64_t aOffset);
  /// Flushes the file's data to stable storage (fdatasync).
  ///
  /// @return Storage when the sync failed.
  virtual absl::Status Sync(int aFile);
};

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor
{
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int aFile)
    : file_(aFile)
  {
  }
  ~FileDescriptor() { Close(); }
  FileDescriptor(FileDescriptor&& aOther) noexcept;
  FileDescriptor& operator=(FileDescriptor&& aOther) noexcept;

  int Get() const { return file_; }
  bool IsOpen() const { return file_ >= 0; }
  void Close();

private:
  int file_ = -1;
};

/// @param aAction what failed, such as "open".
/// @return a Storage error with the text of errno.
absl::Status MakeFileError(const std::string& aAction,
                           const std::string& aPath);

/// Syncs a folder, so that files created or renamed in it survive a crash.
absl::Status SyncFolder(const std::string& aFolder);

/// Removes what ReplaceFile() left of a file when its process was killed.
void RemoveTemporaryFile(const std::string& aFolder, const std::string& aName);

/// Replaces a file atomically and durably: after a crash it has either the old
/// or the new content. Leaves no temporary file when it fails.
absl::Status ReplaceFile(FileOperations& aOperations,
                         const std::string& aFolder,
                         const std::string& aName,
                         std::string_view aData);

} // namespace foxtail

#endif // CONSENSUS_FILEOPERATIONS_H
