#ifndef TOUCANWHARF_STANDINS_RELAY_RELAY_H_
#define TOUCANWHARF_STANDINS_RELAY_RELAY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace toucanwharf::standins {

/// Faults of one connection, set by Relay::Set and read by the thread that
/// serves the connection.
struct LinkState {
  std::atomic<bool> blackholed{false};
  std::atomic<bool> cut{false};
};

/// A TCP relay on loopback with injectable faults. Its threads are detached, so
/// it must live until the process ends once Start was called.
/// Thread safety: safe; all methods may be called concurrently.
class Relay {
 public:
  /// Relays connections to \p target_port on loopback.
  explicit Relay(std::uint16_t target_port) : target(target_port) {}

  /// Listens on 127.0.0.1:\p port, 0 for any free port, and relays in threads
  /// of its own. Returns the port. Throws std::runtime_error if it is in use.
  std::uint16_t Start(std::uint16_t port);
  /// Sets the faults that \p body names; "heal" resets those of the relay
  /// first.
  void Set(const nlohmann::json& body);
  /// Returns the counters and the faults.
  nlohmann::json Status();

 private:
  void Accept(int listener);
  void Serve(int client, std::uint64_t id);
  bool ConsumeFault(std::atomic<std::uint64_t>& remaining);

  std::uint16_t target;
  std::mutex mutex;
  std::map<std::uint64_t, std::shared_ptr<LinkState>> open;
  std::uint64_t accepted = 0;
  std::atomic<bool> refuse{false};
  std::atomic<bool> blackhole_new{false};
  std::atomic<std::uint64_t> delay_ms{0};
  std::atomic<std::uint64_t> close_after_request{0};
  std::atomic<std::uint64_t> close_before_answer{0};
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> bytes_out{0};

  friend class Link;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_RELAY_RELAY_H_
