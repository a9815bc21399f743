#ifndef TESTS_PLATFORM_STANDIN_SCRIPTED_SERVER_H_
#define TESTS_PLATFORM_STANDIN_SCRIPTED_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "LibCore/time.h"

namespace crocus {

/// A request as a scripted server sees it.
struct ScriptedRequest {
  /// Its head and body.
  std::string text;
  /// The id of the caller's attempt.
  std::string id;
  /// How many requests its connection had before.
  int earlier_on_connection = 0;
};

/// What a scripted server does with a request.
struct ScriptedResponse {
  std::string bytes;
  /// Sent this much later; nothing if it is empty.
  std::string late_bytes;
  Duration delay{};
  bool closes = false;
  /// The connection is reset in place of being closed in order.
  bool resets = false;
};

/// A faulty server that answers each request with any bytes. It reads the next
/// request of a connection when all bytes are sent. Runs in the test's event
/// loop.
class ScriptedServer {
 public:
  using Script = std::function<ScriptedResponse(const ScriptedRequest&)>;

  ScriptedServer(boost::asio::io_context& loop, Script script);

  std::uint16_t port() const;

  /// Answers a request as soon as its head is there, and reads the rest of it
  /// no more.
  void set_answers_before_body(bool enabled) {
    this->answers_before_body = enabled;
  }

 private:
  struct Connection;

  void Accept();
  void End(const std::shared_ptr<Connection>& connection, bool resets);
  void ReadHead(const std::shared_ptr<Connection>& connection);
  void ReadBody(const std::shared_ptr<Connection>& connection,
                std::size_t request_bytes);
  void Respond(const std::shared_ptr<Connection>& connection,
               std::size_t request_bytes);
  void Send(const std::shared_ptr<Connection>& connection,
            const std::shared_ptr<ScriptedResponse>& response);
  void SendLate(const std::shared_ptr<Connection>& connection,
                const std::shared_ptr<ScriptedResponse>& response);

  const Script script;
  bool answers_before_body = false;
  boost::asio::ip::tcp::acceptor acceptor;
};

}  // namespace crocus

#endif  // TESTS_PLATFORM_STANDIN_SCRIPTED_SERVER_H_
