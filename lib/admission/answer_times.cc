#include "toucanwharf/admission/answer_times.h"

#include <algorithm>
#include <cstddef>

namespace toucanwharf::admission {
namespace {

/// Answers of a route that count.
constexpr std::size_t kAnswers = 64;
/// The longest of fewer says little.
constexpr std::size_t kEnoughAnswers = 16;
/// Bound of the memory: routes that are no longer configured are forgotten
/// together with the others, which are soon learned again.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

void AnswerTimes::Record(const std::string& route, Duration took) {
  const bool full = this->routes.size() >= kMaxRoutes;
  if (full && !this->routes.contains(route)) this->routes.clear();
  std::deque<Duration>& last = this->routes[route];
  last.push_back(took);
  if (last.size() > kAnswers) last.pop_front();
}

std::optional<Duration> AnswerTimes::MedianOf(const std::string& route) const {
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) return std::nullopt;
  std::deque<Duration> last = found->second;
  const auto middle =
      last.begin() + static_cast<std::ptrdiff_t>(last.size() / 2);
  std::nth_element(last.begin(), middle, last.end());
  return *middle;
}

std::optional<Duration> AnswerTimes::LongestOf(const std::string& route) const {
  const auto found = this->routes.find(route);
  const bool known =
      found != this->routes.end() && found->second.size() >= kEnoughAnswers;
  if (!known) return std::nullopt;
  return *std::max_element(found->second.begin(), found->second.end());
}

}  // namespace toucanwharf::admission
