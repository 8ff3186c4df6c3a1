#include "toucanwharf/eventlog/logger.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace toucanwharf::eventlog {
namespace {

/// A pipe that poll reports as writable accepts this much without blocking
/// (POSIX).
constexpr std::size_t kMaxAtomicWrite = 4096;
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

Logger::Logger(int output, std::string instance_id,
               const LoggerSettings& logger_settings)
    : descriptor(output),
      instance(std::move(instance_id)),
      settings(logger_settings) {
  this->routine.per_second = logger_settings.routine_per_second;
  this->notable.per_second = logger_settings.notable_per_second;
  this->routine.tokens =
      logger_settings.routine_per_second * logger_settings.burst_seconds;
  this->notable.tokens =
      logger_settings.notable_per_second * logger_settings.burst_seconds;
}

bool Logger::TakeToken(TokenBucket& bucket, TimePoint now) const {
  const double seconds =
      static_cast<double>((now - bucket.refilled_at).count()) /
      kMicrosPerSecond;
  bucket.refilled_at = now;
  bucket.tokens = std::min(bucket.tokens + seconds * bucket.per_second,
                           bucket.per_second * this->settings.burst_seconds);
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

void Logger::Write(Level level, std::string_view event, const Fields& fields,
                   TimePoint now) {
  TokenBucket& bucket =
      level == Level::kRoutine ? this->routine : this->notable;
  const bool full = this->buffer.size() >= this->settings.max_buffered_bytes;
  if (full || !this->TakeToken(bucket, now)) {
    ++this->dropped;
    return;
  }
  if (this->dropped != this->dropped_reported) {
    const auto lines =
        static_cast<std::int64_t>(this->dropped - this->dropped_reported);
    this->dropped_reported = this->dropped;
    this->Append("lines_dropped", Fields().Count("lines", lines));
  }
  this->Append(event, fields);
}

void Logger::Append(std::string_view event, const Fields& fields) {
  absl::StrAppend(&this->buffer, "{\"v\":3,\"at\":", WallMillis(),
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
        std::min(kMaxAtomicWrite, this->buffer.size() - written);
    const ssize_t sent =
        write(this->descriptor, this->buffer.data() + written, size);
    if (sent <= 0) break;
    written += static_cast<std::size_t>(sent);
  }
  this->buffer.erase(0, written);
}

}  // namespace toucanwharf::eventlog
