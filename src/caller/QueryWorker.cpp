#include "caller/QueryWorker.h"

#include "caller/ReplicaPicker.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Minimum number of shards from which FreeSlots() leaves out the shards with
/// the fewest free slots.
constexpr size_t kMinShardsForSkip = 3;

AdmissionSettings PerWorkerSettings(AdmissionSettings aSettings,
                                    size_t aWorkerCount)
{
  const auto divide = [&](uint32_t aValue) {
    return std::max<uint32_t>(1, aValue / static_cast<uint32_t>(aWorkerCount));
  };
  aSettings.concurrency_ = divide(aSettings.concurrency_);
  aSettings.maxQueued_ = divide(aSettings.maxQueued_);
  return aSettings;
}

} // namespace

QueryWorker::QueryWorker(size_t aIndex,
                         size_t aWorkerCount,
                         boost::asio::io_context& aContext,
                         BackendFleet& aFleet,
                         const RcuCell<Document>& aDocument,
                         CallerMetrics& aMetrics,
                         uint64_t aSeed)
  : index_(aIndex)
  , workerCount_(aWorkerCount)
  , fleet_(aFleet)
  , view_(aFleet.View())
  , document_(aDocument)
  , metrics_(aMetrics)
  , random_(aSeed)
  , attemptIds_(aSeed)
  , admissionController_(
      PerWorkerSettings(aFleet.Policy().admission_, aWorkerCount),
      aContext,
      [this](const ServiceName& aService) -> std::optional<uint32_t> {
        const ServiceSettings* service = GetDocument()->Find(aService.Value());
        return service == nullptr ? std::nullopt
                                  : std::optional(FreeSlots(*service));
      })
{
}

const std::shared_ptr<const Document>& QueryWorker::GetDocument()
{
  const std::shared_ptr<const Document>& document = document_.Get();
  if (document.get() != appliedDocument_) {
    appliedDocument_ = document.get();
    ApplyDocument(*document);
  }
  return document;
}

void QueryWorker::ApplyDocument(const Document& aDocument)
{
  std::vector<AdmissionTeam> teams;
  teams.reserve(aDocument.teams_.size());
  for (const TeamSettings& team : aDocument.teams_) {
    const uint32_t rate = team.requestsPerSecond_;
    // The team's rate is divided equally among the workers.
    const auto share =
      static_cast<uint32_t>((rate + workerCount_ - 1) / workerCount_);
    teams.push_back({ team.name_, team.weight_, share });
  }
  std::vector<AdmissionService> services;
  services.reserve(aDocument.services_.size());
  for (const ServiceSettings& service : aDocument.services_) {
    services.push_back({ service.name_, service.team_, service.queueLength_ });
  }
  admissionController_.Configure(teams, services);
  std::erase_if(services_, [&](const auto& aRow) {
    return aDocument.Find(aRow.first.Value()) == nullptr;
  });
  for (auto& [name, policies] : services_) {
    policies->Configure(*aDocument.Find(name.Value()));
  }
}

std::shared_ptr<ServicePolicies> QueryWorker::Service(
  const ServiceSettings& aService)
{
  std::shared_ptr<ServicePolicies>& policies = services_[aService.name_];
  if (!policies) {
    policies = std::make_shared<ServicePolicies>(
      Policy(), aService, metrics_.ForService(aService.name_));
  }
  return policies;
}

uint32_t QueryWorker::FreeSlots(const ServiceSettings& aService)
{
  const FleetView& view = *View();
  const TimePoint now = Now();
  std::vector<uint32_t> free;
  for (const CatalogueName& catalogue : aService.catalogues_) {
    const Layout* layout = view.FindChosen({ aService.name_, catalogue });
    for (size_t i = 0; layout != nullptr && i < layout->shards_.size(); ++i) {
      if (!layout->shards_[i].empty()) {
        free.push_back(FreeSlotsOf(Policy(), view, layout->shards_[i], now));
      }
    }
  }
  if (free.empty()) {
    return UINT32_MAX;
  }
  // The shard with the fewest free slots limits the service, after a small
  // share of the shards is left out: a shard that hangs makes answers partial,
  // but must not block the service.
  const size_t skipped =
    free.size() < kMinShardsForSkip ? 0 : 1 + free.size() / 20;
  const auto decisive = free.begin() + static_cast<std::ptrdiff_t>(skipped);
  std::nth_element(free.begin(), decisive, free.end());
  return *decisive;
}

} // namespace foxtail
