#ifndef FORWARD_RECORDMERGE_H
#define FORWARD_RECORDMERGE_H

#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

/// Size of one record.
constexpr size_t kRecordBytes = 16;

/// Merges the records of several parts.
///
/// @param aParts records in any order, concatenated; trailing bytes shorter
/// than a record are ignored.
/// @param aMaxRecords maximum number of records in the result.
/// @return the greatest records in descending order of their bytes; equal
/// records are all kept.
std::string MergeTopRecords(const std::vector<std::string_view>& aParts,
                            size_t aMaxRecords);

} // namespace foxtail

#endif // FORWARD_RECORDMERGE_H
