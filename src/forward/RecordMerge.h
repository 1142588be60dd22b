#ifndef FORWARD_RECORDMERGE_H
#define FORWARD_RECORDMERGE_H

#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

/// Bytes of one record of a part.
constexpr size_t kRecordBytes = 16;

/// Merges the records of many parts.
///
/// @param aParts each a row of records in any order; a rest that is shorter
/// than a record is left out.
/// @param aMaxRecords records in the result at most.
/// @return the greatest records, compared byte by byte, greatest first; equal
/// ones each count.
std::string MergeTopRecords(const std::vector<std::string_view>& aParts,
                            size_t aMaxRecords);

} // namespace foxtail

#endif // FORWARD_RECORDMERGE_H
