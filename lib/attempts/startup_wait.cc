#include "toucanwharf/attempts/startup_wait.h"

namespace toucanwharf::attempts {

bool StartupWait::Enter(std::size_t bytes, TimePoint now) {
  if (this->Expired(now)) return false;
  if (this->waiting_bytes + bytes > this->settings.max_bytes) return false;
  this->waiting_bytes += bytes;
  return true;
}

}  // namespace toucanwharf::attempts
