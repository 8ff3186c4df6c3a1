#ifndef TOUCANWHARF_STANDINS_PLATFORM_API_H_
#define TOUCANWHARF_STANDINS_PLATFORM_API_H_

#include <chrono>
#include <optional>
#include <string>

#include "standins/common/http_server.h"
#include "standins/platform/faults.h"
#include "standins/platform/instances.h"
#include "standins/platform/store.h"

namespace toucanwharf::standins {

/// The platform's calls, as docs/PROTOCOLS.md gives them.
/// Thread safety: all methods may be called at once from several threads.
class PlatformApi {
 public:
  /// Sets how old the instance list is that callers see.
  void SetListLag(std::chrono::milliseconds lag);
  /// Answers one call.
  HttpReply Handle(const HttpRequest& request);

 private:
  std::optional<HttpReply> Control(const HttpRequest& request);
  HttpReply Object(const HttpRequest& request, const std::string& collection,
                   const std::string& name);
  HttpReply Get(const std::string& collection, const std::string& name);
  HttpReply List(const std::string& collection);
  HttpReply Put(const HttpRequest& request, const std::string& collection,
                const std::string& name);
  HttpReply Delete(const HttpRequest& request, const std::string& collection,
                   const std::string& name);
  HttpReply Watch(const HttpRequest& request, const std::string& collection);
  HttpReply Written(const WriteResult& result);
  HttpReply Unavailable();

  Store store;
  InstanceList instances;
  Faults faults;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_PLATFORM_API_H_
