#ifndef TOUCANWHARF_LIB_HTTP_LOOP_STATE_H_
#define TOUCANWHARF_LIB_HTTP_LOOP_STATE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <utility>

#include "bulk_turns.h"
#include "toucanwharf/http/loop.h"

namespace toucanwharf::http {

/// State of a loop, shared with the other files of this library.
struct Loop::State {
  /// Destroyed after the context, whose handlers cancel timers at their end.
  std::map<std::pair<TimePoint, TimerId>, Task> timers;
  std::map<TimerId, TimePoint> due_times;
  /// A concurrency hint of 1 makes Asio omit its locks.
  boost::asio::io_context context{1};
  boost::asio::steady_timer alarm{context};
  BulkTurns bulk{context};
  TimerId last_timer = 0;
  /// When the alarm fires; Duration::max() while it isn't armed.
  TimePoint armed_for{Duration::max()};
  std::list<boost::asio::signal_set> signals;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_LIB_HTTP_LOOP_STATE_H_
