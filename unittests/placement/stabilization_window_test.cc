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

// Guards against a first layout for part of a fleet: engines registered in
// groups up to a second apart, and the layout made for 29 of 93 gave some of
// them 35 layers where 28 leave capacity for the target number of answers.
// Complete covers stay, so those engines refused a third of all requests for as
// long as they ran.
BOOST_AUTO_TEST_CASE(FirstLayoutWaitsForEnginesThatRegisterInGroups) {
  const auto fleet = GrownFleet();
  StabilizationWindow window;
  BOOST_TEST(!window.IsStable(FirstOf(fleet, 29), At(0)));
  BOOST_TEST(!window.IsStable(FirstOf(fleet, 49), At(200)));
  BOOST_TEST(!window.IsStable(FirstOf(fleet, 49), At(1100)));
  BOOST_TEST(!window.IsStable(FirstOf(fleet, 77), At(1200)));
  BOOST_TEST(!window.IsStable(FirstOf(fleet, 77), At(2100)));
  BOOST_TEST(!window.IsStable(fleet, At(2200)));
  BOOST_TEST(window.IsStable(fleet, At(4200)));

  const EngineModel model = LargeModel();
  const LayoutSettings settings;
  const Layout layout = PlanLayout(model, fleet, settings);
  for (const Accelerator& accelerator : fleet) {
    const auto found = layout.find(accelerator.id);
    if (found == layout.end()) continue;
    const AcceleratorKind& kind = *model.FindKind(accelerator.kind);
    // A cover may have slightly less capacity than the target, to use the
    // engines there are.
    const double min_answers = settings.standby_answers;
    BOOST_TEST(found->second.Count() <= LayersFor(model, kind, min_answers));
  }
}

// A new leader takes over while answers run: engines hold layers, and a dead
// one must be replaced soon.
BOOST_AUTO_TEST_CASE(RunningFleetHasAShortWindow) {
  auto fleet = GrownFleet();
  fleet.front().layers = {0, 26};
  StabilizationWindow window;
  BOOST_TEST(!window.IsStable(fleet, At(0)));
  BOOST_TEST(window.IsStable(fleet, At(700)));
}

// Engines join and depart later; each change is planned for immediately.
BOOST_AUTO_TEST_CASE(StableStaysStable) {
  const auto fleet = GrownFleet();
  StabilizationWindow window;
  window.IsStable(fleet, At(0));
  BOOST_TEST(window.IsStable(fleet, At(2000)));
  BOOST_TEST(window.IsStable(FirstOf(fleet, 40), At(2001)));
}

BOOST_AUTO_TEST_CASE(EmptyFleetIsNeverStable) {
  StabilizationWindow window;
  BOOST_TEST(!window.IsStable({}, At(0)));
  BOOST_TEST(!window.IsStable({}, At(60000)));
}

}  // namespace
}  // namespace toucanwharf::placement
