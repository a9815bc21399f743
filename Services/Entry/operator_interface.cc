#include "Entry/operator_interface.h"

#include <set>
#include <string>
#include <utility>

#include "Entry/refusal.h"
#include "LibHttp/json_response.h"
#include "LibRules/rule_table.h"

namespace crocus {

namespace {

nlohmann::json DescribeRules(const std::string& text) {
  nlohmann::json rows = nlohmann::json::array();
  const auto parsed = ParseRules("rules", text);
  if (!parsed) {
    return rows;
  }
  for (const auto& row : MakeRuleTable(*parsed)) {
    nlohmann::json values = nlohmann::json::object();
    for (const auto& [key, value] : row.values) {
      values[key] = value;
    }
    rows.push_back({{"kind", row.kind},
                    {"name", row.name},
                    {"values", values},
                    {"asked_by", row.requester},
                    {"reason", row.reason}});
  }
  return rows;
}

nlohmann::json DescribeReplica(const ReplicaView& view) {
  return {{"endpoint", view.load.endpoint},
          {"replica", view.load.replica},
          {"daemon", view.daemon_name},
          {"availability_zone", view.availability_zone},
          {"region", view.region},
          {"models", view.load.models},
          {"slots", view.load.slots},
          {"online_running", view.load.online_running},
          {"online_waiting", view.load.online_waiting},
          {"batch_running", view.load.batch_running},
          {"outstanding", view.outstanding},
          {"leaving", view.load.leaving}};
}

nlohmann::json DescribeDaemon(const DaemonView& view) {
  return {
      {"address", view.address}, {"connected", view.is_connected},
      {"name", view.name},       {"availability_zone", view.availability_zone},
      {"region", view.region},   {"rules_version", view.rules_version}};
}

}  // namespace

OperatorInterface::OperatorInterface(
    DaemonConnections& daemon_connections,
    const RulesFollower& rules,
    const RulesPeers& peers,
    std::function<nlohmann::json()> describe_entry)
    : daemon_connections(daemon_connections),
      rules(rules),
      peers(peers),
      describe_entry(std::move(describe_entry)) {}

HttpResponse OperatorInterface::Rules(const HttpRequest&) const {
  const auto current = this->rules.CurrentRulesPush();
  return JsonResponse(200, {{"version", current.version},
                            {"text", current.text},
                            {"rules", DescribeRules(current.text)}});
}

HttpResponse OperatorInterface::Status(const HttpRequest&) const {
  nlohmann::json daemons = nlohmann::json::array();
  for (const auto& view : this->daemon_connections.Daemons()) {
    daemons.push_back(DescribeDaemon(view));
  }
  nlohmann::json replicas = nlohmann::json::array();
  for (const auto& view : this->daemon_connections.AllReplicas()) {
    replicas.push_back(DescribeReplica(view));
  }
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& view : this->peers.Entries()) {
    entries.push_back({{"address", view.address},
                       {"connected", view.is_connected},
                       {"name", view.name},
                       {"rules_version", view.rules_version}});
  }
  return JsonResponse(200, {{"entry", this->describe_entry()},
                            {"rules_version", this->rules.version()},
                            {"log_available", this->rules.is_log_available()},
                            {"daemons", daemons},
                            {"replicas", replicas},
                            {"entries", entries}});
}

HttpResponse OperatorInterface::Drain(const HttpRequest& request) {
  const auto json = ParseCallerObject(request.body);
  const auto field = [&json](const char* name) {
    return json && json->contains(name) ? (*json)[name] : nlohmann::json();
  };
  if (!field("endpoint").is_string() ||
      !(field("leave").is_boolean() || field("leave").is_null())) {
    return RefusalResponse(
        {.status = 400,
         .code = "invalid_request",
         .message = "the body must be {\"endpoint\": NAME, \"leave\": BOOL}"});
  }
  const messages::Drain drain{.endpoint = field("endpoint").get<std::string>(),
                              .leave = field("leave") != false};
  std::set<std::string> daemons;
  for (const auto& view : this->daemon_connections.AllReplicas()) {
    if (view.load.endpoint == drain.endpoint &&
        daemons.insert(view.daemon).second) {
      this->daemon_connections.Send(view.daemon, drain);
    }
  }
  if (daemons.empty()) {
    return RefusalResponse(
        {.status = 404,
         .code = "unknown_endpoint",
         .message = "no daemon serves endpoint \"" + drain.endpoint + "\""});
  }
  return JsonResponse(202, {{"endpoint", drain.endpoint},
                            {"leave", drain.leave},
                            {"daemons", daemons}});
}

}  // namespace crocus
