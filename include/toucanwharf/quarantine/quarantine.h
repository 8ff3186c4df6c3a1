#ifndef TOUCANWHARF_QUARANTINE_QUARANTINE_H_
#define TOUCANWHARF_QUARANTINE_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "toucanwharf/quarantine/evidence.h"
#include "toucanwharf/quarantine/fingerprint.h"
#include "toucanwharf/quarantine/recent_successes.h"
#include "toucanwharf/support/clock.h"

/// Recognises what crashes the endpoints that run it (queries of death), a
/// request or a part of prompts, and keeps it from further endpoints.
namespace toucanwharf::quarantine {

/// Thresholds of the quarantine.
struct QuarantineSettings {
  /// Crashes that prove a suspect guilty, and those that suffice if no other
  /// suspect was at the same ones.
  double certain = 3;
  double probable = 2;
  /// Crashes that suffice at a single address; fewer may be a flapping
  /// endpoint's own.
  std::size_t at_one_address = 5;
  /// Weight of a crash beside which endpoints crashed without the suspect.
  double joint_weight = 0.5;
  /// Weight of a crash beside one of the sequence: the run was sent before that
  /// one was over.
  double beside_weight = 0.5;
  /// Weight of a crash before which nothing of the answer had come: the
  /// endpoint may not have begun it.
  double waiting_weight = 0.75;
  /// Other endpoints that crash at the same moment, from which on it is joint.
  std::size_t joint_ends = 2;
  Duration joint_window = std::chrono::milliseconds(300);
  /// How far around a crash others show how many fall together by chance.
  Duration joint_background = std::chrono::seconds(10);
  /// How long a suspect is refused after its last crash.
  Duration certain_block = std::chrono::hours(1);
  Duration probable_block = std::chrono::seconds(60);
  /// After that, a request is sent on trial, one in this time.
  Duration trial_period = std::chrono::seconds(20);
  /// How long crashes are remembered that prove nothing yet.
  Duration retention = std::chrono::minutes(10);
  /// A broken run without evidence of its endpoint's end is forgotten.
  Duration evidence_timeout = std::chrono::seconds(6);
  /// An endpoint that ended is back no sooner. An answer within this time of
  /// its supposed end comes from the same start.
  Duration min_downtime = std::chrono::seconds(1);
  /// Delay of reports between instances, by which their times may be off.
  Duration clock_skew = std::chrono::milliseconds(20);
  std::size_t max_suspects = 1024;
  std::size_t max_crashes = 32;
  /// Of these, those in a message between instances.
  std::size_t max_crashes_reported = 8;
  /// Ends of endpoints that are remembered.
  std::size_t max_ends = 512;
  /// Suspects in a message between instances.
  std::size_t max_reported = 32;
  /// What an instance saw itself goes before what it heard, for this long.
  Duration own_first = std::chrono::seconds(5);

  friend bool operator==(const QuarantineSettings&,
                         const QuarantineSettings&) = default;
};

/// What is decided about a request, and why.
struct Verdict {
  /// What it is refused for.
  Fingerprint suspect;
  /// How much longer it is refused.
  Duration blocked_for{0};
  std::size_t crashes = 0;
  /// Time since the last of them.
  Duration last_crash_age{0};

  friend bool operator==(const Verdict&, const Verdict&) = default;
};

/// What is known against a request that may be sent all the same.
struct Suspicion {
  Fingerprint suspect;
  /// Crashes that no answer has refuted, and those that one has.
  std::size_t crashes = 0;
  std::size_t refuted = 0;
  /// Weight of the first; see QuarantineSettings.
  double weight = 0;

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

/// Remembers what was running at endpoints that crashed, from all instances'
/// reports, and decides which requests are refused. Suspects are requests and
/// the parts of prompts that requests share.
///
/// Load: one request crashes each endpoint that begins to run it, with up to
/// 200 other answers, and comes back under new ids at any instance; or requests
/// of which no two are alike do so for a part that they share. Sent on each
/// time, they take all endpoints down.
///
/// A crash takes the answers of many innocent requests with it, and several
/// endpoints may crash at once for a reason of their own. Crashes count against
/// a suspect only if
///   - the endpoint is known to have ended, and not by an order to leave,
///   - it had just begun to run a request with the suspect, or was to do so,
///   - that request was sent there after the crash before: copies of a popular
///     suspect at endpoints that crash together are at one crash,
///   - no request with the suspect was answered since, by any endpoint, or a
///     short time before.
/// A crash of several endpoints together, more than fall together by chance,
/// counts half for a suspect that was at one of them; one at which its run was
/// sent before the crash before was over counts half as well, and no crash of
/// the first round does. One before which nothing of the answer had come counts
/// three quarters, but not where a whole request was at three. Two crashes
/// suffice only if no other suspect was at both.
///
/// Sound requests share all but one part with those that crash endpoints, so
/// that their parts are at the same crashes. Of two suspects the one at more
/// crashes explains those at which both were; of two at as many, the one whose
/// runs had always begun later, since a crash follows the begin at once. A part
/// is refused only after three crashes, if it was at half of all that happened
/// meanwhile. If another suspect explains as much, only requests that carry
/// both are refused: sound requests with one of them show which it is.
///
/// Once the block of a suspect that isn't certain has ended, all its callers
/// come back. One request with it is sent on trial, at one instance, while the
/// others are still refused: it is answered, or its crash tells the suspect
/// from those that were at the ones before.
///
/// A report is a set of crashes; merging is commutative and idempotent, so that
/// lost, repeated and reordered messages do no harm.
/// Thread safety: none; for one thread.
class Quarantine {
 public:
  explicit Quarantine(const QuarantineSettings& chosen = {})
      : settings(chosen) {}

