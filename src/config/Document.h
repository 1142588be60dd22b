#ifndef CONFIG_DOCUMENT_H
#define CONFIG_DOCUMENT_H

#include "core/Ids.h"
#include "core/JsonReader.h"
#include "core/Time.h"
#include "policy/ZoneMap.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

enum class Patience
{
  /// Waits for every shard until the deadline.
  Complete,
  /// Answers at the soft deadline with what has arrived.
  Prompt,
};

template<>
struct EnumTable<Patience>
{
  static constexpr std::array<EnumName<Patience>, 2> kRows{ {
    { Patience::Complete, "complete" },
    { Patience::Prompt, "prompt" },
  } };
};

enum class ServiceKind
{
  /// Idempotent: may be hedged and retried.
  Query,
  /// Not idempotent: runs at most once.
  Action,
};

template<>
struct EnumTable<ServiceKind>
{
  static constexpr std::array<EnumName<ServiceKind>, 2> kRows{ {
    { ServiceKind::Query, "query" },
    { ServiceKind::Action, "action" },
  } };
};

/// One query or action service, as the operators configure it.
struct ServiceSettings
{
  ServiceName name_;
  TeamName team_;
  ServiceKind kind_ = ServiceKind::Query;
  /// Catalogues that a query spans; an action has exactly one.
  std::vector<CatalogueName> catalogues_;
  Patience patience_ = Patience::Complete;
  /// Deadline of a request that names none.
  milliseconds deadline_{ 1000 };
  /// Largest deadline that a request may ask for.
  milliseconds maxDeadline_{ 10000 };
  /// When a prompt service answers in part.
  milliseconds softDeadline_{ 200 };
  /// Hedged requests, as a percentage of the requests sent; 0 for none.
  double hedgeBudgetPercent_ = 4;
  /// Quantile of the learned latency after which a hedge is sent.
  double hedgeQuantile_ = 0.95;
  /// Retries, as a percentage of the requests sent.
  double retryBudgetPercent_ = 10;
  /// Coverage in percent that a prompt answer needs at its soft deadline; less
  /// is answered later, or at the deadline. One shard is needed in any case.
  double minCoveragePercent_ = 0;
  /// Attempts of one shard in one request, hedges and retries included.
  uint32_t maxAttempts_ = 4;
  /// Requests of this service that may wait in an entry instance.
  uint32_t queueLength_ = 64;

  static ServiceSettings Read(JsonReader& aReader);
};

/// One team's share of an entry instance.
struct TeamSettings
{
  TeamName name_;
  /// Share of an overloaded entry instance, relative to other teams.
  uint32_t weight_ = 1;
  /// Requests/s that the team may send to one entry instance; 0: no limit.
  uint32_t requestsPerSecond_ = 0;

  static TeamSettings Read(JsonReader& aReader);
};

/// The one configuration document of a deployment: accepted in full or refused.
struct Document
{
  /// Given by the control instances on acceptance; no part of the text.
  DocumentVersion version_;
  std::vector<TeamSettings> teams_;
  std::vector<ServiceSettings> services_;
  /// Availability zones that are near each other; see ZoneMap.
  std::vector<Region> regions_;

  /// Parses and validates the whole text.
  ///
  /// @param aFaults gets every fault, with its path and remedy.
  static Document Parse(const boost::json::value& aValue, JsonFaults& aFaults);

  /// @return the service, or null.
  const ServiceSettings* Find(std::string_view aService) const;
  const TeamSettings* FindTeam(const TeamName& aTeam) const;
};

/// Parses document text from a file, a form or the administration API.
///
/// @return InvalidDocument, naming each fault.
absl::StatusOr<Document> ParseDocument(std::string_view aText);

boost::json::value ToJson(const Document& aDocument);

} // namespace foxtail

#endif // CONFIG_DOCUMENT_H
