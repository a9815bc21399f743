#include "Control/batch_commands.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <nlohmann/json.hpp>

#include "Control/entry_client.h"
#include "LibCore/text_table.h"

namespace crocus {

namespace {

/// The entry writes a job, of up to 410,000 items, to the log before it
/// responds.
constexpr std::chrono::seconds kSubmitTimeout{600};

constexpr int kFirstErrorStatus = 400;

ControlExitCode PrintResponse(const CommandLine& line,
                              const Result<nlohmann::json>& response) {
  if (!response) {
    return FailWith(response.error());
  }
  if (line.is_json()) {
    std::cout << response->dump() << "\n";
    return ControlExitCode::kDone;
  }
  std::vector<TextRow> rows;
  for (const auto& [key, value] : response->items()) {
    rows.push_back(
        {key, value.is_string() ? value.get<std::string>() : value.dump()});
  }
  std::cout << FormatTable({"FIELD", "VALUE"}, rows);
  return ControlExitCode::kDone;
}

ControlExitCode Submit(const CommandLine& line) {
  std::ifstream stream(line.Text("FILE"));
  if (!stream) {
    return Fail(ControlExitCode::kFailed,
                line.Text("FILE") + ": file cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  HttpCall call{.method = "POST",
                .url = "/v1/batches",
                .body = text.str(),
                .timeout = kSubmitTimeout};
  if (line.Has("key")) {
    call.headers["Idempotency-Key"] = line.Text("key");
  }
  return PrintResponse(line, CallEntryJson(line, call));
}

ControlExitCode Status(const CommandLine& line) {
  return PrintResponse(
      line, CallEntryJson(line, {.url = "/v1/batches/" + line.Text("ID")}));
}

ControlExitCode Cancel(const CommandLine& line) {
  return PrintResponse(
      line, CallEntryJson(
                line, {.method = "POST",
                       .url = "/v1/batches/" + line.Text("ID") + "/cancel"}));
}

ControlExitCode Results(const CommandLine& line) {
  const auto reply = CallEntry(
      line, {.url = "/v1/batches/" + line.Text("ID") + "/results?first=" +
                    line.Text("first") + "&limit=" + line.Text("limit")});
  if (!reply) {
    return FailWith(reply.error());
  }
  if (reply->status >= kFirstErrorStatus) {
    return FailWith(ErrorFromResponse(*reply));
  }
  std::cout << reply->body;
  return ControlExitCode::kDone;
}

}  // namespace

std::vector<Command> BatchCommands() {
  return {
      {.words = "batch submit",
       .arguments = {"FILE"},
       .summary =
           "submit a job; line 1 describes the job, each other line an item",
       .examples = {"crocusctl batch submit proofs.jsonl --key proofs-12"},
       .add_options =
           [](cxxopts::OptionAdder& add) {
             add("key", "idempotency key; a job resent with it is the same job",
                 cxxopts::value<std::string>());
           },
       .run = Submit},
      {.words = "batch status",
       .arguments = {"ID"},
       .summary = "show a job's state",
       .examples = {"crocusctl batch status j-5f2a"},
       .add_options = {},
       .run = Status},
      {.words = "batch cancel",
       .arguments = {"ID"},
       .summary = "cancel a job",
       .examples = {"crocusctl batch cancel j-5f2a"},
       .add_options = {},
       .run = Cancel},
      {.words = "batch results",
       .arguments = {"ID"},
       .summary = "print results, one JSON object per line",
       .examples = {"crocusctl batch results j-5f2a --first 1000"},
       .add_options =
           [](cxxopts::OptionAdder& add) {
             add("first",
                 "position of the first result, in the order in which the "
                 "items "
                 "finished",
                 cxxopts::value<std::string>()->default_value("0"))(
                 "limit", "maximum number of results",
                 cxxopts::value<std::string>()->default_value("1000"));
           },
       .run = Results}};
}

}  // namespace crocus
