#ifndef TOUCANWHARF_HTTP_RESOURCES_H_
#define TOUCANWHARF_HTTP_RESOURCES_H_

#include <cstddef>
#include <cstdint>

#include "toucanwharf/resources/account.h"
#include "toucanwharf/resources/descriptors.h"

namespace toucanwharf::http {

/// How often room had to be made, or wasn't there.
struct ResourceCounters {
  /// Requests refused before they were whole, because they had held most memory
  /// for longest or there was no room for more.
  std::uint64_t evicted_requests = 0;
  /// Connections closed because their answers had waited in memory for longest
  /// without being read.
  std::uint64_t evicted_readers = 0;
  /// Connections closed so that another could be opened.
  std::uint64_t evicted_connections = 0;
  /// Connections closed when they were accepted, because there was no
  /// descriptor for them.
  std::uint64_t refused_connections = 0;
  /// Calls that failed because there was no descriptor for them.
  std::uint64_t refused_calls = 0;
  /// Calls ended because, when there was no room for more, they had held most
  /// of an answer for longest.
  std::uint64_t evicted_answers = 0;
  /// Calls whose bytes were no answer.
  std::uint64_t malformed_answers = 0;

  friend bool operator==(const ResourceCounters&,
                         const ResourceCounters&) = default;
};

/// What all servers and clients of one process use together.
/// Thread safety: none; for the loop's thread.
struct Resources {
  /// \p buffer_bytes is how much memory may be in use for requests and answers
  /// that wait, \p connections how many connections may be open, and
  /// \p answer_bytes how much memory may be in use for what calls receive.
  explicit Resources(std::size_t buffer_bytes = resources::Account::kUnlimited,
                     std::size_t connections = resources::Account::kUnlimited,
                     std::size_t answer_bytes = resources::Account::kUnlimited)
      : buffers(buffer_bytes),
        answers(answer_bytes),
        descriptors(connections) {}

  /// Memory of requests, and of answers that wait for their callers, in bytes.
  resources::Account buffers;
  /// Memory of what calls hold of answers before it is passed on: heads, lines
  /// between chunks, events, and bodies that are collected, in bytes.
  resources::Account answers;
  resources::Descriptors descriptors;
  ResourceCounters counters;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_RESOURCES_H_
