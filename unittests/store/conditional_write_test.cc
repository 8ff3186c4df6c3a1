#include "toucanwharf/store/conditional_write.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "../fakes/object_map.h"

namespace toucanwharf::store {
namespace {

using fakes::Fault;
using fakes::ObjectMap;

const ObjectKey kKey{"leases", "acceptance"};

void TakeStep(ConditionalWrite& write, ObjectMap& map, Fault fault) {
  if (write.Next() == ConditionalWrite::Step::kWrite) {
    write.OnWrite(map.Write(write.Request(), fault));
    return;
  }
  write.OnRead(map.Read(write.Request().key, fault));
}

void Finish(ConditionalWrite& write, ObjectMap& map) {
  for (int round = 0; round < 10; ++round) TakeStep(write, map, Fault::kNone);
}

// Three processes write the same object on top of the same version, while
// answers are lost, reads are stale and writes land long after their sender's
// timeout. Guards against a role held twice, or by no process, because one of
// them misjudged the outcome of its write.
RC_BOOST_PROP(ExactlyOneOfRacingWritesTakesEffect, (bool exists)) {
  ObjectMap map;
  Revision base;
  if (exists) base = map.Write({kKey, "t0", {}, "0"}, Fault::kNone).version;
  std::vector<ConditionalWrite> writes;
  for (const char* token : {"a", "b", "c"}) {
    writes.emplace_back(Write{kKey, token, base, "1"});
  }
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
  for (const int step : steps) {
    if (step % 7 == 0) map.ApplyLateWrites();
    const auto fault = static_cast<Fault>(step / 3 % fakes::kFaultCount);
    TakeStep(writes[static_cast<std::size_t>(step % 3)], map, fault);
  }
  map.ApplyLateWrites();
  std::string winner;
  for (ConditionalWrite& write : writes) {
    Finish(write, map);
    if (write.Next() != ConditionalWrite::Step::kApplied) {
      RC_ASSERT(write.Next() == ConditionalWrite::Step::kConflict);
      continue;
    }
    RC_ASSERT(winner.empty());
    winner = write.Request().writer;
  }
  RC_ASSERT(winner == map.Read(kKey, Fault::kNone).object.writer);
}

// The write took effect, but the connection broke before the answer. The
// process reads its own token back and knows that the change is in force.
BOOST_AUTO_TEST_CASE(LostAnswerIsFoundByReadingBack) {
  ObjectMap map;
  ConditionalWrite write(Write{kKey, "mine", {}, "1"});
  TakeStep(write, map, Fault::kAnswerLost);
  BOOST_TEST((write.Next() == ConditionalWrite::Step::kRead));
  TakeStep(write, map, Fault::kNone);
  BOOST_TEST((write.Next() == ConditionalWrite::Step::kApplied));
  BOOST_TEST(map.WritesApplied() == 1u);
}

// The write lost against a newer change, and the read that should show the
// change is stale. Guards against a caller that acts on a replaced object: only
// a version at least as new as the conflict reported settles the write.
BOOST_AUTO_TEST_CASE(StaleReadDoesNotSettleAConflict) {
  ConditionalWrite write(Write{kKey, "mine", {0, 1}, "1"});
  write.OnWrite({WriteStatus::kConflict, {0, 7}});
  write.OnRead({ReadStatus::kFound, Object{kKey, {0, 5}, "other", "old"}});
  BOOST_TEST((write.Next() == ConditionalWrite::Step::kRead));
  write.OnRead({ReadStatus::kFound, Object{kKey, {0, 7}, "other", "new"}});
  BOOST_TEST((write.Next() == ConditionalWrite::Step::kConflict));
  BOOST_TEST(write.ConflictingObject()->value == "new");
}

// The object was deleted under the writer. The writer must get a conflict, and
// not wait for an object that never comes back.
BOOST_AUTO_TEST_CASE(DeletedObjectIsAConflict) {
  ObjectMap map;
  const auto base = map.Write({kKey, "t0", {}, "0"}, Fault::kNone).version;
  map.Delete(kKey);
  ConditionalWrite write(Write{kKey, "mine", base, "1"});
  Finish(write, map);
  BOOST_TEST((write.Next() == ConditionalWrite::Step::kConflict));
  BOOST_TEST(!write.ConflictingObject().has_value());
}

}  // namespace
}  // namespace toucanwharf::store
