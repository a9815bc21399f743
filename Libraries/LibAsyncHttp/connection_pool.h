#ifndef LIBASYNCHTTP_CONNECTION_POOL_H_
#define LIBASYNCHTTP_CONNECTION_POOL_H_

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "LibAsyncHttp/client_connection.h"
#include "LibAsyncHttp/exchange.h"

namespace crocus {

/// Connections to servers, kept open between exchanges. A key identifies the
/// server at an address, so that a connection to a replica is not used for a
/// later replica at the same address.
class ConnectionPool {
 public:
  explicit ConnectionPool(boost::asio::io_context& loop) : loop(loop) {}
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Sends a request on an idle connection or a new one. The connection is
  /// returned so that the exchange can be cancelled.
  std::shared_ptr<ClientConnection> Start(
      const std::string& key,
      const boost::asio::ip::tcp::endpoint& server,
      std::string request_text,
      ExchangeEvents events,
      const ExchangeOptions& options = {});

  /// Closes the idle connections of a key.
  void CloseIdle(const std::string& key);

  std::uint64_t connections_opened() const { return this->opened; }

 private:
  void OnState(const std::string& key,
               const std::shared_ptr<ClientConnection>& connection);

  boost::asio::io_context& loop;
  /// The most recently used one is last. It is reused first, so that the others
  /// can expire.
  std::map<std::string, std::list<std::shared_ptr<ClientConnection>>> idle;
  std::set<std::shared_ptr<ClientConnection>> busy;
  std::uint64_t opened = 0;
  bool is_closing = false;
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_CONNECTION_POOL_H_
