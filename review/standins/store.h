#ifndef TOUCANWHARF_REVIEW_STANDINS_STORE_H_
#define TOUCANWHARF_REVIEW_STANDINS_STORE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

/// Stand-in for the platform's metadata store: objects by kind and name, one
/// revision counter, conditional writes, lists in pages of 500. It answers each
/// call at once and loses nothing.
/// Thread safety: safe.
class Store {
 public:
  /// Serves \p address.
  explicit Store(const std::string& address);

  /// Writes \p spec, any JSON text, as the operator and the runners do.
  void Put(const std::string& kind, const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t create_rev = 0;
    /// JSON texts.
    std::string spec = "null";
    std::string status = "null";
  };
  using Objects = std::map<std::string, Object>;

  void Handle(const Request& request, Reply& reply);
  void List(const Request& request, Reply& reply);
  void Create(const Request& request, Reply& reply, Objects& objects);
  void Replace(const Request& request, Reply& reply, Objects& objects,
               const std::string& name, bool status);
  static std::string ToText(const std::string& name, const Object& object);

  std::mutex mutex;
  std::uint64_t revision = 500;
  std::map<std::string, Objects> kinds;
};

}  // namespace review

#endif  // TOUCANWHARF_REVIEW_STANDINS_STORE_H_
