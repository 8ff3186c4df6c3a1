#include "toucanwharf/placement/stabilization_window.h"

#include <boost/test/unit_test.hpp>

#include "models.h"

namespace toucanwharf::placement {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

std::vector<Accelerator> FirstOf(const std::vector<Accelerator>& fleet,
                                 std::ptrdiff_t count) {
  return {fleet.begin(), fleet.begin() + count};
}

// Callers of a fleet that had just started were refused by the third: engines
// registered in groups up to a second apart, and the first layout, made for 29
// of 93, gave some of them 35 layers where 28 leave room for the answers
// wanted. Covers that are whole stay, so those engines turned requests away
// for as long as they lived.
BOOST_AUTO_TEST_CASE(FirstLayoutWaitsForEnginesThatRegisterInGroups) {
  const auto fleet = GrownFleet();
  StabilizationWindow settling;
  BOOST_TEST(!settling.IsStable(FirstOf(fleet, 29), At(0)));
  BOOST_TEST(!settling.IsStable(FirstOf(fleet, 49), At(200)));
  BOOST_TEST(!settling.IsStable(FirstOf(fleet, 49), At(1100)));
  BOOST_TEST(!settling.IsStable(FirstOf(fleet, 77), At(1200)));
  BOOST_TEST(!settling.IsStable(FirstOf(fleet, 77), At(2100)));
  BOOST_TEST(!settling.IsStable(fleet, At(2200)));
  BOOST_TEST(settling.IsStable(fleet, At(4200)));

  const EngineModel model = LargeModel();
  const LayoutSettings settings;
  const Layout layout = PlanLayout(model, fleet, settings);
  for (const Accelerator& one : fleet) {
    const auto found = layout.find(one.id);
    if (found == layout.end()) continue;
    const AcceleratorKind& kind = *model.FindKind(one.kind);
    // A cover may have a little less room than wanted, to use what is there.
    const double least = settings.standby_answers;
    BOOST_TEST(found->second.Count() <= LayersFor(model, kind, least));
  }
}

// A new leader takes over while answers run: engines hold layers, and a dead
// one must be replaced soon.
BOOST_AUTO_TEST_CASE(RunningFleetIsPlannedForSoon) {
  auto fleet = GrownFleet();
  fleet.front().layers = {0, 26};
  StabilizationWindow settling;
  BOOST_TEST(!settling.IsStable(fleet, At(0)));
  BOOST_TEST(settling.IsStable(fleet, At(700)));
}

// Engines come and go later on; each change is planned for at once.
BOOST_AUTO_TEST_CASE(SettledStaysSettled) {
  const auto fleet = GrownFleet();
  StabilizationWindow settling;
  settling.IsStable(fleet, At(0));
  BOOST_TEST(settling.IsStable(fleet, At(2000)));
  BOOST_TEST(settling.IsStable(FirstOf(fleet, 40), At(2001)));
}

BOOST_AUTO_TEST_CASE(NoEnginesNeverSettle) {
  StabilizationWindow settling;
  BOOST_TEST(!settling.IsStable({}, At(0)));
  BOOST_TEST(!settling.IsStable({}, At(60000)));
}

}  // namespace
}  // namespace toucanwharf::placement
