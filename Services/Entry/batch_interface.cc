#include "Entry/batch_interface.h"

#include <cstdlib>

#include "Entry/batch_input.h"
#include "Entry/refusal.h"
#include "LibHttp/json_response.h"

namespace crocus {

namespace {

constexpr std::uint64_t kDefaultPageItems = 1000;

HttpResponse InvalidBatch(const std::string& message) {
  return RefusalResponse(
      {.status = 400, .code = "invalid_request", .message = message});
}

Refusal LogRefusal(const Error& error) {
  return {.status = 503,
          .code = "log_unavailable",
          .message = error.message,
          .verdict = error.verdict,
          .retry_after = std::chrono::seconds(2)};
}

}  // namespace

HttpResponse BatchInterface::Submit(const HttpRequest& request) {
  const auto input = ParseBatch(request);
  if (!input) {
    return InvalidBatch(input.error().message);
  }
  if (const auto submitted = this->store.Submit(*input); !submitted) {
    return RefusalResponse(LogRefusal(submitted.error()));
  }
  return JsonResponse(202,
                      {{"id", input->job}, {"items", input->items.size()}});
}

HttpResponse BatchInterface::Status(const HttpRequest& request) {
  const auto job = this->store.Find(request.Parameter("id"));
  if (!job) {
    return RefusalResponse(
        {.status = 404, .code = "unknown_job", .message = job.error().message});
  }
  return JsonResponse(200, {{"id", job->id},
                            {"state", ToString(job->state)},
                            {"items", job->item_count},
                            {"finished", job->finished_count},
                            {"failed", job->failed_count},
                            {"due_ms", job->due_ms}});
}

HttpResponse BatchInterface::Cancel(const HttpRequest& request) {
  if (const auto cancelled = this->store.Cancel(request.Parameter("id"));
      !cancelled) {
    return RefusalResponse(LogRefusal(cancelled.error()));
  }
  return JsonResponse(202, {{"id", request.Parameter("id")}});
}

HttpResponse BatchInterface::Results(const HttpRequest& request) {
  const auto job = this->store.Find(request.Parameter("id"));
  if (!job) {
    return RefusalResponse(
        {.status = 404, .code = "unknown_job", .message = job.error().message});
  }
  const std::string first = request.Parameter("first");
  const std::string limit = request.Parameter("limit");
  std::uint64_t remaining = limit.empty()
                                ? kDefaultPageItems
                                : std::strtoull(limit.c_str(), nullptr, 10);
  HttpResponse response{.status = 200,
                        .headers = {{"Content-Type", "application/jsonl"}},
                        .body = {},
                        .stream = std::nullopt};
  const auto start = static_cast<std::uint32_t>(
      std::strtoul(first.empty() ? "0" : first.c_str(), nullptr, 10));
  for (auto item = job->items.lower_bound(start);
       item != job->items.end() && remaining > 0; ++item) {
    if (!item->second.is_finished) {
      continue;
    }
    --remaining;
    const nlohmann::json line = {{"index", item->first},
                                 {"succeeded", item->second.has_succeeded},
                                 {"text", item->second.text},
                                 {"reason", item->second.reason}};
    response.body +=
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
        "\n";
  }
  return response;
}

}  // namespace crocus
