#include "LibHttp/http_client.h"

#include <algorithm>
#include <cctype>

#include <ulfius.h>

namespace crocus {

namespace {

/// Owns the request and response objects of ulfius.
class Exchange {
 public:
  explicit Exchange(const HttpCall& call) {
    ulfius_init_request(&this->request);
    ulfius_init_response(&this->response);
    ulfius_set_request_properties(
        &this->request, U_OPT_HTTP_VERB, call.method.c_str(), U_OPT_HTTP_URL,
        call.url.c_str(), U_OPT_TIMEOUT,
        static_cast<unsigned long>(call.timeout.count()), U_OPT_NONE);
    for (const auto& [name, value] : call.headers) {
      u_map_put(this->request.map_header, name.c_str(), value.c_str());
    }
    if (!call.body.empty()) {
      ulfius_set_binary_body_request(&this->request, call.body.data(),
                                     call.body.size());
    }
  }

  ~Exchange() {
    ulfius_clean_request(&this->request);
    ulfius_clean_response(&this->response);
  }

  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  HttpReply Reply() const {
    HttpReply reply{.status = static_cast<int>(this->response.status),
                    .headers = {},
                    .body = {}};
    const char** keys = u_map_enum_keys(this->response.map_header);
    for (int i = 0; keys != nullptr && keys[i] != nullptr; ++i) {
      std::string name = keys[i];
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char character) {
                       return static_cast<char>(std::tolower(character));
                     });
      reply.headers[name] = u_map_get(this->response.map_header, keys[i]);
    }
    return reply;
  }

  _u_request request{};
  _u_response response{};
};

struct BodyReceiver {
  const BodyPartHandler& on_part;
  bool has_received = false;
  bool is_aborted = false;
};

/// Whether the reply shows that its head has arrived to the end. The library
/// reports a connection that ends within the head as the end of a response
/// without a body, unless the framing that it has read by then says otherwise.
bool HasWholeHead(const HttpReply& reply, const BodyReceiver& receiver) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return receiver.has_received || reply.status == kNoContent ||
         reply.status == kNotModified ||
         reply.headers.contains("content-length") ||
         reply.headers.contains("transfer-encoding");
}

std::size_t OnBodyPart(void* contents,
                       std::size_t size,
                       std::size_t count,
                       void* user) {
  auto* receiver = static_cast<BodyReceiver*>(user);
  receiver->has_received = true;
  if (!receiver->on_part({static_cast<const char*>(contents), size * count})) {
    receiver->is_aborted = true;
    return 0;
  }
  return size * count;
}

}  // namespace

HttpClientLibrary::HttpClientLibrary() {
  ulfius_global_init();
}

HttpClientLibrary::~HttpClientLibrary() {
  ulfius_global_close();
}

Result<HttpReply> SendHttp(const HttpCall& call) {
  std::string body;
  TRY_ASSIGN(HttpReply reply,
             SendHttpStreaming(call, [&call, &body](std::string_view part) {
               if (body.size() + part.size() > call.maximum_body_bytes) {
                 return false;
               }
               body += part;
               return true;
             }));
  reply.body = std::move(body);
  return reply;
}

Result<HttpReply> SendHttpStreaming(const HttpCall& call,
                                    const BodyPartHandler& on_part) {
  Exchange exchange(call);
  BodyReceiver receiver{.on_part = on_part};
  const int status = ulfius_send_http_streaming_request(
      &exchange.request, &exchange.response, OnBodyPart, &receiver);
  if (receiver.is_aborted) {
    return Failure(ErrorCode::kUnavailable,
                   call.url + ": the response was aborted by the client",
                   Verdict::kMayHaveRun);
  }
  if (status != U_OK) {
    return Failure(ErrorCode::kUnavailable, call.url + ": no complete response",
                   Verdict::kMayHaveRun);
  }
  HttpReply reply = exchange.Reply();
  if (!HasWholeHead(reply, receiver)) {
    return Failure(ErrorCode::kUnavailable,
                   call.url + ": the connection ended before the response did",
                   Verdict::kMayHaveRun);
  }
  return reply;
}

}  // namespace crocus
