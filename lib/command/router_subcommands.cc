#include <algorithm>
#include <cxxopts.hpp>
#include <ostream>

#include "absl/strings/match.h"
#include "options.h"
#include "record_status.h"
#include "subcommands.h"
#include "toucanwharf/command/http.h"
#include "toucanwharf/timeline/codec.h"
#include "toucanwharf/timeline/merge.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;
using transport::CallEnd;
using transport::HttpOutcome;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr const char* kRouterReportPrefix = "router.";

bool IsOk(const HttpOutcome& outcome) {
  return outcome.end == CallEnd::kAnswered && outcome.status == kOk;
}

CommandError ErrorOf(const HttpOutcome& outcome) {
  if (outcome.end != CallEnd::kAnswered) return CommandError::kUnreachable;
  return CommandError::kRefused;
}

HttpOutcome CallAdmin(const Arguments& arguments, std::string_view method,
                      const std::string& address, std::string_view target) {
  return Fetch(MakeCall(method, address, target, arguments.Text("admin-key")));
}

/// One router's response to `GET /admin/status`, or the error.
struct RouterStatus {
  std::string admin;
  json status;
  std::string error;
};

std::vector<RouterStatus> FetchStatuses(
    const Arguments& arguments, const std::vector<std::string>& admins) {
  std::vector<RouterStatus> statuses;
  for (const std::string& admin : admins) {
    const HttpOutcome outcome =
        CallAdmin(arguments, "GET", admin, "/admin/status");
    json status = json::parse(outcome.body, nullptr, false);
    if (IsOk(outcome) && status.is_object()) {
      statuses.push_back(RouterStatus{admin, std::move(status), ""});
    } else {
      statuses.push_back(RouterStatus{admin, json::object(), Explain(outcome)});
    }
  }
  return statuses;
}

