#ifndef TOUCANWHARF_INSTANCE_RESOURCE_PLAN_H_
#define TOUCANWHARF_INSTANCE_RESOURCE_PLAN_H_

#include <cstddef>
#include <cstdint>

#include "toucanwharf/instance/settings.h"

namespace toucanwharf::instance {

/// How much of its machine a process gives to requests and connections.
struct ResourcePlan {
  /// Memory of requests, and of answers that wait for their callers, in bytes.
  std::size_t buffer_bytes = 0;
  /// Memory of what calls hold of answers before it is passed on, in bytes.
  std::size_t answer_bytes = 0;
  /// Connections of all uses.
  std::size_t connections = 0;

  friend bool operator==(const ResourcePlan&, const ResourcePlan&) = default;
};

/// Returns the plan for a machine of \p system_memory bytes where a process may
/// open \p system_descriptors, as far as \p machine doesn't say less. Thread
/// safety: safe.
ResourcePlan PlanResources(const MachineResources& machine,
                           std::uint64_t system_memory,
                           std::uint64_t system_descriptors);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_RESOURCE_PLAN_H_
