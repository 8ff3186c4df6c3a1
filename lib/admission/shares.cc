#include "toucanwharf/admission/shares.h"

#include <algorithm>
#include <cassert>

namespace toucanwharf::admission {
namespace {

/// Weight of a peer's newest rate against its earlier ones.
constexpr double kRateSmoothing = 0.3;

/// Time over which an instance rates its own use: a gossip period, so that own
/// and remote rates are of the same age.
constexpr Duration kRatePeriod = std::chrono::milliseconds(500);

std::size_t IndexOf(CustomerNumber customer) {
  return static_cast<std::size_t>(customer);
}

double Seconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

CustomerNumber Shares::NumberOf(std::string_view customer) {
  const auto [at, added] = this->numbers.try_emplace(
      std::string(customer), static_cast<CustomerNumber>(this->entries.size()));
  if (added) {
    Entry entry;
    entry.name = std::string(customer);
    entry.tag = this->virtual_time;
    this->entries.push_back(std::move(entry));
  }
  return at->second;
}

const std::string& Shares::NameOf(CustomerNumber customer) const {
  return this->At(customer).name;
}

void Shares::SetWeight(CustomerNumber customer, double weight) {
  assert(weight > 0 && "a weight is positive");
  Entry& entry = this->At(customer);
  if (entry.active) this->active_weight += weight - entry.weight;
  entry.weight = weight;
}

double Shares::WeightOf(CustomerNumber customer) const {
  return this->At(customer).weight;
}

void Shares::Activate(CustomerNumber customer) {
  Entry& entry = this->At(customer);
  if (entry.active) return;
  entry.active = true;
  entry.tag = std::max(entry.tag, this->virtual_time - this->settings.credit);
  this->active_weight += entry.weight;
  this->turns.emplace(entry.tag, customer);
}

void Shares::Deactivate(CustomerNumber customer) {
  Entry& entry = this->At(customer);
  if (!entry.active) return;
  this->turns.erase({entry.tag, customer});
  entry.active = false;
  this->active_weight -= entry.weight;
}

void Shares::Charge(CustomerNumber customer, double cost) {
  Entry& entry = this->At(customer);
  entry.served += cost;
  entry.total = std::max(entry.total, entry.served);
  // Virtual time is the smallest start tag of those that wait: it follows the
  // customer whose turn it is, not one that was taken ahead for its deadline.
  const double front =
      this->turns.empty() ? entry.tag : this->turns.begin()->first;
  this->virtual_time = std::max(this->virtual_time, front);
  this->Move(customer, entry.tag + cost / entry.weight);
}

void Shares::Correct(CustomerNumber customer, double difference) {
  Entry& entry = this->At(customer);
  entry.served += difference;
  entry.total = std::max(entry.total, entry.served);
  this->Move(customer, entry.tag + difference / entry.weight);
}

Usage Shares::Served() const {
  Usage usage;
  for (const Entry& entry : this->entries) {
    if (entry.total > 0) usage.served.emplace(entry.name, entry.total);
  }
  return usage;
}

void Shares::MergePeerUsage(TimePoint now, const std::string& peer,
                            const Usage& usage) {
  Peer& from = this->peers[peer];
  const double past = std::max(Seconds(now - from.heard), 1e-3);
  for (const auto& [name, served] : usage.served) {
    PeerUsage& last = from.customers[name];
    // A smaller total than before: the peer restarted and counts anew.
    const bool restarted = served < last.served;
    const double more = restarted ? served : served - last.served;
    last.served = served;
    if (!from.known) continue;
    const double rate = more / past;
    last.tokens_per_second += kRateSmoothing * (rate - last.tokens_per_second);
    // What was charged while the peer was silent was its expected rate; the
    // rest of the difference is charged now.
    const double already = last.tokens_per_second *
                           std::max(Seconds(from.charged - from.heard), 0.0);
    this->ChargeRemote(name, std::max(more - already, 0.0));
  }
  from.known = true;
  from.heard = now;
  from.charged = now;
}

void Shares::Tick(TimePoint now) {
  this->RateOwn(now);
  for (auto& [name, peer] : this->peers) {
    const Duration silent = now - peer.heard;
    if (silent <= this->settings.silence) continue;
    if (silent > this->settings.charge_on) continue;
    // The peer can't be heard, but most likely still serves: without the
    // charge each side of a partition would give a large customer a whole
    // share again.
    const double past = Seconds(now - peer.charged);
    peer.charged = now;
    for (const auto& [customer, usage] : peer.customers) {
      this->ChargeRemote(customer, usage.tokens_per_second * past);
    }
  }
}

std::optional<double> Shares::PartOfPool() const {
  const std::vector<double> remote = this->RemoteRates();
  double all_rates = 0;
  double all_weights = 0;
  for (std::size_t at = 0; at < this->entries.size(); ++at) {
    const double rate = this->entries[at].tokens_per_second + remote[at];
    if (rate <= 0) continue;
    all_rates += rate;
    all_weights += this->entries[at].weight;
  }
  if (all_rates <= 0) return std::nullopt;
  const double level = all_rates / all_weights;
  double own = 0;
  double all = 0;
  for (std::size_t at = 0; at < this->entries.size(); ++at) {
    const Entry& entry = this->entries[at];
    const double rate = entry.tokens_per_second + remote[at];
    if (rate <= 0) continue;
    const double entitled = std::min(rate, level * entry.weight);
    own += entitled * entry.tokens_per_second / rate;
    all += entitled;
  }
  return own / all;
}

void Shares::RateOwn(TimePoint now) {
  const Duration past = now - this->rated_at;
  if (past < kRatePeriod) return;
  this->rated_at = now;
  for (Entry& entry : this->entries) {
    const double rate = (entry.total - entry.rated) / Seconds(past);
    entry.rated = entry.total;
    entry.tokens_per_second +=
        kRateSmoothing * (rate - entry.tokens_per_second);
  }
}

std::vector<double> Shares::RemoteRates() const {
  std::vector<double> rates(this->entries.size());
  for (const auto& [name, peer] : this->peers) {
    for (const auto& [customer, usage] : peer.customers) {
      const auto number = this->numbers.find(customer);
      if (number == this->numbers.end()) continue;
      rates[IndexOf(number->second)] += usage.tokens_per_second;
    }
  }
  return rates;
}

void Shares::Forget(const std::string& peer) { this->peers.erase(peer); }

Shares::Entry& Shares::At(CustomerNumber customer) {
  assert(IndexOf(customer) < this->entries.size() && "NumberOf() gave it");
  return this->entries[IndexOf(customer)];
}

const Shares::Entry& Shares::At(CustomerNumber customer) const {
  assert(IndexOf(customer) < this->entries.size() && "NumberOf() gave it");
  return this->entries[IndexOf(customer)];
}

void Shares::Move(CustomerNumber customer, double tag) {
  Entry& entry = this->At(customer);
  if (entry.active) {
    this->turns.erase({entry.tag, customer});
    this->turns.emplace(tag, customer);
  }
  entry.tag = tag;
}

void Shares::ChargeRemote(const std::string& customer, double tokens) {
  const CustomerNumber number = this->NumberOf(customer);
  const Entry& entry = this->At(number);
  const double limit = this->virtual_time + this->settings.max_debt;
  const double owed = entry.tag + tokens / entry.weight;
  // A debt that local work made may exceed the bound; remote work adds none.
  this->Move(number, std::max(entry.tag, std::min(owed, limit)));
}

}  // namespace toucanwharf::admission
