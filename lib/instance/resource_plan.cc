#include "toucanwharf/instance/resource_plan.h"

#include <algorithm>

namespace toucanwharf::instance {
namespace {

/// The rest is for the program, for what it knows of the fleet, for the
/// kernel's buffers, and for what the allocator can't use.
constexpr double kBufferPart = 0.4;
/// Sound answers hold some KiB each, for a moment. A part of its own: callers
/// can't take it, and answers can't take what requests need.
constexpr double kAnswerPart = 0.125;
/// Descriptors of files, and those that the program itself opens: listeners,
/// the event loop, the log.
constexpr std::uint64_t kOtherDescriptors = 216;
constexpr std::uint64_t kMinConnections = 32;

}  // namespace

ResourcePlan PlanResources(const MachineResources& machine,
                           std::uint64_t system_memory,
                           std::uint64_t system_descriptors) {
  const std::uint64_t memory =
      std::min(machine.memory_bytes.value_or(system_memory), system_memory);
  const std::uint64_t descriptors = std::min(
      machine.descriptors.value_or(system_descriptors), system_descriptors);
  const std::uint64_t connections =
      descriptors > kOtherDescriptors + kMinConnections
          ? descriptors - kOtherDescriptors
          : kMinConnections;
  const auto part = [memory](double share) {
    return static_cast<std::size_t>(static_cast<double>(memory) * share);
  };
  return {part(kBufferPart), part(kAnswerPart),
          static_cast<std::size_t>(connections)};
}

}  // namespace toucanwharf::instance
