#ifndef TOUCANWHARF_INSTANCE_ADDRESS_WAIT_H_
#define TOUCANWHARF_INSTANCE_ADDRESS_WAIT_H_

#include <chrono>
#include <system_error>
#include <thread>

namespace toucanwharf::instance {

/// How long a start waits for its addresses: the process before may take its
/// whole grace time to end.
constexpr std::chrono::seconds kAddressWait(10);
/// How often a start tries to get an address that is in use.
constexpr std::chrono::milliseconds kAddressPollPeriod(25);

/// Calls \p open, which returns a Result, until it returns anything but
/// "address in use", or \p limit has passed. Returns its last result.
///
/// Failure guarded against: a process that starts while the one before it still
/// ends finds its addresses taken and ends, too.
/// Precondition: nothing else runs on this thread meanwhile.
/// Thread safety: that of \p open.
template <typename Open>
auto OpenWhenFree(std::chrono::milliseconds limit, Open open) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (true) {
    auto result = open();
    const bool in_use = !result && result.error() == std::errc::address_in_use;
    if (!in_use || std::chrono::steady_clock::now() >= until) return result;
    std::this_thread::sleep_for(kAddressPollPeriod);
  }
}

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_ADDRESS_WAIT_H_
