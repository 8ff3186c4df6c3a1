#ifndef TOUCANWHARF_INSTANCE_ENGINE_PROBE_H_
#define TOUCANWHARF_INSTANCE_ENGINE_PROBE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/http/client.h"
#include "toucanwharf/http/loop.h"
#include "toucanwharf/instance/adapter.h"

namespace toucanwharf::instance {

/// What an engine answered when asked.
struct ProbeAnswer {
  /// Whether any answer came; false means that the engine is silent.
  bool alive = false;
  /// What it said of itself, if that could be read.
  std::optional<EndpointReport> report;

  friend bool operator==(const ProbeAnswer&, const ProbeAnswer&) = default;
};

/// Asks engines for their reports and tells within some tens of milliseconds
/// which of them are silent: an answer that has stopped waits for it.
/// Thread safety: only on the loop's thread.
class EngineProbe {
 public:
  using OnAnswer = std::function<void(const ProbeAnswer&)>;
  using ToReport =
      std::function<std::optional<EndpointReport>(const std::string&)>;

  /// Precondition: \p event_loop and \p http_client outlive the probe.
  EngineProbe(http::Loop& event_loop, http::Client& http_client,
              http::Request question, ToReport decode);

  /// Asks the engine at \p address, unless it has answered since \p since.
  /// Those who ask together share one question. \p askers is how many instances
  /// may ask at the same moment: each new connection costs an engine time, and
  /// one that has to accept many is not silent. \p done is called once, later.
  void Ask(const std::string& address, TimePoint since, std::size_t askers,
           OnAnswer done);

 private:
  struct Question {
    std::string address;
    TimePoint asked;
    std::vector<OnAnswer> waiting;
    int under_way = 0;
    Duration second_after{0};
    Duration silent_after{0};
    bool second_sent = false;
    /// A part of it ended in a way that only a live engine shows.
    bool sign_of_life = false;
    http::TimerId second_timer = 0;
  };
  struct Recent {
    TimePoint at;
    ProbeAnswer answer;
  };

  void Begin(const std::shared_ptr<Question>& question);
  void Send(const std::shared_ptr<Question>& question, Duration timeout,
            http::Reuse reuse);
  void SendSecond(const std::shared_ptr<Question>& question);
  void OnPart(const std::shared_ptr<Question>& question, bool timed_out,
              const http::CallResult& result, const http::ResponseHead& head,
              const std::string& body);
  void End(const std::shared_ptr<Question>& question,
           const ProbeAnswer& answer);

  http::Loop& loop;
  http::Client& client;
  http::Request request;
  ToReport to_report;
  std::map<std::string, std::shared_ptr<Question>> asked;
  /// The last answer of each engine.
  std::map<std::string, Recent> recent;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_ENGINE_PROBE_H_
