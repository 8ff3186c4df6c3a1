#include "toucanwharf/admission/shares.h"

#include <algorithm>
#include <cassert>

namespace toucanwharf::admission {
namespace {

/// Weight of the newest rate against earlier ones.
constexpr double kRateSmoothing = 0.3;

/// Period of the local rates: a gossip period, so that local and remote rates
/// have the same age.
constexpr Duration kRatePeriod = std::chrono::milliseconds(500);

std::size_t IndexOf(CustomerNumber customer) {
  return static_cast<std::size_t>(customer);
}

double Seconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

CustomerNumber Shares::NumberOf(std::string_view customer) {
  const auto [number, added] = this->numbers.try_emplace(
      std::string(customer), static_cast<CustomerNumber>(this->entries.size()));
  if (added) {
    Entry entry;
    entry.name = std::string(customer);
    entry.tag = this->virtual_time;
    this->entries.push_back(std::move(entry));
  }
  return number->second;
}

const std::string& Shares::NameOf(CustomerNumber customer) const {
  return this->At(customer).name;
}

void Shares::SetWeight(CustomerNumber customer, double weight) {
  assert(weight > 0 && "weight is not positive");
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
  // Virtual time is the minimum start tag of the customers with queued work: it
  // follows the next customer in order, not one that was served earlier for its
  // deadline.
  const double front =
      this->turns.empty() ? entry.tag : this->turns.begin()->first;
  this->virtual_time = std::max(this->virtual_time, front);
  this->SetTag(customer, entry.tag + cost / entry.weight);
}

void Shares::Correct(CustomerNumber customer, double difference) {
  Entry& entry = this->At(customer);
  entry.served += difference;
  entry.total = std::max(entry.total, entry.served);
  this->SetTag(customer, entry.tag + difference / entry.weight);
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
  Peer& source = this->peers[peer];
  const double elapsed = std::max(Seconds(now - source.last_report), 1e-3);
  for (const auto& [name, served] : usage.served) {
    PeerUsage& last = source.customers[name];
    // A total lower than the last: the peer restarted and counts from zero.
    const bool restarted = served < last.served;
    const double increase = restarted ? served : served - last.served;
    last.served = served;
    if (!source.has_reported) continue;
    const double rate = increase / elapsed;
    last.tokens_per_second += kRateSmoothing * (rate - last.tokens_per_second);
    // While the peer was unresponsive, its last rate was charged; the rest of
    // the difference is charged now.
    const double already_charged =
        last.tokens_per_second *
        std::max(Seconds(source.charged_until - source.last_report), 0.0);
    this->ChargeRemote(name, std::max(increase - already_charged, 0.0));
  }
  source.has_reported = true;
  source.last_report = now;
  source.charged_until = now;
}

void Shares::Tick(TimePoint now) {
  this->UpdateLocalRates(now);
  for (auto& [name, peer] : this->peers) {
    const Duration unresponsive_for = now - peer.last_report;
    if (unresponsive_for <= this->settings.peer_timeout) continue;
    if (unresponsive_for > this->settings.max_charge_time) continue;
    // The peer is unresponsive, but most likely still serves: without the
    // charge each side of a partition would give a large customer a whole share
    // again.
    const double elapsed = Seconds(now - peer.charged_until);
    peer.charged_until = now;
    for (const auto& [customer, usage] : peer.customers) {
      this->ChargeRemote(customer, usage.tokens_per_second * elapsed);
    }
  }
}

std::optional<double> Shares::PoolShare() const {
  const std::vector<double> remote = this->RemoteRates();
  double total_rate = 0;
  double total_weight = 0;
  for (std::size_t index = 0; index < this->entries.size(); ++index) {
    const double rate = this->entries[index].tokens_per_second + remote[index];
    if (rate <= 0) continue;
    total_rate += rate;
    total_weight += this->entries[index].weight;
  }
  if (total_rate <= 0) return std::nullopt;
  const double mean_rate_by_weight = total_rate / total_weight;
  double local_entitled = 0;
  double total_entitled = 0;
  for (std::size_t index = 0; index < this->entries.size(); ++index) {
    const Entry& entry = this->entries[index];
    const double rate = entry.tokens_per_second + remote[index];
    if (rate <= 0) continue;
    const double entitled = std::min(rate, mean_rate_by_weight * entry.weight);
    local_entitled += entitled * entry.tokens_per_second / rate;
    total_entitled += entitled;
  }
  return local_entitled / total_entitled;
}

void Shares::UpdateLocalRates(TimePoint now) {
  const Duration elapsed = now - this->last_rating;
  if (elapsed < kRatePeriod) return;
  this->last_rating = now;
  for (Entry& entry : this->entries) {
    const double rate = (entry.total - entry.rated_total) / Seconds(elapsed);
    entry.rated_total = entry.total;
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
  assert(IndexOf(customer) < this->entries.size() && "customer is unknown");
  return this->entries[IndexOf(customer)];
}

const Shares::Entry& Shares::At(CustomerNumber customer) const {
  assert(IndexOf(customer) < this->entries.size() && "customer is unknown");
  return this->entries[IndexOf(customer)];
}

void Shares::SetTag(CustomerNumber customer, double tag) {
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
  // A debt from local work may exceed the bound; remote work adds none beyond
  // it.
  this->SetTag(number, std::max(entry.tag, std::min(owed, limit)));
}

}  // namespace toucanwharf::admission
