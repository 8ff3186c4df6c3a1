#include <algorithm>
#include <array>
#include <ctime>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_format.h"
#include "toucanwharf/timeline/codec.h"
#include "toucanwharf/timeline/merge.h"

namespace toucanwharf::timeline {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMillisPerSecond = 1000;
constexpr std::uint64_t kMicrosPerMilli = 1000;
constexpr int kTraceProcessId = 1;

std::string TimeText(std::uint64_t millis) {
  const auto seconds = static_cast<std::time_t>(millis / kMillisPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  return absl::StrFormat("%s.%03uZ", text.data(), millis % kMillisPerSecond);
}

std::string LineOf(const MergedEvent& merged) {
  const EventDetails& details = merged.event.details;
  std::string line =
      absl::StrFormat("%s %-12s %-20s", TimeText(merged.event.stamp.millis),
                      merged.instance, std::string(NameOf(details.kind)));
  const auto add = [&line](const char* name, const std::string& value) {
    if (!value.empty()) line += " " + std::string(name) + "=" + value;
  };
  add("request", details.request);
  if (details.attempt != 0) add("attempt", std::to_string(details.attempt));
  add("endpoint", details.endpoint);
  add("record", details.record);
  add("reason", details.reason);
  return line + "\n";
}

/// A request's first and last event on one instance.
struct Span {
  Stamp begin;
  Stamp end;
};

using Spans = std::map<std::pair<std::string, std::string>, Span>;

Spans RequestSpans(const std::vector<MergedEvent>& events) {
  Spans spans;
  for (const MergedEvent& merged : events) {
    const std::string& request = merged.event.details.request;
    if (request.empty()) continue;
    const Stamp stamp = merged.event.stamp;
    const auto [span, inserted] =
        spans.try_emplace({merged.instance, request}, Span{stamp, stamp});
    if (!inserted) span->second.end = std::max(span->second.end, stamp);
  }
  return spans;
}

json PageJson(const Page& page) { return json::parse(ToJson(page)); }

/// Returns the viewer's row of each instance, numbered from 1 by name.
std::map<std::string, int> RowsOf(const std::vector<MergedEvent>& events) {
  std::map<std::string, int> rows;
  for (const MergedEvent& merged : events) rows[merged.instance] = 0;
  int next = 1;
  for (auto& [instance, row] : rows) row = next++;
  return rows;
}

json ThreadNameEvent(const std::string& instance, int row) {
  return {{"name", "thread_name"},
          {"ph", "M"},
          {"pid", kTraceProcessId},
          {"tid", row},
          {"args", {{"name", instance}}}};
}

json InstantEvent(const MergedEvent& merged, int row) {
  const json page = PageJson(Page{merged.instance, 0, {merged.event}});
  return {{"name", NameOf(merged.event.details.kind)},
          {"ph", "i"},
          {"s", "t"},
          {"pid", kTraceProcessId},
          {"tid", row},
          {"ts", merged.event.stamp.millis * kMicrosPerMilli},
          {"args", page["events"][0]}};
}

/// Returns the begin or end of a request's bar. The bars are asynchronous
/// events, because requests on one instance overlap.
json AsyncEvent(const char* phase, const std::string& request, Stamp stamp,
                int row) {
  return {{"name", "request"},
          {"cat", "request"},
          {"id", request},
          {"ph", phase},
          {"pid", kTraceProcessId},
          {"tid", row},
          {"ts", stamp.millis * kMicrosPerMilli}};
}

}  // namespace

std::string ToText(const std::vector<MergedEvent>& events) {
  std::string text;
  for (const MergedEvent& merged : events) text += LineOf(merged);
  return text;
}

std::string ToJson(const std::vector<MergedEvent>& events) {
  json list = json::array();
  for (const MergedEvent& merged : events) {
    json page = PageJson(Page{merged.instance, 0, {merged.event}});
    json event = std::move(page["events"][0]);
    event["instance"] = page["instance"];
    list.push_back(std::move(event));
  }
  return list.dump();
}

std::string ToChromeTrace(const std::vector<MergedEvent>& events) {
  json trace = json::array();
  const auto rows = RowsOf(events);
  for (const auto& [instance, row] : rows) {
    trace.push_back(ThreadNameEvent(instance, row));
  }
  for (const MergedEvent& merged : events) {
    trace.push_back(InstantEvent(merged, rows.at(merged.instance)));
  }
  for (const auto& [key, span] : RequestSpans(events)) {
    const auto& [instance, request] = key;
    const int row = rows.at(instance);
    trace.push_back(AsyncEvent("b", request, span.begin, row));
    trace.push_back(AsyncEvent("e", request, span.end, row));
  }
  return json{{"traceEvents", std::move(trace)}, {"displayTimeUnit", "ms"}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace toucanwharf::timeline
