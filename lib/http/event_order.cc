#include "toucanwharf/http/event_order.h"

#include <charconv>

namespace toucanwharf::http {
namespace {

std::optional<std::uint64_t> NumberOf(std::string_view id) {
  std::uint64_t number = 0;
  const char* end = id.data() + id.size();
  const auto [parsed, error] = std::from_chars(id.data(), end, number);
  if (id.empty() || error != std::errc() || parsed != end) return std::nullopt;
  return number;
}

}  // namespace

void EventOrder::GoOnAfter(std::string_view id) {
  this->last = std::string(id);
  this->last_number = NumberOf(id);
  this->has_last = true;
}

bool EventOrder::Accept(std::string_view id) {
  const auto number = NumberOf(id);
  const bool comparable = this->has_last && number && this->last_number;
  if (comparable && *number <= *this->last_number) return false;
  if (!comparable && this->has_last && id == this->last) return false;
  if (comparable) {
    const std::uint64_t taken = *number - *this->last_number;
    const bool skips =
        this->run_begins && this->step.value_or(0) != 0 && taken != *this->step;
    if (skips) return false;
    if (!this->run_begins) {
      this->step = this->step.value_or(taken) == taken ? taken : 0;
    }
  }
  this->run_begins = false;
  this->GoOnAfter(id);
  return true;
}

}  // namespace toucanwharf::http
