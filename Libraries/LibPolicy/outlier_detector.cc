#include "LibPolicy/outlier_detector.h"

#include <algorithm>

namespace crocus {

namespace {

/// With fewer replicas, the median does not show what is normal.
constexpr std::size_t kMinimumPeerGroup = 3;

double MedianOf(std::vector<double> values) {
  if (values.size() < kMinimumPeerGroup) {
    return 0;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void OutlierDetector::OnFirstToken(const std::string& replica,
                                   Duration time,
                                   TimePoint now) {
  Observation& observation = this->observations[replica];
  this->Add(observation.first_token, time, now);
  observation.failures = 0;
  const bool is_good = ToSeconds(time) <= this->options.recovery_factor *
                                              this->last_medians.first_token;
  this->AddEvidence(replica, is_good ? this->options.first_token_evidence : 0,
                    now);
}

void OutlierDetector::OnToken(const std::string& replica,
                              Duration time,
                              TimePoint now) {
  // A stream that was suspended has one gap of seconds.
  if (this->last_medians.token > 0 &&
      ToSeconds(time) >
          this->options.suspended_gap_factor * this->last_medians.token) {
    return;
  }
  this->Add(this->observations[replica].token, time, now);
  const bool is_good = ToSeconds(time) <=
                       this->options.recovery_factor * this->last_medians.token;
  this->AddEvidence(replica, is_good ? 1 : 0, now);
}

void OutlierDetector::OnWaiting(const std::string& replica,
                                Duration waited,
                                TimePoint now) {
  Observation& observation = this->observations[replica];
  // The time so far is only a lower bound of the time to the first token.
  if (ToSeconds(waited) > observation.first_token.seconds) {
    this->Add(observation.first_token, waited, now);
  }
}

void OutlierDetector::OnFailure(const std::string& replica, TimePoint now) {
  Observation& observation = this->observations[replica];
  if (now - observation.last_failure > this->options.observation_lifetime) {
    observation.failures = 0;
  }
  ++observation.failures;
  observation.last_failure = now;
  this->AddEvidence(replica, 0, now);
}

std::set<std::string> OutlierDetector::Evaluate(
    const std::vector<std::string>& replicas,
    double ejected_share,
    TimePoint now) {
  this->last_medians = this->MediansOf(replicas, now);
  this->evaluated = {replicas.begin(), replicas.end()};
  this->EvictMissing(now);
  const auto limit =
      static_cast<std::size_t>(std::max(0.0, ejected_share) *
                               static_cast<double>(this->evaluated.size()));
  std::set<std::string> ejected;
  std::vector<std::pair<double, std::string>> slow;
  for (const auto& name : this->evaluated) {
    const double score =
        this->Score(this->observations[name], this->last_medians, now);
    if (this->ejected_names.contains(name)) {
      ejected.insert(name);
    } else if (score > 1) {
      slow.emplace_back(score, name);
    }
  }
  while (ejected.size() > limit) {
    this->ejected_names.erase(*ejected.begin());
    ejected.erase(ejected.begin());
  }
  std::sort(slow.rbegin(), slow.rend());
  for (const auto& [score, name] : slow) {
    if (ejected.size() >= limit) {
      break;
    }
    ejected.insert(name);
    this->ejected_names.insert(name);
    this->observations[name].evidence = 0;
    this->observations[name].next_probe = now + this->options.probe_interval;
  }
  return ejected;
}

std::optional<std::string> OutlierDetector::TakeProbe(TimePoint now) {
  for (const auto& name : this->ejected_names) {
    Observation& observation = this->observations[name];
    if (this->evaluated.contains(name) && now >= observation.next_probe) {
      observation.next_probe = now + this->options.probe_interval;
      return name;
    }
  }
  return std::nullopt;
}

void OutlierDetector::Add(Mean& mean, Duration time, TimePoint now) const {
  const double seconds = ToSeconds(time);
  if (!this->IsFresh(mean, now)) {
    mean = {.seconds = seconds, .samples = 0};
  }
  mean.seconds += this->options.newest_sample_weight * (seconds - mean.seconds);
  ++mean.samples;
  mean.updated = now;
}

bool OutlierDetector::IsFresh(const Mean& mean, TimePoint now) const {
  return mean.samples > 0 &&
         now - mean.updated <= this->options.observation_lifetime;
}

OutlierDetector::Medians OutlierDetector::MediansOf(
    const std::vector<std::string>& replicas,
    TimePoint now) const {
  std::vector<double> first_tokens;
  std::vector<double> tokens;
  for (const auto& name : replicas) {
    const auto found = this->observations.find(name);
    if (found == this->observations.end()) {
      continue;
    }
    if (this->IsFresh(found->second.first_token, now)) {
      first_tokens.push_back(found->second.first_token.seconds);
    }
    if (this->IsFresh(found->second.token, now)) {
      tokens.push_back(found->second.token.seconds);
    }
  }
  return {.first_token = MedianOf(first_tokens), .token = MedianOf(tokens)};
}

double OutlierDetector::Score(const Observation& observation,
                              const Medians& medians,
                              TimePoint now) const {
  double score = 0;
  const auto add = [&](const Mean& mean, double median, double factor) {
    if (median > 0 && this->IsFresh(mean, now) &&
        mean.samples >= this->options.samples_before_ejection) {
      score = std::max(score, mean.seconds / (median * factor));
    }
  };
  add(observation.first_token, medians.first_token,
      this->options.first_token_factor);
  add(observation.token, medians.token, this->options.token_factor);
  if (observation.failures >= this->options.failures_before_ejection &&
      now - observation.last_failure <= this->options.observation_lifetime) {
    score = std::max(score, 1.0 + observation.failures);
  }
  return score;
}

void OutlierDetector::EvictMissing(TimePoint now) {
  for (const auto& name : this->evaluated) {
    this->observations[name].last_evaluated = now;
  }
  std::erase_if(this->observations, [this, now](const auto& item) {
    return now - item.second.last_evaluated >
           this->options.observation_lifetime;
  });
  std::erase_if(this->ejected_names, [this](const std::string& name) {
    return !this->observations.contains(name);
  });
}

void OutlierDetector::AddEvidence(const std::string& replica,
                                  std::uint32_t weight,
                                  TimePoint now) {
  if (!this->ejected_names.contains(replica)) {
    return;
  }
  Observation& observation = this->observations[replica];
  observation.evidence = weight == 0 ? 0 : observation.evidence + weight;
  observation.next_probe = now + this->options.probe_interval;
  if (observation.evidence >= this->options.evidence_before_readmission) {
    // The old means would cause the replica to be ejected again at once.
    observation = {.last_evaluated = observation.last_evaluated};
    this->ejected_names.erase(replica);
  }
}

}  // namespace crocus
