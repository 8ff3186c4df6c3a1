#include "bulk_turns.h"

#include <utility>

namespace toucanwharf::http {

void BulkTurns::Await(Loop::Task turn) {
  this->waiting.push_back(std::move(turn));
  this->Schedule();
}

void BulkTurns::Schedule() {
  if (this->waiting.empty() || std::exchange(this->scheduled, true)) return;
  this->alarm.expires_at(this->rests_until);
  this->alarm.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->RunSlice();
  });
}

void BulkTurns::RunSlice() {
  this->scheduled = false;
  const Clock::time_point began = Clock::now();
  Clock::time_point now = began;
  while (!this->waiting.empty() && now - began < kMaxSlice) {
    const Loop::Task turn = std::move(this->waiting.front());
    this->waiting.pop_front();
    turn();
    now = Clock::now();
  }
  this->rests_until = now + (now - began);
  this->Schedule();
}

}  // namespace toucanwharf::http
