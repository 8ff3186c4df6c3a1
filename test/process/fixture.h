#ifndef TOUCANWHARF_TEST_PROCESS_FIXTURE_H_
#define TOUCANWHARF_TEST_PROCESS_FIXTURE_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Utilities for multi-process tests: programs of this build as child processes
/// on loopback, plain HTTP calls, and a fleet of stand-ins and routers. Only
/// tests and benchmarks start processes; the product never does.
namespace toucanwharf::process_test {

/// One child process. The destructor kills and reaps it; if the test process
/// dies, the kernel kills it.
/// Thread safety: none; one thread at a time.
class Process {
 public:
  enum class OutputTo { kTest, kLog };

  /// Starts \p program from the build directory, with SIGHUP at its default
  /// action, and returns after exec. Its standard error is appended to the file
  /// \p log, or discarded if that is empty; with OutputTo::kLog its standard
  /// output goes there too.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log = "", OutputTo output_to = OutputTo::kTest);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for a line of standard output that starts with \p word and a space,
  /// and returns the rest of it. Throws std::runtime_error if the output ends
  /// first.
  std::string WaitForLine(const std::string& word);

  /// Returns the process id, to look it up in /proc.
  pid_t Pid() const { return this->pid; }
  /// Returns the exit code or signal as text; empty while the process runs or
  /// once it was reaped.
  std::string ExitDescription() const;
  /// Sends \p signal_number; has no effect once the process was reaped.
  void Signal(int signal_number) const;
  /// Sends SIGKILL and waits until the process has ended.
  void Kill();
  /// Waits until the process has ended. Returns its exit code, or -1 if a
  /// signal ended it.
  int Wait();

 private:
  pid_t pid = -1;
  int output = -1;
  std::string unread;
};

/// Response to a call; status 0 means that none was received.
struct Answer {
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  std::map<std::string, std::string> headers;
  std::string body;
  /// Whether the response was received completely, as HTTP defines it.
  bool complete = false;

  /// Returns the body as JSON; a discarded value if it isn't valid JSON.
  nlohmann::json Json() const;
};

/// One HTTP call to make.
struct Call {
  std::string method = "GET";
  /// "ip:port/path".
  std::string url;
  /// Bearer key; empty for none.
  std::string key;
  /// Further header lines, each "Name: value".
  std::vector<std::string> headers;
  std::string body;
  int timeout_ms = 30000;
  /// Receives the body as it arrives; returning false closes the connection.
  std::function<bool(const std::string&)> on_data;
};

/// Makes \p call on a new connection and blocks until it is complete.
/// Thread safety: safe.
Answer Send(const Call& call);

/// Returns a loopback address with a port that was free when checked. Throws
/// std::runtime_error if there is none.
std::string FreeAddress();

/// Description of a stand-in engine to start.
struct EngineSpec {
  std::string id;
  std::string failure_domain = "casa-a";
  std::uint32_t begin = 0;
  std::uint32_t end = 0;
  std::uint64_t layer_micros = 2000;
  std::vector<std::string> extra_arguments;
  /// Whether routers and engines reach it through a relay.
  bool behind_relay = false;
};

/// A streamed answer as received by its caller, with the arrival time of each
/// token on the steady clock.
struct StreamedAnswer {
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  std::string id;
  std::vector<std::string> tokens;
  std::vector<std::int64_t> token_micros;
  bool done = false;
  std::string error;
};

/// The platform, engines and routers of one test, all on free loopback ports.
/// It has one model "qa-model", version "v1", one pipeline "qa", and one
/// customer with key `kCustomerKey`.
/// Thread safety: `Stream` may run in several threads; the rest in one.
class Fleet {
 public:
  static constexpr const char* kCustomerKey = "customer-key-of-the-tests";
  static constexpr const char* kAdminKey = "admin-key-of-the-tests";
  static constexpr std::uint32_t kLayers = 12;

  /// Starts the platform and writes the records.
  Fleet();

  /// Starts an engine, behind a relay if requested, and registers it with the
  /// platform.
  void AddEngine(const EngineSpec& spec);
  /// Starts a router in \p failure_domain, with \p limits and \p timeouts in
  /// its settings, and returns its index, from 0.
  std::size_t AddRouter(const std::string& failure_domain,
                        const nlohmann::json& limits = nlohmann::json::object(),
                        const nlohmann::json& timeouts = {
                            {"entries_ttl_ms", 500}});
  /// Waits until every router knows all engines and routers and serves the
  /// pipeline. Throws std::runtime_error after 600 polls at 50 ms, about half a
  /// minute.
  void WaitUntilServing();

  /// Starts a relay before every router that delays each direction by \p millis
  /// milliseconds; `Stream` and `Resume` use it from now on.
  void DelayCallers(int millis);

  Process& Platform() { return *this->platform; }
  Process& Engine(const std::string& id) { return *this->engines.at(id); }
  Process& Router(std::size_t number) { return *this->routers.at(number); }
  const std::string& PlatformAddress() const { return this->platform_address; }
  const std::string& RouterAddress(std::size_t number) const {
    return this->router_addresses.at(number);
  }
  const std::string& AdminAddress(std::size_t number) const {
    return this->admin_addresses.at(number);
  }
  /// Sets the faults of the engine \p id.
  void EngineFault(const std::string& id, const nlohmann::json& fault) const;
  /// Sets the faults of the relay before the engine \p id.
  void RelayFault(const std::string& id, const nlohmann::json& fault) const;

  /// Requests a streamed answer from router \p number and reads all of it.
  /// \p on_token is called after each token with the number received so far;
  /// returning false closes the caller's connection.
  StreamedAnswer Stream(
      std::size_t number, const std::string& prompt, std::uint32_t tokens,
      std::uint64_t seed,
      const std::function<bool(std::size_t)>& on_token = {}) const;

  /// Resumes reading an answer at router \p number, starting at token \p from.
  StreamedAnswer Resume(std::size_t number, const std::string& id,
                        std::size_t from) const;

  /// Returns the value of the metric \p name of router \p number, or 0 if it
  /// isn't exported yet.
  double Metric(std::size_t number, const std::string& name) const;

  /// Returns the tokens of the complete and correct answer.
  static std::vector<std::string> Expected(const std::string& prompt,
                                           std::uint32_t tokens,
                                           std::uint64_t seed);

 private:
  void PutRecord(const std::string& kind, const std::string& name,
                 const nlohmann::json& spec) const;
  void Register(const EngineSpec& spec, const std::string& address) const;
  void Register(const nlohmann::json& instance) const;

  std::unique_ptr<Process> platform;
  std::string platform_address;
  std::map<std::string, std::unique_ptr<Process>> engines;
  std::map<std::string, std::string> engine_addresses;
  std::map<std::string, std::unique_ptr<Process>> relays;
  std::map<std::string, std::string> relay_admins;
  std::vector<std::unique_ptr<Process>> routers;
  std::vector<std::string> router_addresses;
  std::vector<std::string> admin_addresses;
  std::vector<std::unique_ptr<Process>> caller_relays;
};

}  // namespace toucanwharf::process_test

#endif  // TOUCANWHARF_TEST_PROCESS_FIXTURE_H_
