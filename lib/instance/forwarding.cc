#include "toucanwharf/instance/forwarding.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include "absl/strings/str_cat.h"

namespace toucanwharf::instance {
namespace {

constexpr std::string_view kInstance = "X-Forwarded-Instance";
constexpr std::string_view kConfiguration = "X-Forwarded-Configuration";
constexpr std::string_view kRuns = "X-Forwarded-Runs";
constexpr std::string_view kCounted = "X-Forwarded-Counted";
constexpr std::string_view kAge = "X-Forwarded-Age-Us";
constexpr std::string_view kRefused = "X-Forward-Refused";
constexpr std::string_view kReached = "X-Forward-Reached";
constexpr std::string_view kElsewhere = "elsewhere";
constexpr std::string_view kFinal = "final";

constexpr std::size_t kMaxInstanceLength = 64;
constexpr std::uint64_t kMaxRuns = 16;
constexpr Duration kMaxAge = std::chrono::minutes(10);

/// Reasons of refusals that hold at one instance only.
constexpr std::array<std::string_view, 9> kReasonsOfOneInstance = {
    "no_configuration", "keys_unconfirmed", "stopping",
    "isolated",         "not_connected",    "forward_invalid",
    "forward_behind",   "no_descriptor",    "forward_unknown_instance"};

/// Returns the only value of \p name, a number up to \p max.
std::optional<std::uint64_t> NumberOf(const http::Headers& headers,
                                      std::string_view name,
                                      std::uint64_t max) {
  const auto values = headers.FindAll(name);
  if (values.size() != 1) return std::nullopt;
  const std::string_view text = values.front();
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = end == text.data() + text.size();
  if (error != std::errc() || !whole || number > max) return std::nullopt;
  return number;
}

}  // namespace

bool ClaimsForwarding(const http::Request& request) {
  return request.headers.Find(kInstance).has_value();
}

void SetForwarding(http::Headers& headers, const ForwardedRequest& forwarded) {
  headers.Set(kInstance, forwarded.instance);
  headers.Set(kConfiguration, absl::StrCat(forwarded.configuration_version));
  headers.Set(kRuns, absl::StrCat(forwarded.runs));
  headers.Set(kCounted, forwarded.counted ? "1" : "0");
  headers.Set(kAge, absl::StrCat(forwarded.age.count()));
}

std::optional<ForwardedRequest> ForwardingOf(const http::Headers& headers) {
  const auto instances = headers.FindAll(kInstance);
  const auto version = NumberOf(headers, kConfiguration,
                                std::numeric_limits<std::uint64_t>::max());
  const auto runs = NumberOf(headers, kRuns, kMaxRuns);
  // Absent from instances of an earlier build.
  const auto counted = headers.Find(kCounted) ? NumberOf(headers, kCounted, 1)
                                              : std::optional<std::uint64_t>(1);
  const auto age = NumberOf(headers, kAge,
                            static_cast<std::uint64_t>(kMaxAge / Duration(1)));
  const bool has_instance = instances.size() == 1 &&
                            !instances.front().empty() &&
                            instances.front().size() <= kMaxInstanceLength;
  if (!has_instance || !version || !runs || !counted || !age) {
    return std::nullopt;
  }
  return ForwardedRequest{std::string(instances.front()), *version,
                          static_cast<int>(*runs), *counted == 1,
                          Duration(static_cast<std::int64_t>(*age))};
}

void RemoveForwarding(http::Headers& headers) {
  for (const std::string_view name :
       {kInstance, kConfiguration, kRuns, kCounted, kAge, kRefused, kReached}) {
    headers.Remove(name);
  }
}

void SetRefusal(http::Headers& headers, ForwardRefusal refusal,
                bool reached_endpoint) {
  const bool elsewhere = refusal == ForwardRefusal::kElsewhere;
  headers.Set(kRefused, std::string(elsewhere ? kElsewhere : kFinal));
  if (reached_endpoint) headers.Set(kReached, "1");
}

bool ReachedEndpoint(const http::ResponseHead& refusal) {
  return refusal.headers.Find(kReached).has_value();
}

std::optional<ForwardRefusal> RefusalOf(const http::ResponseHead& answer) {
  const auto value = answer.headers.Find(kRefused);
  if (!value) return std::nullopt;
  return *value == kElsewhere ? ForwardRefusal::kElsewhere
                              : ForwardRefusal::kFinal;
}

ForwardRefusal RefusalFor(std::string_view reason) {
  const auto& reasons = kReasonsOfOneInstance;
  const bool of_one =
      std::find(reasons.begin(), reasons.end(), reason) != reasons.end();
  return of_one ? ForwardRefusal::kElsewhere : ForwardRefusal::kFinal;
}

}  // namespace toucanwharf::instance
