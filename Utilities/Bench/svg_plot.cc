#include "Bench/svg_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <sstream>

namespace crocus {

namespace {

constexpr double kWidth = 860;
constexpr double kHeight = 360;
constexpr double kLeft = 70;
constexpr double kRight = 230;
constexpr double kTop = 34;
constexpr double kBottom = 48;
constexpr int kTicks = 5;

/// Distinguishable with the common colour vision deficiencies (Okabe and Ito).
constexpr std::array kColours = {"#0072b2", "#d55e00", "#009e73", "#cc79a7",
                                 "#e69f00", "#56b4e9", "#000000"};

/// Maps the values of one axis to pixels.
class Scale {
 public:
  Scale(bool is_log, double from, double to)
      : is_log(is_log), from(from), to(to) {}

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
    return this->from + share * (this->to - this->from);
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
  const double from;
  const double to;
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
                const Scale& x,
                const Scale& y) {
  if (series.style == PlotStyle::kPoints) {
    for (const auto& [px, py] : series.points) {
      out << "<circle cx=\"" << x.Map(px) << "\" cy=\"" << y.Map(py)
          << "\" r=\"1.5\" fill=\"" << colour << "\" fill-opacity=\"0.5\"/>\n";
    }
    return;
  }
  out << "<polyline fill=\"none\" stroke=\"" << colour
      << "\" stroke-width=\"1.5\" points=\"";
  for (const auto& [px, py] : series.points) {
    out << x.Map(px) << "," << y.Map(py) << " ";
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
  Scale x(plot.has_log_x, kLeft, kWidth - kRight);
  Scale y(plot.has_log_y, kHeight - kBottom, kTop);
  for (const auto& series : plot.series) {
    for (const auto& [px, py] : series.points) {
      x.Include(px);
      y.Include(py);
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
  DrawText(out, kLeft, 18, "start", plot.title);
  for (int tick = 0; tick <= kTicks; ++tick) {
    const double px = x.Map(x.Tick(tick));
    const double py = y.Map(y.Tick(tick));
    DrawLine(out, px, kTop, px, kHeight - kBottom);
    DrawLine(out, kLeft, py, kWidth - kRight, py);
    DrawText(out, px, kHeight - kBottom + 15, "middle",
             FormatTick(x.Tick(tick)));
    DrawText(out, kLeft - 6, py + 4, "end", FormatTick(y.Tick(tick)));
  }
  DrawText(out, (kLeft + kWidth - kRight) / 2, kHeight - 10, "middle",
           plot.x_label);
  DrawText(out, 4, kTop - 4, "start", plot.y_label);
  for (std::size_t index = 0; index < plot.series.size(); ++index) {
    const std::string colour = kColours[index % kColours.size()];
    const double legend_y = kTop + 16 * static_cast<double>(index) + 8;
    DrawSeries(out, plot.series[index], colour, x, y);
    out << "<rect x=\"" << kWidth - kRight + 14 << "\" y=\"" << legend_y - 8
        << "\" width=\"10\" height=\"10\" fill=\"" << colour << "\"/>\n";
    DrawText(out, kWidth - kRight + 30, legend_y + 1, "start",
             plot.series[index].name);
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace crocus
