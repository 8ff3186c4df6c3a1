#ifndef TOUCANWHARF_HTTP_DATAGRAM_H_
#define TOUCANWHARF_HTTP_DATAGRAM_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "toucanwharf/http/loop.h"
#include "toucanwharf/support/result.h"

namespace toucanwharf::http {

/// Sends and receives datagrams on one UDP address.
/// Thread safety: only on the loop's thread.
class DatagramSocket {
 public:
  /// Called with the sender's "IP:PORT" and the payload.
  using Handler =
      std::function<void(const std::string& sender, std::string_view payload)>;

  /// Binds \p address ("IP:PORT"). Precondition: \p loop outlives the socket.
  static Result<std::unique_ptr<DatagramSocket>> Bind(
      Loop& loop, const std::string& address, Handler handler);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Sends \p payload. A datagram that the kernel can't accept now is lost, as
  /// any datagram may be. Returns the error if it could not be sent; one of
  /// more than 65,507 bytes never can.
  std::error_code Send(const std::string& address, std::string_view payload);

  struct State;

 private:
  explicit DatagramSocket(std::shared_ptr<State> inner);

  std::shared_ptr<State> state;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_DATAGRAM_H_
