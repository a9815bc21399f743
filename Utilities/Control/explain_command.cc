#include "Control/explain_command.h"

#include <cstdio>
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include "LibCore/percent_encoding.h"
#include "LibCore/text_table.h"
#include "LibHttp/http_client.h"
#include "LibHttp/json_response.h"

namespace crocus {

namespace {

using Json = nlohmann::json;

constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;

std::string UrlOf(const CommandLine& line) {
  std::string url = "http://" + line.Text("GATEWAY") + "/explain?";
  for (const char* name : {"route", "host", "path", "workspace", "job"}) {
    if (line.Has(name)) {
      url += std::string(name) + "=" + PercentEncode(line.Text(name)) + "&";
    }
  }
  url += "tokens=" + std::to_string(line.Number("tokens")) +
         "&output_tokens=" + std::to_string(line.Number("output-tokens"));
  if (line.Has("estimate")) {
    url += "&estimate=" + std::to_string(line.Number("estimate"));
  }
  return url;
}

/// A number without needless decimals, or the text itself.
std::string CellOf(const Json& json, const std::string& name) {
  const auto found = json.find(name);
  if (found == json.end()) {
    return "";
  }
  if (!found->is_number_float()) {
    return found->is_string() ? found->get<std::string>() : found->dump();
  }
  char text[32];
  std::snprintf(text, sizeof(text), "%.3g", found->get<double>());
  return text;
}

std::string FieldsOf(const Json& json) {
  std::string text;
  for (const auto& [name, value] : json.items()) {
    if (!value.is_structured()) {
      text += (text.empty() ? "" : ", ") + name + " " + CellOf(json, name);
    }
  }
  return text;
}

/// Why a replica gets no request, or refuses it; empty if it would get it.
std::string ReasonOf(const Json& replica) {
  if (replica.contains("refusal")) {
    return "refused: " + FieldsOf(replica["refusal"]);
  }
  return replica.contains("left_out")
             ? "left out: " + CellOf(replica, "left_out")
             : "";
}

void PrintEndpoint(const Json& endpoint) {
  std::cout << "\nendpoint: " << FieldsOf(endpoint) << "\n";
  if (endpoint.contains("refusal")) {
    std::cout << "refusal: " << FieldsOf(endpoint["refusal"]) << "\n";
  }
  std::vector<TextRow> rows;
  for (const auto& replica : endpoint["replicas"]) {
    TextRow row;
    for (const char* name :
         {"replica", "availability_zone", "share", "expected_wait_ms",
          "network_cost_ms", "speed", "slots", "online_here", "online_of_peers",
          "batch_here", "batch_of_peers", "work_left_here_ms"}) {
      row.push_back(CellOf(replica, name));
    }
    row.push_back(ReasonOf(replica));
    rows.push_back(std::move(row));
  }
  std::cout << FormatTable(
      {"REPLICA", "ZONE", "SHARE", "WAIT MS", "NETWORK MS", "SPEED", "SLOTS",
       "ONLINE HERE", "PEERS", "BATCH HERE", "PEERS", "WORK MS", "REASON"},
      rows);
}

void Print(const Json& json) {
  std::cout << FieldsOf(json) << "\n";
  for (const char* name : {"cost", "workspace", "tokens", "job"}) {
    if (json.contains(name)) {
      std::cout << name << ": " << FieldsOf(json[name]) << "\n";
    }
  }
  if (json.contains("workspace") && json["workspace"].contains("allotment")) {
    std::cout << "allotment: " << FieldsOf(json["workspace"]["allotment"])
              << "\n";
  }
  for (const auto& endpoint : json["endpoints"]) {
    PrintEndpoint(endpoint);
  }
}

ControlExitCode Run(const CommandLine& line) {
  const auto reply = SendHttp({.url = UrlOf(line)});
  if (!reply) {
    return Fail(ControlExitCode::kUnavailable, reply.error().message);
  }
  if (reply->status == kNotFoundStatus) {
    return Fail(ControlExitCode::kFailed, "the gateway has no such route");
  }
  const auto json = ParseJsonObject(reply->body);
  if (reply->status != kOkStatus || !json) {
    return Fail(ControlExitCode::kUnavailable,
                "status " + std::to_string(reply->status) + ": " + reply->body);
  }
  if (line.is_json()) {
    std::cout << json->dump() << "\n";
  } else {
    Print(*json);
  }
  return ControlExitCode::kDone;
}

void AddOptions(cxxopts::OptionAdder& add) {
  add("route", "name of the route", cxxopts::value<std::string>())(
      "host", "host of the route, if its name is not stated",
      cxxopts::value<std::string>())("path", "path of the request",
                                     cxxopts::value<std::string>())(
      "workspace", "name of the workspace", cxxopts::value<std::string>())(
      "job", "id of a batch job", cxxopts::value<std::string>())(
      "tokens", "tokens of the prompt, or of the prompts of a job",
      cxxopts::value<std::uint64_t>()->default_value("0"))(
      "output-tokens", "limit of the output tokens",
      cxxopts::value<std::uint64_t>()->default_value("0"))(
      "estimate", "the caller's estimate of the output tokens",
      cxxopts::value<std::uint64_t>());
}

}  // namespace

std::vector<Command> ExplainCommands() {
  return {
      {.words = "explain",
       .arguments = {"GATEWAY"},
       .summary = "show where a request or job would be placed now, and why",
       .examples = {"crocusctl explain 10.0.0.7:9464 --route chat --workspace "
                    "mats --tokens 450 --output-tokens 30"},
       .add_options = AddOptions,
       .run = Run}};
}

}  // namespace crocus
