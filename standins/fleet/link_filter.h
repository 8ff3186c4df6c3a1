#ifndef TOUCANWHARF_STANDINS_FLEET_LINK_FILTER_H_
#define TOUCANWHARF_STANDINS_FLEET_LINK_FILTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "toucanwharf/http/loop.h"

namespace toucanwharf::standins::fleet {

/// How the links of a router to endpoints are cut.
enum class LinkFault {
  /// Packets are dropped: connections and attempts to connect hang.
  kSilent,
  /// Connections are reset, new ones as soon as they are established.
  kReset,
};

/// Cuts the TCP links from chosen source addresses to sockets of this process,
/// with packet filters on these sockets (SO_ATTACH_FILTER).
/// Thread safety: only on the loop's thread.
class LinkFilter {
 public:
  /// Affects the sockets whose local address begins with \p local_prefix, such
  /// as "127.0.2.". Precondition: \p event_loop outlives the object.
  LinkFilter(http::Loop& event_loop, std::string local_prefix)
      : loop(event_loop), prefix(std::move(local_prefix)) {}

  /// Cuts the links from \p source to the sockets bound to one of \p targets,
  /// or to all if there are none.
  void Cut(const std::string& source, LinkFault how,
           const std::vector<std::string>& targets = {});
  /// Ends the cut of \p source.
  void Heal(const std::string& source);

 private:
  struct CutLink {
    LinkFault how = LinkFault::kSilent;
    std::vector<std::string> targets;

    bool Affects(const std::string& target) const;
  };

  /// Applies the cuts to all sockets, also to those opened since, until there
  /// are none.
  void Watch();
  void Apply();
  void ApplyTo(int socket, const std::string& local);

  http::Loop& loop;
  std::string prefix;
  std::map<std::string, CutLink> cuts;
  bool watching = false;
};

}  // namespace toucanwharf::standins::fleet

#endif  // TOUCANWHARF_STANDINS_FLEET_LINK_FILTER_H_
