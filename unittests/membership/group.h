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
/// duplicates and partitions messages as configured.
class Group {
 public:
  using Link = std::function<bool(const std::string&, const std::string&)>;

  Group(std::size_t size, std::uint64_t seed) : random(seed) {
    for (std::size_t i = 0; i < size; ++i) this->Start(Name(i), 1);
  }

  static std::string Name(std::size_t index) {
    return "r" + std::to_string(index);
  }

  void Start(const std::string& id, std::uint64_t incarnation) {
    const Member own{id, id, "domain", incarnation, Status::kAlive, false};
    this->members.erase(id);
    this->members.emplace(id, Membership(Settings{}, own, Random(random())));
    if (this->list.insert(id).second) this->ShareList();
  }
  void Kill(const std::string& id) { this->members.erase(id); }
  Membership& At(const std::string& id) { return this->members.at(id); }
  bool Runs(const std::string& id) const { return this->members.contains(id); }

  /// Simulates \p periods periods in steps of a tenth of one.
  void Run(std::size_t periods) {
    constexpr int kSteps = 10;
    const Duration step = Settings{}.period / kSteps;
    for (std::size_t i = 0; i < periods * kSteps; ++i) {
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

  /// Returns the state of \p other at \p id.
  std::optional<Status> StatusAt(const std::string& id,
                                 const std::string& other) const {
    const Member* member = this->members.at(id).CurrentView().Find(other);
    if (member == nullptr) return std::nullopt;
    return member->status;
  }
  bool AllHaveStatus(const std::string& other, Status status) const {
    for (const auto& [id, member] : this->members) {
      if (id != other && this->StatusAt(id, other) != status) return false;
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
  double duplicated = 0.0;
  /// Longest delay of a message in steps.
  std::uint64_t delay = 1;
  Link connected = [](const std::string&, const std::string&) { return true; };
  std::set<std::string> paused;
  std::uint64_t bytes = 0;

 private:
  struct Packet {
    std::string from;
    std::string to;
    std::uint64_t id = 0;
    bool answer = false;
    /// Came through a third member, as will its answer.
    bool relayed = false;
    Message message;
  };

  void ShareList() {
    std::vector<Seed> seeds;
    for (const std::string& id : this->list) seeds.push_back(Seed{id, id});
    for (auto& [id, member] : this->members) member.OnList(seeds);
  }

  void SendProbe(const std::string& from, const Probe& probe) {
    // An indirect message crosses two links.
    if (!probe.via.empty()) {
      const bool relay_reachable = this->members.contains(probe.via) &&
                                   !this->paused.contains(probe.via) &&
                                   this->connected(from, probe.via);
      if (!relay_reachable || !this->connected(probe.via, probe.address)) {
        return;
      }
      this->Post(
          Packet{from, probe.address, probe.id, false, true, probe.message});
      return;
    }
    this->Post(
        Packet{from, probe.address, probe.id, false, false, probe.message});
  }

  void Post(const Packet& packet) {
    if (!packet.relayed && !this->connected(packet.from, packet.to)) return;
    for (const Member& member : packet.message.members) {
      this->bytes += EncodedSize(member);
    }
    for (const Item& item : packet.message.items) {
      this->bytes += EncodedSize(item);
    }
    if (this->random.Unit() < this->loss) return;
    const Duration step = Settings{}.period / 10;
    const int copies = this->random.Unit() < this->duplicated ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const auto steps = static_cast<int>(this->random.Below(this->delay));
      this->packets.emplace(this->now + steps * step, packet);
    }
  }

  void Deliver() {
    std::vector<Packet> waiting;
    while (!this->packets.empty() &&
           this->packets.begin()->first <= this->now) {
      const Packet packet = this->packets.begin()->second;
      this->packets.erase(this->packets.begin());
      const auto target = this->members.find(packet.to);
      if (target == this->members.end()) continue;
      if (this->paused.contains(packet.to)) {
        waiting.push_back(packet);
        continue;
      }
      if (packet.answer) {
        target->second.OnAnswer(packet.id, packet.message, this->now);
        continue;
      }
      const Message answer = target->second.OnProbe(packet.message, this->now);
      this->Post(Packet{packet.to, packet.from, packet.id, true, packet.relayed,
                        answer});
    }
    for (const Packet& packet : waiting) {
      this->packets.emplace(this->now + Settings{}.period, packet);
    }
  }

  Random random;
  TimePoint now;
  std::map<std::string, Membership> members;
  std::set<std::string> list;
  std::multimap<TimePoint, Packet> packets;
};

}  // namespace toucanwharf::membership

#endif  // TOUCANWHARF_UNITTESTS_MEMBERSHIP_GROUP_H_
