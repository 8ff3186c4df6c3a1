#include "toucanwharf/eventlog/logger.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace toucanwharf::eventlog {
namespace {

/// A pipe that poll calls writable takes this much without blocking (POSIX).
constexpr std::size_t kSafeWrite = 4096;
constexpr double kMicrosPerSecond = 1e6;
constexpr std::int64_t kMicrosPerMilli = 1000;

void AppendEscaped(std::string& out, std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  for (const char byte : text) {
    if (byte == '"' || byte == '\\') {
      out.push_back('\\');
      out.push_back(byte);
    } else if (static_cast<unsigned char>(byte) < kFirstPrintable) {
      absl::StrAppend(
          &out, "\\u",
          absl::Hex(static_cast<unsigned char>(byte), absl::kZeroPad4));
    } else {
      out.push_back(byte);
    }
  }
}

}  // namespace

void Fields::Name(std::string_view name) {
  this->json.append(",\"").append(name).append("\":");
}

Fields& Fields::Text(std::string_view name, std::string_view value) {
  this->Name(name);
  this->json.push_back('"');
  AppendEscaped(this->json, value);
  this->json.push_back('"');
  return *this;
}

Fields& Fields::Count(std::string_view name, std::int64_t value) {
  this->Name(name);
  absl::StrAppend(&this->json, value);
  return *this;
}

Fields& Fields::Millis(std::string_view name, Duration value) {
  return this->Count(name, value.count() / kMicrosPerMilli);
}

Logger::Logger(int to, std::string name, const LoggerSettings& chosen)
    : descriptor(to), instance(std::move(name)), settings(chosen) {
  this->routine.per_second = chosen.routine_per_second;
  this->notable.per_second = chosen.notable_per_second;
  this->routine.tokens = chosen.routine_per_second * chosen.burst_seconds;
  this->notable.tokens = chosen.notable_per_second * chosen.burst_seconds;
}

bool Logger::Take(Allowance& from, TimePoint now) const {
  const double seconds =
      static_cast<double>((now - from.filled).count()) / kMicrosPerSecond;
  from.filled = now;
  from.tokens = std::min(from.tokens + seconds * from.per_second,
                         from.per_second * this->settings.burst_seconds);
  if (from.tokens < 1) return false;
  from.tokens -= 1;
  return true;
}

void Logger::Write(Level level, std::string_view event, const Fields& fields,
                   TimePoint now) {
  Allowance& allowance =
      level == Level::kRoutine ? this->routine : this->notable;
  const bool full = this->buffer.size() >= this->settings.most_buffered;
  if (full || !this->Take(allowance, now)) {
    ++this->dropped;
    return;
  }
  if (this->dropped != this->dropped_told) {
    const auto lines =
        static_cast<std::int64_t>(this->dropped - this->dropped_told);
    this->dropped_told = this->dropped;
    this->Append("lines_dropped", Fields().Count("lines", lines));
  }
  this->Append(event, fields);
}

void Logger::Append(std::string_view event, const Fields& fields) {
  absl::StrAppend(&this->buffer, "{\"v\":2,\"at\":", WallMillis(),
                  ",\"instance\":\"", this->instance, "\",\"event\":\"",
                  absl::string_view(event.data(), event.size()), "\"",
                  fields.Json(), "}\n");
}

void Logger::Flush() {
  std::size_t written = 0;
  while (written < this->buffer.size()) {
    pollfd ready{this->descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) break;
    const std::size_t size =
        std::min(kSafeWrite, this->buffer.size() - written);
    const ssize_t sent =
        write(this->descriptor, this->buffer.data() + written, size);
    if (sent <= 0) break;
    written += static_cast<std::size_t>(sent);
  }
  this->buffer.erase(0, written);
}

}  // namespace toucanwharf::eventlog
