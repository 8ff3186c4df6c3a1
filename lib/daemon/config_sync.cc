#include "toucanwharf/daemon/config_sync.h"

#include <glog/logging.h>

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "toucanwharf/records/parse.h"

namespace toucanwharf::daemon {
namespace {

using Json = nlohmann::json;

constexpr Duration kPeriod = std::chrono::seconds(1);
constexpr int kOk = 200;

}  // namespace

ConfigSync::ConfigSync(transport::EventLoop& loop,
                       transport::HttpClient& client, Metrics& metrics,
                       std::string platform_address)
    : loop(loop),
      client(client),
      metrics(metrics),
      platform_address(std::move(platform_address)) {}

void ConfigSync::Start() { this->Ask(); }

void ConfigSync::Ask() {
  transport::HttpCall call;
  call.url = "http://" + this->platform_address + "/objects/records";
  this->metrics.Count("toucanwharf_platform_calls_total{call=\"records\"}");
  const auto on_done = [this](const transport::HttpOutcome& outcome) {
    if (outcome.end == transport::CallEnd::kAnswered && outcome.status == kOk) {
      this->Take(outcome.body);
    }
    this->loop.After(kPeriod, [this] { this->Ask(); });
  };
  this->client.Start(std::move(call), {nullptr, on_done});
}

void ConfigSync::Take(std::string_view body) {
  const Json list = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!list.is_object() || !list.contains("items")) return;
  const auto generation = list.value("revision", std::uint64_t{0});
  // A stale read must not take back what is in force (I7).
  if (generation <= this->catalog.generation) return;
  std::vector<records::Record> accepted;
  for (const Json& item : list["items"]) {
    if (!item.is_object() || !item.contains("value")) continue;
    const auto document = records::ParseRecordValue(item["value"]);
    if (document) accepted.push_back(document.value().record);
  }
  this->catalog = records::BuildCatalog(generation, accepted);
  this->metrics.Set("toucanwharf_config_generation",
                    static_cast<double>(generation));
  LOG(INFO) << "configuration generation " << generation << " in force, "
            << accepted.size() << " records";
}

}  // namespace toucanwharf::daemon
