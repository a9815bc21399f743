#include "Bench/experiment_report.h"

#include <iomanip>
#include <sstream>
#include <utility>
#include <vector>

#include "Bench/svg_plot.h"

namespace crocus {

namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr std::size_t kDistributionPoints = 1000;

/// Part of the run that the plots over time show. It is short enough to make
/// changes within seconds visible.
constexpr double kPlotStartSeconds = 30;
constexpr double kPlotEndSeconds = 150;

std::string RoleName(PolicyRole role) {
  switch (role) {
    case PolicyRole::kChosen:
      return "chosen";
    case PolicyRole::kBaseline:
      return "baseline";
    case PolicyRole::kBound:
      return "bound";
  }
  return "";
}

double Milliseconds(const LatencyHistogram& histogram, double quantile) {
  return histogram.Quantile(quantile) * kMillisecondsPerSecond;
}

double PerSecond(std::uint64_t count, const FleetResult& result) {
  return result.measured_seconds > 0
             ? static_cast<double>(count) / result.measured_seconds
             : 0;
}

/// Returns the rows of the tables: name and value of each figure.
std::vector<std::pair<std::string, double>> FiguresOf(
    const FleetResult& result) {
  const double requests = static_cast<double>(result.requests);
  return {{"first_token_p50_ms", Milliseconds(result.first_token, 0.5)},
          {"first_token_p95_ms", Milliseconds(result.first_token, 0.95)},
          {"first_token_p99_ms", Milliseconds(result.first_token, 0.99)},
          {"short_p99_ms", Milliseconds(result.first_token_short, 0.99)},
          {"long_p99_ms", Milliseconds(result.first_token_long, 0.99)},
          {"short_answer_p99_ms", Milliseconds(result.total_time_short, 0.99)},
          {"in_spell_p99_ms",
           Milliseconds(result.first_token_in_slow_period, 0.99)},
          {"token_gap_p95_ms", Milliseconds(result.token_gap, 0.95)},
          {"token_gap_p99_ms", Milliseconds(result.token_gap, 0.99)},
          {"requests", requests},
          {"expired", static_cast<double>(result.expired)},
          {"hedge_share",
           requests > 0 ? static_cast<double>(result.hedges) / requests : 0},
          {"batch_items_per_s", PerSecond(result.batch_items, result)},
          {"batch_tokens_per_s", PerSecond(result.batch_tokens, result)},
          {"batch_share_of_idle", result.BatchShare()},
          {"suspensions", static_cast<double>(result.suspensions)},
          {"jobs_finished", static_cast<double>(result.jobs_finished)},
          {"jobs_late", static_cast<double>(result.jobs_late)}};
}

std::string Format(double value) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(value < 10 ? 3 : 1) << value;
  return text.str();
}

std::string Describe(const TargetCheck& target) {
  return target.name + ": " + Format(target.measured) + " (target at " +
         (target.is_upper_limit ? "most " : "least ") + Format(target.limit) +
         ", " + (target.is_met() ? "met" : "missed") + ")";
}

bool IsPlotted(double seconds) {
  return seconds >= kPlotStartSeconds && seconds < kPlotEndSeconds;
}

std::string DrawDistributions(const Experiment& experiment) {
  Plot plot{.title = "Share of requests with a longer time to first token",
            .x_label = "seconds",
            .y_label = "share",
            .has_log_x = true,
            .has_log_y = true};
  for (const auto& run : experiment.runs) {
    PlotSeries series{.name = run.name};
    for (const auto& [seconds, share] :
         run.result.first_token.CumulativeDistribution(kDistributionPoints)) {
      if (share < 1) {
        series.points.emplace_back(seconds, 1 - share);
      }
    }
    plot.series.push_back(std::move(series));
  }
  return DrawPlot(plot);
}

std::string DrawSlotUse(const PolicyRun& run) {
  PlotSeries online{.name = "online"};
  PlotSeries all{.name = "online and batch"};
  for (const auto& sample : run.result.slot_use) {
    const double seconds = ToSeconds(sample.time.time_since_epoch());
    if (IsPlotted(seconds)) {
      online.points.emplace_back(seconds, sample.online);
      all.points.emplace_back(seconds, sample.online + sample.batch);
    }
  }
  return DrawPlot({.title = "Slots in use: " + run.name,
                   .x_label = "seconds",
                   .y_label = "slots",
                   .series = {std::move(online), std::move(all)}});
}

