#ifndef ENTRY_OPERATOR_INTERFACE_H_
#define ENTRY_OPERATOR_INTERFACE_H_

#include <functional>

#include <nlohmann/json.hpp>

#include "Entry/daemon_connections.h"
#include "Entry/rules_follower.h"
#include "Entry/rules_peers.h"
#include "LibHttp/http_message.h"

namespace crocus {

/// HTTP interface for operators: rules in force, status and draining.
class OperatorInterface {
 public:
  /// `describe_entry` returns the part of the status that describes the entry
  /// itself.
  OperatorInterface(DaemonConnections& daemon_connections,
                    const RulesFollower& rules,
                    const RulesPeers& peers,
                    std::function<nlohmann::json()> describe_entry);

  HttpResponse Rules(const HttpRequest& request) const;
  HttpResponse Status(const HttpRequest& request) const;
  HttpResponse Drain(const HttpRequest& request);

 private:
  DaemonConnections& daemon_connections;
  const RulesFollower& rules;
  const RulesPeers& peers;
  const std::function<nlohmann::json()> describe_entry;
};

}  // namespace crocus

#endif  // ENTRY_OPERATOR_INTERFACE_H_
