#ifndef TOUCANWHARF_LIB_HTTP_SERVER_STATE_H_
#define TOUCANWHARF_LIB_HTTP_SERVER_STATE_H_

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <utility>

#include "connection_table.h"
#include "toucanwharf/http/server.h"

namespace toucanwharf::http {

/// State of a server that its connections share.
struct Server::State {
  State(Loop& event_loop, boost::asio::ip::tcp::acceptor opened,
        Handler request_handler, ServerOptions chosen)
      : loop(event_loop),
        acceptor(std::move(opened)),
        handler(std::move(request_handler)),
        options(std::move(chosen)) {}

  Loop& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  Handler handler;
  ServerOptions options;
  ServerLimits limits;
  bool close_after_responses = false;
  std::map<const Connection*, std::weak_ptr<Connection>> connections;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_LIB_HTTP_SERVER_STATE_H_
