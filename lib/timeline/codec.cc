#include "toucanwharf/timeline/codec.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "toucanwharf/support/json.h"
#include "toucanwharf/support/json_text.h"

namespace toucanwharf::timeline {
namespace {

using nlohmann::json;

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "timeline"; }
  std::string message(int /*code*/) const override {
    return "the response is not a time line page; check that the address is "
           "the admin address of a router of this version";
  }
};

json EventJson(const Event& event) {
  const EventDetails& details = event.details;
  json result = {{"sequence", event.sequence},
                 {"stamp", ToText(event.stamp)},
                 {"wall_ms", event.wall_millis},
                 {"kind", NameOf(details.kind)}};
  const auto add = [&result](const char* name, const std::string& value) {
    if (!value.empty()) result[name] = value;
  };
  add("request", details.request);
  add("record", details.record);
  add("endpoint", details.endpoint);
  add("reason", details.reason);
  if (details.attempt != 0) result["attempt"] = details.attempt;
  return result;
}

std::optional<Event> ReadEvent(const json& value) {
  if (!value.is_object()) return std::nullopt;
  const auto kind = KindOf(TextMember(value, "kind"));
  const auto stamp = ParseStamp(TextMember(value, "stamp"));
  if (!kind || !stamp) return std::nullopt;
  EventDetails details;
  details.kind = *kind;
  details.request = TextMember(value, "request");
  details.record = TextMember(value, "record");
  details.endpoint = TextMember(value, "endpoint");
  details.reason = TextMember(value, "reason");
  details.attempt =
      static_cast<std::uint32_t>(CountMemberOrZero(value, "attempt"));
  return Event{CountMemberOrZero(value, "sequence"), *stamp,
               CountMemberOrZero(value, "wall_ms"), std::move(details)};
}

}  // namespace

const std::error_category& TimelineCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(TimelineError error) {
  return {static_cast<int>(error), TimelineCategory()};
}

std::string ToJson(const Page& page) {
  json events = json::array();
  for (const Event& event : page.events) events.push_back(EventJson(event));
  const json result = {{"instance", page.instance},
                       {"dropped", page.dropped},
                       {"events", std::move(events)}};
  return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Page> ParsePage(std::string_view text) {
  const json value = ParseJson(text);
  if (!value.is_object()) return TimelineError::kMalformedPage;
  const auto events = value.find("events");
  const bool has_events = events != value.end() && events->is_array();
  if (!has_events) return TimelineError::kMalformedPage;
  Page page{
      TextMember(value, "instance"), CountMemberOrZero(value, "dropped"), {}};
  for (const json& item : *events) {
    auto event = ReadEvent(item);
    if (event) page.events.push_back(std::move(*event));
  }
  return page;
}

}  // namespace toucanwharf::timeline
