#ifndef TOUCANWHARF_UNITTESTS_MEMBERSHIP_GROUP_H_
#define TOUCANWHARF_UNITTESTS_MEMBERSHIP_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "toucanwharf/membership/membership.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::membership {

/// Members in one process, and a network between them that loses, delays,
/// doubles and parts messages as told.
class Group {
 public:
  using Link = std::function<bool(const std::string&, const std::string&)>;

  Group(std::size_t size, std::uint64_t seed) : random(seed) {
    for (std::size_t at = 0; at < size; ++at) this->Start(Name(at), 1);
  }

  static std::string Name(std::size_t at) { return "r" + std::to_string(at); }

  void Start(const std::string& id, std::uint64_t incarnation) {
    const Member own{id, id, "domain", incarnation, Status::kAlive, false};
    this->members.erase(id);
    this->members.emplace(id, Membership(Settings{}, own, Random(random())));
    if (this->list.insert(id).second) this->ShareList();
  }
  void Kill(const std::string& id) { this->members.erase(id); }
  Membership& At(const std::string& id) { return this->members.at(id); }
  bool Runs(const std::string& id) const { return this->members.contains(id); }

  /// Lets \p periods periods pass, a tenth of one at a time.
  void Run(std::size_t periods) {
    constexpr int kSteps = 10;
    const Duration step = Settings{}.period / kSteps;
    for (std::size_t at = 0; at < periods * kSteps; ++at) {
      this->now = this->now + step;
      this->Deliver();
      for (auto& [id, member] : this->members) {
        if (this->paused.contains(id)) continue;
        for (const Probe& probe : member.Tick(this->now)) {
          this->SendProbe(id, probe);
        }
      }
    }
  }

  /// Returns what \p id believes of \p other.
  std::optional<Status> Belief(const std::string& id,
                               const std::string& other) const {
    const Member* member = this->members.at(id).CurrentView().Find(other);
    if (member == nullptr) return std::nullopt;
    return member->status;
  }
  bool AllBelieve(const std::string& other, Status status) const {
    for (const auto& [id, member] : this->members) {
      if (id != other && this->Belief(id, other) != status) return false;
    }
    return true;
  }
  bool AllAgree() const {
    std::set<std::uint64_t> digests;
    for (const auto& [id, member] : this->members) {
      digests.insert(member.CurrentView().Digest());
    }
    return digests.size() <= 1;
  }

  double loss = 0.0;
  double doubled = 0.0;
  /// Longest delay of a message in steps.
  std::uint64_t delay = 1;
  Link connected = [](const std::string&, const std::string&) { return true; };
  std::set<std::string> paused;
  std::uint64_t bytes = 0;

 private:
  struct Flight {
    std::string from;
    std::string to;
    std::uint64_t id = 0;
    bool answer = false;
    /// Came through a third member, and so goes its answer.
    bool relayed = false;
    Message message;
  };

  void ShareList() {
    std::vector<Seed> seeds;
    for (const std::string& id : this->list) seeds.push_back(Seed{id, id});
    for (auto& [id, member] : this->members) member.OnList(seeds);
  }

  void SendProbe(const std::string& from, const Probe& probe) {
    // A message passed on crosses two links.
    if (!probe.via.empty()) {
      const bool helper = this->members.contains(probe.via) &&
                          !this->paused.contains(probe.via) &&
                          this->connected(from, probe.via);
      if (!helper || !this->connected(probe.via, probe.address)) return;
      this->Post(
          Flight{from, probe.address, probe.id, false, true, probe.message});
      return;
    }
    this->Post(
        Flight{from, probe.address, probe.id, false, false, probe.message});
  }

  void Post(const Flight& flight) {
    if (!flight.relayed && !this->connected(flight.from, flight.to)) return;
    for (const Member& member : flight.message.members) {
      this->bytes += EncodedSize(member);
    }
    for (const Item& item : flight.message.items) {
      this->bytes += EncodedSize(item);
    }
    if (this->random.Unit() < this->loss) return;
    const Duration step = Settings{}.period / 10;
    const int copies = this->random.Unit() < this->doubled ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const auto steps = static_cast<int>(this->random.Below(this->delay));
      this->flights.emplace(this->now + steps * step, flight);
    }
  }

  void Deliver() {
    std::vector<Flight> waiting;
    while (!this->flights.empty() &&
           this->flights.begin()->first <= this->now) {
      const Flight flight = this->flights.begin()->second;
      this->flights.erase(this->flights.begin());
      const auto target = this->members.find(flight.to);
      if (target == this->members.end()) continue;
      if (this->paused.contains(flight.to)) {
        waiting.push_back(flight);
        continue;
      }
      if (flight.answer) {
        target->second.OnAnswer(flight.id, flight.message, this->now);
        continue;
      }
      const Message answer = target->second.OnProbe(flight.message, this->now);
      this->Post(Flight{flight.to, flight.from, flight.id, true, flight.relayed,
                        answer});
    }
    for (const Flight& flight : waiting) {
      this->flights.emplace(this->now + Settings{}.period, flight);
    }
  }

  Random random;
  TimePoint now;
  std::map<std::string, Membership> members;
  std::set<std::string> list;
  std::multimap<TimePoint, Flight> flights;
};

}  // namespace toucanwharf::membership

#endif  // TOUCANWHARF_UNITTESTS_MEMBERSHIP_GROUP_H_
