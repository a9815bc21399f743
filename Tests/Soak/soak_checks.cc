#include "Soak/soak_checks.h"

#include <algorithm>

namespace crocus {

namespace {

using nlohmann::json;

bool IsNotRunStatus(std::uint32_t status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

/// Greatest number of runs of an item that always fails: three times the
/// attempts of its route.
constexpr std::uint32_t kMaximumFailingRuns = 9;

/// After this time from its submission an open item may be abandoned.
const Duration kRetention =
    std::chrono::seconds(GatewayFleetOptions{}.batch_retention_seconds);

}  // namespace

void SoakChecks::ReportViolation(const std::string& guarantee,
                                 const std::string& detail) {
  if (!this->first_violation) {
    this->first_violation = guarantee + ": " + detail;
  }
}

void SoakChecks::OnResponse(const std::string& kind,
                            const std::string& id,
                            const Result<FetchedResponse>& reply) {
  if (kind == "once" || kind == "stream") {
    this->non_repeatable_requests.insert(id);
  }
  ++this->outcome_counts[kind + " " +
                         (reply ? std::to_string(reply->head.status)
                                : std::string("no response"))];
  if (!reply) {
    return;
  }
  const std::uint32_t status = reply->head.status;
  if (IsNotRunStatus(status)) {
    this->reported_not_run.insert(id);
  }
  if (status == 404 || status == 400) {
    this->ReportViolation("a valid request is not rejected as invalid", id);
  }
  const bool is_plain = kind == "once" || kind == "plain";
  if (status == 200 &&
      reply->body != (is_plain ? StandinResponse(id) : ExpectedStream(id))) {
    this->ReportViolation(
        "each caller gets the complete response to its own request",
        kind + " " + id + " got " + std::to_string(reply->body.size()) +
            " bytes");
  }
}

void SoakChecks::OnLateResponse(const std::string& id, Duration time) {
  this->ReportViolation(
      "a request has its final response within its timeout",
      id + " after " + std::to_string(time.count() / 1000) + " ms");
}

void SoakChecks::OnSubmitted(const std::string& job,
                             const std::vector<std::string>& items,
                             TimePoint sent,
                             const Result<FetchedResponse>& reply) {
  ++this->outcome_counts["submission " +
                         (reply ? std::to_string(reply->head.status)
                                : std::string("no response"))];
  if (reply && reply->head.status == 202) {
    this->accepted_jobs[job] = items;
    this->submitted_at[job] = sent;
  }
}

void SoakChecks::OnRead(const std::string& job,
                        std::uint64_t after,
                        const Result<FetchedResponse>& reply) {
  if (!reply) {
    return;
  }
  if (reply->head.status == 404) {
    this->ReportViolation("an accepted job is always found", job);
    return;
  }
  if (reply->head.status != 200) {
    return;
  }
  const json page = json::parse(reply->body, nullptr, false);
  if (page.is_discarded() ||
      page["total"] != this->accepted_jobs.at(job).size()) {
    this->ReportViolation("a job keeps its items", job);
    return;
  }
  for (std::size_t i = 0; i < page["results"].size(); ++i) {
    this->CheckResult(job, after + i, page["results"][i]);
  }
}

void SoakChecks::CheckResult(const std::string& job,
                             std::uint64_t position,
                             const json& result) {
  auto& listing = this->listings[job];
  const std::string text = result.dump();
  const auto [first_read, is_new] = listing.try_emplace(position, text);
  if (!is_new && first_read->second != text) {
    this->ReportViolation("a result keeps its position and content",
                          job + " at " + std::to_string(position));
  }
  const auto id = result["id"].get<std::string>();
  const auto& items = this->accepted_jobs.at(job);
  if (std::find(items.begin(), items.end(), id) == items.end()) {
    this->ReportViolation("a result belongs to an item of its job",
                          job + " " + id);
  }
  for (const auto& [other, content] : listing) {
    if (other != position && json::parse(content)["id"] == id) {
      this->ReportViolation("an item is listed once", job + " " + id);
    }
  }
  const bool must_fail =
      id.starts_with("poison") ||
      (id.starts_with("stuck") &&
       BootTimeNow() - this->submitted_at.at(job) > kRetention);
  if (result["state"] == "completed") {
    if (result["text"] != ExpectedText(id)) {
      this->ReportViolation("a completed item has its complete text",
                            job + " " + id);
    }
  } else if (!must_fail && !this->ended_jobs.contains(job)) {
    this->ReportViolation("an item is abandoned only if it fails",
                          job + " " + id);
  }
}

void SoakChecks::CheckRuns() {
  for (const auto& id : this->non_repeatable_requests) {
    if (this->fleet.RunsOf(id) > 1) {
      this->ReportViolation(
          "a request that is not repeatable runs at most once", id);
    }
  }
  for (const auto& id : this->reported_not_run) {
    if (this->fleet.RunsOf(id) > 0) {
      this->ReportViolation(
          "a request that is reported as not run does not run", id);
    }
  }
  for (const auto& [job, items] : this->accepted_jobs) {
    for (const auto& item : items) {
      if (item.rfind("poison", 0) == 0 &&
          this->fleet.RunsOf(item) > kMaximumFailingRuns) {
        this->ReportViolation("an item that always fails is abandoned", item);
      }
    }
  }
}

std::size_t SoakChecks::listed_count(const std::string& job) const {
  const auto found = this->listings.find(job);
  return found == this->listings.end() ? 0 : found->second.size();
}

bool SoakChecks::HasAllResults(const std::string& job) const {
  if (this->ended_jobs.contains(job)) {
    return true;
  }
  std::set<std::string> listed;
  if (const auto found = this->listings.find(job);
      found != this->listings.end()) {
    for (const auto& [position, content] : found->second) {
      listed.insert(json::parse(content)["id"]);
    }
  }
  // Items whose runs are always cut off stay open until their retention.
  const auto& items = this->accepted_jobs.at(job);
  return std::all_of(items.begin(), items.end(), [&listed](const auto& item) {
    return listed.contains(item) || item.starts_with("stuck");
  });
}

bool SoakChecks::AreAllItemsListed() const {
  return std::all_of(
      this->accepted_jobs.begin(), this->accepted_jobs.end(),
      [this](const auto& job) { return this->HasAllResults(job.first); });
}

void SoakChecks::CheckAllItemsListed() {
  for (const auto& [job, items] : this->accepted_jobs) {
    if (!this->HasAllResults(job)) {
      this->ReportViolation("every accepted item is finished",
                            job + ": " +
                                std::to_string(this->listed_count(job)) +
                                " of " + std::to_string(items.size()));
    }
  }
}

}  // namespace crocus
