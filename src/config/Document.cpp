#include "config/Document.h"

#include <algorithm>
#include <set>

namespace foxtail {
namespace {

constexpr size_t kMaxTeams = 1000;
constexpr size_t kMaxServices = 20000;
constexpr size_t kMaxCatalogues = 256;
constexpr size_t kMaxRegions = 100;
constexpr size_t kMaxZones = 100;
constexpr int64_t kMaxAttempts = 16;
constexpr milliseconds kShortestDeadline{ 1 };
constexpr milliseconds kLongestDeadline{ 120000 };
constexpr int64_t kMaxQueueLength = 100000;
constexpr int64_t kMaxWeight = 1000;
constexpr int64_t kMaxRate = 10000000;
constexpr double kMaxPercent = 100;

bool IsName(std::string_view aText)
{
  const auto isAllowed = [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') ||
           aChar == '-' || aChar == '_' || aChar == '.';
  };
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), isAllowed);
}

std::string ReadName(JsonReader& aReader, std::string_view aMember)
{
  constexpr size_t kMaxNameBytes = 64;
  std::string name = aReader.RequiredString(aMember, kMaxNameBytes);
  if (!name.empty() && !IsName(name)) {
    aReader.Fault(aMember,
                  "has other characters; use a-z, 0-9, dot, dash, underscore");
  }
  return name;
}

void CheckDeadlines(JsonReader& aReader, const ServiceSettings& aService)
{
  if (aService.deadline_ > aService.maxDeadline_) {
    aReader.Fault("deadline_ms",
                  "is above max_deadline_ms; give a smaller deadline");
  }
  if (aService.patience_ == Patience::Prompt &&
      aService.softDeadline_ >= aService.deadline_) {
    aReader.Fault("soft_deadline_ms",
                  "is not below deadline_ms; a prompt service answers at the "
                  "soft deadline, give a smaller one");
  }
}

void ReadCatalogues(JsonReader& aReader, ServiceSettings& aService)
{
  std::set<std::string> seen;
  for (std::string& name : aReader.Strings("catalogues", kMaxCatalogues)) {
    if (!seen.insert(name).second) {
      aReader.Fault("catalogues", "names " + name + " twice; keep one");
    }
    aService.catalogues_.emplace_back(std::move(name));
  }
  if (aService.catalogues_.empty()) {
    aReader.Fault("catalogues", "is empty; name at least one catalogue");
  }
  if (aService.kind_ == ServiceKind::Action &&
      aService.catalogues_.size() > 1) {
    aReader.Fault("catalogues",
                  "has several entries; an action runs at one place, name one");
  }
}

Region ReadRegion(JsonReader& aReader)
{
  Region region;
  region.name_ = ReadName(aReader, "name");
  for (std::string& zone : aReader.Strings("zones", kMaxZones)) {
    region.zones_.emplace_back(std::move(zone));
  }
  if (region.zones_.empty()) {
    aReader.Fault("zones", "is empty; name at least one availability zone");
  }
  return region;
}

void CheckRegions(const std::vector<Region>& aRegions, JsonFaults& aFaults)
{
  std::set<std::string> regions;
  std::set<std::string> zones;
  for (size_t i = 0; i < aRegions.size(); ++i) {
    const std::string path = "/regions/" + std::to_string(i);
    if (!regions.insert(aRegions[i].name_).second) {
      aFaults.Add(path + "/name",
                  "\"" + aRegions[i].name_ +
                    "\" is used before; give another name");
    }
    for (const ZoneName& zone : aRegions[i].zones_) {
      if (!zones.insert(zone.Value()).second) {
        aFaults.Add(path + "/zones",
                    "names " + zone.Value() +
                      " again; an availability zone is in one region");
      }
    }
  }
}

template<typename Row>
void CheckUnique(const std::vector<Row>& aRows,
                 std::string_view aMember,
                 JsonFaults& aFaults)
{
  std::set<std::string> seen;
  for (size_t i = 0; i < aRows.size(); ++i) {
    const std::string& name = aRows[i].name_.Value();
    if (!name.empty() && !seen.insert(name).second) {
      aFaults.Add("/" + std::string(aMember) + "/" + std::to_string(i) +
                    "/name",
                  "\"" + name + "\" is used before; give another name");
    }
  }
}

void CheckTeams(const Document& aDocument, JsonFaults& aFaults)
{
  for (size_t i = 0; i < aDocument.services_.size(); ++i) {
    const TeamName& team = aDocument.services_[i].team_;
    if (!team.Value().empty() && aDocument.FindTeam(team) == nullptr) {
      aFaults.Add("/services/" + std::to_string(i) + "/team",
                  "\"" + team.Value() +
                    "\" is not among /teams; add the team or correct the name");
    }
  }
}

} // namespace