  /// Records that \p run broke. It counts once its endpoint is known to have
  /// ended.
  void OnRunBroken(const BrokenRun& run, TimePoint now);
  /// Records that the start \p key of an endpoint has ended. Returns the
  /// suspects that have a new crash by it.
  std::vector<Fingerprint> OnEndpointEnded(std::uint32_t key, TimePoint now);
  /// Records that the start \p key of an endpoint goes on, or ends by an order:
  /// the runs that broke there prove nothing.
  void OnEndpointCleared(std::uint32_t key);
  /// Records that the start \p key of an endpoint answered, at \p now, a
  /// request sent at \p sent_at. An end of it right before is refuted: the link
  /// to an instance was cut. Returns the suspects that have a crash less by it.
  std::vector<Fingerprint> OnEndpointAnswered(std::uint32_t key,
                                              TimePoint sent_at, TimePoint now);
  /// Returns whether OnEndpointAnswered may have an effect.
  bool HasEnds() const {
    return !this->ends.empty() || !this->undecided.empty();
  }
  /// Returns the starts of endpoints at which runs broke without evidence yet.
  std::vector<std::uint32_t> Undecided(TimePoint now);
  /// Records that a request with \p suspect was answered, or has run for so
  /// long that it crashes no endpoint. Returns whether it was suspected.
  bool OnSuccess(const Fingerprint& suspect, TimePoint now);
  /// The same for all in \p request. Returns those that were suspected.
  std::vector<Fingerprint> OnSuccess(const RequestFingerprints& request,
                                     TimePoint now);
  /// Applies another instance's report. Returns whether it has a new crash.
  bool Merge(const SuspectReport& report, TimePoint now);

  /// Returns whether there are no suspects.
  bool Empty() const { return this->suspects.empty(); }
  /// Returns the suspects to report to other instances: first what only this
  /// instance may know, then those with most crashes, refuted or not.
  std::vector<SuspectReport> Reports(TimePoint now);
  /// Returns the report of \p suspect, without crashes if there are none.
  SuspectReport ReportOf(const Fingerprint& suspect, TimePoint now) const;
  /// Returns why and for how long a request is refused that carries \p suspect
  /// and no other, or nothing.
  std::optional<Verdict> Judge(const Fingerprint& suspect, TimePoint now) const;
  /// Returns why and for how long \p request is refused, or nothing.
  std::optional<Verdict> Judge(const RequestFingerprints& request,
                               TimePoint now) const;
  /// Returns what is known against the suspect of \p request that was at most
  /// crashes, refuted or not; nothing if there is none.
  std::optional<Suspicion> SuspicionOf(
      const RequestFingerprints& request) const;
  /// Records that \p request is sent now. Returns whether that is on trial,
  /// which other instances have to know.
  bool OnSent(const RequestFingerprints& request, TimePoint now);
  /// Returns whether \p request may be sent once more after a run of it broke:
  /// not after a second crash, which would take a third endpoint.
  bool MayRetry(const RequestFingerprints& request, TimePoint now) const;
  /// Returns how many suspects there are, and how many of them are refused.
  std::size_t Size() const { return this->suspects.size(); }
  /// Returns how many ends of endpoints are remembered.
  std::size_t EndCount() const { return this->ends.size(); }
  std::size_t BlockedCount(TimePoint now) const;

