#ifndef TOUCANWHARF_DAEMON_ROUTER_H_
#define TOUCANWHARF_DAEMON_ROUTER_H_

#include <memory>

#include "toucanwharf/settings/settings.h"
#include "toucanwharf/support/result.h"

namespace toucanwharf::daemon {

/// One router process: everything between its listeners and what it calls.
class Router {
 public:
  /// Opens the listeners. Errors: transport errors, when one is taken.
  static Result<std::unique_ptr<Router>> Open(settings::Settings settings);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Serves until a drain is complete. Precondition: called once.
  void Run();

  /// Begins a drain: leaves the advice at once, serves until every answer of
  /// it that was given out has expired, closes the listener, finishes what
  /// runs (I6). The second call does nothing.
  /// Thread safety: safe.
  void Drain();

 private:
  struct Parts;

  explicit Router(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> parts;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ROUTER_H_
