#ifndef OPERATOR_DOCUMENTMERGE_H
#define OPERATOR_DOCUMENTMERGE_H

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace foxtail {

struct MergedDocument
{
  boost::json::value document_;
  /// Rows that both sides changed differently, such as services/agronomy-desk.
  /// Mine stand in the document, for the operator to review.
  std::vector<std::string> conflicts_;
};

/// Carries a draft over to a newer document, row by row: rows that only one
/// side changed take that side's.
///
/// @param aBase the document that the draft was made from.
/// @param aMine the draft; it may have faults, even rows without a name.
/// @param aTheirs the newer document.
MergedDocument MergeDocuments(const boost::json::value& aBase,
                              const boost::json::value& aMine,
                              const boost::json::value& aTheirs);

} // namespace foxtail

#endif // OPERATOR_DOCUMENTMERGE_H
