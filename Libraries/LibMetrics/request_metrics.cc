#include "LibMetrics/request_metrics.h"

#include <cmath>
#include <sstream>

#include <boost/histogram.hpp>

namespace crocus {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned kTimeBuckets = 15;
constexpr double kMinimumTime = 0.001;
constexpr double kMaximumTime = 32.768;
constexpr unsigned kTokenBuckets = 12;
constexpr double kMinimumTokens = 1;
constexpr double kMaximumTokens = 4096;

const std::string kOther = "other";

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram = decltype(histogram::make_histogram(std::declval<Axis>()));

Histogram MakeTimeHistogram() {
  return histogram::make_histogram(
      Axis(kTimeBuckets, kMinimumTime, kMaximumTime));
}

Histogram MakeTokenHistogram() {
  return histogram::make_histogram(
      Axis(kTokenBuckets, kMinimumTokens, kMaximumTokens));
}

std::string EscapeLabel(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '\\' || character == '"') {
      escaped += '\\';
    }
    escaped += character == '\n' ? "\\n" : std::string(1, character);
  }
  return escaped;
}

struct MeasureName {
  const char* name;
  const char* help;
};

constexpr std::array<MeasureName, 4> kMeasureNames = {
    {{"crocus_request_queue_seconds", "Time from arrival to dispatch."},
     {"crocus_request_first_token_seconds", "Time to the first token."},
     {"crocus_request_total_seconds", "Time to the end of the answer."},
     {"crocus_request_tokens", "Tokens of the answer."}}};

void WriteHistogram(std::ostream& out,
                    const std::string& name,
                    const std::string& labels,
                    const Histogram& buckets,
                    double sum) {
  const auto& axis = buckets.axis();
  // Index -1 counts the values below the first edge.
  double cumulative = buckets.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    out << name << "_bucket{" << labels << ",le=\"" << axis.value(i) << "\"} "
        << cumulative << "\n";
    cumulative += buckets.at(i);
  }
  out << name << "_bucket{" << labels << ",le=\"" << axis.value(axis.size())
      << "\"} " << cumulative << "\n";
  cumulative += buckets.at(axis.size());
  out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << cumulative << "\n"
      << name << "_sum{" << labels << "} " << sum << "\n"
      << name << "_count{" << labels << "} " << cumulative << "\n";
}

}  // namespace

struct RequestMetrics::Histograms {
  std::array<Histogram, kMeasures> buckets = {
      MakeTimeHistogram(), MakeTimeHistogram(), MakeTimeHistogram(),
      MakeTokenHistogram()};
  std::array<double, kMeasures> sums{};
};

RequestMetrics::RequestMetrics(RequestMetricsOptions options)
    : options(options) {}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::Observe(RequestMeasure measure,
                             const std::string& workspace,
                             const std::string& request_class,
                             double value) {
  std::lock_guard lock(this->mutex);
  auto found = this->pairs.find({workspace, request_class});
  if (found == this->pairs.end()) {
    const Pair pair = this->pairs.size() + 1 < this->options.maximum_pairs
                          ? Pair(workspace, request_class)
                          : Pair(kOther, kOther);
    found = this->pairs.try_emplace(pair, std::make_unique<Histograms>()).first;
  }
  const auto index = static_cast<std::size_t>(measure);
  found->second->buckets[index](value);
  found->second->sums[index] += value;
}

void RequestMetrics::Count(Verdict verdict, const std::string& reason) {
  std::lock_guard lock(this->mutex);
  const bool is_known = this->counts.contains({verdict, reason}) ||
                        this->counts.size() < this->options.maximum_reasons;
  ++this->counts[{verdict, is_known ? reason : kOther}];
}

std::string RequestMetrics::ToPrometheus() const {
  std::ostringstream out;
  out.precision(6);
  std::lock_guard lock(this->mutex);
  out << "# HELP crocus_requests_total Ended requests.\n"
         "# TYPE crocus_requests_total counter\n";
  for (const auto& [key, count] : this->counts) {
    out << "crocus_requests_total{verdict=\"" << ToString(key.first)
        << "\",reason=\"" << EscapeLabel(key.second) << "\"} " << count << "\n";
  }
  for (std::size_t i = 0; i < kMeasures; ++i) {
    out << "# HELP " << kMeasureNames[i].name << " " << kMeasureNames[i].help
        << "\n# TYPE " << kMeasureNames[i].name << " histogram\n";
    for (const auto& [pair, histograms] : this->pairs) {
      WriteHistogram(out, kMeasureNames[i].name,
                     "workspace=\"" + EscapeLabel(pair.first) + "\",class=\"" +
                         EscapeLabel(pair.second) + "\"",
                     histograms->buckets[i], histograms->sums[i]);
    }
  }
  return out.str();
}

}  // namespace crocus
