#ifndef TOUCANWHARF_REVIEW_STANDINS_DEPLOYMENT_H_
#define TOUCANWHARF_REVIEW_STANDINS_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

inline constexpr const char* kHost = "lots.example";
inline constexpr const char* kKey = "key-of-the-tenant";
inline constexpr const char* kService = "lot-records";

/// Writes record.txt: one line for each event, with milliseconds since the
/// start. Thread safety: safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  std::int64_t Start() const { return this->start; }

 private:
  std::mutex mutex;
  std::ofstream file;
  std::int64_t start;
};

/// How the runners answer.
struct RunnerKind {
  std::size_t body_bytes = 800;
  std::size_t chunk_bytes = 800;
  std::int64_t chunk_ms = 5;
  bool has_length = true;
  /// Time limit of the routes.
  int timeout_ms = 800;
};

/// Engines of a model, each of which holds all layers.
struct EngineKind {
  int count = 0;
  /// Streams that one runs at once.
  int slots = 3;
  int events = 20;
  std::int64_t gap_ms = 100;
};

/// A small deployment on loopback addresses: the store, runners of one plain
/// service and perhaps of a model, and routers, each a process. Ends all of
/// them when it is destroyed. Thread safety: one thread.
class Deployment {
 public:
  Deployment(Record& events, int runner_count, const RunnerKind& runner_kind,
             int router_count, const EngineKind& engine_kind = {});
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Waits until all routers are ready and each has served a request. Returns
  /// whether they did in time.
  bool AwaitReady();
  /// Returns whether router \p index says that it is ready.
  bool Ready(int index) const;
  std::string CallersAddress(int index) const;

  void StartRouter(int index);
  void SignalRouter(int index, int signal);
  /// Waits until router \p index has ended. Returns whether it did in time.
  bool AwaitRouterEnd(int index, std::int64_t timeout_ms);

  /// Kills the runner \p id; its entry is removed after three beats.
  void KillRunner(const std::string& id);
  /// Runner \p id reports that it drains; returns when the store has accepted.
  void DrainRunner(const std::string& id);
  /// Writes the entry \p name with \p spec, as another writer.
  void PutForeignEntry(const std::string& name, const std::string& spec);

  /// Returns a request for the route of the safe kind.
  static Request SafeRequest(const std::string& id, int deadline_ms);
  /// The same for the unsafe kind.
  static Request UnsafeRequest(const std::string& id, int deadline_ms);
  /// The same for a stream of the model.
  static Request StreamRequest(const std::string& id, int deadline_ms);
  static std::string RunnerId(int index);
  struct Run {
    std::int64_t at_ms = 0;
    /// "run", or why it didn't run: "full", "misdirected".
    std::string what;
    std::string request;
    std::string runner;
  };
  /// Returns what the runners logged so far, in order.
  std::vector<Run> Log() const;
  /// Returns those that ran.
  std::vector<Run> Runs() const;
  /// Copies what the runners logged into the record.
  void RecordRuns();

 private:
  struct Runner {
    std::string id;
    std::string address;
    pid_t process = -1;
    std::string state = "ready";
    int sequence = 0;
    std::int64_t born = 0;
    std::int64_t killed_at = 0;
    bool removed = false;
    bool is_engine = false;
  };
  struct Router {
    std::string ip;
    pid_t process = -1;
  };

  void Configure();
  void StartRunner(Runner& runner) const;
  void Register(Runner& runner);
  void Beat();
  std::string WriteSettings(int index) const;
  Runner& Find(const std::string& id);

  Record& record;
  RunnerKind kind;
  EngineKind engines;
  std::string folder;
  std::string store_address;
  int port_front = 0;
  int port_ready = 0;
  int port_control = 0;
  int port_directory = 0;
  int port_datagrams = 0;
  std::unique_ptr<Store> store;
  std::mutex mutex;
  std::vector<Runner> runners;
  std::vector<Router> routers;
  std::atomic<bool> stopping = false;
  std::thread beats;
};

/// Returns \p answer in a few words.
std::string Describe(const Answer& answer);

/// Runs \p play with the disruption, unless the variable TROUBLE is 0, and
/// returns the exit code: 1 if it returns true (the rule was broken), 0 if not,
/// 2 if it throws.
int PlayCase(const char* record_path,
             const std::function<bool(bool trouble, Record& record)>& play);

}  // namespace review

#endif  // TOUCANWHARF_REVIEW_STANDINS_DEPLOYMENT_H_
