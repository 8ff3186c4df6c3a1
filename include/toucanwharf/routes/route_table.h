#ifndef TOUCANWHARF_ROUTES_ROUTE_TABLE_H_
#define TOUCANWHARF_ROUTES_ROUTE_TABLE_H_

#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "toucanwharf/routes/configuration.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::routes {

/// Lookups on one configuration.
/// Thread safety: safe once built.
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  const Configuration& All() const { return this->configuration; }

  /// Returns the route of \p host (ignoring a port and letter case) with the
  /// longest prefix of \p path, or null.
  const Route* Find(std::string_view host, std::string_view path) const;
  /// Returns the customer that holds \p key, or null.
  const Customer* CustomerOf(std::string_view key) const;
  /// Returns the service \p name, or null.
  const Service* FindService(std::string_view name) const;

 private:
  Configuration configuration;
  /// By the concatenation of host and prefix.
  absl::flat_hash_map<std::string, const Route*> by_prefix;
  absl::flat_hash_map<std::string, const Customer*> by_key;
};

/// Draws one of the route's services by weight; null if it has none.
/// Thread safety: safe with a generator of the caller's own.
const ServiceShare* DrawService(const Route& route, Random& random);

}  // namespace toucanwharf::routes

#endif  // TOUCANWHARF_ROUTES_ROUTE_TABLE_H_
