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

/// What tests of several processes share: programs of this build as child
/// processes on loopback, plain HTTP calls, and a fleet of stand-ins and
/// routers. Only tests and benchmarks start processes; the product never does.
namespace toucanwharf::process_test {

/// One child process. It is killed and reaped with the object, and by the
/// kernel if the test itself dies.
/// Thread safety: none; one thread at a time.
class Process {
 public:
  enum class OutputTo { kTest, kLog };

  /// Starts \p program of the build folder, with default signals, and returns
  /// when it has begun. Its standard error goes to the file \p log, or nowhere
  /// if that is empty, and with \p output_to its standard output as well.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log = "", OutputTo output_to = OutputTo::kTest);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for a line of standard output that begins with \p word and returns
  /// the rest of it. Throws std::runtime_error if the output ends first.
  std::string WaitForLine(const std::string& word);

  /// Returns its process id, for what /proc tells of it.
  pid_t Pid() const { return this->pid; }
  /// Returns how it ended, empty while it runs or once it was reaped.
  std::string Ended() const;
  /// Sends \p signal_number; without effect once it was reaped.
  void Signal(int signal_number) const;
  /// Kills the process (SIGKILL) and waits for its end.
  void Kill();
  /// Waits for its end and returns the exit code, or -1 after a signal.
  int Wait();

 private:
  pid_t pid = -1;
  int output = -1;
  std::string unread;
};

/// Answer of a call; status 0 means none came.
struct Answer {
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  std::map<std::string, std::string> headers;
  std::string body;
  /// Whether it came to its end as the protocol says.
  bool complete = false;

  /// Returns the body as JSON, a discarded value if it is none.
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
  /// Gets the body's bytes as they come; returning false closes the call.
  std::function<bool(const std::string&)> on_data;
};

/// Makes \p call on a connection of its own and waits for its end.
/// Thread safety: safe.
Answer Send(const Call& call);

/// Returns the address of a loopback port that was free a moment ago.
std::string FreeAddress();

/// One stand-in engine to start.
struct EngineSpec {
  std::string id;
  std::string failure_domain = "casa-a";
  std::uint32_t begin = 0;
  std::uint32_t end = 0;
  std::uint64_t layer_micros = 2000;
  std::vector<std::string> more_arguments;
  /// Whether routers and engines reach it through a relay.
  bool behind_relay = false;
};

/// An answer as its caller read it, with the steady clock's time of each
/// token.
struct StreamedAnswer {
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  std::string id;
  std::vector<std::string> tokens;
  std::vector<std::int64_t> token_micros;
  bool done = false;
  std::string error;
};

/// The platform, engines and routers of one test, all on ephemeral loopback
/// ports. One model "qa-model", version "v1", pipeline "qa", customer with key
/// `kCustomerKey`.
/// Thread safety: `Stream` may run in several threads; the rest in one.
class Fleet {
 public:
  static constexpr const char* kCustomerKey = "customer-key-of-the-tests";
  static constexpr const char* kAdminKey = "admin-key-of-the-tests";
  static constexpr std::uint32_t kLayers = 12;

  /// Starts the platform and writes the records.
  Fleet();

  /// Starts an engine, with a relay before it if asked, and lists it.
  void AddEngine(const EngineSpec& spec);
  /// Starts a router in \p failure_domain and returns its number, from 0.
  std::size_t AddRouter(const std::string& failure_domain);
  /// Waits until every router knows all engines and routers and serves the
  /// pipeline; throws
  /// std::runtime_error after half a minute.
  void WaitUntilServing();

  /// Puts a relay that delays each way by \p millis before every router;
  /// `Stream` and `Resume` go through it from now on.
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
  /// Sets faults of the engine \p id itself.
  void EngineFault(const std::string& id, const nlohmann::json& fault) const;
  /// Sets faults of the relay before the engine \p id.
  void RelayFault(const std::string& id, const nlohmann::json& fault) const;

  /// Asks router \p number for an answer and reads it to its end.
  /// \p on_token is called after each token with the number read so far;
  /// returning false closes the caller's connection.
  StreamedAnswer Stream(
      std::size_t number, const std::string& prompt, std::uint32_t tokens,
      std::uint64_t seed,
      const std::function<bool(std::size_t)>& on_token = {}) const;

  /// Reads on an answer at router \p number from token \p from.
  StreamedAnswer Resume(std::size_t number, const std::string& id,
                        std::size_t from) const;

  /// Returns the value of the counter \p name of router \p number, 0 if it
  /// has none yet.
  double Metric(std::size_t number, const std::string& name) const;

  /// Returns the tokens that a whole right answer has.
  static std::vector<std::string> Expected(const std::string& prompt,
                                           std::uint32_t tokens,
                                           std::uint64_t seed);

 private:
  void PutRecord(const std::string& kind, const std::string& name,
                 const nlohmann::json& spec) const;
  void List(const EngineSpec& spec, const std::string& address) const;
  void List(const nlohmann::json& instance) const;

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
