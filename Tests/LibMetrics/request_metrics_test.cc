#include "LibMetrics/request_metrics.h"

#include <algorithm>
#include <sstream>

#include <CppUTest/TestHarness.h>

namespace crocus {

namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(RequestMetrics_SomeRequests){};

// Guards against buckets that are not cumulative, or lose the values below the
// first and above the last edge.
TEST(RequestMetrics_SomeRequests, BucketsAreCumulativeAndComplete) {
  RequestMetrics metrics;
  for (const double value : {0.0, 0.0015, 0.5, 1000.0}) {
    metrics.Observe(RequestMeasure::kTotal, "mats", "default", value);
  }
  const std::string text = metrics.ToPrometheus();
  const std::string labels = "workspace=\"mats\",class=\"default\"";
  const std::string name = "crocus_request_total_seconds";
  CHECK(Contains(text, name + "_bucket{" + labels + ",le=\"0.001\"} 1\n"));
  CHECK(Contains(text, name + "_bucket{" + labels + ",le=\"0.002\"} 2\n"));
  CHECK(Contains(text, name + "_bucket{" + labels + ",le=\"32.768\"} 3\n"));
  CHECK(Contains(text, name + "_bucket{" + labels + ",le=\"+Inf\"} 4\n"));
  CHECK(Contains(text, name + "_count{" + labels + "} 4\n"));
}

// Guards against memory and a metrics page that grow with the names that
// callers choose, and against names that break the text format.
TEST(RequestMetrics_SomeRequests, SeriesAreBoundedAndEscaped) {
  RequestMetrics metrics({.maximum_pairs = 5, .maximum_reasons = 5});
  for (int i = 0; i < 100; ++i) {
    const std::string name = "w\"\n" + std::to_string(i);
    metrics.Observe(RequestMeasure::kTokens, name, "c", 3);
    metrics.Count(Verdict::kNotRun, name);
  }
  const std::string text = metrics.ToPrometheus();
  CHECK(Contains(text, "workspace=\"w\\\"\\n0\""));
  CHECK(Contains(text,
                 "crocus_request_tokens_count{workspace=\"other\","
                 "class=\"other\"} 96\n"));
  CHECK(Contains(text, "{verdict=\"not_run\",reason=\"other\"} 95\n"));
}

}  // namespace crocus
