#ifndef TOUCANWHARF_QUARANTINE_EVIDENCE_H_
#define TOUCANWHARF_QUARANTINE_EVIDENCE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "toucanwharf/quarantine/fingerprint.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::quarantine {

/// One start of an endpoint.
struct EndpointStart {
  /// Differs for each start; see endpoints::EndpointKey.
  std::uint32_t key = 0;
  /// Stands for the address, which a restarted endpoint keeps.
  std::uint32_t address = 0;

  friend bool operator==(const EndpointStart&, const EndpointStart&) = default;
};

/// How far a run had come, as far as can be known.
enum class RunStage {
  /// Nothing of the answer has come: whether the endpoint has begun it isn't
  /// known.
  kWaiting,
  /// The endpoint had begun it no longer ago than a crash by a request takes.
  kBegun,
  /// It had run too long to be the cause of a crash.
  kLongBegun,
  /// It had run for so long that its request crashes no endpoint.
  kProven,
};

/// Returns \p stage as a word of a log line. Thread safety: safe.
std::string_view ToText(RunStage stage);

/// A run that broke, or was given up as silent, before the answer was complete.
struct BrokenRun {
  RequestFingerprints request;
  /// An endpoint that took part in it.
  EndpointStart endpoint;
  TimePoint sent_at;
  RunStage stage = RunStage::kWaiting;
  /// How long it had run, at most.
  Duration ran{0};
  /// If it was given up in silence, when its endpoint was last heard of.
  std::optional<TimePoint> silent_since = std::nullopt;

  friend bool operator==(const BrokenRun&, const BrokenRun&) = default;
};

/// A crash of an endpoint with a suspect, as instances tell each other.
struct CrashReport {
  EndpointStart endpoint;
  /// Time since the crash.
  Duration age{0};
  /// From the send of the request to the crash.
  Duration since_sent{0};
  /// How long the first run there with the suspect had run.
  Duration ran{0};
  /// Whether the suspect was answered since.
  bool refuted = false;
  /// Whether nothing of any answer with the suspect had come; not told by
  /// earlier builds.
  std::optional<bool> waiting = std::nullopt;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// A suspect with the crashes that it was at.
struct SuspectReport {
  Fingerprint suspect;
  std::vector<CrashReport> crashes;
  /// Time since a request with the suspect was last sent on trial, if one was.
  std::optional<Duration> trial_age = std::nullopt;

  friend bool operator==(const SuspectReport&, const SuspectReport&) = default;
};

}  // namespace toucanwharf::quarantine

#endif  // TOUCANWHARF_QUARANTINE_EVIDENCE_H_
