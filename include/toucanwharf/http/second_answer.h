#ifndef TOUCANWHARF_HTTP_SECOND_ANSWER_H_
#define TOUCANWHARF_HTTP_SECOND_ANSWER_H_

#include <string>
#include <string_view>

namespace toucanwharf::http {

/// Finds a second answer to the same request behind a body that only its
/// connection ends.
///
/// Guards against an endpoint that answers twice: without a length or chunks,
/// the second answer is read as a part of the first one's body. Its head names
/// the request, which no body is assumed to do in the form of a head.
/// Thread safety: none.
class SecondAnswerFinder {
 public:
  /// A head is held until it is known for what it is, up to this many bytes.
  static constexpr std::size_t kMaxHeadBytes = 16UL * 1024;

  /// The field \p id_field of a head names its request, here \p id.
  SecondAnswerFinder(std::string id_field, std::string id);

  /// Takes the next bytes of the body; returns those that belong to it for
  /// certain, in order. Nothing follows the start of a second answer.
  std::string Feed(std::string_view bytes);
  /// Returns what was held when the connection ended: it was no head.
  std::string TakeRest();
  /// Returns whether a second answer has begun.
  bool Found() const { return this->found; }

 private:
  enum class Kind { kNoHead, kIncomplete, kSecondAnswer };

  /// Returns what \p text, which begins like a status line, is.
  Kind Classify(std::string_view text) const;

  std::string id_field;
  std::string id;
  std::string pending;
  bool found = false;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_SECOND_ANSWER_H_
