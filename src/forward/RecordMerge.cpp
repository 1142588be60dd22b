#include "forward/RecordMerge.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace foxtail {

std::string MergeTopRecords(const std::vector<std::string_view>& aParts,
                            size_t aMaxRecords)
{
  std::vector<std::string_view> records;
  for (const std::string_view part : aParts) {
    for (size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  const size_t count = std::min(aMaxRecords, records.size());
  // std::string_view compares bytes as unsigned characters.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(count),
                    records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (size_t i = 0; i < count; ++i) {
    merged += records[i];
  }
  return merged;
}

} // namespace foxtail
