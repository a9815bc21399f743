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

std::string Cell(const json& object, const char* key) {
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

/// Table of a list of objects; columns are pairs of heading and key.
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
      row.push_back(Cell(object, key));
    }
    rows.push_back(std::move(row));
  }
  return FormatTable(header, rows);
}

json ListOf(const json& status, const char* key) {
  return status.value(key, json::array());
}

void PrintStatus(const json& status) {
  std::cout
      << "entry " << Cell(status.at("entry"), "name") << ", rules version "
      << Cell(status, "rules_version") << ", log "
      << (status.value("log_available", false) ? "available" : "not available")
      << "\n\n"
      << ListTable(ListOf(status, "entries"), {{"ENTRY", "name"},
                                               {"ADDRESS", "address"},
                                               {"CONNECTED", "connected"},
                                               {"RULES", "rules_version"}})
      << "\n"
      << ListTable(ListOf(status, "daemons"),
                   {{"DAEMON", "name"},
                    {"ADDRESS", "address"},
                    {"AVAILABILITY ZONE", "availability_zone"},
                    {"CONNECTED", "connected"},
                    {"RULES", "rules_version"}})
      << "\n"
      << ListTable(ListOf(status, "replicas"), {{"ENDPOINT", "endpoint"},
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

ControlExit Status(const CommandLine& line) {
  const auto status = CallEntryJson(line, {.url = "/v1/status"});
  if (!status) {
    return FailWith(status.error());
  }
  if (line.is_json()) {
    std::cout << status->dump() << "\n";
  } else {
    PrintStatus(*status);
  }
  return ControlExit::kDone;
}

/// Sums of the replicas by endpoint.
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

ControlExit Endpoints(const CommandLine& line) {
  const auto status = CallEntryJson(line, {.url = "/v1/status"});
  if (!status) {
    return FailWith(status.error());
  }
  const json sums = SumByEndpoint(ListOf(*status, "replicas"));
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
  return ControlExit::kDone;
}

ControlExit Drain(const CommandLine& line) {
  const json body = {{"endpoint", line.Text("ENDPOINT")},
                     {"leave", !line.Has("return")}};
  const auto answer = CallEntryJson(
      line, {.method = "POST", .url = "/v1/drain", .body = body.dump()});
  if (!answer) {
    return FailWith(answer.error());
  }
  if (line.is_json()) {
    std::cout << answer->dump() << "\n";
  } else {
    std::cout << "sent to " << answer->value("daemons", json::array()).size()
              << " daemons; `crocusctl endpoints` shows when it is in force\n";
  }
  return ControlExit::kDone;
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
           .summary = "let an endpoint take no new work",
           .examples = {"crocusctl drain post-desk",
                        "crocusctl drain post-desk --return"},
           .add_options =
               [](cxxopts::OptionAdder& add) {
                 add("return", "take new work again");
               },
           .run = Drain}};
}

}  // namespace crocus
