#ifndef CONSENSUS_FILEOPERATIONS_H
#define CONSENSUS_FILEOPERATIONS_H

#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace foxtail {

/// The calls by which data reaches a disk, so that a test can let them fail.
class FileOperations
{
public:
  virtual ~FileOperations() = default;

  /// Writes all of @p aData at @p aOffset.
  ///
  /// @return Storage when a part could not be written.
  virtual absl::Status WriteAt(int aFile,
                               std::string_view aData,
                               uint64_t aOffset);
  /// Syncs the file's data.
  virtual absl::Status Sync(int aFile);
};

/// An open file. Closes it when destroyed.
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

/// @return a Storage error with the system's reason.
absl::Status MakeFileError(const std::string& aAction,
                           const std::string& aPath);

/// Syncs a folder, so that names made or changed in it last.
absl::Status SyncFolder(const std::string& aFolder);

/// Replaces a file durably: the old or the new content survives any crash.
absl::Status ReplaceFile(FileOperations& aOperations,
                         const std::string& aFolder,
                         const std::string& aName,
                         std::string_view aData);

} // namespace foxtail

#endif // CONSENSUS_FILEOPERATIONS_H
