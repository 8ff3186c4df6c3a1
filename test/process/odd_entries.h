#ifndef TOUCANWHARF_TEST_PROCESS_ODD_ENTRIES_H_
#define TOUCANWHARF_TEST_PROCESS_ODD_ENTRIES_H_

#include <string>
#include <utility>
#include <vector>

namespace toucanwharf::process_test {

/// Returns texts that another writer may leave among the endpoints, by what is
/// odd. Thread safety: safe.
std::vector<std::pair<std::string, std::string>> OddTexts();

}  // namespace toucanwharf::process_test

#endif  // TOUCANWHARF_TEST_PROCESS_ODD_ENTRIES_H_
