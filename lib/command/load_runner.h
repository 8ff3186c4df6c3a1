#ifndef TOUCANWHARF_LIB_COMMAND_LOAD_RUNNER_H_
#define TOUCANWHARF_LIB_COMMAND_LOAD_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/command/answer_session.h"
#include "toucanwharf/command/load_plan.h"
#include "toucanwharf/command/load_report.h"
#include "toucanwharf/records/records.h"
#include "toucanwharf/transport/event_loop.h"
#include "toucanwharf/transport/http_client.h"

namespace toucanwharf::command {

struct LoadOptions {
  LoadProfile profile;
  /// Calls per second.
  double rate = 10;
  Duration duration{std::chrono::seconds(10)};
  std::uint64_t seed = 1;
  /// Entry instances to request entry advice from.
  std::vector<std::string> entries;
  /// Whether the first advice is kept for the whole run, to simulate a caller
  /// that does not refresh it.
  bool keep_advice = false;
  Duration idle_timeout{std::chrono::seconds(10)};
  /// Records to verify answers against; without them nothing is verified.
  std::optional<records::Catalog> catalog;

  friend bool operator==(const LoadOptions&, const LoadOptions&) = default;
};

/// Runs an open-loop load on one thread.
/// Thread safety: none.
class LoadRunner {
 public:
  /// Calls \p on_progress about once a second.
  LoadRunner(LoadOptions options,
             std::function<void(const LoadReport&)> on_progress);

  /// Runs the whole load, waits for the last answers, and returns the report.
  /// Precondition: called at most once.
  LoadReport Run();

 private:
  struct Answer;
  /// The entry advice that one customer last received.
  struct Advice {
    std::vector<std::string> entries;
    TimePoint valid_until;
    bool request_in_flight = false;
  };
  using SharedAnswer = std::shared_ptr<Answer>;

  void ScheduleNext();
  void Start(const Arrival& arrival);
  void StartAnswer(const Arrival& arrival);
  void StartService(const Arrival& arrival);
  void Continue(const SharedAnswer& answer);
  void ProcessBytes(Answer& answer, std::string_view bytes);
  void EndAnswer(const SharedAnswer& answer);
  void EndService(const transport::HttpOutcome& outcome, TimePoint planned);
  void RefreshAdvice(std::size_t customer);
  std::vector<std::string> EntriesFor(std::size_t customer);
  void AbortIdleCalls();
  void ReportProgress();
  void StopIfDone();

  LoadOptions options;
  std::function<void(const LoadReport&)> on_progress;
  ArrivalSource arrivals;
  Random random;
  transport::EventLoop loop;
  transport::HttpClient client;
  LoadReport report;
  TimePoint start_time;
  bool all_calls_started = false;
  std::size_t calls_running = 0;
  std::vector<SharedAnswer> answers;
  std::map<std::size_t, Advice> advice;
};

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_LIB_COMMAND_LOAD_RUNNER_H_
