#include "toucanwharf/membership/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace toucanwharf::membership {
namespace {

/// A gap of more periods than this between ticks means that the process was
/// paused; missing answers from that time are no evidence.
constexpr int kMaxTickGapPeriods = 2;
/// Upper bound of the health penalty. A member with penalty n waits 1 + n times
/// as long before it declares others dead; the bound ensures that the death of
/// all others is still detected.
constexpr std::uint32_t kMaxHealthPenalty = 3;
/// Periods after which an unanswered probe to a seed is dropped.
constexpr int kSeedProbePeriods = 4;

template <typename T>
void Shuffle(std::vector<T>& list, Random& random) {
  for (std::size_t left = list.size(); left > 1; --left) {
    std::swap(list[left - 1], list[random.Below(left)]);
  }
}

std::uint64_t Score(const std::string& endpoint, const std::string& member) {
  std::uint64_t state = 0;
  for (const char letter : endpoint) {
    state = MixBits(state ^ static_cast<unsigned char>(letter));
  }
  for (const char letter : member) {
    state = MixBits(state ^ static_cast<unsigned char>(letter));
  }
  return state;
}

}  // namespace

Membership::Membership(const Settings& limits, const Member& own,
                       Random random_source)
    : settings(limits), view(limits, own), random(random_source) {}

std::vector<Probe> Membership::Tick(TimePoint now) {
  std::vector<Probe> probes;
  if (!this->last_tick) this->next_period = now;
  this->DropProbesAfterPause(now);
  this->last_tick = now;
  this->CheckPending(now, probes);
  this->view.Expire(now, this->SuspicionTimeout());
  if (now >= this->next_period) this->StartPeriod(now, probes);
  return probes;
}

void Membership::DropProbesAfterPause(TimePoint now) {
  if (!this->last_tick) return;
  if (now - *this->last_tick <= kMaxTickGapPeriods * this->settings.period) {
    return;
  }
  // Guards against a router that was stopped, resumes, finds all its probes
  // overdue and declares healthy members suspect. Their answers may be unread
  // in its sockets. So the time of the pause doesn't count against others.
  this->pending.clear();
  this->health_penalty = kMaxHealthPenalty;
  this->next_period = now;
}

void Membership::CheckPending(TimePoint now, std::vector<Probe>& probes) {
  for (auto it = this->pending.begin(); it != this->pending.end();) {
    Pending& probe = it->second;
    const Duration age = now - probe.started;
    if (probe.seed) {
      const bool expired = age > kSeedProbePeriods * this->settings.period;
      it = expired ? this->pending.erase(it) : std::next(it);
      continue;
    }
    if (!probe.indirect_probes_sent &&
        age > this->WithHealthPenalty(this->settings.probe_timeout)) {
      this->SendIndirectProbes(it->first, probe, probes);
    }
    if (age <= this->WithHealthPenalty(this->settings.period)) {
      ++it;
      continue;
    }
    this->health_penalty =
        std::min(this->health_penalty + 1, kMaxHealthPenalty);
    this->MarkSuspect(probe.target, now);
    it = this->pending.erase(it);
  }
}

void Membership::SendIndirectProbes(std::uint64_t id, Pending& probe,
                                    std::vector<Probe>& probes) {
  probe.indirect_probes_sent = true;
  std::vector<std::string> relays = this->Targets();
  std::erase(relays, probe.target);
  Shuffle(relays, this->random);
  if (relays.size() > this->settings.indirect_probes) {
    relays.resize(this->settings.indirect_probes);
  }
  for (const std::string& relay : relays) {
    probes.push_back(Probe{id, probe.address, this->view.Find(relay)->address,
                           this->view.NextMessage(false)});
  }
}

void Membership::StartPeriod(TimePoint now, std::vector<Probe>& probes) {
  this->next_period = this->next_period + this->settings.period;
  if (this->next_period <= now) this->next_period = now + this->settings.period;
  ++this->periods;
  this->ProbeNext(now, probes);
  this->ProbeSeed(now, probes);
}

void Membership::ProbeNext(TimePoint now, std::vector<Probe>& probes) {
  // Round robin over a shuffled list: each member is probed once a round, so
  // the time until a death is detected is bounded, not only expected.
  while (true) {
    if (this->round.empty()) {
      this->round = this->Neighbours();
      Shuffle(this->round, this->random);
      if (this->round.empty()) return;
    }
    const std::string id = this->round.back();
    this->round.pop_back();
    const Member* member = this->view.Find(id);
    if (member == nullptr || member->status == Status::kDead) continue;
    this->Send(id, member->address, false, now, probes);
    return;
  }
}

