#include "toucanwharf/support/deflate.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace toucanwharf {
namespace {

constexpr std::size_t kMost = 1UL << 20;

BOOST_AUTO_TEST_SUITE(DeflateTest)

BOOST_AUTO_TEST_CASE(AnyTextRoundTrips) {
  BOOST_TEST(rc::check([](const std::string& text) {
    RC_ASSERT(Inflate(Deflate(text), kMost) == text);
  }));
}

BOOST_AUTO_TEST_CASE(TextLargerThanAChunkRoundTrips) {
  std::string text;
  while (text.size() < kMost / 2) text += std::to_string(text.size()) + ",";
  BOOST_TEST((Inflate(Deflate(text), kMost) == text));
}

// Guards against a decompression bomb: a few bytes from a peer fill the memory.
BOOST_AUTO_TEST_CASE(TextAboveTheLimitIsRejected) {
  BOOST_TEST(!Inflate(Deflate(std::string(kMost + 1, 'a')), kMost));
}

BOOST_AUTO_TEST_CASE(TruncatedBytesAreRejected) {
  const std::string complete = Deflate("a text that is cut off");
  BOOST_TEST(!Inflate(complete.substr(0, complete.size() - 1), kMost));
  BOOST_TEST(!Inflate("", kMost));
  BOOST_TEST(!Inflate("no such bytes", kMost));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf
