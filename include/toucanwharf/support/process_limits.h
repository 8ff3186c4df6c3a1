#ifndef TOUCANWHARF_SUPPORT_PROCESS_LIMITS_H_
#define TOUCANWHARF_SUPPORT_PROCESS_LIMITS_H_

#include <cstdint>

namespace toucanwharf {

/// Returns the memory of the machine, in bytes. Source: sysconf.
/// Thread safety: safe.
std::uint64_t SystemMemoryBytes();

/// Returns how many descriptors the process may open. Source: getrlimit.
/// Thread safety: safe.
std::uint64_t SystemDescriptors();

/// Makes the allocator take large blocks from the system and give them back as
/// soon as they are freed, instead of keeping them for later.
/// Precondition: called before any other thread starts.
void ReturnLargeBlocks();

/// Gives the memory that the allocator keeps, and nobody uses, back to the
/// system. Takes milliseconds. Thread safety: safe.
void ReturnFreeMemory();

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_PROCESS_LIMITS_H_
