#ifndef TOUCANWHARF_STANDINS_SERVICE_SERVICE_H_
#define TOUCANWHARF_STANDINS_SERVICE_SERVICE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/common/http_server.h"

namespace toucanwharf::standins {

/// A plain service that counts each run and can fail at every step.
/// Thread safety: all methods may be called at once from several threads.
class PlainService {
 public:
  /// Makes the service \p service_name, run by instance \p instance_id.
  PlainService(std::string service_name, std::string instance_id);

  /// Asked when the headers were read; false closes the connection.
  bool CheckHeaders(const HttpRequest& request);
  /// Answers one call.
  HttpReply Handle(const HttpRequest& request);

 private:
  bool Use(const std::string& fault);
  HttpReply SetFaults(const nlohmann::json& body);
  HttpReply Runs(const HttpRequest& request);
  HttpReply Run(const HttpRequest& request);

  std::string name;
  std::string instance;
  std::mutex mutex;
  std::uint64_t delay_ms = 0;
  /// How many of the next calls each fault still hits.
  std::map<std::string, std::uint64_t> faults;
  std::uint64_t total = 0;
  std::map<std::string, std::uint64_t> runs_by_key;
  std::map<std::string, std::uint64_t> runs_by_call;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_SERVICE_SERVICE_H_
