#include <microhttpd.h>
#include <sys/socket.h>

#include <cassert>
#include <utility>

#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::transport {
namespace {

std::size_t MapBytes(const std::map<std::string, std::string>& fields) {
  // A node has links to three others, and a colour.
  constexpr std::size_t kNodeBytes =
      sizeof(std::pair<const std::string, std::string>) + 4 * sizeof(void*);
  std::size_t bytes = 0;
  for (const auto& [name, value] : fields) {
    bytes += kNodeBytes + name.capacity() + value.capacity();
  }
  return bytes;
}

}  // namespace

std::size_t HeldBytes(const HttpRequest& request) {
  return request.path.capacity() + request.body.capacity() +
         MapBytes(request.query) + MapBytes(request.headers);
}

Exchange::Exchange(HttpRequest received)
    : request(std::move(received)), request_bytes(HeldBytes(this->request)) {}

void Exchange::Respond(int new_status, std::vector<Header> new_headers,
                       std::string body) {
  const std::lock_guard lock(this->mutex);
  assert(!this->answered && "an exchange has exactly one response");
  this->answered = true;
  this->ended = true;
  this->status = new_status;
  this->headers = std::move(new_headers);
  this->pending = std::move(body);
  this->CountHeld();
  this->Resume();
}

void Exchange::BeginStream(int new_status, std::vector<Header> new_headers) {
  const std::lock_guard lock(this->mutex);
  assert(!this->answered && "an exchange has exactly one response");
  this->answered = true;
  this->streaming = true;
  this->status = new_status;
  this->headers = std::move(new_headers);
  this->Resume();
}

void Exchange::Write(std::string_view bytes) {
  const std::lock_guard lock(this->mutex);
  assert(this->streaming && "Write requires BeginStream");
  if (this->disconnected) return;
  this->pending.append(bytes);
  this->CountHeld();
  this->Resume();
}

void Exchange::End() {
  const std::lock_guard lock(this->mutex);
  assert(this->streaming && "End requires BeginStream");
  this->ended = true;
  this->Resume();
}

bool Exchange::IsDisconnected() {
  const std::lock_guard lock(this->mutex);
  if (this->disconnected) return true;
  // libmicrohttpd doesn't poll a suspended connection, so a close by the caller
  // is detected here; the socket stays open while the connection is suspended.
  if (!this->suspended || this->socket < 0) return false;
  char byte = 0;
  const ssize_t received_bytes =
      recv(this->socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return received_bytes == 0;
}

void Exchange::Resume() {
  if (!this->suspended) return;
  this->suspended = false;
  MHD_resume_connection(this->connection);
}

void Exchange::CountHeld() {
  if (!this->registry) return;
  const TimePoint now = BootClock().Now();
  this->registry->Enter(this->registered,
                        this->pending.empty() ? ConnectionPhase::kAnswering
                                              : ConnectionPhase::kWaiting,
                        now);
  const std::size_t held = this->request_bytes + this->pending.size();
  if (this->registry->Hold(this->registered, held, now)) return;
  if (!this->streaming) return;
  std::string().swap(this->pending);
  this->disconnected = true;
}

}  // namespace toucanwharf::transport
