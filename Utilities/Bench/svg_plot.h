#ifndef BENCH_SVG_PLOT_H_
#define BENCH_SVG_PLOT_H_

#include <string>
#include <utility>
#include <vector>

namespace crocus {

enum class PlotStyle { kLine, kPoints };

struct PlotSeries {
  std::string name;
  PlotStyle style = PlotStyle::kLine;
  std::vector<std::pair<double, double>> points;
};

struct Plot {
  std::string title;
  std::string x_label;
  std::string y_label;
  bool has_log_x = false;
  bool has_log_y = false;
  std::vector<PlotSeries> series;
};

/// Escapes text for XML and HTML.
std::string EscapeMarkup(const std::string& text);

/// Returns an `svg` element with axes, grid and legend.
std::string DrawPlot(const Plot& plot);

}  // namespace crocus

#endif  // BENCH_SVG_PLOT_H_