std::uint64_t GenerationOf(const RouterStatus& router) {
  const auto found = router.status.find("generation");
  if (found == router.status.end()) return 0;
  return found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

/// Returns the newest generation in force on any router, and on how many.
json Summary(const std::vector<RouterStatus>& routers) {
  std::uint64_t newest = 0;
  for (const RouterStatus& router : routers) {
    newest = std::max(newest, GenerationOf(router));
  }
  const auto in_force = std::count_if(
      routers.begin(), routers.end(), [newest](const RouterStatus& router) {
        return router.error.empty() && GenerationOf(router) == newest;
      });
  return {{"generation", newest},
          {"in_force_on", in_force},
          {"routers", routers.size()}};
}

json StatusJson(const std::vector<RouterStatus>& routers,
                const store::Listing& records) {
  json router_list = json::array();
  for (const RouterStatus& router : routers) {
    json line = router.status;
    line["admin"] = router.admin;
    if (!router.error.empty()) line["error"] = router.error;
    router_list.push_back(std::move(line));
  }
  json record_list = json::object();
  for (const store::Object& object : records.objects) {
    // Skips each router's own report, an input to the acceptance of records.
    if (absl::StartsWith(object.key.name, kRouterReportPrefix)) continue;
    record_list[object.key.name] = json::parse(object.value);
  }
  return {{"configuration", Summary(routers)},
          {"routers", router_list},
          {"records", record_list}};
}

void PrintStatus(const json& status, std::ostream& out) {
  const json& configuration = status["configuration"];
  out << "configuration: generation " << configuration["generation"]
      << " in force on " << configuration["in_force_on"] << " of "
      << configuration["routers"] << " routers\n";
  for (const json& router : status["routers"]) {
    out << "router " << router["admin"].get<std::string>() << ":";
    for (const auto& [name, value] : router.items()) {
      if (name != "admin") out << " " << name << "=" << value.dump();
    }
    out << "\n";
  }
  for (const auto& [name, value] : status["records"].items()) {
    out << "record " << name << ": " << ToText(ParseRecordStatus(value.dump()))
        << "\n";
  }
}

int Status(const Arguments& arguments, Streams& streams) {
  const auto admins = AdminAddressesOf(arguments);
  if (!admins) {
    return Fail(streams, admins.error(), "--admin or --platform");
  }
  store::Listing records;
  if (const auto platform = PlatformOf(arguments)) {
    auto listing = platform.value().List("status");
    if (listing) {
      records = std::move(listing).value();
    } else {
      streams.err << "toucanwharf: the platform does not answer; record "
                     "statuses are missing\n";
    }
  }
  const auto routers = FetchStatuses(arguments, admins.value());
  const json status = StatusJson(routers, records);
  if (arguments.Json()) {
    streams.out << status.dump(2) << "\n";
  } else {
    PrintStatus(status, streams.out);
  }
  const bool none_answered = std::none_of(
      routers.begin(), routers.end(),
      [](const RouterStatus& router) { return router.error.empty(); });
  if (none_answered) {
    return Fail(streams, CommandError::kUnreachable, "no router answers");
  }
  return kExitOk;
}

int Entries(const Arguments& arguments, Streams& streams) {
  const std::vector<std::string> entries = arguments.List("entry");
  if (entries.empty()) {
    return Fail(streams, CommandError::kBadUsage, "--entry is missing");
  }
  CommandError error = CommandError::kUnreachable;
  for (const std::string& entry : entries) {
    const HttpOutcome outcome =
        Fetch(MakeCall("GET", entry, "/v1/entries", arguments.Text("key")));
    if (IsOk(outcome)) {
      streams.out << outcome.body;
      return kExitOk;
    }
    streams.err << entry << ": " << Explain(outcome) << "\n";
    error = ErrorOf(outcome);
    if (outcome.status == kUnauthorized) break;
  }
  return Fail(streams, error, "no entry instance returned entry advice");
}

int Drain(const Arguments& arguments, Streams& streams) {
  const auto admins = arguments.List("admin");
  // Has no default, unlike the other subcommands: draining all routers would
  // stop the service.
  if (admins.empty()) {
    return Fail(streams, CommandError::kBadUsage,
                "--admin must name the routers to drain");
  }
  int exit_code = kExitOk;
  for (const std::string& admin : admins) {
    const HttpOutcome outcome =
        CallAdmin(arguments, "POST", admin, "/admin/drain");
    if (IsOk(outcome)) {
      streams.out << admin << ": draining\n";
      continue;
    }
    exit_code =
        Fail(streams, ErrorOf(outcome), admin + ": " + Explain(outcome));
  }
  return exit_code;
}

/// Reads the whole timeline buffer of one router, page by page.
Result<timeline::Page> FetchTimeline(const Arguments& arguments,
                                     const std::string& admin,
                                     Streams& streams) {
  timeline::Page combined;
  std::uint64_t after = 0;
  while (true) {
    const HttpOutcome outcome =
        CallAdmin(arguments, "GET", admin,
                  "/admin/timeline?after=" + std::to_string(after));
    if (!IsOk(outcome)) {
      streams.err << admin << ": " << Explain(outcome) << "\n";
      return ErrorOf(outcome);
    }
    BOOST_OUTCOME_TRY(page, timeline::ParsePage(outcome.body));
    combined.instance = page.instance;
    combined.dropped = page.dropped;
    if (page.events.empty()) return combined;
    const std::uint64_t last = page.events.back().sequence;
    // Guards against an endless loop if sequence numbers do not increase.
    if (last <= after) return combined;
    after = last;
    combined.events.insert(combined.events.end(), page.events.begin(),
                           page.events.end());
  }
}

std::vector<timeline::Page> FetchTimelines(
    const Arguments& arguments, const std::vector<std::string>& admins,
    Streams& streams) {
  std::vector<timeline::Page> pages;
  for (const std::string& admin : admins) {
    auto page = FetchTimeline(arguments, admin, streams);
    if (!page) {
      streams.err << admin << ": " << page.error().message() << "\n";
      continue;
    }
    if (page.value().dropped > 0) {
      streams.err << admin << ": " << page.value().dropped
                  << " older events were dropped\n";
    }
    pages.push_back(std::move(page).value());
  }
  return pages;
}

std::vector<timeline::MergedEvent> FilterByRequest(
    std::vector<timeline::MergedEvent> events, const std::string& request) {
  if (request.empty()) return events;
  std::erase_if(events, [&request](const timeline::MergedEvent& merged) {
    return merged.event.details.request != request;
  });
  return events;
}

int Timeline(const Arguments& arguments, Streams& streams) {
  const auto admins = AdminAddressesOf(arguments);
  if (!admins) {
    return Fail(streams, admins.error(), "--admin or --platform");
  }
  const auto pages = FetchTimelines(arguments, admins.value(), streams);
  if (pages.empty()) {
    return Fail(streams, CommandError::kUnreachable, "no router answers");
  }
  const auto events =
      FilterByRequest(timeline::Merge(pages), arguments.Text("request"));
  const std::string format = arguments.Text("format");
  if (format == "chrome") {
    streams.out << timeline::ToChromeTrace(events) << "\n";
  } else if (format == "json" || arguments.Json()) {
    streams.out << timeline::ToJson(events) << "\n";
  } else if (format == "text") {
    streams.out << timeline::ToText(events);
  } else {
    return Fail(streams, CommandError::kBadUsage, "--format " + format);
  }
  return kExitOk;
}

void AddTimelineOptions(cxxopts::Options& options) {
  AddAdminOptions(options);
  options.add_options()("format",
                        "text, json, or chrome for a trace that "
                        "chrome://tracing and Perfetto open",
                        cxxopts::value<std::string>()->default_value("text"))(
      "request", "only the events of this request id",
      cxxopts::value<std::string>()->default_value(""));
}

}  // namespace

Subcommand StatusSubcommand() {
  return {"status", "Show what is in force on which routers", "",
          AddAdminOptions, Status};
}

Subcommand EntriesSubcommand() {
  return {"entries", "List the entry instances to use", "", AddCallerOptions,
          Entries};
}

Subcommand DrainSubcommand() {
  return {"drain", "Stop routers without aborting requests", "",
          AddAdminOptions, Drain};
}

Subcommand TimelineSubcommand() {
  return {"timeline", "Print the events of all routers in order", "",
          AddTimelineOptions, Timeline};
}

}  // namespace toucanwharf::command
