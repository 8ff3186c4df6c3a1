#include "toucanwharf/resources/descriptors.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace toucanwharf::resources {
namespace {

BOOST_AUTO_TEST_SUITE(DescriptorsTest)

std::size_t TakeAll(Descriptors& descriptors, ConnectionUse use) {
  std::size_t taken = 0;
  while (descriptors.Take(use)) ++taken;
  return taken;
}

// Guards against idle callers that leave no descriptor for calls and control.
BOOST_AUTO_TEST_CASE(CallersLeaveDescriptorsForTheOthers) {
  Descriptors descriptors(1000);
  BOOST_TEST(TakeAll(descriptors, ConnectionUse::kCaller) == 600);
  BOOST_TEST(TakeAll(descriptors, ConnectionUse::kControl) == 100);
  BOOST_TEST(TakeAll(descriptors, ConnectionUse::kCall) == 300);
  BOOST_TEST(descriptors.Used() == 1000);
}

BOOST_AUTO_TEST_CASE(ControlLeavesDescriptorsForTheOthers) {
  Descriptors descriptors(1000);
  BOOST_TEST(TakeAll(descriptors, ConnectionUse::kControl) == 400);
  BOOST_TEST(TakeAll(descriptors, ConnectionUse::kCall) == 300);
  BOOST_TEST(TakeAll(descriptors, ConnectionUse::kCaller) == 300);
}

BOOST_AUTO_TEST_CASE(DescriptorGivenBackIsTakenAgain) {
  Descriptors descriptors(10);
  const std::size_t callers = TakeAll(descriptors, ConnectionUse::kCaller);
  descriptors.GiveBack(ConnectionUse::kCaller);
  BOOST_TEST(descriptors.Room(ConnectionUse::kCaller) == 1);
  {
    BOOST_TEST(descriptors.Take(ConnectionUse::kCaller));
    DescriptorLease lease(descriptors, ConnectionUse::kCaller);
    const DescriptorLease moved = std::move(lease);
    BOOST_TEST(descriptors.Used() == callers);
  }
  BOOST_TEST(descriptors.Used() == callers - 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::resources
