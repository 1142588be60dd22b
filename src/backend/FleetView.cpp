#include "backend/FleetView.h"

#include <algorithm>

namespace foxtail {

const Layout* FleetView::FindLayout(const CatalogueKey& aCatalogue,
                                    const LayoutKey& aLayout) const
{
  const std::vector<Layout>* layouts = table_->FindLayouts(aCatalogue);
  if (layouts == nullptr) {
    return nullptr;
  }
  const auto found =
    std::find_if(layouts->begin(), layouts->end(), [&](const Layout& aOther) {
      return aOther.key_ == aLayout;
    });
  return found == layouts->end() ? nullptr : &*found;
}

const Layout* FleetView::FindChosen(const CatalogueKey& aCatalogue) const
{
  const auto choice = choices_.find(aCatalogue);
  if (choice == choices_.end() || !choice->second.layout_) {
    return nullptr;
  }
  return FindLayout(aCatalogue, *choice->second.layout_);
}

const Layout* FleetView::FindReplacement(const CatalogueKey& aCatalogue,
                                         const LayoutKey& aPinned) const
{
  const Layout* chosen = FindChosen(aCatalogue);
  if (chosen != nullptr && chosen->key_ != aPinned) {
    return chosen;
  }
  const std::vector<Layout>* layouts = table_->FindLayouts(aCatalogue);
  const Layout* best = nullptr;
  if (layouts == nullptr) {
    return best;
  }
  for (const Layout& layout : *layouts) {
    const uint32_t covered = layout.CoveredShards(table_->Replicas());
    if (layout.key_ == aPinned || covered == 0) {
      continue;
    }
    if (best == nullptr || covered * uint64_t{ best->key_.shardCount_ } >
                             best->CoveredShards(table_->Replicas()) *
                               uint64_t{ layout.key_.shardCount_ }) {
      best = &layout;
    }
  }
  return best;
}

} // namespace foxtail
