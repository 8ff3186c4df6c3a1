#ifndef TOUCANWHARF_DAEMON_ROUTER_H_
#define TOUCANWHARF_DAEMON_ROUTER_H_

#include <memory>

#include "toucanwharf/settings/settings.h"
#include "toucanwharf/support/result.h"

namespace toucanwharf::daemon {

/// One router process: its listeners and the components behind them.
class Router {
 public:
  /// Opens the listeners. Errors: transport errors, when an address is in use.
  static Result<std::unique_ptr<Router>> Open(settings::Settings settings);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Serves until a drain is complete. Precondition: called once.
  void Run();

  /// Starts a drain (I6): leaves the entry advice immediately, accepts
  /// connections until all advice given out has expired, then closes the
  /// listener and finishes what is running. A second call does nothing.
  /// Thread safety: safe.
  void Drain();

 private:
  struct Parts;

  explicit Router(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> parts;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ROUTER_H_