void Membership::ProbeSeed(TimePoint now, std::vector<Probe>& probes) {
  std::vector<Seed> unknown;
  std::vector<Seed> dead;
  for (const Seed& seed : this->seeds) {
    if (seed.id == this->view.Self().id) continue;
    if (this->view.Find(seed.id) == nullptr) unknown.push_back(seed);
  }
  for (const Member& member : this->view.Others()) {
    if (member.status != Status::kDead) continue;
    dead.push_back(Seed{member.id, member.address});
  }
  // A member never contacted is probed each period, so that a new instance
  // joins immediately; dead ones rarely, to reach the other half after a
  // partition.
  if (this->periods % this->settings.reconnect_periods != 0) dead.clear();
  std::vector<Seed>& candidates = unknown.empty() ? dead : unknown;
  if (candidates.empty()) return;
  const Seed& seed = candidates[this->random.Below(candidates.size())];
  this->Send(seed.id, seed.address, true, now, probes);
}

void Membership::Send(const std::string& target, const std::string& address,
                      bool seed, TimePoint now, std::vector<Probe>& probes) {
  const std::uint64_t id = ++this->next_probe;
  this->pending[id] = Pending{target, address, now, false, seed};
  Message message = this->view.NextMessage(this->compare_tables);
  const Member* known = this->view.Find(target);
  // A member in state dead or suspect must receive that claim to refute it.
  if (known != nullptr && known->status != Status::kAlive) {
    message.members.push_back(*known);
  }
  probes.push_back(Probe{id, address, "", std::move(message)});
}

Message Membership::OnProbe(const Message& message, TimePoint now) {
  this->Receive(message, now);
  Message answer = this->view.NextMessage(this->compare_tables);
  const Member* sender = this->view.Find(message.sender.id);
  if (sender != nullptr && sender->status != Status::kAlive) {
    answer.members.push_back(*sender);
  }
  return answer;
}

void Membership::OnAnswer(std::uint64_t id, const Message& message,
                          TimePoint now) {
  this->Receive(message, now);
  const auto found = this->pending.find(id);
  if (found == this->pending.end()) return;
  // Another instance may have taken over the address; its answer is no evidence
  // that the target is alive.
  if (found->second.target != message.sender.id) return;
  if (!found->second.seed && this->health_penalty > 0) --this->health_penalty;
  this->pending.erase(found);
}

void Membership::Receive(const Message& message, TimePoint now) {
  this->view.Merge(message.sender, now);
  for (const Member& claim : message.members) {
    const bool refuted = this->view.Merge(claim, now);
    if (refuted) {
      this->health_penalty =
          std::min(this->health_penalty + 1, kMaxHealthPenalty);
    }
  }
  for (const Item& item : message.items) this->view.Merge(item);
  this->compare_tables = message.digest != this->view.Digest();
}

void Membership::MarkSuspect(const std::string& id, TimePoint now) {
  const Member* member = this->view.Find(id);
  if (member == nullptr || member->status != Status::kAlive) return;
  Member suspect = *member;
  suspect.status = Status::kSuspect;
  this->view.Merge(suspect, now);
}

void Membership::OnList(const std::vector<Seed>& list) { this->seeds = list; }

std::vector<Member> Membership::Present() const {
  std::vector<Member> present = this->view.Others();
  std::erase_if(present, [](const Member& member) {
    return member.status == Status::kDead;
  });
  present.push_back(this->view.Self());
  std::sort(present.begin(), present.end(),
            [](const Member& left, const Member& right) {
              return left.id < right.id;
            });
  return present;
}

std::vector<std::string> Membership::Targets() const {
  std::vector<std::string> targets;
  for (const Member& member : this->view.Others()) {
    if (member.status != Status::kDead) targets.push_back(member.id);
  }
  return targets;
}

std::vector<std::string> Membership::Neighbours() const {
  std::vector<std::string> targets = this->Targets();
  if (targets.size() <= this->settings.neighbours) return targets;
  // Probing the next member by id ensures that each member is probed by some
  // other, even if no member's hash chose it.
  const std::string& self = this->view.Self().id;
  const auto after = std::upper_bound(targets.begin(), targets.end(), self);
  const std::string next = after == targets.end() ? targets.front() : *after;
  std::sort(targets.begin(), targets.end(),
            [&self](const std::string& left, const std::string& right) {
              return Score(self, left) > Score(self, right);
            });
  targets.resize(this->settings.neighbours);
  if (std::find(targets.begin(), targets.end(), next) == targets.end()) {
    targets.push_back(next);
  }
  return targets;
}

Duration Membership::SuspicionTimeout() const {
  const auto rounds = std::bit_width(this->view.Size());
  return this->WithHealthPenalty(this->settings.period *
                                 (this->settings.suspicion_factor * rounds));
}

Duration Membership::WithHealthPenalty(Duration length) const {
  return length * (1 + this->health_penalty);
}

std::vector<std::string> WatchersOf(const std::string& endpoint,
                                    const std::vector<Member>& present,
                                    std::size_t count) {
  std::vector<std::pair<std::uint64_t, std::string>> scored;
  for (const Member& member : present) {
    if (member.status == Status::kDead || member.leaving) continue;
    scored.emplace_back(Score(endpoint, member.id), member.id);
  }
  std::sort(scored.rbegin(), scored.rend());
  if (scored.size() > count) scored.resize(count);
  std::vector<std::string> watchers;
  for (const auto& [score, id] : scored) watchers.push_back(id);
  return watchers;
}

}  // namespace toucanwharf::membership
