#ifndef TOUCANWHARF_ATTEMPTS_CAPACITY_QUEUE_H_
#define TOUCANWHARF_ATTEMPTS_CAPACITY_QUEUE_H_

#include <concepts>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace toucanwharf::attempts {

/// Requests that wait for capacity, in order of arrival for each service.
///
/// Load: the engines of a service are full or state a limit. Its first request
/// blocks those behind it, or a long answer would never be placed, but not the
/// requests for other services, whose engines are free.
/// Thread safety: none; for one thread.
template <std::copy_constructible Entry>
class CapacityQueue {
 public:
  void Push(const std::string& service, Entry entry) {
    this->waiting[service].push_back(std::move(entry));
  }
  bool Empty() const { return this->waiting.empty(); }
  /// Returns whether requests for \p service wait.
  bool Waits(const std::string& service) const {
    return this->waiting.contains(service);
  }

  /// Calls \p leave with the first request of each service, and with the next
  /// one as long as it returns true: the request has left the queue. It may add
  /// requests.
  template <std::predicate<const Entry&> Leave>
  void Serve(const Leave& leave) {
    for (auto& [service, entries] : this->waiting) {
      while (!entries.empty()) {
        const Entry first = entries.front();
        if (!leave(first)) break;
        entries.pop_front();
      }
    }
    std::erase_if(this->waiting,
                  [](const auto& entry) { return entry.second.empty(); });
  }

 private:
  /// No entry is empty between two calls.
  std::map<std::string, std::deque<Entry>> waiting;
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_CAPACITY_QUEUE_H_
