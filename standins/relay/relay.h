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

/// What a connection does with bytes; shared by the switches and its thread.
struct LinkState {
  std::atomic<bool> silent{false};
  std::atomic<bool> cut{false};
};

/// The relay's switches and counters.
/// Thread safety: all methods may be called at once from several threads.
class Relay {
 public:
  /// Relays to \p target_port on the loopback.
  explicit Relay(std::uint16_t target_port) : target(target_port) {}

  /// Listens on 127.0.0.1:\p port and relays from then on, in threads of its
  /// own; returns the port. Throws std::runtime_error if it is taken.
  std::uint16_t Start(std::uint16_t port);
  /// Takes over the switches that \p body names.
  void Set(const nlohmann::json& body);
  /// Returns the counters and switches.
  nlohmann::json Status();

 private:
  void Accept(int listener);
  void Serve(int client, std::uint64_t id);
  bool TakeRequestFault(std::atomic<std::uint64_t>& left);

  std::uint16_t target;
  std::mutex mutex;
  std::map<std::uint64_t, std::shared_ptr<LinkState>> open;
  std::uint64_t accepted = 0;
  std::atomic<bool> refuse{false};
  std::atomic<bool> silence_new{false};
  std::atomic<std::uint64_t> delay_ms{0};
  std::atomic<std::uint64_t> close_after_request{0};
  std::atomic<std::uint64_t> close_before_answer{0};
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> bytes_out{0};

  friend class Link;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_RELAY_RELAY_H_
