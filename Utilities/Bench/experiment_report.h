#ifndef BENCH_EXPERIMENT_REPORT_H_
#define BENCH_EXPERIMENT_REPORT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "LibSimulation/experiments.h"

namespace crocus {

/// All figures of an experiment; times in milliseconds.
nlohmann::json ExperimentToJson(const Experiment& experiment);

/// A table for the terminal.
std::string ExperimentToText(const Experiment& experiment);

/// A page with a table and plots of the latency distributions, the slot use
/// and the times to first token over time.
std::string ExperimentToHtml(const Experiment& experiment);

}  // namespace crocus

#endif  // BENCH_EXPERIMENT_REPORT_H_
