#ifndef TOUCANWHARF_DAEMON_ANSWER_RELAY_H_
#define TOUCANWHARF_DAEMON_ANSWER_RELAY_H_

#include <cstdint>
#include <memory>
#include <string>

#include "toucanwharf/daemon/answer_sessions.h"
#include "toucanwharf/peers/client.h"
#include "toucanwharf/peers/server.h"
#include "toucanwharf/transport/event_loop.h"
#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::daemon {

/// Relays an answer from the instance that runs it to the instance that its
/// caller is connected to. Serve is the sending side, Read the receiving side.
/// Thread safety: none; for the loop's thread.
class AnswerRelay {
 public:
  /// Precondition: both references outlive the object.
  AnswerRelay(transport::EventLoop& loop, AnswerSessions& sessions)
      : loop(loop), sessions(sessions) {}

  /// Sends the answer \p id of \p customer, from token \p from to its end, to
  /// another router.
  void Serve(const std::string& id, std::uint32_t from,
             const std::string& customer, const peers::AnswerSink& sink);

  /// Reads the answer \p id from the router at \p address into \p exchange.
  /// Precondition: the exchange has no answer yet.
  static void Read(peers::PeerClient& client, const std::string& address,
                   const std::string& id, std::uint32_t from,
                   const std::string& customer,
                   const std::shared_ptr<transport::Exchange>& exchange);

 private:
  transport::EventLoop& loop;
  AnswerSessions& sessions;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ANSWER_RELAY_H_
