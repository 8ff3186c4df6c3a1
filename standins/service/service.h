#ifndef TOUCANWHARF_STANDINS_SERVICE_SERVICE_H_
#define TOUCANWHARF_STANDINS_SERVICE_SERVICE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/common/http_server.h"

namespace toucanwharf::standins {

/// A plain service that counts each run and can inject a fault at each step.
/// Thread safety: safe; all methods may be called concurrently.
class PlainService {
 public:
  PlainService(std::string service_name, std::string instance_id);

  /// Called when the headers have been read; false closes the connection.
  bool CheckHeaders(const HttpRequest& request);
  /// Handles one call.
  HttpReply Handle(const HttpRequest& request);

 private:
  bool ConsumeFault(const std::string& fault);
  HttpReply SetFaults(const nlohmann::json& body);
  HttpReply Runs(const HttpRequest& request);
  HttpReply Run(const HttpRequest& request);

  std::string name;
  std::string instance;
  std::mutex mutex;
  std::uint64_t delay_ms = 0;
  /// Number of coming calls that each fault still affects.
  std::map<std::string, std::uint64_t> faults;
  std::uint64_t total = 0;
  std::map<std::string, std::uint64_t> runs_by_key;
  std::map<std::string, std::uint64_t> runs_by_call;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_SERVICE_SERVICE_H_
