#ifndef TOUCANWHARF_TEST_SOAK_KEPT_CONNECTION_H_
#define TOUCANWHARF_TEST_SOAK_KEPT_CONNECTION_H_

#include <string>

#include "test/process/fixture.h"

namespace toucanwharf::soak {

/// The answer to one request on a kept connection.
struct KeptAnswer {
  process_test::Answer answer;
  /// Whether bytes came that belong to no answer.
  bool has_more = false;
  /// Whether the connection can't be used again.
  bool closed = false;
};

/// A caller's connection that is used for request after request until its peer
/// is gone, also if an answer asks to close it. Sends each request once.
/// Thread safety: one thread.
class KeptConnection {
 public:
  /// Connects to \p address ("IP:PORT"); one that is refused is closed.
  explicit KeptConnection(const std::string& address);
  ~KeptConnection();
  KeptConnection(const KeptConnection&) = delete;
  KeptConnection& operator=(const KeptConnection&) = delete;

  bool IsOpen() const { return this->socket >= 0; }
  /// Sends \p request, a whole one, and waits for its answer.
  /// Precondition: IsOpen().
  KeptAnswer Send(const std::string& request);

 private:
  void Close();

  int socket = -1;
};

}  // namespace toucanwharf::soak

#endif  // TOUCANWHARF_TEST_SOAK_KEPT_CONNECTION_H_
