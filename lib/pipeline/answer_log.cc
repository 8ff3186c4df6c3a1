#include "toucanwharf/pipeline/answer_log.h"

#include <cassert>

#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

/// Bytes of the strings, map nodes and queue entries of one answer.
constexpr std::size_t kAnswerOverheadBytes = 256;
/// Bytes of one string in a vector.
constexpr std::size_t kTokenOverheadBytes = sizeof(std::string);

}  // namespace

void AnswerLog::Open(const std::string& request, const std::string& customer) {
  const auto [entry, added] = this->entries.try_emplace(request);
  assert(added && "a request id is opened once");
  static_cast<void>(added);
  entry->second.customer = customer;
  entry->second.open_number = ++this->last_open_number;
  this->by_open_order[this->last_open_number] = request;
  this->AddBytes(entry->second, kAnswerOverheadBytes + customer.size());
  this->EvictToLimit();
}

void AnswerLog::Append(const std::string& request, const EmitToken& token) {
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) return;
  Entry& entry = found->second;
  assert(token.index == entry.tokens.size() && "tokens are appended in order");
  entry.tokens.push_back(token.text);
  this->AddBytes(entry, kTokenOverheadBytes + token.text.size());
  this->EvictToLimit();
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
    if (now - oldest.end_time < this->limits.retention_after_end) return;
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
  // I2: ids appear in logs and time lines, so knowing one doesn't prove
  // ownership. Another customer's id gives the same error as an unknown one.
  if (entry.customer != customer) return Error::kUnknownRequest;
  if (from > entry.tokens.size()) return Error::kIndexNotReached;
  const auto first = entry.tokens.begin() + from;
  return AnswerSlice{from, {first, entry.tokens.end()}, entry.end};
}

bool AnswerLog::Contains(const std::string& request) const {
  return this->entries.contains(request);
}

void AnswerLog::AddBytes(Entry& entry, std::size_t more) {
  entry.bytes += more;
  this->bytes += more;
}

void AnswerLog::Drop(const std::string& request) {
  const auto found = this->entries.find(request);
  if (found == this->entries.end()) return;
  this->bytes -= found->second.bytes;
  this->by_open_order.erase(found->second.open_number);
  this->entries.erase(found);
}

// Without a limit, a burst of long answers would grow the router's memory until
// the process is killed with all its answers. A dropped answer still reaches a
// caller that stays connected; only a resume fails, with an error that says so.
void AnswerLog::EvictToLimit() {
  while (this->bytes > this->limits.max_bytes && !this->ended.empty()) {
    this->Drop(this->ended.front().request);
    this->ended.pop_front();
  }
  while (this->bytes > this->limits.max_bytes && !this->by_open_order.empty()) {
    const std::string oldest = this->by_open_order.begin()->second;
    this->Drop(oldest);
  }
}

}  // namespace toucanwharf::pipeline
