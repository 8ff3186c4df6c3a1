#include <chrono>
#include <cxxopts.hpp>
#include <fstream>
#include <ostream>

#include "expected_answer.h"
#include "load_runner.h"
#include "options.h"
#include "subcommands.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;

constexpr double kMicrosPerSecond = 1e6;

Result<LoadOptions> OptionsOf(const Arguments& arguments) {
  const auto profile = FindProfile(arguments.Text("profile"));
  if (!profile) return CommandError::kBadUsage;
  LoadOptions options;
  options.profile = *profile;
  options.rate = arguments.Real("rate");
  options.duration = Duration(
      static_cast<std::int64_t>(arguments.Real("duration") * kMicrosPerSecond));
  options.seed = arguments.Number("seed");
  options.entries = arguments.List("entry");
  options.keep_advice = arguments.Flag("keep-advice");
  options.idle_timeout =
      std::chrono::milliseconds(arguments.Number("silence-ms"));
  const std::string model = arguments.Text("model");
  if (!model.empty()) options.profile.model = model;
  const double service_fraction = arguments.Real("service-part");
  if (service_fraction >= 0) {
    options.profile.service_fraction = service_fraction;
  }
  const bool valid = options.rate > 0 && !options.entries.empty();
  if (!valid) return CommandError::kBadUsage;
  if (!arguments.Flag("verify")) return options;
  BOOST_OUTCOME_TRY(platform, PlatformOf(arguments));
  BOOST_OUTCOME_TRY(catalog, ReadCatalog(platform));
  options.catalog = std::move(catalog);
  return options;
}

void ShowProgress(const LoadReport& report, std::ostream& err) {
  err << "\r" << report.whole << " of " << report.answers << " answers whole, "
      << report.service_done << " of " << report.service_calls
      << " calls done, " << report.broken << " broken" << std::flush;
}

int Load(const Arguments& arguments, Streams& streams) {
  auto options = OptionsOf(arguments);
  if (!options) {
    return Fail(streams, options.error(),
                "--profile, --rate, --entry, or --platform for --verify");
  }
  LoadRunner runner(std::move(options).value(),
                    [&streams](const LoadReport& report) {
                      ShowProgress(report, streams.err);
                    });
  const LoadReport report = runner.Run();
  streams.err << "\n";
  json result = ToJson(report);
  result["profile"] = arguments.Text("profile");
  result["rate"] = arguments.Real("rate");
  result["seed"] = arguments.Number("seed");
  result["verified"] = arguments.Flag("verify");
  if (arguments.Json()) {
    streams.out << result.dump(2) << "\n";
  } else {
    streams.out << ToText(report);
  }
  const std::string path = arguments.Text("report");
  if (!path.empty()) std::ofstream(path) << result.dump(2) << "\n";
  if (report.wrong + report.broken == 0) return kExitOk;
  return Fail(streams, CommandError::kWrongAnswer,
              std::to_string(report.wrong) + " wrong, " +
                  std::to_string(report.broken) + " broken");
}

void AddLoadOptions(cxxopts::Options& options) {
  AddCallerOptions(options);
  AddPlatformOptions(options);
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  const auto number = [](const char* fallback) {
    return cxxopts::value<std::uint64_t>()->default_value(fallback);
  };
  const auto real = [](const char* fallback) {
    return cxxopts::value<double>()->default_value(fallback);
  };
  options.add_options()("profile", "load profile: atlas or rangi",
                        text("atlas"))("rate", "calls per second", real("10"))(
      "duration", "seconds during which new calls start", real("10"))(
      "seed", "seed for times, customers, prompts and lengths", number("1"))(
      "model", "model to use instead of the profile's", text(""))(
      "service-part",
      "fraction of calls to the service, 0 to 1; below 0: the "
      "profile's",
      real("-1"))("silence-ms",
                  "milliseconds without data until another entry is used",
                  number("10000"))(
      "keep-advice",
      "keep the first response of /v1/entries for the whole run, beyond its "
      "time to live")(
      "verify",
      "compare with the expected answers of the stand-in engines "
      "(needs --platform)")("report",
                            "also write the JSON report "
                            "to this file",
                            text(""));
}

}  // namespace

Subcommand LoadSubcommand() {
  return {"load", "Run an open-loop load and report its results", "",
          AddLoadOptions, Load};
}

}  // namespace toucanwharf::command
