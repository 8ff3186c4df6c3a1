#include <chrono>
#include <cxxopts.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "standins/common/program.h"
#include "standins/engine/engine.h"

namespace {

namespace standins = toucanwharf::standins;
using standins::EngineSettings;

template <typename T>
void Option(cxxopts::Options& options, const std::string& name, const T& value,
            const std::string& help) {
  std::ostringstream text;
  text << value;
  options.add_options()(name, help,
                        cxxopts::value<T>()->default_value(text.str()));
}

cxxopts::Options MakeOptions() {
  const EngineSettings defaults;
  cxxopts::Options options("standin_engine", "stand-in for a model engine");
  options.add_options()("help", "print this")("layers", "BEGIN-END",
                                              cxxopts::value<std::string>())(
      "adapters", "comma-separated names",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  Option<std::string>(options, "listen", "127.0.0.1:0", "127.0.0.1:PORT");
  Option<std::string>(options, "platform", "",
                      "IP:PORT of the platform to register with");
  Option<std::string>(options, "id", defaults.id, "instance id");
  Option<std::string>(options, "failure-domain", "", "failure domain");
  Option<std::string>(options, "accelerator", defaults.accelerator, "kind");
  Option<std::string>(options, "model", "model", "name of the model");
  Option<std::string>(options, "version", "v1", "name of the version");
  Option<std::string>(options, "fencing", defaults.fencing,
                      "checked, ignored or unknown");
  Option(options, "layer-micros", defaults.layer_micros, "time per layer");
  Option(options, "prefill-micros", defaults.prefill_micros,
         "time per prompt token");
  Option(options, "slots", defaults.slots, "answers in one batch");
  Option(options, "queue-limit", defaults.queue_limit, "answers that may wait");
  Option(options, "kv-tokens", defaults.kv_tokens, "KV memory");
  Option(options, "kv-import-micros", defaults.kv_import_micros, "per token");
  Option(options, "prefix-blocks", defaults.prefix_blocks, "prefix cache size");
  Option(options, "load-millis", defaults.load_millis,
         "weight store, per layer");
  Option(options, "report-lag-ms", defaults.report_lag_ms,
         "age of load reports");
  Option(options, "event-lag-ms", defaults.event_lag_ms, "age of cache events");
  Option(options, "event-gaps", defaults.event_gaps, "share of events lost");
  Option(options, "link-delay-micros", defaults.link_delay_micros,
         "one way, between engines");
  return options;
}

standins::LayerRange ParseLayers(const std::string& text) {
  const auto dash = text.find('-');
  if (dash == std::string::npos) {
    throw std::runtime_error("--layers must be BEGIN-END");
  }
  standins::LayerRange layers;
  layers.begin = static_cast<std::uint32_t>(std::stoul(text.substr(0, dash)));
  layers.end = static_cast<std::uint32_t>(std::stoul(text.substr(dash + 1)));
  return layers;
}

EngineSettings ReadSettings(const cxxopts::ParseResult& options) {
  const auto text = [&](const char* name) {
    return options[name].as<std::string>();
  };
  const auto number = [&](const char* name) {
    return options[name].as<std::uint64_t>();
  };
  EngineSettings settings;
  settings.id = text("id");
  settings.failure_domain = text("failure-domain");
  settings.accelerator = text("accelerator");
  settings.fencing = text("fencing");
  settings.load.model = text("model");
  settings.load.version = text("version");
  settings.load.layers = ParseLayers(text("layers"));
  for (const auto& name : options["adapters"].as<std::vector<std::string>>()) {
    if (!name.empty()) settings.load.adapters.push_back(name);
  }
  settings.layer_micros = number("layer-micros");
  settings.prefill_micros = number("prefill-micros");
  settings.slots = options["slots"].as<std::uint32_t>();
  settings.queue_limit = options["queue-limit"].as<std::uint32_t>();
  settings.kv_tokens = number("kv-tokens");
  settings.kv_import_micros = number("kv-import-micros");
  settings.prefix_blocks = options["prefix-blocks"].as<std::size_t>();
  settings.load_millis = number("load-millis");
  settings.report_lag_ms = number("report-lag-ms");
  settings.event_lag_ms = number("event-lag-ms");
  settings.event_gaps = options["event-gaps"].as<double>();
  settings.link_delay_micros = number("link-delay-micros");
  return settings;
}

void Run(const cxxopts::ParseResult& options) {
  standins::BlockSignals();
  const EngineSettings settings = ReadSettings(options);
  standins::Engine engine(settings);
  const standins::HttpServer server(
      standins::ListenPort(options["listen"].as<std::string>()),
      [&engine](const standins::HttpRequest& request) {
        return engine.Handle(request);
      });
  std::thread([&engine, &settings] {
    const std::chrono::milliseconds lag(settings.report_lag_ms + 1);
    while (true) {
      std::this_thread::sleep_for(lag);
      engine.RefreshReport();
    }
  }).detach();
  const auto platform = options["platform"].as<std::string>();
  standins::RegisterInstance(
      platform, {{"id", settings.id},
                 {"address", "127.0.0.1:" + std::to_string(server.Port())},
                 {"role", "engine"},
                 {"service", ""},
                 {"failure_domain", settings.failure_domain},
                 {"state", "live"}});
  standins::AnnouncePort(server.Port());
  standins::WaitForSignal();
  standins::RemoveInstance(platform, settings.id);
  standins::ExitNow();
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  return standins::RunMain(options, argc, argv, Run);
}
