#ifndef BENCH_EXPERIMENT_REPORT_H_
#define BENCH_EXPERIMENT_REPORT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "LibSimulation/experiments.h"

namespace crocus {

/// Returns all figures of an experiment as JSON, with times in milliseconds.
nlohmann::json ExperimentToJson(const Experiment& experiment);

/// Returns a table of the figures for the terminal.
std::string ExperimentToText(const Experiment& experiment);

/// Returns an HTML page with a table of the figures and plots of the latency
/// distributions, the slot use and the times to first token over time.
std::string ExperimentToHtml(const Experiment& experiment);

}  // namespace crocus

#endif  // BENCH_EXPERIMENT_REPORT_H_
