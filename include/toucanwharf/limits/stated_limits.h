#ifndef TOUCANWHARF_LIMITS_STATED_LIMITS_H_
#define TOUCANWHARF_LIMITS_STATED_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "toucanwharf/support/clock.h"

/// Rates that endpoints in need ask for, and their division among instances.
namespace toucanwharf::limits {

/// Returns the requests per second that \p text states, a plain decimal number,
/// or nothing if it is anything else. Thread safety: safe.
std::optional<double> ParseRate(std::string_view text);

/// What an endpoint last stated, as instances tell each other.
struct LimitReport {
  /// Stands for one start of the endpoint; see endpoints::EndpointKey.
  std::uint32_t endpoint = 0;
  /// Requests per second from all instances; nothing if it no longer states a
  /// limit.
  std::optional<double> per_second;
  /// Time since it stated so.
  Duration age{0};

  friend bool operator==(const LimitReport&, const LimitReport&) = default;
};

/// The limits in force, from the endpoints' answers to this instance and from
/// other instances' reports; the newest statement of an endpoint holds.
///
/// Failure guarded against: an instance that passes on what others reported,
/// each message making it a little newer, would bring back a limit that has
/// ended. Only what endpoints stated to an instance itself is reported to all;
/// the leader of a large fleet forwards the rest.
/// Thread safety: none; for one thread.
class StatedLimits {
 public:
  /// Records that \p endpoint stated \p per_second, or no limit, in its answer
  /// to a request sent at \p sent. Returns whether the limit in force changed.
  bool OnAnswer(std::uint32_t endpoint, std::optional<double> per_second,
                TimePoint sent, TimePoint now);
  /// Applies another instance's report. Returns whether the limit in force
  /// changed.
  bool Merge(const LimitReport& report, TimePoint now);
  /// Returns the limit of \p endpoint, or nothing.
  std::optional<double> Find(std::uint32_t endpoint, TimePoint now) const;
  /// Returns the reports for other instances, with \p include_heard also those
  /// heard from others.
  std::vector<LimitReport> Reports(TimePoint now, bool include_heard);
  /// Returns whether no limit is in force or was lately.
  bool Empty() const { return this->statements.empty(); }
  std::size_t Count(TimePoint now) const;

 private:
  struct Statement {
    std::optional<double> per_second;
    TimePoint at;
    bool first_hand = false;
  };

  bool Apply(std::uint32_t endpoint, const Statement& statement, TimePoint now);
  static bool Holds(const Statement& statement, TimePoint now);

  std::map<std::uint32_t, Statement> statements;
};

}  // namespace toucanwharf::limits

#endif  // TOUCANWHARF_LIMITS_STATED_LIMITS_H_
