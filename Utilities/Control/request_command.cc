#include "Control/request_command.h"

#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include "Control/entry_client.h"

namespace crocus {

namespace {

/// Time beyond the request's timeout for the entry's error response to arrive.
constexpr std::chrono::seconds kResponseMargin{5};

HttpCall MakeCall(const CommandLine& line) {
  const nlohmann::json body = {{"model", line.Text("model")},
                               {"prompt", line.Text("PROMPT")},
                               {"workspace", line.Text("workspace")},
                               {"class", line.Text("class")},
                               {"max_tokens", line.Number("max-tokens")},
                               {"repeatable", !line.Has("once")}};
  const std::chrono::milliseconds timeout(line.Number("patience-ms"));
  HttpCall call{.method = "POST",
                .url = "/v1/requests",
                .headers = {{"X-Patience-Ms", std::to_string(timeout.count())}},
                .body = body.dump(-1, ' ', false,
                                  nlohmann::json::error_handler_t::replace),
                .timeout = std::chrono::ceil<std::chrono::seconds>(timeout) +
                           kResponseMargin};
  if (line.Has("key")) {
    call.headers["Idempotency-Key"] = line.Text("key");
  }
  return call;
}

ControlExitCode Send(const CommandLine& line) {
  const auto response = CallEntryJson(line, MakeCall(line));
  if (!response) {
    return FailWith(response.error());
  }
  if (line.is_json()) {
    std::cout << response->dump() << "\n";
    return ControlExitCode::kDone;
  }
  for (const auto& choice :
       response->value("choices", nlohmann::json::array())) {
    std::cout << choice.value("text", "") << "\n";
  }
  return ControlExitCode::kDone;
}

void AddOptions(cxxopts::OptionAdder& add) {
  add("model", "model to use", cxxopts::value<std::string>())(
      "workspace", "workspace that sends the request",
      cxxopts::value<std::string>())(
      "class", "request class",
      cxxopts::value<std::string>()->default_value("default"))(
      "max-tokens", "maximum number of tokens",
      cxxopts::value<std::uint64_t>()->default_value("16"))(
      "patience-ms", "timeout of the request in milliseconds",
      cxxopts::value<std::uint64_t>()->default_value("30000"))(
      "key", "idempotency key; a request resent with it is the same request",
      cxxopts::value<std::string>())(
      "once", "do not execute the request more than once");
}

}  // namespace

std::vector<Command> RequestCommands() {
  return {{.words = "request",
           .arguments = {"PROMPT"},
           .summary = "send one online request and print the answer",
           .examples = {"crocusctl request \"Describe the mat\" --model proof "
                        "--workspace mats"},
           .add_options = AddOptions,
           .run = Send}};
}

}  // namespace crocus
