#ifndef TOUCANWHARF_INSTANCE_CONFIGURATION_IN_FORCE_H_
#define TOUCANWHARF_INSTANCE_CONFIGURATION_IN_FORCE_H_

#include <functional>
#include <optional>
#include <string>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/routes/configuration.h"
#include "toucanwharf/store/object.h"

namespace toucanwharf::instance {

/// Puts configurations into force that were read from the store or fetched from
/// a peer, and decides what a read of the store confirms. Owned by Instance.
///
/// Failure guarded against: the store returns from an older copy, and a
/// configuration of before takes the place of an accepted one, or counts as
/// confirmed (I7). Only a higher version replaces the one in force. A read
/// confirms nothing until what the store lost has been written again: after the
/// time for that, or sooner if the operator is seen to have written since the
/// return and to have finished. From then on a store that still shows an older
/// configuration confirms the one in force: nothing newer was accepted.
/// Thread safety: only on the loop's thread.
class ConfigurationInForce {
 public:
  using Parse =
      std::function<std::optional<routes::Configuration>(const std::string&)>;

  /// Precondition: all references outlive the object.
  ConfigurationInForce(InstanceState& shared_state, eventlog::Logger& log,
                       Parse text_parser, std::function<void()> on_change)
      : state(shared_state),
        logger(log),
        parse(std::move(text_parser)),
        changed(std::move(on_change)) {}

  /// Puts \p text of the store's \p revision into force if it is newer. Drops a
  /// text that cannot be parsed.
  void Adopt(const store::Revision& revision, const std::string& text,
             TimePoint now);
  /// Adopts \p object, which a read returned that began at \p begun, and
  /// records what the read confirms.
  void OnRead(const store::Object& object, TimePoint begun, TimePoint now);

 private:
  /// Returns whether the operator has written the configuration in force since
  /// the store's return. Precondition: it was read from the store.
  bool IsWrittenInEpoch() const;
  /// Returns whether a read that began at \p begun and showed the configuration
  /// in force shows all that was accepted.
  bool IsSettled(TimePoint begun);
  void LogKept(const store::Revision& revision, std::uint64_t version,
               TimePoint now);

  InstanceState& state;
  eventlog::Logger& logger;
  Parse parse;
  std::function<void()> changed;
  /// The last texts that were not put into force, because they were unreadable
  /// or older, and need not be parsed again.
  store::Revision unreadable;
  store::Revision older;
  /// The first state of the object that was read in its epoch, and what was in
  /// force before.
  store::Revision first_in_epoch;
  gossip::ConfigurationId before_epoch;
  /// The last state that was seen to be written in this epoch, and since when.
  store::Revision written;
  TimePoint written_seen_at;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_CONFIGURATION_IN_FORCE_H_
