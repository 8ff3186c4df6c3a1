#ifndef TOUCANWHARF_LIB_HTTP_BULK_TURNS_H_
#define TOUCANWHARF_LIB_HTTP_BULK_TURNS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>

#include "toucanwharf/http/loop.h"

namespace toucanwharf::http {

/// Tells whether a message takes so much of the loop's time that its connection
/// has to wait for its turn.
/// Thread safety: none.
class BulkMeter {
 public:
  /// A new message begins.
  void Reset() { this->taken = Duration(0); }
  /// Reading on took \p cost.
  void Add(Duration cost) { this->taken += cost; }
  bool IsBulk() const { return this->taken >= kBulkTime; }

 private:
  /// An ordinary message takes well under a millisecond.
  static constexpr Duration kBulkTime = std::chrono::milliseconds(5);

  Duration taken{0};
};

/// Runs what takes much of the loop's time in turns, one connection after the
/// other, and rests after them for as long as they took.
///
/// Load: connections that carry bytes without an end, or large messages, are
/// always readable. Together they would leave ordinary requests as small a part
/// of the loop's time as there are many of them; so they leave half of it.
/// Thread safety: none; for the loop's thread.
class BulkTurns {
 public:
  explicit BulkTurns(boost::asio::io_context& context) : alarm(context) {}
  BulkTurns(const BulkTurns&) = delete;
  BulkTurns& operator=(const BulkTurns&) = delete;

  /// Runs \p turn when those that wait already have had theirs.
  void Await(Loop::Task turn);
  /// Drops what waits.
  void Clear() { this->waiting.clear(); }

 private:
  using Clock = std::chrono::steady_clock;

  /// Longest time of turns in a row.
  static constexpr std::chrono::milliseconds kMaxSlice{2};

  void Schedule();
  void RunSlice();

  /// The loop's own timers are too coarse for the shortest rests.
  boost::asio::steady_timer alarm;
  std::deque<Loop::Task> waiting;
  Clock::time_point rests_until;
  bool scheduled = false;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_LIB_HTTP_BULK_TURNS_H_
