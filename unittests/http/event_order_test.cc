#include "toucanwharf/http/event_order.h"

#include <boost/test/unit_test.hpp>
#include <initializer_list>

namespace toucanwharf::http {
namespace {

bool AcceptsAll(EventOrder& order, std::initializer_list<const char*> ids) {
  for (const char* id : ids) {
    if (!order.Accept(id)) return false;
  }
  return true;
}

BOOST_AUTO_TEST_CASE(IdsOfOneRunMayHaveAnyStepsUpwards) {
  EventOrder order;
  BOOST_TEST(AcceptsAll(order, {"3", "4", "9", "10"}));
  BOOST_TEST(!order.Accept("10"));
  BOOST_TEST(!order.Accept("2"));
}

// Guards against an endpoint that begins anew where it is to go on.
BOOST_AUTO_TEST_CASE(LaterRunThatBeginsAnewIsRejected) {
  EventOrder order;
  BOOST_TEST(AcceptsAll(order, {"1", "2", "3"}));
  order.BeginRun();
  BOOST_TEST(!order.Accept("1"));
  BOOST_TEST(order.Accept("4"));
}

// Guards against an endpoint that goes on too far ahead.
BOOST_AUTO_TEST_CASE(LaterRunThatSkipsAnEventIsRejected) {
  EventOrder order;
  BOOST_TEST(AcceptsAll(order, {"0", "4", "8"}));
  order.BeginRun();
  BOOST_TEST(!order.Accept("16"));
  BOOST_TEST(AcceptsAll(order, {"12", "20"}));
}

BOOST_AUTO_TEST_CASE(AnswerOfACallerGoesOnAfterItsId) {
  EventOrder order;
  order.GoOnAfter("12");
  BOOST_TEST(!order.Accept("12"));
  BOOST_TEST(AcceptsAll(order, {"13", "14"}));
}

BOOST_AUTO_TEST_CASE(IdsThatAreNoNumbersOnlyMustNotRepeat) {
  EventOrder order;
  BOOST_TEST(AcceptsAll(order, {"b", "a", "-1", "99999999999999999999"}));
  BOOST_TEST(!order.Accept("99999999999999999999"));
}

}  // namespace
}  // namespace toucanwharf::http
