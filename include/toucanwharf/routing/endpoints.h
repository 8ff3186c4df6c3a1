#ifndef TOUCANWHARF_ROUTING_ENDPOINTS_H_
#define TOUCANWHARF_ROUTING_ENDPOINTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace toucanwharf::routing {

/// Dense number of an endpoint inside one process. Decisions index arrays by
/// it, so that their cost doesn't grow with the length of ids or the number of
/// endpoints.
enum class Endpoint : std::uint32_t {};

/// Returns the array index of \p endpoint.
constexpr std::size_t IndexOf(Endpoint endpoint) {
  return static_cast<std::size_t>(endpoint);
}

/// Gives each endpoint id one number, which is never given out again.
/// Thread safety: none; for one thread.
class EndpointNames {
 public:
  /// Returns the number of \p id, a new one if it wasn't seen before.
  Endpoint NumberOf(std::string_view id) {
    const auto [at, added] = this->numbers.try_emplace(
        std::string(id), static_cast<Endpoint>(this->ids.size()));
    if (added) this->ids.emplace_back(id);
    return at->second;
  }

  /// Returns the id of \p endpoint. Precondition: NumberOf() returned it.
  const std::string& IdOf(Endpoint endpoint) const {
    return this->ids[IndexOf(endpoint)];
  }

  /// Returns how many numbers were given out.
  std::size_t size() const { return this->ids.size(); }

 private:
  std::unordered_map<std::string, Endpoint> numbers;
  std::vector<std::string> ids;
};

}  // namespace toucanwharf::routing

#endif  // TOUCANWHARF_ROUTING_ENDPOINTS_H_
