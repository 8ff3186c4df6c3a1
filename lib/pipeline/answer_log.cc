#include "toucanwharf/pipeline/answer_log.h"

#include <cassert>

#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

/// Strings, map node and queue places of one answer.
constexpr std::size_t kAnswerOverhead = 256;
/// One string in a vector.
constexpr std::size_t kTokenOverhead = sizeof(std::string);

}  // namespace

void AnswerLog::Open(const std::string& request, const std::string& customer) {
  const auto [place, added] = this->entries.try_emplace(request);
  assert(added && "a request id is opened once");
  static_cast<void>(added);
  place->second.customer = customer;
  place->second.age = ++this->last_age;
  this->by_age[this->last_age] = request;
  this->Grow(place->second, kAnswerOverhead + customer.size());
  this->MakeRoom();
}

void AnswerLog::Append(const std::string& request, const EmitToken& token) {
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) return;
  Entry& entry = found->second;
  assert(token.index == entry.tokens.size() && "tokens come in order");
  entry.tokens.push_back(token.text);
  this->Grow(entry, kTokenOverhead + token.text.size());
  this->MakeRoom();
}

void AnswerLog::Close(const std::string& request, const End& end,
                      TimePoint now) {
  const auto found = this->entries.find(request);
  if (found == this->entries.end() || found->second.end) return;
  found->second.end = end;
  this->ended.push_back({request, now});
}

void AnswerLog::Expire(TimePoint now) {
  while (!this->ended.empty()) {
    const Ended& oldest = this->ended.front();
    if (now - oldest.at < this->limits.after_end) return;
    this->Drop(oldest.request);
    this->ended.pop_front();
  }
}

Result<AnswerSlice> AnswerLog::Read(const std::string& request,
                                    const std::string& customer,
                                    std::uint32_t from) const {
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) return Error::kUnknownRequest;
  const Entry& entry = found->second;
  // I2: ids travel in logs and time lines, so who knows one need not be who
  // asked. Another customer's id reads the same as one that never was.
  if (entry.customer != customer) return Error::kUnknownRequest;
  if (from > entry.tokens.size()) return Error::kNotReached;
  const auto first = entry.tokens.begin() + from;
  return AnswerSlice{from, {first, entry.tokens.end()}, entry.end};
}

bool AnswerLog::Contains(const std::string& request) const {
  return this->entries.contains(request);
}

void AnswerLog::Grow(Entry& entry, std::size_t more) {
  entry.bytes += more;
  this->bytes += more;
}

void AnswerLog::Drop(const std::string& request) {
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) return;
  this->bytes -= found->second.bytes;
  this->by_age.erase(found->second.age);
  this->entries.erase(found);
}

// Without a bound a burst of long answers would grow the router until it is
// killed, and all its answers with it. A dropped answer still reaches a caller
// that stays connected; only its resume is lost, and says so.
void AnswerLog::MakeRoom() {
  while (this->bytes > this->limits.bytes && !this->ended.empty()) {
    this->Drop(this->ended.front().request);
    this->ended.pop_front();
  }
  while (this->bytes > this->limits.bytes && !this->by_age.empty()) {
    const std::string oldest = this->by_age.begin()->second;
    this->Drop(oldest);
  }
}

}  // namespace toucanwharf::pipeline
