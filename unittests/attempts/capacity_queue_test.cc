#include "toucanwharf/attempts/capacity_queue.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace toucanwharf::attempts {
namespace {

// Guards against requests that wait behind those of a service whose engines
// take no more, although their own service has capacity.
BOOST_AUTO_TEST_CASE(BlockedServiceHoldsUpNoOther) {
  CapacityQueue<int> queue;
  queue.Push("limited", 1);
  queue.Push("free", 2);
  queue.Push("limited", 3);
  queue.Push("free", 4);
  std::vector<int> served;
  queue.Serve([&](int request) {
    if (request % 2 != 0) return false;
    served.push_back(request);
    return true;
  });
  BOOST_TEST(served == (std::vector<int>{2, 4}),
             boost::test_tools::per_element());
  BOOST_TEST(queue.Waits("limited"));
  BOOST_TEST(!queue.Waits("free"));
}

// Guards against a later request that overtakes an earlier one of its service.
BOOST_AUTO_TEST_CASE(RequestsOfAServiceLeaveInOrder) {
  CapacityQueue<int> queue;
  for (const int request : {1, 2, 3}) queue.Push("service", request);
  std::vector<int> asked;
  queue.Serve([&](int request) {
    asked.push_back(request);
    if (request == 1) queue.Push("service", 4);
    return request != 2;
  });
  BOOST_TEST(asked == (std::vector<int>{1, 2}),
             boost::test_tools::per_element());
  queue.Serve([](int) { return true; });
  BOOST_TEST(queue.Empty());
}

}  // namespace
}  // namespace toucanwharf::attempts
