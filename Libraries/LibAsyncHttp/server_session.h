#ifndef LIBASYNCHTTP_SERVER_SESSION_H_
#define LIBASYNCHTTP_SERVER_SESSION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "LibAsyncHttp/http_head.h"
#include "LibAsyncHttp/memory_budget.h"
#include "LibAsyncHttp/request_parser.h"
#include "LibCore/time.h"

namespace crocus {

/// Limits on the size of a caller's requests and on the time to receive them.
struct SessionLimits {
  RequestParserOptions request;
  /// From the first byte of a request to the end of its header.
  std::chrono::milliseconds header_timeout{3000};
  /// Between requests, and between reads of a body.
  std::chrono::milliseconds idle_timeout{15000};

  bool operator==(const SessionLimits&) const = default;
};

/// Size of a connection's receive buffer. A fixed size bounds what the kernel
/// holds for clients that send faster than the process reads; 64 KB are
/// received in half a millisecond at 1 Gbit/s.
constexpr std::uint64_t kReceiveBufferBytes = 64u << 10;

class ServerSession;

struct SessionOptions {
  /// Read anew for each request, since limits change with the configuration.
  std::function<SessionLimits()> limits;
  std::function<void(std::shared_ptr<ServerSession>, Request)> on_request;
  /// Called once when the connection is closed.
  std::function<void(const ServerSession*)> on_closed;
  /// Optional account of what the sessions hold. Requests that do not fit are
  /// refused.
  std::shared_ptr<MemoryBudget> budget;
  /// Fields of such a refusal, which has the status 503.
  HeaderFields refusal_fields;
  /// Optional. Returns the JSON body of a refusal by the session itself: 400,
  /// 413, 431 or 503. Without it such a refusal has no body.
  std::function<std::string(std::uint32_t status)> refusal_body;
  /// Memory that the handling of a request takes besides its bytes, such as the
  /// stack of a thread.
  std::uint64_t handling_bytes = 0;
  /// How long the session reads and discards what the caller still sends after
  /// a refusal that closes the connection. If the connection is closed with
  /// bytes unread, the kernel resets it, and the caller may lose the refusal.
  /// 0 closes it at once.
  std::chrono::milliseconds linger_time{0};
};

/// One caller's connection. Requests are handled one after the other. Reading
/// continues while one is handled, so that a disconnect of the caller is
/// detected. Used in the event loop's thread only.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(boost::asio::ip::tcp::socket socket,
                std::shared_ptr<const SessionOptions> options);
  ~ServerSession();
  ServerSession(const ServerSession&) = delete;
  ServerSession& operator=(const ServerSession&) = delete;

  void Start();

  /// Sets the callback for a disconnect of the caller before the response to
  /// the current request has ended.
  void set_on_disconnect(std::function<void()> callback) {
    this->on_disconnect = std::move(callback);
  }

  /// Sets the callback for the next time at which few bytes are unsent. It is
  /// called once.
  void set_on_drained(std::function<void()> callback) {
    this->on_drained = std::move(callback);
  }
  /// True if the caller reads more slowly than the response arrives. The
  /// producer of the response should pause until the queue has drained.
  bool is_congested() const;

  /// Reserves memory for a response that is collected before it is sent, in
  /// place of what was reserved before. Returns false if there is none. The
  /// reservation ends with the start of a response of known length.
  bool ReserveResponse(std::uint64_t bytes);

  /// Sends a complete response.
  void Respond(std::uint32_t status, HeaderFields fields, std::string body);
  /// Starts a response whose body follows through SendBody. Without a length
  /// the body is chunked.
  void StartResponse(std::uint32_t status,
                     std::string_view reason,
                     HeaderFields fields,
                     std::optional<std::uint64_t> content_length);
  void SendBody(std::string bytes);
  /// Makes a body without a length end with the connection instead of being
  /// chunked. For stand-ins; the gateway's own responses always have a framing.
  void EndBodyWithConnection() { this->ends_body_with_connection = true; }
  /// Ends the response as complete.
  void FinishResponse();
  /// Closes the connection, so that the caller detects that a response in
  /// progress is incomplete.
  void Abort();

  /// Closes the connection as if the caller had disconnected.
  void Disconnect() { this->Close(); }

  /// Closes the connection as soon as no request is being handled and none has
  /// arrived. A new connection is kept for a moment: its request may be on its
  /// way.
  void CloseWhenIdle();

  /// Makes each further response announce that the connection closes after it.
  void AnnounceClose() { this->closes_after_response = true; }

  /// True while a request is being received or handled, or bytes of a response
  /// are unsent.
  bool is_busy() const {
    return this->socket.is_open() && !this->is_lingering &&
           (this->state == State::kHandling || this->parser != nullptr ||
            this->has_next_request() || this->is_writing ||
            this->awaits_first_request);
  }
  bool is_open() const { return this->socket.is_open(); }
  /// When the first byte of the current request was read.
  TimePoint request_started() const { return this->started; }

 private:
  enum class State { kReading, kHandling };

  /// True if bytes have arrived that no request contains yet, those that the
  /// kernel still has included.
  bool has_next_request() const;
  void Read();
  void Parse();
  void StartHandling();
  void RejectMalformed(std::uint32_t status);
  /// Answers the request that is being received without handling it.
  void Refuse(std::uint32_t status, HeaderFields fields);
  /// Reads and discards what the caller sends, for the linger time.
  void Linger();
  void ReadDiscarded();
  /// Refuses the request that is being received, or closes the connection if
  /// its head is not known.
  void RefuseForMemory();
  void OnEvicted();
  void OnReadable();
  /// Memory that the session holds now, what the kernel holds for it included.
  std::uint64_t held_bytes() const;
  /// Accounts for the memory held. Returns false if there is no room for it.
  bool UpdateMemory();
  /// The same where the bytes must be held in any case.
  void ChargeMemory();
  void UpdateHolderState();
  void SetTimer(std::chrono::milliseconds timeout);
  void Write(std::string bytes);
  void WriteNext();
  void WriteInFlight();
  void FinishExchange();
  void Close();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  const std::shared_ptr<const SessionOptions> options;
  boost::beast::flat_buffer input;
  std::unique_ptr<RequestParser> parser;
  State state = State::kReading;
  MemoryBudget::HolderId holder = 0;
  /// Memory of the request that is being handled, and of its response before it
  /// is sent.
  std::uint64_t request_bytes = 0;
  std::uint64_t response_bytes = 0;
  bool is_reading = false;
  /// True while bytes stay in the kernel because a request is handled.
  bool is_read_paused = false;
  /// True once a response did not fit in memory: its rest is not sent, and the
  /// connection is about to be closed.
  bool is_response_dropped = false;
  bool is_parsing = false;
  /// True if the session lingers once the response is sent, and while it does.
  bool lingers_after_write = false;
  bool is_lingering = false;
  /// True if the parser has left bytes at its last call.
  bool has_rest = false;
  bool is_writing = false;
  bool is_chunked = false;
  bool has_body = true;
  bool request_keeps_alive = true;
  bool closes_after_response = false;
  bool ends_body_with_connection = false;
  bool closes_after_write = false;
  bool closes_when_idle = false;
  bool has_received_request = false;
  /// True while a new connection is kept for its first request although no new
  /// connections are accepted any more.
  bool awaits_first_request = false;
  bool is_head_request = false;
  bool sent_continue = false;
  std::string unsent;
  std::string in_flight;
  /// Bytes of `in_flight` that are written.
  std::size_t in_flight_written = 0;
  TimePoint started{};
  std::function<void()> on_disconnect;
  std::function<void()> on_drained;
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_SERVER_SESSION_H_
