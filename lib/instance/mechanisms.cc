#include "toucanwharf/instance/mechanisms.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace toucanwharf::instance {
namespace {

struct Switch {
  std::string_view name;
  bool Mechanisms::*on;
};

constexpr std::array kSwitches = {
    Switch{"engine-questions", &Mechanisms::engine_probes},
    Switch{"resume-first", &Mechanisms::resume_first},
    Switch{"spread-resumed", &Mechanisms::spread_resumed},
    Switch{"start-wait", &Mechanisms::startup_wait},
    Switch{"room-queue", &Mechanisms::capacity_queue},
    Switch{"standby-copies", &Mechanisms::standby_copies},
    Switch{"crowding-price", &Mechanisms::price_congestion},
    Switch{"refusal-pauses", &Mechanisms::refusal_pauses},
    Switch{"entry-choices", &Mechanisms::entry_choices},
    Switch{"silent-peers", &Mechanisms::ignore_unresponsive_peers},
    Switch{"forwarding", &Mechanisms::forwarding},
    Switch{"withdrawal", &Mechanisms::withdrawal},
    Switch{"heard-loads", &Mechanisms::reported_loads},
    Switch{"early-advice", &Mechanisms::early_advice},
    Switch{"quick-confirmation", &Mechanisms::quick_confirmation},
    Switch{"quick-takeover", &Mechanisms::quick_takeover},
    Switch{"return-schedule", &Mechanisms::return_schedule},
    Switch{"rank-order", &Mechanisms::rank_order},
    Switch{"engine-ranks", &Mechanisms::engine_ranks}};

std::string KnownNames() {
  return absl::StrJoin(
      kSwitches, ", ",
      [](std::string* text, const Switch& known) { text->append(known.name); });
}

}  // namespace

ParsedMechanisms WithoutMechanisms(const std::string& off) {
  ParsedMechanisms parsed;
  for (const std::string& name :
       std::vector<std::string>(absl::StrSplit(off, ',', absl::SkipEmpty()))) {
    const auto found =
        std::find_if(kSwitches.begin(), kSwitches.end(),
                     [&](const Switch& known) { return known.name == name; });
    if (found == kSwitches.end()) {
      parsed.problems.push_back(absl::StrCat("no mechanism is named '", name,
                                             "'; known: ", KnownNames()));
      continue;
    }
    parsed.mechanisms.*(found->on) = false;
  }
  return parsed;
}

}  // namespace toucanwharf::instance
