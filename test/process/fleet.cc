#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "standins/token_model.h"
#include "test/process/fixture.h"
#include "toucanwharf/support/ids.h"

namespace toucanwharf::process_test {
namespace {

using Json = nlohmann::json;

constexpr const char* kModel = "qa-model";
constexpr const char* kVersion = "v1";
constexpr const char* kPipeline = "qa";
constexpr const char* kPeerKey = "peer-key-of-the-tests";
constexpr std::chrono::milliseconds kPoll(50);
constexpr int kMaxPolls = 600;
constexpr long kOk = 200;  // NOLINT(google-runtime-int): libcurl's type

std::int64_t NowMicros() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

/// Returns the directory of this run's settings files and logs. It is left in
/// the system's temporary directory.
std::string RunDirectory() {
  const auto directory = std::filesystem::temp_directory_path() /
                         ("toucanwharf-test-" + std::to_string(getpid()));
  std::filesystem::create_directories(directory);
  return directory.string();
}

void PostFault(const std::string& address, const Json& fault) {
  Call call;
  call.method = "POST";
  call.url = address + "/faults";
  call.body = fault.dump();
  if (Send(call).status != kOk) throw std::runtime_error("fault was not set");
}

/// Parses the events of a stream incrementally.
class EventReader {
 public:
  EventReader(StreamedAnswer& streamed,
              const std::function<bool(std::size_t)>& token_callback)
      : answer(streamed), on_token(token_callback) {}

  bool Consume(const std::string& bytes) {
    this->unread += bytes;
    while (true) {
      const std::size_t end = this->unread.find("\n\n");
      if (end == std::string::npos) return true;
      const std::string event = this->unread.substr(0, end);
      this->unread.erase(0, end + 2);
      constexpr std::string_view kData = "data: ";
      if (!event.starts_with(kData)) continue;
      if (!this->ConsumeData(event.substr(kData.size()))) return false;
    }
  }

 private:
  bool ConsumeData(const std::string& data) {
    if (data == "[DONE]") {
      this->answer.done = true;
      return true;
    }
    const Json event = Json::parse(data, nullptr, false);
    if (!event.is_object()) return true;
    if (event.contains("error")) {
      this->answer.error = data;
      return true;
    }
    const Json& choice = event.at("choices").at(0);
    const std::string text = choice.value("text", "");
    if (text.empty()) return true;
    this->answer.tokens.push_back(text);
    this->answer.token_micros.push_back(NowMicros());
    return !this->on_token || this->on_token(this->answer.tokens.size());
  }

