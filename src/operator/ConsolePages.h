#ifndef OPERATOR_CONSOLEPAGES_H
#define OPERATOR_CONSOLEPAGES_H

#include "operator/AdminClient.h"
#include "operator/ConsoleSession.h"
#include "operator/DocumentDiff.h"
#include "operator/FormFields.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

/// One row of the draft, as a form edits it.
struct RowEdit
{
  DocumentSection section_ = DocumentSection::Services;
  /// Index of the row, or that after the last for a new one.
  size_t index_ = 0;
  bool isNew_ = true;
  /// Name that the row had when the form was shown.
  std::string was_;
  boost::json::object row_;
  /// Teams to choose from.
  std::vector<std::string> teams_;
  /// Faults of this row, with whole paths.
  std::vector<JsonFault> faults_;
};

/// The console's pages: plain HTML forms that need no script. Each is a pure
/// function of what it shows.
std::string LoginPage(std::string_view aMessage);
std::string OverviewPage(const ConsoleSession& aSession,
                         const std::vector<JsonFault>& aFaults,
                         std::string_view aMessage);
std::string RowPage(const ConsoleSession& aSession, const RowEdit& aEdit);
std::string ReviewPage(const ConsoleSession& aSession,
                       const std::vector<DocumentChange>& aChanges,
                       const std::vector<JsonFault>& aFaults);
std::string ResultPage(const ConsoleSession& aSession,
                       const ApplyResult& aResult);
/// @param aChanges body of the API's history.
std::string HistoryPage(const ConsoleSession& aSession,
                        const boost::json::value& aChanges);
std::string StatusPage(const ConsoleSession& aSession,
                       const boost::json::value& aStatus);
/// @param aEvacuations body of the API's evacuations.
std::string EvacuationsPage(const ConsoleSession& aSession,
                            const boost::json::value& aEvacuations,
                            std::string_view aMessage);
std::string MessagePage(std::string_view aTitle, std::string_view aMessage);

/// @return the style sheet that the pages name.
std::string_view ConsoleStyle();

} // namespace foxtail

#endif // OPERATOR_CONSOLEPAGES_H
