#include "toucanwharf/support/process_limits.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <limits>

namespace toucanwharf {
namespace {

#ifdef __GLIBC__
/// A fixed threshold: left alone, it grows to the largest block ever freed, and
/// blocks below it stay with the process.
constexpr int kLargeBlockBytes = 128 * 1024;
#endif

}  // namespace

std::uint64_t SystemMemoryBytes() {
  const auto pages = sysconf(_SC_PHYS_PAGES);
  const auto page_bytes = sysconf(_SC_PAGESIZE);
  if (pages <= 0 || page_bytes <= 0) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  return static_cast<std::uint64_t>(pages) *
         static_cast<std::uint64_t>(page_bytes);
}

std::uint64_t SystemDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  return limit.rlim_cur;
}

void ReturnLargeBlocks() {
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
#endif
}

void ReturnFreeMemory() {
#ifdef __GLIBC__
  malloc_trim(0);
#endif
}

}  // namespace toucanwharf