  StreamedAnswer& answer;
  const std::function<bool(std::size_t)>& on_token;
  std::string unread;
};

StreamedAnswer ReadStream(Call call,
                          const std::function<bool(std::size_t)>& on_token) {
  StreamedAnswer streamed;
  EventReader reader(streamed, on_token);
  call.key = Fleet::kCustomerKey;
  call.on_data = [&reader](const std::string& bytes) {
    return reader.Consume(bytes);
  };
  const Answer answer = Send(call);
  streamed.status = answer.status;
  const auto id = answer.headers.find("x-request-id");
  if (id != answer.headers.end()) streamed.id = id->second;
  if (answer.status != kOk) streamed.error = answer.body;
  return streamed;
}

}  // namespace

Fleet::Fleet() {
  this->platform =
      std::make_unique<Process>("standin_platform", std::vector<std::string>{});
  this->platform_address = this->platform->WaitForLine("listening");
  this->PutRecord("model", kModel,
                  {{"layers", kLayers},
                   {"bytes_per_layer", 1000000},
                   {"kv_bytes_per_token", 1000}});
  this->PutRecord("version", kVersion,
                  {{"model", kModel}, {"weights", "store/qa-model/v1"}});
  this->PutRecord("pipeline", kPipeline,
                  {{"model", kModel}, {"version", kVersion}});
  this->PutRecord("customer", "atlas",
                  {{"key_sha256", Sha256Hex(kCustomerKey)}});
}

void Fleet::PutRecord(const std::string& kind, const std::string& name,
                      const Json& spec) const {
  const Json record = {{"schema", "toucanwharf/v1"},
                       {"kind", kind},
                       {"name", name},
                       {"spec", spec}};
  Call call;
  call.method = "PUT";
  call.url = this->platform_address + "/objects/records/" + kind + "." + name;
  call.body = Json({{"writer", NewId()}, {"value", record}}).dump();
  if (Send(call).status != kOk) throw std::runtime_error("no record " + name);
}

void Fleet::AddEngine(const EngineSpec& spec) {
  std::vector<std::string> arguments = {
      "--id=" + spec.id,
      "--failure-domain=" + spec.failure_domain,
      "--model=" + std::string(kModel),
      "--version=" + std::string(kVersion),
      "--layers=" + std::to_string(spec.begin) + "-" + std::to_string(spec.end),
      "--layer-micros=" + std::to_string(spec.layer_micros)};
  arguments.insert(arguments.end(), spec.extra_arguments.begin(),
                   spec.extra_arguments.end());
  auto engine = std::make_unique<Process>("standin_engine", arguments);
  const std::string direct = engine->WaitForLine("listening");
  this->engine_addresses[spec.id] = direct;
  this->engines[spec.id] = std::move(engine);
  if (!spec.behind_relay) {
    this->Register(spec, direct);
    return;
  }
  auto relay = std::make_unique<Process>(
      "standin_relay", std::vector<std::string>{"--target=" + direct});
  this->relay_admins[spec.id] = relay->WaitForLine("admin");
  this->Register(spec, relay->WaitForLine("listening"));
  this->relays[spec.id] = std::move(relay);
}

void Fleet::Register(const EngineSpec& spec, const std::string& address) const {
  this->Register({{"id", spec.id},
                  {"address", address},
                  {"role", "engine"},
                  {"service", ""},
                  {"failure_domain", spec.failure_domain},
                  {"state", "live"}});
}

void Fleet::Register(const Json& instance) const {
  Call call;
  call.method = "POST";
  call.url = this->platform_address + "/instances";
  call.body = instance.dump();
  if (Send(call).status != kOk) throw std::runtime_error("not registered");
}

std::size_t Fleet::AddRouter(const std::string& failure_domain,
                             const Json& limits, const Json& timeouts) {
  const std::size_t number = this->routers.size();
  const std::string name = "router-" + std::to_string(number);
  const std::string callers = FreeAddress();
  const std::string admin = FreeAddress();
  const std::string peers = FreeAddress();
  const Json settings = {
      {"instance", name},
      {"failure_domain", failure_domain},
      {"region", "casablanca"},
      {"listen", {{"callers", callers}, {"admin", admin}, {"peers", peers}}},
      {"platform", {{"address", this->platform_address}}},
      {"keys", {{"admin", kAdminKey}, {"peer", kPeerKey}}},
      {"timeouts", timeouts},
      {"limits", limits}};
  const std::string file = RunDirectory() + "/" + name + ".json";
  std::ofstream(file) << settings.dump();
  this->routers.push_back(std::make_unique<Process>(
      "toucanwharfd", std::vector<std::string>{"--settings=" + file},
      RunDirectory() + "/" + name + ".log"));
  this->Register({{"id", name},
                  {"address", callers},
                  {"peer_address", peers},
                  {"admin_address", admin},
                  {"role", "router"},
                  {"failure_domain", failure_domain},
                  {"state", "live"}});
  this->router_addresses.push_back(callers);
  this->admin_addresses.push_back(admin);
  return number;
}

void Fleet::WaitUntilServing() {
  for (std::size_t number = 0; number < this->routers.size(); ++number) {
    bool serving = false;
    for (int poll = 0; poll < kMaxPolls && !serving; ++poll) {
      Call call;
      call.url = this->AdminAddress(number) + "/admin/status";
      call.key = kAdminKey;
      const Json status = Send(call).Json();
      const bool all = status.is_object() &&
                       status.value("engines", 0u) >= this->engines.size() &&
                       status["members"].size() >= this->routers.size();
      serving = all && this->Stream(number, "ready?", 1, 1).done;
      if (!serving) std::this_thread::sleep_for(kPoll);
    }
    if (!serving) throw std::runtime_error("a router does not serve in time");
  }
}

void Fleet::DelayCallers(int millis) {
  for (std::string& address : this->router_addresses) {
    auto relay = std::make_unique<Process>(
        "standin_relay", std::vector<std::string>{"--target=" + address});
    PostFault(relay->WaitForLine("admin"), {{"delay_ms", millis}});
    address = relay->WaitForLine("listening");
    this->caller_relays.push_back(std::move(relay));
  }
}

void Fleet::EngineFault(const std::string& id, const Json& fault) const {
  PostFault(this->engine_addresses.at(id), fault);
}

void Fleet::RelayFault(const std::string& id, const Json& fault) const {
  PostFault(this->relay_admins.at(id), fault);
}

StreamedAnswer Fleet::Stream(
    std::size_t number, const std::string& prompt, std::uint32_t tokens,
    std::uint64_t seed,
    const std::function<bool(std::size_t)>& on_token) const {
  Call call;
  call.method = "POST";
  call.url = this->RouterAddress(number) + "/v1/completions";
  call.body = Json({{"model", kPipeline},
                    {"prompt", prompt},
                    {"max_tokens", tokens},
                    {"seed", seed},
                    {"stream", true}})
                  .dump();
  return ReadStream(std::move(call), on_token);
}

StreamedAnswer Fleet::Resume(std::size_t number, const std::string& id,
                             std::size_t from) const {
  Call call;
  call.url = this->RouterAddress(number) + "/v1/requests/" + id +
             "?from=" + std::to_string(from);
  return ReadStream(std::move(call), {});
}

double Fleet::Metric(std::size_t number, const std::string& name) const {
  Call call;
  call.url = this->AdminAddress(number) + "/metrics";
  call.key = kAdminKey;
  std::istringstream lines(Send(call).body);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(name + " ")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

std::vector<std::string> Fleet::Expected(const std::string& prompt,
                                         std::uint32_t tokens,
                                         std::uint64_t seed) {
  return standins::ExpectedTokens(kModel, kVersion, "", kLayers, seed, prompt,
                                  tokens);
}

}  // namespace toucanwharf::process_test
