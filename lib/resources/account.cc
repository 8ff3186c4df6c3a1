#include "toucanwharf/resources/account.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace toucanwharf::resources {
namespace {

/// One holder may use this part of what is free.
constexpr std::size_t kAllowanceDivisor = 16;

}  // namespace

void Account::Add(std::size_t amount) {
  const std::size_t now_used = this->used += amount;
  std::size_t known = this->peak;
  while (known < now_used &&
         !this->peak.compare_exchange_weak(known, now_used)) {
  }
}

void Account::Remove(std::size_t amount) {
  [[maybe_unused]] const std::size_t before = this->used.fetch_sub(amount);
  assert(before >= amount && "only what was added is given back");
}

std::size_t Account::Free() const {
  const std::size_t in_use = this->used;
  return in_use >= this->capacity ? 0 : this->capacity - in_use;
}

std::size_t Account::Allowance(std::size_t most, std::size_t least) const {
  return std::clamp(this->Free() / kAllowanceDivisor, least, most);
}

Lease::Lease(Account& source, std::size_t initial) : account(&source) {
  this->Resize(initial);
}

Lease::Lease(Lease&& other) noexcept
    : account(std::exchange(other.account, nullptr)),
      amount(std::exchange(other.amount, 0)) {}

Lease& Lease::operator=(Lease&& other) noexcept {
  if (this == &other) return *this;
  this->Resize(0);
  this->account = std::exchange(other.account, nullptr);
  this->amount = std::exchange(other.amount, 0);
  return *this;
}

void Lease::Resize(std::size_t new_amount) {
  if (this->account == nullptr || new_amount == this->amount) return;
  if (new_amount > this->amount) {
    this->account->Add(new_amount - this->amount);
  } else {
    this->account->Remove(this->amount - new_amount);
  }
  this->amount = new_amount;
}

}  // namespace toucanwharf::resources
