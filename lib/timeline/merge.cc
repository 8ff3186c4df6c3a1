#include "toucanwharf/timeline/merge.h"

#include <algorithm>
#include <tuple>

namespace toucanwharf::timeline {
namespace {

auto OrderOf(const MergedEvent& merged) {
  return std::tie(merged.event.stamp, merged.instance, merged.event.sequence);
}

}  // namespace

std::vector<MergedEvent> Merge(const std::vector<Page>& pages) {
  std::vector<MergedEvent> merged;
  for (const Page& page : pages) {
    for (const Event& event : page.events) {
      merged.push_back(MergedEvent{page.instance, event});
    }
  }
  std::sort(merged.begin(), merged.end(),
            [](const MergedEvent& left, const MergedEvent& right) {
              return OrderOf(left) < OrderOf(right);
            });
  return merged;
}

}  // namespace toucanwharf::timeline