std::string DrawFirstTokens(const PolicyRun& run) {
  PlotSeries series{.name = "request", .style = PlotStyle::kPoints};
  for (const auto& [seconds, wait] : run.result.first_token_by_arrival) {
    if (IsPlotted(seconds)) {
      series.points.emplace_back(seconds, wait);
    }
  }
  return DrawPlot({.title = "Time to first token by arrival: " + run.name,
                   .x_label = "seconds",
                   .y_label = "seconds to first token",
                   .has_log_y = true,
                   .series = {std::move(series)}});
}

}  // namespace

nlohmann::json ExperimentToJson(const Experiment& experiment) {
  nlohmann::json json = {{"experiment", experiment.name},
                         {"profile", experiment.profile},
                         {"seed", experiment.seed},
                         {"policies", nlohmann::json::array()},
                         {"targets", nlohmann::json::array()}};
  for (const auto& run : experiment.runs) {
    nlohmann::json policy = {{"name", run.name}, {"role", RoleName(run.role)}};
    for (const auto& [name, value] : FiguresOf(run.result)) {
      policy[name] = value;
    }
    json["policies"].push_back(std::move(policy));
  }
  for (const auto& target : experiment.targets) {
    json["targets"].push_back({{"name", target.name},
                               {"measured", target.measured},
                               {"limit", target.limit},
                               {"is_upper_limit", target.is_upper_limit},
                               {"is_met", target.is_met()}});
  }
  return json;
}

std::string ExperimentToText(const Experiment& experiment) {
  std::ostringstream out;
  out << experiment.name << ", profile " << experiment.profile << ", seed "
      << experiment.seed << "\n\n";
  constexpr int kNameWidth = 22;
  constexpr int kWidth = 28;
  out << std::left << std::setw(kNameWidth) << "";
  for (const auto& run : experiment.runs) {
    out << std::right << std::setw(kWidth) << run.name;
  }
  out << "\n";
  const auto names = FiguresOf(experiment.runs.front().result);
  for (std::size_t row = 0; row < names.size(); ++row) {
    out << std::left << std::setw(kNameWidth) << names[row].first;
    for (const auto& run : experiment.runs) {
      out << std::right << std::setw(kWidth)
          << Format(FiguresOf(run.result)[row].second);
    }
    out << "\n";
  }
  out << "\n";
  for (const auto& target : experiment.targets) {
    out << Describe(target) << "\n";
  }
  return out.str();
}

std::string ExperimentToHtml(const Experiment& experiment) {
  std::ostringstream out;
  const std::string title =
      EscapeMarkup(experiment.name + ", profile " + experiment.profile +
                   ", seed " + std::to_string(experiment.seed));
  out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      << "<title>" << title << "</title>\n<style>body{font-family:sans-serif}"
      << "td,th{padding:2px 10px;text-align:right}"
      << "th:first-child,td:first-child{text-align:left}</style></head><body>\n"
      << "<h1>" << title << "</h1>\n<ul>\n";
  for (const auto& target : experiment.targets) {
    out << "<li>" << EscapeMarkup(Describe(target)) << "</li>\n";
  }
  out << "</ul>\n<table>\n<tr><th>policy</th>";
  for (const auto& run : experiment.runs) {
    out << "<th>" << EscapeMarkup(run.name) << " (" << RoleName(run.role)
        << ")</th>";
  }
  out << "</tr>\n";
  const auto names = FiguresOf(experiment.runs.front().result);
  for (std::size_t row = 0; row < names.size(); ++row) {
    out << "<tr><td>" << names[row].first << "</td>";
    for (const auto& run : experiment.runs) {
      out << "<td>" << Format(FiguresOf(run.result)[row].second) << "</td>";
    }
    out << "</tr>\n";
  }
  out << "</table>\n" << DrawDistributions(experiment);
  for (const auto& run : experiment.runs) {
    out << "<h2>" << EscapeMarkup(run.name) << "</h2>\n"
        << DrawSlotUse(run) << DrawFirstTokens(run);
  }
  out << "</body></html>\n";
  return out.str();
}

}  // namespace crocus
