#include "Bench/svg_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <sstream>

namespace crocus {

namespace {

/// Size and margins in pixels; the right margin holds the legend.
constexpr double kWidth = 860;
constexpr double kHeight = 360;
constexpr double kLeftMargin = 70;
constexpr double kRightMargin = 230;
constexpr double kTopMargin = 34;
constexpr double kBottomMargin = 48;
constexpr int kTicks = 5;

/// Palette of Okabe and Ito, whose colours are distinguishable with the common
/// colour vision deficiencies.
constexpr std::array kColours = {"#0072b2", "#d55e00", "#009e73", "#cc79a7",
                                 "#e69f00", "#56b4e9", "#000000"};

/// Maps the values of one axis to pixels: the lowest included value to
/// `low_pixel`, the highest to `high_pixel`.
class AxisScale {
 public:
  AxisScale(bool is_log, double low_pixel, double high_pixel)
      : is_log(is_log), low_pixel(low_pixel), high_pixel(high_pixel) {}

  void Include(double value) {
    if (this->is_log && value <= 0) {
      return;
    }
    this->low = std::min(this->low, value);
    this->high = std::max(this->high, value);
  }

  double Map(double value) const {
    const double low = this->Transform(this->low);
    const double high = this->Transform(this->high);
    const double share =
        high > low ? (this->Transform(value) - low) / (high - low) : 0.5;
    return this->low_pixel + share * (this->high_pixel - this->low_pixel);
  }

  double Tick(int index) const {
    const double share = static_cast<double>(index) / kTicks;
    const double low = this->Transform(this->low);
    const double value = low + share * (this->Transform(this->high) - low);
    return this->is_log ? std::pow(10, value) : value;
  }

 private:
  double Transform(double value) const {
    return this->is_log ? std::log10(std::max(value, 1e-9)) : value;
  }

  const bool is_log;
  const double low_pixel;
  const double high_pixel;
  double low = std::numeric_limits<double>::max();
  double high = std::numeric_limits<double>::lowest();
};

void DrawText(std::ostream& out,
              double x,
              double y,
              const std::string& anchor,
              const std::string& text) {
  out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
      << "\">" << EscapeMarkup(text) << "</text>\n";
}

void DrawLine(std::ostream& out, double x1, double y1, double x2, double y2) {
  out << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2
      << "\" y2=\"" << y2 << "\" stroke=\"#ddd\"/>\n";
}

std::string FormatTick(double value) {
  std::ostringstream text;
  text.precision(3);
  text << value;
  return text.str();
}

void DrawSeries(std::ostream& out,
                const PlotSeries& series,
                const std::string& colour,
                const AxisScale& x,
                const AxisScale& y) {
  if (series.style == PlotStyle::kPoints) {
    for (const auto& [x_value, y_value] : series.points) {
      out << "<circle cx=\"" << x.Map(x_value) << "\" cy=\"" << y.Map(y_value)
          << "\" r=\"1.5\" fill=\"" << colour << "\" fill-opacity=\"0.5\"/>\n";
    }
    return;
  }
  out << "<polyline fill=\"none\" stroke=\"" << colour
      << "\" stroke-width=\"1.5\" points=\"";
  for (const auto& [x_value, y_value] : series.points) {
    out << x.Map(x_value) << "," << y.Map(y_value) << " ";
  }
  out << "\"/>\n";
}

}  // namespace

std::string EscapeMarkup(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string DrawPlot(const Plot& plot) {
  AxisScale x(plot.has_log_x, kLeftMargin, kWidth - kRightMargin);
  AxisScale y(plot.has_log_y, kHeight - kBottomMargin, kTopMargin);
  for (const auto& series : plot.series) {
    for (const auto& [x_value, y_value] : series.points) {
      x.Include(x_value);
      y.Include(y_value);
    }
  }
  if (!plot.has_log_y) {
    y.Include(0);
  }
  std::ostringstream out;
  out.precision(6);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"11\">\n";
  DrawText(out, kLeftMargin, 18, "start", plot.title);
  for (int tick = 0; tick <= kTicks; ++tick) {
    const double px = x.Map(x.Tick(tick));
    const double py = y.Map(y.Tick(tick));
    DrawLine(out, px, kTopMargin, px, kHeight - kBottomMargin);
    DrawLine(out, kLeftMargin, py, kWidth - kRightMargin, py);
    DrawText(out, px, kHeight - kBottomMargin + 15, "middle",
             FormatTick(x.Tick(tick)));
    DrawText(out, kLeftMargin - 6, py + 4, "end", FormatTick(y.Tick(tick)));
  }
  DrawText(out, (kLeftMargin + kWidth - kRightMargin) / 2, kHeight - 10,
           "middle", plot.x_label);
  DrawText(out, 4, kTopMargin - 4, "start", plot.y_label);
  for (std::size_t index = 0; index < plot.series.size(); ++index) {
    const std::string colour = kColours[index % kColours.size()];
    const double legend_y = kTopMargin + 16 * static_cast<double>(index) + 8;
    DrawSeries(out, plot.series[index], colour, x, y);
    out << "<rect x=\"" << kWidth - kRightMargin + 14 << "\" y=\""
        << legend_y - 8 << "\" width=\"10\" height=\"10\" fill=\"" << colour
        << "\"/>\n";
    DrawText(out, kWidth - kRightMargin + 30, legend_y + 1, "start",
             plot.series[index].name);
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace crocus
