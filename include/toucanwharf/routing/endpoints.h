#ifndef TOUCANWHARF_ROUTING_ENDPOINTS_H_
#define TOUCANWHARF_ROUTING_ENDPOINTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace toucanwharf::routing {

/// Dense number of an endpoint within one process. It indexes arrays, so that
/// the cost of a decision doesn't grow with the length of ids or the number of
/// endpoints.
enum class Endpoint : std::uint32_t {};

/// Returns the array index of \p endpoint.
constexpr std::size_t IndexOf(Endpoint endpoint) {
  return static_cast<std::size_t>(endpoint);
}

/// Assigns each endpoint id one number, which is never reused.
/// Thread safety: none; for one thread.
class EndpointNames {
 public:
  /// Returns the number of \p id, a new one if it is unknown.
  Endpoint NumberOf(std::string_view id) {
    const auto [entry, added] = this->numbers.try_emplace(
        std::string(id), static_cast<Endpoint>(this->ids.size()));
    if (added) this->ids.emplace_back(id);
    return entry->second;
  }

  /// Returns the id of \p endpoint. Precondition: NumberOf() returned it.
  const std::string& IdOf(Endpoint endpoint) const {
    return this->ids[IndexOf(endpoint)];
  }

  /// Returns how many numbers were assigned.
  std::size_t size() const { return this->ids.size(); }

 private:
  std::unordered_map<std::string, Endpoint> numbers;
  std::vector<std::string> ids;
};

}  // namespace toucanwharf::routing

#endif  // TOUCANWHARF_ROUTING_ENDPOINTS_H_
