#include "Control/fleet_commands.h"

#include <iostream>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "Control/entry_client.h"
#include "LibCore/text_table.h"

namespace crocus {

namespace {

using nlohmann::json;

std::string FormatCell(const json& object, const char* key) {
  if (!object.contains(key)) {
    return "-";
  }
  const auto& value = object[key];
  if (value.is_string()) {
    return value.get<std::string>().empty() ? "-" : value.get<std::string>();
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  return value.dump();
}

/// Formats a list of objects as a table; columns are pairs of heading and key.
std::string ListTable(
    const json& list,
    const std::vector<std::pair<std::string, const char*>>& columns) {
  TextRow header;
  for (const auto& [heading, key] : columns) {
    header.push_back(heading);
  }
  std::vector<TextRow> rows;
  for (const auto& object : list) {
    TextRow row;
    for (const auto& [heading, key] : columns) {
      row.push_back(FormatCell(object, key));
    }
    rows.push_back(std::move(row));
  }
  return FormatTable(header, rows);
}

json GetList(const json& status, const char* key) {
  return status.value(key, json::array());
}

void PrintStatus(const json& status) {
  std::cout
      << "entry " << FormatCell(status.at("entry"), "name")
      << ", rules version " << FormatCell(status, "rules_version") << ", log "
      << (status.value("log_available", false) ? "available" : "not available")
      << "\n\n"
      << ListTable(GetList(status, "entries"), {{"ENTRY", "name"},
                                                {"ADDRESS", "address"},
                                                {"CONNECTED", "connected"},
                                                {"RULES", "rules_version"}})
      << "\n"
      << ListTable(GetList(status, "daemons"),
                   {{"DAEMON", "name"},
                    {"ADDRESS", "address"},
                    {"AVAILABILITY ZONE", "availability_zone"},
                    {"CONNECTED", "connected"},
                    {"RULES", "rules_version"}})
      << "\n"
      << ListTable(GetList(status, "replicas"), {{"ENDPOINT", "endpoint"},
                                                 {"REPLICA", "replica"},
                                                 {"DAEMON", "daemon"},
                                                 {"SLOTS", "slots"},
                                                 {"ONLINE", "online_running"},
                                                 {"WAITING", "online_waiting"},
                                                 {"BATCH", "batch_running"},
                                                 {"LEAVING", "leaving"}});
  if (status.contains("partitions")) {
    std::cout << "\n"
              << ListTable(status["partitions"], {{"PARTITION", "partition"},
                                                  {"OWNER", "owner"},
                                                  {"EPOCH", "epoch"}});
  }
}

ControlExitCode Status(const CommandLine& line) {
  const auto status = CallEntryJson(line, {.url = "/v1/status"});
  if (!status) {
    return FailWith(status.error());
  }
  if (line.is_json()) {
    std::cout << status->dump() << "\n";
  } else {
    PrintStatus(*status);
  }
  return ControlExitCode::kDone;
}

/// Adds up the counts of the replicas of each endpoint.
json SumByEndpoint(const json& replicas) {
  std::map<std::string, json> sums;
  for (const auto& replica : replicas) {
    auto& sum = sums[replica.value("endpoint", "")];
    sum["endpoint"] = replica.value("endpoint", "");
    sum["replicas"] = sum.value("replicas", 0u) + 1;
    sum["leaving"] =
        sum.value("leaving", 0u) + (replica.value("leaving", false) ? 1u : 0u);
    for (const char* key :
         {"slots", "online_running", "online_waiting", "batch_running"}) {
      sum[key] = sum.value(key, 0u) + replica.value(key, 0u);
    }
  }
  json list = json::array();
  for (auto& [endpoint, sum] : sums) {
    list.push_back(std::move(sum));
  }
  return list;
}

ControlExitCode Endpoints(const CommandLine& line) {
  const auto status = CallEntryJson(line, {.url = "/v1/status"});
  if (!status) {
    return FailWith(status.error());
  }
  const json sums = SumByEndpoint(GetList(*status, "replicas"));
  if (line.is_json()) {
    std::cout << sums.dump() << "\n";
  } else {
    std::cout << ListTable(sums, {{"ENDPOINT", "endpoint"},
                                  {"REPLICAS", "replicas"},
                                  {"LEAVING", "leaving"},
                                  {"SLOTS", "slots"},
                                  {"ONLINE", "online_running"},
                                  {"WAITING", "online_waiting"},
                                  {"BATCH", "batch_running"}});
  }
  return ControlExitCode::kDone;
}

ControlExitCode Drain(const CommandLine& line) {
  const json body = {{"endpoint", line.Text("ENDPOINT")},
                     {"leave", !line.Has("return")}};
  const auto response = CallEntryJson(
      line, {.method = "POST", .url = "/v1/drain", .body = body.dump()});
  if (!response) {
    return FailWith(response.error());
  }
  if (line.is_json()) {
    std::cout << response->dump() << "\n";
  } else {
    std::cout << "sent to " << response->value("daemons", json::array()).size()
              << " daemons; `crocusctl endpoints` shows the replicas that are "
                 "leaving\n";
  }
  return ControlExitCode::kDone;
}

}  // namespace

std::vector<Command> FleetCommands() {
  return {{.words = "status",
           .arguments = {},
           .summary = "show an entry, its daemons and replicas",
           .examples = {"crocusctl status --entry http://10.0.0.7:8080"},
           .add_options = {},
           .run = Status},
          {.words = "endpoints",
           .arguments = {},
           .summary = "show the load of each endpoint",
           .examples = {"crocusctl endpoints --json"},
           .add_options = {},
           .run = Endpoints},
          {.words = "drain",
           .arguments = {"ENDPOINT"},
           .summary = "stop sending new work to an endpoint",
           .examples = {"crocusctl drain post-desk",
                        "crocusctl drain post-desk --return"},
           .add_options =
               [](cxxopts::OptionAdder& add) {
                 add("return", "end the drain and send new work again");
               },
           .run = Drain}};
}

}  // namespace crocus
