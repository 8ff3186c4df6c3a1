#ifndef TOUCANWHARF_REVIEW_STANDINS_ANSWER_TEXT_H_
#define TOUCANWHARF_REVIEW_STANDINS_ANSWER_TEXT_H_

#include <cstdio>
#include <string>

namespace review {

/// Returns the whole answer of the runner \p runner to the request \p request:
/// numbered lines that name both.
inline std::string AnswerText(const std::string& runner,
                              const std::string& request, std::size_t size) {
  std::string text;
  for (int line = 0; text.size() < size; ++line) {
    char number[16];
    std::snprintf(number, sizeof(number), "%08d", line);
    text += runner + " " + request + " line " + number + "\n";
  }
  text.resize(size);
  return text;
}

}  // namespace review

#endif  // TOUCANWHARF_REVIEW_STANDINS_ANSWER_TEXT_H_
