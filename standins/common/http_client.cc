#include "standins/common/http_client.h"

#include <curl/curl.h>

#include <cstddef>

namespace toucanwharf::standins {
namespace {

std::size_t Append(char* data, std::size_t size, std::size_t count,
                   void* target) {
  static_cast<std::string*>(target)->append(data, size * count);
  return size * count;
}

int CheckAbort(void* flag, curl_off_t /*down_all*/, curl_off_t /*down*/,
               curl_off_t /*up_all*/, curl_off_t /*up*/) {
  return static_cast<const std::atomic<bool>*>(flag)->load() ? 1 : 0;
}

}  // namespace

nlohmann::json HttpAnswer::Json() const {
  return nlohmann::json::parse(this->body, nullptr, false);
}

HttpClient::HttpClient() : easy(curl_easy_init()) {}

HttpClient::~HttpClient() { curl_easy_cleanup(this->easy); }

HttpAnswer HttpClient::Call(const std::string& method, const std::string& url,
                            const std::string& body, int timeout_ms,
                            const std::atomic<bool>* abort) {
  HttpAnswer answer;
  curl_easy_reset(this->easy);
  curl_slist* headers =
      curl_slist_append(nullptr, "Content-Type: application/json");
  headers = curl_slist_append(headers, "Expect:");
  curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
  curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout_ms));  // NOLINT
  curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, &answer.body);
  if (abort != nullptr) {
    curl_easy_setopt(this->easy, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(this->easy, CURLOPT_XFERINFOFUNCTION, &CheckAbort);
    curl_easy_setopt(this->easy, CURLOPT_XFERINFODATA, abort);
  }
  if (!body.empty()) {
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));  // NOLINT
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, body.data());
  }
  const CURLcode code = curl_easy_perform(this->easy);
  if (code == CURLE_OK) {
    curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &answer.status);
  }
  curl_slist_free_all(headers);
  return answer;
}

}  // namespace toucanwharf::standins
