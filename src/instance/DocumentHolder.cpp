#include "instance/DocumentHolder.h"

#include "core/Log.h"

namespace foxtail {

DocumentHolder::DocumentHolder(RcuCell<Document>& aCell)
  : cell_(aCell)
{
}

DocumentApplyResult DocumentHolder::Apply(const VersionedText& aDocument)
{
  if (aDocument.version_ <= Version()) {
    return DocumentApplyResult::NotNewer;
  }
  // Parsing is slow, so the mutex is not held for it. The version is compared
  // again below.
  auto document = ParseDocument(aDocument.text_);
  if (!document.ok()) {
    LogLine(LogLevel::Error, "document_invalid")
      .Add("version", aDocument.version_)
      .Add("error", document.status());
    return DocumentApplyResult::Invalid;
  }
  document->version_ = aDocument.version_;
  const std::lock_guard lock(mutex_);
  if (aDocument.version_ <= current_.version_) {
    return DocumentApplyResult::NotNewer;
  }
  current_ = aDocument;
  cell_.Publish(std::make_shared<const Document>(std::move(*document)));
  LogLine(LogLevel::Info, "document_in_force")
    .Add("version", aDocument.version_)
    .Add("bytes", aDocument.text_.size());
  return DocumentApplyResult::Applied;
}

DocumentVersion DocumentHolder::Version() const
{
  const std::lock_guard lock(mutex_);
  return current_.version_;
}

VersionedText DocumentHolder::Get() const
{
  const std::lock_guard lock(mutex_);
  return current_;
}

} // namespace foxtail
