#include "test/process/odd_entries.h"

namespace toucanwharf::process_test {
namespace {

/// An entry like that of an endpoint, with \p members in place of some.
std::string EntryWith(const std::string& members) {
  return R"({"service":"model","zone":"zone-1","version":"v1","slots":8,)"
         R"("state":"ready","cold_ms":0,"seq":1,"kind":"big",)" +
         members + "}";
}

std::string Nested(const std::string& open, const std::string& close) {
  constexpr int kLevels = 100'000;
  std::string text;
  for (int level = 0; level < kLevels; ++level) text += open;
  for (int level = 0; level < kLevels; ++level) text += close;
  return text;
}

}  // namespace

std::vector<std::pair<std::string, std::string>> OddTexts() {
  const std::string address = R"("addr":"127.0.0.1:9")";
  return {
      {"nested lists", Nested("[", "]")},
      {"nested objects",
       EntryWith(address + R"(,"born":)" + Nested(R"({"a":[)", "]}"))},
      {"a number beyond range", EntryWith(address + R"(,"born":1e400)")},
      {"a number beyond an integer",
       EntryWith(address + R"(,"born":99999999999999999999999)")},
      {"layers beyond range",
       EntryWith(address + R"(,"layers":{"from":0,"target":4294967295})")},
      {"layers beyond the model",
       EntryWith(address + R"(,"layers":{"from":5,"target":900})")},
      {"a port beyond range", EntryWith(R"("addr":"127.0.0.1:99999")")},
      {"an address without a port", EntryWith(R"("addr":"127.0.0.1")")},
      {"half of a surrogate pair", R"({"service":"\ud800","addr":"x"})"},
      {"bytes that are no UTF-8", "{\"service\":\"\xff\xfe\"}"},
      {"a NUL", R"({"service":"\u0000","addr":"\u0000:1"})"},
      {"a key twice", EntryWith(address + R"(,"addr":[],"addr":7)")},
      {"a long string",
       EntryWith(R"("addr":")" + std::string(1UL << 20U, 'x') + "\"")},
  };
}

}  // namespace toucanwharf::process_test
