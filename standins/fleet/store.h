#ifndef TOUCANWHARF_STANDINS_FLEET_STORE_H_
#define TOUCANWHARF_STANDINS_FLEET_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "toucanwharf/http/loop.h"
#include "toucanwharf/http/server.h"

/// A small stand-in for the users' platform: its store, its model engines and
/// its plain services, with faults that a test injects. It simulates protocols
/// and faults, not the time that real components take.
namespace toucanwharf::standins::fleet {

/// Fault that the store injects into calls to one of its addresses.
enum class StoreFault {
  kNone,
  /// Responds with 503.
  kBusy,
  /// Closes the connection.
  kReset,
  /// Never responds.
  kUnresponsive,
  /// Applies a write and closes the connection without a response.
  kLosesAnswers,
  /// Applies writes after kWriteDelay, so that later reads precede them.
  kSlowWrites,
};

/// The store: objects by kind and name, with revisions and conditional writes.
/// Thread safety: only on the loop's thread.
class Store {
 public:
  static constexpr Duration kWriteDelay = std::chrono::milliseconds(500);

  /// Listens on \p addresses, one for each caller that needs its own faults.
  /// Throws std::runtime_error if an address is in use.
  Store(http::Loop& event_loop, const std::vector<std::string>& addresses);

  /// Writes an object unconditionally, as an operator or an endpoint would.
  void Put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec);
  /// The same with a spec that is \p text, JSON or not.
  void PutText(const std::string& kind, const std::string& name,
               const std::string& text);
  void Remove(const std::string& kind, const std::string& name);
  /// Returns an object's spec, null if there is none.
  nlohmann::json Spec(const std::string& kind, const std::string& name) const;
  /// Returns the names of all objects of \p kind.
  std::vector<std::string> Names(const std::string& kind) const;
  /// Sets the fault of the address with index \p address.
  void SetFault(std::size_t address, StoreFault fault);
  /// Returns the number of calls received.
  std::uint64_t Calls() const { return this->calls; }
  /// Returns how often the store has returned from a copy, plus one.
  std::uint64_t Era() const { return this->era; }

  /// Keeps a copy of all objects, in place of an earlier one.
  void KeepCopy() { this->copy = Contents{this->kinds, this->revision}; }
  /// Returns from the last copy, or an empty one: what was written since is
  /// lost, and its revisions are given out again.
  void ReturnFromCopy();
  /// Writes again what the operator and the endpoints wrote last and the store
  /// has lost, now or after \p delay.
  void WriteAgain();
  void WriteAgainAfter(Duration delay);

 private:
  struct Object {
    std::uint64_t revision = 0;
    nlohmann::json spec;
  };
  using Kind = std::map<std::string, Object>;
  struct Contents {
    std::map<std::string, Kind> kinds;
    std::uint64_t revision = 0;
  };
  struct Reply {
    int status = 0;
    nlohmann::json body;
  };

  void Handle(std::size_t address, std::shared_ptr<http::Exchange> exchange);
  void Answer(http::Exchange& exchange);
  Reply Execute(const http::Request& request);
  Reply List(const std::string& kind, const std::string& after) const;
  Reply Create(const std::string& kind, const nlohmann::json& body);
  Reply Replace(const std::string& kind, const std::string& name,
                const nlohmann::json& body);
  /// Returns \p body as text, with the texts of PutText in place.
  std::string ToText(const nlohmann::json& body) const;
  static nlohmann::json ToJson(const std::string& name, const Object& object);

  http::Loop& loop;
  std::vector<std::unique_ptr<http::Server>> servers;
  std::vector<StoreFault> faults;
  /// Calls that never get a response, kept so that they stay open.
  std::vector<std::shared_ptr<http::Exchange>> unanswered;
  std::map<std::string, Kind> kinds;
  /// What was last written, by kind and name; null if it was removed.
  std::map<std::string, std::map<std::string, nlohmann::json>> written;
  std::uint64_t revision = 0;
  std::uint64_t era = 1;
  Contents copy;
  /// Texts of PutText, by the string that stands for each.
  std::map<std::string, std::string> texts;
  std::uint64_t calls = 0;
};

}  // namespace toucanwharf::standins::fleet

#endif  // TOUCANWHARF_STANDINS_FLEET_STORE_H_
