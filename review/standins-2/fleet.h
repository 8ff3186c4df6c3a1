#ifndef REVIEW_STANDINS_2_FLEET_H_
#define REVIEW_STANDINS_2_FLEET_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

/// A small deployment on loopback addresses: stand-ins for the platform's store
/// and for the runners of one plain service, and routers as real processes.
namespace review {

using Clock = std::chrono::steady_clock;

/// Collects what was sent, answered and run, and writes it to record.txt.
/// Thread safety: safe.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& text);
  /// Returns the milliseconds since the start.
  std::int64_t Now() const;

 private:
  std::mutex mutex;
  std::FILE* file;
  Clock::time_point start = Clock::now();
};

/// The platform's store, as PROTOCOL.md tells it. Specs are kept as the text
/// that their writer sent.
/// Thread safety: safe.
class Store {
 public:
  Store(const std::string& ip, int port);

  /// Writes an object unconditionally. Returns the new revision. The change
  /// counts as acknowledged when this returns.
  std::uint64_t Put(const std::string& kind, const std::string& name,
                    const std::string& spec);
  /// Replaces the spec without a new revision, as a report that changes nothing
  /// but its `seq`.
  void Touch(const std::string& kind, const std::string& name,
             const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);

  /// Keeps a copy of all objects, in place of an earlier one.
  void KeepCopy();
  /// Makes the store answer every call with 503, or serve again.
  void SetAway(bool is_away);
  /// Returns from the copy: what was written since is lost, revisions go back,
  /// and the era rises by one.
  void ReturnFromCopy();

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::string spec;
    std::string status = "null";
  };

  bool Handle(const Request& request, Peer& peer);
  std::string ObjectText(const std::string& name, const Object& object) const;
  std::string ListText(const std::string& kind, const std::string& after) const;

  std::mutex mutex;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::map<std::string, std::map<std::string, Object>> copy;
  std::uint64_t revision = 100;
  std::uint64_t copied_revision = 100;
  std::uint64_t era = 1;
  bool away = false;
  std::unique_ptr<Server> server;
};

/// Address and name of a runner.
struct RunnerSpec {
  std::string id;
  std::string ip;
  int port = 0;
  std::string zone;
};

/// A runner of the plain service. It registers itself in the store.
class Runner {
 public:
  /// Handles a request that the runner begins to work on.
  using Work = std::function<bool(const Request&, Peer&)>;

  Runner(Store& platform_store, Record& run_record, RunnerSpec runner_spec,
         Work to_do);

  /// Reports `draining`; it goes on serving.
  void Drain();
  /// Ends like a process that is killed. Its entry in the store stays until it
  /// is removed.
  void Crash();
  bool HasEnded() const { return this->ended; }
  const std::string& Id() const { return this->spec.id; }
  /// Returns the signature of this runner's answer to \p request.
  std::string StampOf(const Request& request) const;

 private:
  void Register(const std::string& state);
  bool Handle(const Request& request, Peer& peer);

  Store& store;
  Record& record;
  RunnerSpec spec;
  Work work;
  std::int64_t born;
  std::atomic<bool> ended{false};
  std::unique_ptr<Server> server;
};

/// The store, three runners and three routers.
class Fleet {
 public:
  static constexpr const char* kHost = "lots.example";
  static constexpr const char* kKey = "n2ctnfzs989anu6wsjnb";
  static constexpr int kRouters = 3;
  static constexpr int kRunners = 3;
  static constexpr int kDrainMs = 2000;
  static constexpr int kGraceS = 8;

  /// Throws std::runtime_error if the deployment can't start. \p work is what
  /// runners do with a request.
  Fleet(Record& run_record,
        std::function<bool(Runner&, const Request&, Peer&)> work);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Writes version \p version of the configuration, in which the customer
  /// holds \p keys. It counts as acknowledged when this returns.
  void Configure(int version, const std::vector<std::string>& keys);
  /// Waits until each router says that it is ready, and answers.
  bool AwaitReady(int timeout_ms);
  /// Sends a request through router \p index.
  Reply Send(int index, const std::string& method, const std::string& path,
             const std::string& id, const std::string& body = "",
             const CallOptions& options = {}, int deadline_ms = 5000,
             const std::string& key = kKey);
  /// Returns a request as Send sends it.
  Request MakeRequest(const std::string& method, const std::string& path,
                      const std::string& id, const std::string& body = "",
                      int deadline_ms = 5000,
                      const std::string& key = kKey) const;
  /// Opens a connection to router \p index.
  std::unique_ptr<Channel> Connect(int index) const;
  void StartRouter(int index);
  void Signal(int index, int number);
  /// Waits until router \p index has ended. Returns false after the timeout.
  bool AwaitEnd(int index, int timeout_ms);
  bool IsReady(int index) const;
  /// Returns whether the process of router \p index runs.
  bool Runs(int index);

  Store& Platform() { return *this->store; }
  Runner& RunnerAt(int index) { return *this->runners.at(index); }

 private:
  std::string RouterIp(int index) const;
  std::string SettingsOf(int index) const;

  Record& record;
  std::string directory;
  int store_port;
  int service_port;
  int front_port;
  int ready_port;
  int control_port;
  int directory_port;
  int datagram_port;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Runner>> runners;
  std::vector<pid_t> routers;
};

/// Returns whether the environment asks for the run without the disruption.
bool WithoutTrouble();

/// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

}  // namespace review

#endif  // REVIEW_STANDINS_2_FLEET_H_