ServiceSettings ServiceSettings::Read(JsonReader& aReader)
{
  ServiceSettings service;
  service.name_ = ServiceName(ReadName(aReader, "name"));
  service.team_ = TeamName(ReadName(aReader, "team"));
  service.kind_ = aReader.Enum("kind", service.kind_);
  ReadCatalogues(aReader, service);
  service.patience_ = aReader.Enum("patience", service.patience_);
  service.deadline_ = aReader.Millis(
    "deadline_ms", service.deadline_, kShortestDeadline, kLongestDeadline);
  service.maxDeadline_ =
    aReader.Millis("max_deadline_ms",
                   std::max(service.deadline_, service.maxDeadline_),
                   kShortestDeadline,
                   kLongestDeadline);
  service.softDeadline_ = aReader.Millis("soft_deadline_ms",
                                         service.softDeadline_,
                                         kShortestDeadline,
                                         kLongestDeadline);
  service.hedgeBudgetPercent_ = aReader.Number(
    "hedge_budget_percent", service.hedgeBudgetPercent_, 0, kMaxPercent);
  service.hedgeQuantile_ =
    aReader.Number("hedge_quantile", service.hedgeQuantile_, 0.5, 0.9999);
  service.retryBudgetPercent_ = aReader.Number(
    "retry_budget_percent", service.retryBudgetPercent_, 0, kMaxPercent);
  service.minCoveragePercent_ = aReader.Number(
    "min_coverage_percent", service.minCoveragePercent_, 0, kMaxPercent);
  service.maxAttempts_ = static_cast<uint32_t>(
    aReader.Integer("max_attempts", service.maxAttempts_, 1, kMaxAttempts));
  service.queueLength_ = static_cast<uint32_t>(
    aReader.Integer("queue_length", service.queueLength_, 0, kMaxQueueLength));
  CheckDeadlines(aReader, service);
  return service;
}

TeamSettings TeamSettings::Read(JsonReader& aReader)
{
  TeamSettings team;
  team.name_ = TeamName(ReadName(aReader, "name"));
  team.weight_ = static_cast<uint32_t>(
    aReader.Integer("weight", team.weight_, 1, kMaxWeight));
  team.requestsPerSecond_ = static_cast<uint32_t>(aReader.Integer(
    "requests_per_second", team.requestsPerSecond_, 0, kMaxRate));
  return team;
}

Document Document::Parse(const boost::json::value& aValue, JsonFaults& aFaults)
{
  Document document;
  JsonReader reader(aValue, "", aFaults);
  reader.Objects("teams", kMaxTeams, [&](JsonReader& aTeam) {
    document.teams_.push_back(TeamSettings::Read(aTeam));
  });
  reader.Objects("services", kMaxServices, [&](JsonReader& aService) {
    document.services_.push_back(ServiceSettings::Read(aService));
  });
  reader.Objects("regions", kMaxRegions, [&](JsonReader& aRegion) {
    document.regions_.push_back(ReadRegion(aRegion));
  });
  reader.Finish();
  CheckRegions(document.regions_, aFaults);
  CheckUnique(document.teams_, "teams", aFaults);
  CheckUnique(document.services_, "services", aFaults);
  CheckTeams(document, aFaults);
  return document;
}

const ServiceSettings* Document::Find(std::string_view aService) const
{
  const auto found = std::find_if(
    services_.begin(), services_.end(), [&](const ServiceSettings& aRow) {
      return aRow.name_.Value() == aService;
    });
  return found == services_.end() ? nullptr : &*found;
}

const TeamSettings* Document::FindTeam(const TeamName& aTeam) const
{
  const auto found =
    std::find_if(teams_.begin(), teams_.end(), [&](const TeamSettings& aRow) {
      return aRow.name_ == aTeam;
    });
  return found == teams_.end() ? nullptr : &*found;
}

absl::StatusOr<Document> ParseDocument(std::string_view aText)
{
  const auto value = ParseJson(aText, "document", ErrorKind::InvalidDocument);
  if (!value.ok()) {
    return value.status();
  }
  JsonFaults faults;
  Document document = Document::Parse(*value, faults);
  if (!faults.IsEmpty()) {
    return faults.ToStatus(ErrorKind::InvalidDocument, "document");
  }
  return document;
}

boost::json::value ToJson(const Document& aDocument)
{
  boost::json::array teams;
  for (const TeamSettings& team : aDocument.teams_) {
    teams.push_back({ { "name", team.name_.Value() },
                      { "weight", team.weight_ },
                      { "requests_per_second", team.requestsPerSecond_ } });
  }
  boost::json::array services;
  for (const ServiceSettings& service : aDocument.services_) {
    boost::json::array catalogues;
    for (const CatalogueName& catalogue : service.catalogues_) {
      catalogues.emplace_back(catalogue.Value());
    }
    services.push_back(
      { { "name", service.name_.Value() },
        { "team", service.team_.Value() },
        { "kind", std::string(NameOf(service.kind_)) },
        { "catalogues", std::move(catalogues) },
        { "patience", std::string(NameOf(service.patience_)) },
        { "deadline_ms", service.deadline_.count() },
        { "max_deadline_ms", service.maxDeadline_.count() },
        { "soft_deadline_ms", service.softDeadline_.count() },
        { "hedge_budget_percent", service.hedgeBudgetPercent_ },
        { "hedge_quantile", service.hedgeQuantile_ },
        { "retry_budget_percent", service.retryBudgetPercent_ },
        { "min_coverage_percent", service.minCoveragePercent_ },
        { "max_attempts", service.maxAttempts_ },
        { "queue_length", service.queueLength_ } });
  }
  boost::json::array regions;
  for (const Region& region : aDocument.regions_) {
    boost::json::array zones;
    for (const ZoneName& zone : region.zones_) {
      zones.emplace_back(zone.Value());
    }
    regions.push_back(
      { { "name", region.name_ }, { "zones", std::move(zones) } });
  }
  return { { "teams", std::move(teams) },
           { "services", std::move(services) },
           { "regions", std::move(regions) } };
}

} // namespace foxtail