 private:
  struct Crash {
    EndpointStart endpoint;
    TimePoint sent_at;
    TimePoint at;
    Duration ran{0};
    bool refuted = false;
    /// Whether nothing of any answer with the suspect had come.
    bool waiting = false;
    /// Whether this instance saw it, not a peer.
    bool own = false;
  };
  /// Ordered by time.
  using Crashes = std::vector<Crash>;
  /// The runs with a suspect at one start of an endpoint.
  struct BegunRun {
    TimePoint sent_at;
    TimePoint broke_at;
    /// How long the first of them had run.
    Duration ran{0};
    /// Whether one of them had run too long to be the cause.
    bool ran_long = false;
    /// Whether nothing of any answer had come.
    bool waiting = true;
    /// Whether all of them were given up in silence.
    bool silent = true;
  };
  /// Broken runs at one start of an endpoint.
  struct BrokenRuns {
    EndpointStart endpoint;
    /// When the last of them broke, and when the last was recorded.
    TimePoint last_at;
    TimePoint recorded_at;
    std::map<Fingerprint, BegunRun> begun;
  };
  /// The crashes that count against a suspect.
  struct Block {
    Duration length{0};
    /// Whether requests are sent on trial afterwards.
    bool then_trial = false;
  };
  struct Evidence {
    Crashes chain;
    double weight = 0;
    /// The same if each of its runs had begun.
    double weight_if_begun = 0;
    bool several_addresses = false;
  };
  /// What the crashes of suspects that a request doesn't carry say about those
  /// of one that it carries.
  struct Comparison {
    /// Another one was at two of them.
    bool shared = false;
    /// Another one was at all of them, and is as suspect.
    bool tied = false;
  };

  Evidence Weigh(const Crashes& crashes) const;
  bool IsJoint(const Crashes& of_suspect, const Crash& crash) const;
  /// Returns whether crashes at which both were are explained by the one with
  /// \p crashes rather than by the one with \p others.
  bool MoreSuspect(const Crashes& crashes, const Crashes& others) const;
  /// Returns the crashes of \p suspect at which no more suspect one was that is
  /// not among \p carried: these are explained.
  Crashes Unexplained(const Fingerprint& suspect,
                      const std::vector<Fingerprint>& carried) const;
  Comparison Compare(const Fingerprint& suspect,
                     const std::vector<Fingerprint>& carried,
                     const Evidence& evidence) const;
  bool IsCertain(const Evidence& evidence, FingerprintKind kind) const;
  /// Returns whether a suspect was at half of the moments at which endpoints
  /// ended from its first crash to its last, not counting the first.
  bool IsAtMostEnds(const Crashes& of_suspect, const Evidence& evidence) const;
  /// Returns how \p suspect is refused after the last of its \p
  /// unexplained crashes, in a request that has all of \p carried.
  Block BlockOf(const Fingerprint& suspect,
                const std::vector<Fingerprint>& carried,
                const Crashes& unexplained) const;
  /// Returns whether a request with \p suspect is sent on trial at \p now, if
  /// none was lately.
  bool AwaitsTrial(const Fingerprint& suspect,
                   const std::vector<Fingerprint>& carried,
                   TimePoint now) const;
  /// Returns how much longer other requests wait for the one on trial.
  Duration TrialRemaining(const Fingerprint& suspect, TimePoint now) const;
  std::optional<Verdict> JudgeCarried(const Fingerprint& suspect,
                                      const std::vector<Fingerprint>& carried,
                                      TimePoint now) const;
  /// Returns the crashes of \p suspect with its newest broken run: the evidence
  /// of that comes a moment later.
  Crashes WithNewestRun(const Fingerprint& suspect) const;
  SuspectReport ToReport(const Fingerprint& suspect, const Crashes& crashes,
                         TimePoint now) const;
  void CountBegun(BrokenRuns& runs, const BrokenRun& run, TimePoint now);
  bool Add(const Fingerprint& suspect, const Crash& crash, TimePoint now);
  void KeepMark(const Fingerprint& suspect, const CrashReport& report);
  void RecordEnd(std::uint32_t key, TimePoint at);
  void Prune(TimePoint now);
  /// Removes crashes until there are \p max_size: the oldest that are in no
  /// sequence first, since with many crashes at a time the newest ones alone
  /// would make none.
  void Trim(Crashes& crashes, std::size_t max_size) const;
  void EvictOne();

  QuarantineSettings settings;
  std::map<Fingerprint, Crashes> suspects;
  /// When a request with a suspect was last sent on trial.
  std::map<Fingerprint, TimePoint> trials;
  /// Broken runs without evidence yet, by the key of the endpoint's start.
  std::map<std::uint32_t, BrokenRuns> undecided;
  RecentSuccesses successes;
  /// When endpoints crashed, by the key of their start.
  std::map<std::uint32_t, TimePoint> ends;
  TimePoint pruned_at;
};

}  // namespace toucanwharf::quarantine

#endif  // TOUCANWHARF_QUARANTINE_QUARANTINE_H_
