#include "toucanwharf/membership/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace toucanwharf::membership {
namespace {

/// Ticks further apart than this many periods mean that the process stood
/// still; what it waited for meanwhile proves nothing.
constexpr int kPausePeriods = 2;
/// A member with this many signs of own trouble waits 1 + kWorst times as
/// long before it calls others dead. Bounded, so that the death of all others
/// is still found.
constexpr std::uint32_t kWorst = 3;
/// Periods after which a probe that nobody answers is forgotten.
constexpr int kSeedPeriods = 4;

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

Membership::Membership(const Settings& limits, const Member& own, Random seeded)
    : settings(limits), view(limits, own), random(seeded) {}

std::vector<Probe> Membership::Tick(TimePoint now) {
  std::vector<Probe> probes;
  if (!this->last_tick) this->next_period = now;
  this->ForgetLateProbes(now);
  this->last_tick = now;
  this->CheckPending(now, probes);
  this->view.Expire(now, this->Patience());
  if (now >= this->next_period) this->StartPeriod(now, probes);
  return probes;
}

void Membership::ForgetLateProbes(TimePoint now) {
  if (!this->last_tick) return;
  if (now - *this->last_tick <= kPausePeriods * this->settings.period) return;
  // Failure: a router that was stopped wakes up, finds all its probes overdue
  // and declares healthy members suspect. Their answers may be in its sockets,
  // unread. So the time that it stood still is not held against others.
  this->pending.clear();
  this->own_trouble = kWorst;
  this->next_period = now;
}

void Membership::CheckPending(TimePoint now, std::vector<Probe>& probes) {
  for (auto at = this->pending.begin(); at != this->pending.end();) {
    Pending& probe = at->second;
    const Duration age = now - probe.started;
    if (probe.seed) {
      const bool over = age > kSeedPeriods * this->settings.period;
      at = over ? this->pending.erase(at) : std::next(at);
      continue;
    }
    if (!probe.asked_others &&
        age > this->Stretched(this->settings.probe_timeout)) {
      this->AskOthers(at->first, probe, probes);
    }
    if (age <= this->Stretched(this->settings.period)) {
      ++at;
      continue;
    }
    this->own_trouble = std::min(this->own_trouble + 1, kWorst);
    this->Suspect(probe.target, now);
    at = this->pending.erase(at);
  }
}

void Membership::AskOthers(std::uint64_t id, Pending& probe,
                           std::vector<Probe>& probes) {
  probe.asked_others = true;
  std::vector<std::string> helpers = this->Targets();
  std::erase(helpers, probe.target);
  Shuffle(helpers, this->random);
  if (helpers.size() > this->settings.indirect_probes) {
    helpers.resize(this->settings.indirect_probes);
  }
  for (const std::string& helper : helpers) {
    probes.push_back(Probe{id, probe.address, this->view.Find(helper)->address,
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
  // the time until a death is noticed is bounded, not only expected.
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
  // Someone never heard of is tried each period, so that a new instance joins
  // at once; the dead rarely, to find the other half after a partition.
  if (this->periods % this->settings.reconnect_periods != 0) dead.clear();
  std::vector<Seed>& choice = unknown.empty() ? dead : unknown;
  if (choice.empty()) return;
  const Seed& seed = choice[this->random.Below(choice.size())];
  this->Send(seed.id, seed.address, true, now, probes);
}

void Membership::Send(const std::string& target, const std::string& address,
                      bool seed, TimePoint now, std::vector<Probe>& probes) {
  const std::uint64_t id = ++this->next_probe;
  this->pending[id] = Pending{target, address, now, false, seed};
  Message message = this->view.NextMessage(this->compare);
  const Member* known = this->view.Find(target);
  // Whoever is believed dead or a suspect must hear it to deny it.
  if (known != nullptr && known->status != Status::kAlive) {
    message.members.push_back(*known);
  }
  probes.push_back(Probe{id, address, "", std::move(message)});
}

Message Membership::OnProbe(const Message& message, TimePoint now) {
  this->Receive(message, now);
  Message answer = this->view.NextMessage(this->compare);
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
  // Another instance may have taken over the address; its answer is no sign
  // of life of the one that was meant.
  if (found->second.target != message.sender.id) return;
  if (!found->second.seed && this->own_trouble > 0) --this->own_trouble;
  this->pending.erase(found);
}

void Membership::Receive(const Message& message, TimePoint now) {
  this->view.Merge(message.sender, now);
  for (const Member& claim : message.members) {
    const bool refuted = this->view.Merge(claim, now);
    if (refuted) this->own_trouble = std::min(this->own_trouble + 1, kWorst);
  }
  for (const Item& item : message.items) this->view.Merge(item);
  this->compare = message.digest != this->view.Digest();
}

void Membership::Suspect(const std::string& id, TimePoint now) {
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
  // The next by id makes sure that each member is probed by someone, also if
  // nobody's hash chose it.
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

Duration Membership::Patience() const {
  const auto rounds = std::bit_width(this->view.Size());
  return this->Stretched(this->settings.period *
                         (this->settings.suspicion_factor * rounds));
}

Duration Membership::Stretched(Duration length) const {
  return length * (1 + this->own_trouble);
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
