#include "Entry/batch_interface.h"

#include <algorithm>
#include <cstdlib>

#include "Entry/batch_input.h"
#include "Entry/refusal.h"
#include "LibHttp/json_response.h"

namespace crocus {

namespace {

constexpr std::uint64_t kDefaultPageItems = 1000;

/// Longest wait for the owner's response to a forwarded query.
constexpr std::chrono::seconds kForwardTimeout{2};

constexpr int kOk = 200;

/// Value of meets_due_time if the throughput is not known or the owner cannot
/// be reached; expected_finish_ms is null in that case.
constexpr char kUnknown[] = "unknown";

HttpResponse InvalidBatchRefusal(const std::string& message) {
  return RefusalResponse(
      {.status = 400, .code = "invalid_request", .message = message});
}

HttpResponse JobRefusal(const Error& error) {
  if (error.code == ErrorCode::kNotFound) {
    return RefusalResponse(
        {.status = 404, .code = "unknown_job", .message = error.message});
  }
  if (error.code == ErrorCode::kConflict) {
    return RefusalResponse(
        {.status = 409, .code = "job_conflict", .message = error.message});
  }
  return RefusalResponse({.status = 503,
                          .code = "log_unavailable",
                          .message = error.message,
                          .verdict = error.verdict,
                          .retry_after = std::chrono::seconds(2)});
}

}  // namespace

HttpResponse BatchInterface::Submit(const HttpRequest& request) {
  const auto input = ParseBatch(request);
  if (!input) {
    return InvalidBatchRefusal(input.error().message);
  }
  if (const auto submitted = this->store.Submit(*input); !submitted) {
    return JobRefusal(submitted.error());
  }
  nlohmann::json reply = {{"id", input->job},
                          {"items", input->items.size()},
                          {"expected_finish_ms", nullptr},
                          {"meets_due_time", kUnknown}};
  // Only the owner of the partition has the estimate.
  const auto status = ParseJsonObject(
      this->Respond({.job = input->job, .what = "status"}).body);
  for (const char* name : {"expected_finish_ms", "meets_due_time"}) {
    if (status && status->contains(name)) {
      reply[name] = (*status)[name];
    }
  }
  return JsonResponse(202, reply);
}

HttpResponse BatchInterface::Status(const HttpRequest& request) {
  return this->Respond({.job = request.Parameter("id"), .what = "status"});
}

HttpResponse BatchInterface::Cancel(const HttpRequest& request) {
  return this->Respond({.job = request.Parameter("id"), .what = "cancel"});
}

HttpResponse BatchInterface::Results(const HttpRequest& request) {
  const auto number = [&request](const char* name, std::uint64_t fallback) {
    const std::string text = request.Parameter(name);
    return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
  };
  const std::uint64_t first = number("first", 0);
  auto response = this->Respond(
      {.job = request.Parameter("id"),
       .what = "results",
       .first = first,
       .limit = static_cast<std::uint32_t>(std::min<std::uint64_t>(
           number("limit", kDefaultPageItems), Job::kMaximumItems))});
  if (response.status == kOk) {
    const auto lines =
        std::count(response.body.begin(), response.body.end(), '\n');
    response.headers = {{"Content-Type", "application/jsonl"},
                        {"X-Next-First", std::to_string(first + lines)}};
  }
  return response;
}

HttpResponse BatchInterface::Respond(messages::PartitionQuery query) {
  query.partition = this->store.PartitionNumberOf(query.job);
  const std::string owner = this->store.OwnerOf(query.job);
  if (!owner.empty() && owner != this->settings.host.name) {
    auto reply = this->peers.Query(owner, query, kForwardTimeout);
    if (reply && reply->is_owner) {
      return {.status = reply->status,
              .headers = {{"Content-Type", "application/json"}},
              .body = std::move(reply->body),
              .stream = std::nullopt};
    }
  }
  return this->RespondLocally(query);
}

messages::PartitionReply BatchInterface::OnQuery(
    const messages::PartitionQuery& query) {
  if (query.what == "wake") {
    this->store.OnPartitionWritten(query.partition);
    return {};
  }
  if (this->store.OwnerOf(query.job) != this->settings.host.name) {
    return {};
  }
  auto response = this->RespondLocally(query);
  return {.is_owner = true,
          .status = static_cast<std::uint16_t>(response.status),
          .body = std::move(response.body)};
}

HttpResponse BatchInterface::RespondLocally(
    const messages::PartitionQuery& query) {
  if (query.what == "cancel") {
    return this->CancelLocally(query.job);
  }
  if (query.what == "results") {
    return this->LocalResults(query.job, query.first, query.limit);
  }
  return this->LocalStatus(query.job);
}

HttpResponse BatchInterface::LocalStatus(const std::string& id) {
  const auto job = this->store.Find(id);
  if (!job) {
    return JobRefusal(job.error());
  }
  nlohmann::json reply = {{"id", job->id},
                          {"state", ToString(job->state)},
                          {"items", job->item_count},
                          {"finished", job->finished_count},
                          {"failed", job->failed_count},
                          {"due_ms", job->due_ms}};
  if (!job->is_closed()) {
    const auto estimate = this->store.EstimateFinish(*job);
    reply["expected_finish_ms"] =
        estimate ? nlohmann::json(estimate->finish_ms) : nlohmann::json();
    reply["meets_due_time"] = estimate ? nlohmann::json(estimate->meets_due)
                                       : nlohmann::json(kUnknown);
  }
  return JsonResponse(kOk, reply);
}

HttpResponse BatchInterface::CancelLocally(const std::string& id) {
  if (const auto cancelled = this->store.Cancel(id); !cancelled) {
    return JobRefusal(cancelled.error());
  }
  return JsonResponse(202, {{"id", id}});
}

HttpResponse BatchInterface::LocalResults(const std::string& id,
                                          std::uint64_t first,
                                          std::uint64_t limit) {
  const auto page = this->store.ReadPage(id, first, limit);
  if (!page) {
    return JobRefusal(page.error());
  }
  HttpResponse response{.status = kOk,
                        .headers = {{"Content-Type", "application/jsonl"}},
                        .body = {},
                        .stream = std::nullopt};
  for (const auto& result : *page) {
    const nlohmann::json line = {{"index", result.index},
                                 {"succeeded", result.succeeded},
                                 {"text", result.text},
                                 {"reason", result.reason}};
    response.body +=
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
        "\n";
  }
  return response;
}

}  // namespace crocus
