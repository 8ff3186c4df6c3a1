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

/// The platform's HTTP API, as specified in docs/PROTOCOLS.md.
/// Thread safety: safe; all methods may be called concurrently.
class PlatformApi {
 public:
  /// Sets the age of the instance list that callers see.
  void SetListLag(std::chrono::milliseconds lag);
  /// Handles one call. May block for the injected delay or outage.
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
  HttpReply WriteReply(const WriteResult& result);
  HttpReply Unavailable();

  Store store;
  InstanceList instances;
  Faults faults;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_PLATFORM_API_H_
