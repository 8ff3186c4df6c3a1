#include "standins/common/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <utility>

namespace toucanwharf::standins {
namespace {

constexpr unsigned int kConnectionLimit = 16384;
constexpr std::size_t kStackBytes = std::size_t{512} * 1024;
constexpr std::size_t kStreamBlockBytes = 4096;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

MHD_Result AddHeader(void* cls, MHD_ValueKind /*kind*/, const char* key,
                     const char* value) {
  auto& headers = *static_cast<std::map<std::string, std::string>*>(cls);
  headers[LowerCase(key)] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result AddQuery(void* cls, MHD_ValueKind /*kind*/, const char* key,
                    const char* value) {
  auto& query = *static_cast<std::map<std::string, std::string>*>(cls);
  query[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

struct StreamState {
  BodyStream stream;
  std::string unsent;
};

ssize_t ReadStream(void* cls, std::uint64_t /*position*/, char* buffer,
                   std::size_t size) {
  auto& state = *static_cast<StreamState*>(cls);
  while (state.unsent.empty()) {
    auto chunk = state.stream();
    if (!chunk) return MHD_CONTENT_READER_END_OF_STREAM;
    state.unsent = std::move(*chunk);
  }
  const std::size_t copied = std::min(size, state.unsent.size());
  std::copy_n(state.unsent.data(), copied, buffer);
  state.unsent.erase(0, copied);
  return static_cast<ssize_t>(copied);
}

void FreeStream(void* cls) { delete static_cast<StreamState*>(cls); }

MHD_Response* MakeResponse(HttpReply& reply) {
  if (reply.stream) {
    auto state = std::make_unique<StreamState>();
    state->stream = std::move(reply.stream);
    return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
                                             kStreamBlockBytes, &ReadStream,
                                             state.release(), &FreeStream);
  }
  return MHD_create_response_from_buffer(reply.body.size(), reply.body.data(),
                                         MHD_RESPMEM_MUST_COPY);
}

MHD_Result Send(MHD_Connection* connection, HttpReply reply) {
  if (reply.drop) return MHD_NO;
  MHD_Response* response = MakeResponse(reply);
  MHD_add_response_header(response, "Content-Type", reply.content_type.c_str());
  for (const auto& [name, value] : reply.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result queued = MHD_queue_response(
      connection, static_cast<unsigned int>(reply.status), response);
  MHD_destroy_response(response);
  return queued;
}

}  // namespace

/// The C callbacks of libmicrohttpd. A friend of HttpServer, so that the header
/// doesn't need the library's types.
struct HttpCallbacks {
  static MHD_Result Start(const HttpServer& server, MHD_Connection* connection,
                          const char* url, const char* method, void** context) {
    auto request = std::make_unique<HttpRequest>();
    request->method = method;
    request->path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader,
                              &request->headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQuery,
                              &request->query);
    if (server.header_check && !server.header_check(*request)) return MHD_NO;
    *context = request.release();
    return MHD_YES;
  }

  static MHD_Result Access(void* cls, MHD_Connection* connection,
                           const char* url, const char* method,
                           const char* /*version*/, const char* upload,
                           std::size_t* upload_size, void** context) {
    const auto& server = *static_cast<HttpServer*>(cls);
    if (*context == nullptr) {
      return Start(server, connection, url, method, context);
    }
    auto& request = *static_cast<HttpRequest*>(*context);
    if (*upload_size > 0) {
      request.body.append(upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    return Send(connection, Answer(server, request));
  }

  static HttpReply Answer(const HttpServer& server,
                          const HttpRequest& request) {
    try {
      return server.handler(request);
    } catch (const nlohmann::json::exception& error) {
      // Only a field of the wrong type throws, before the request is executed.
      return JsonReply(400, {{"error", error.what()}, {"ran", "no"}});
    }
  }

  static void Complete(void* /*cls*/, MHD_Connection* /*connection*/,
                       void** context, MHD_RequestTerminationCode /*code*/) {
    delete static_cast<HttpRequest*>(*context);
    *context = nullptr;
  }
};

std::uint64_t HttpRequest::Number(const std::string& name,
                                  std::uint64_t fallback) const {
  const auto found = this->query.find(name);
  if (found == this->query.end()) return fallback;
  return std::strtoull(found->second.c_str(), nullptr, 10);
}

nlohmann::json HttpRequest::Json() const {
  return nlohmann::json::parse(this->body, nullptr, false);
}

HttpReply JsonReply(int status, const nlohmann::json& body) {
  HttpReply reply;
  reply.status = status;
  reply.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return reply;
}

HttpReply DropReply() {
  HttpReply reply;
  reply.drop = true;
  return reply;
}

HttpServer::HttpServer(std::uint16_t listen_port, Handler request_handler,
                       HeaderCheck check)
    : handler(std::move(request_handler)), header_check(std::move(check)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(listen_port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  this->daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD, 0, nullptr,
      nullptr, &HttpCallbacks::Access, this, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_CONNECTION_LIMIT, kConnectionLimit,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_THREAD_STACK_SIZE,
      kStackBytes, MHD_OPTION_NOTIFY_COMPLETED, &HttpCallbacks::Complete,
      nullptr, MHD_OPTION_END);
  if (this->daemon == nullptr) throw std::runtime_error("cannot listen");
  this->port =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

HttpServer::~HttpServer() { MHD_stop_daemon(this->daemon); }

}  // namespace toucanwharf::standins
