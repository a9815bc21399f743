#include "LibRules/rule_value.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <string_view>

#include "LibCore/text.h"

namespace crocus {

namespace {

constexpr double kMinimumWeight = 0.01;
constexpr double kMaximumWeight = 1000;
constexpr double kMaximumRate = 1e9;
constexpr std::uint32_t kMaximumCount = 1000000;

tl::unexpected<Error> MustBe(const std::string& what) {
  return Failure(ErrorCode::kInvalidArgument, "must be " + what);
}

/// Parses a finite number that is followed by `unit` at the end of the text.
bool ReadNumber(std::string_view text, std::string_view unit, double& value) {
  if (!text.ends_with(unit)) {
    return false;
  }
  text.remove_suffix(unit.size());
  const auto [end, error] = std::from_chars(
      text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  return error == std::errc() && end == text.data() + text.size() &&
         std::isfinite(value);
}

}  // namespace

Result<void> ReadPercentage(const std::string& text, double& value) {
  constexpr double kHundredPercent = 100;
  double number = 0;
  if (!ReadNumber(text, "%", number) || number < 0 ||
      number > kHundredPercent) {
    return MustBe("a percentage from 0% to 100%, such as 20%");
  }
  value = number / kHundredPercent;
  return {};
}

Result<void> ReadWeight(const std::string& text, double& value) {
  double number = 0;
  if (!ReadNumber(text, "", number) || number < kMinimumWeight ||
      number > kMaximumWeight) {
    return MustBe("a weight from 0.01 to 1000 without a unit, such as 2.5");
  }
  value = number;
  return {};
}

Result<void> ReadRate(const std::string& text, double& value) {
  double number = 0;
  if (!ReadNumber(text, "/s", number) || number < 0 || number > kMaximumRate) {
    return MustBe("a rate from 0/s to 1000000000/s, such as 100/s");
  }
  value = number;
  return {};
}

Result<void> ReadCount(const std::string& text, std::uint32_t& value) {
  std::uint32_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (error != std::errc() || end != last || number > kMaximumCount) {
    return MustBe("a whole number from 0 to 1000000 without a unit");
  }
  value = number;
  return {};
}

Result<void> ReadDuration(const std::string& text,
                          std::chrono::milliseconds minimum,
                          std::chrono::milliseconds maximum,
                          std::chrono::milliseconds& value) {
  struct Unit {
    std::string_view name;
    double milliseconds;
  };
  // "ms" is tried before "s", since its last letter is "s" too.
  constexpr Unit kUnits[] = {
      {"ms", 1}, {"min", 60000}, {"s", 1000}, {"h", 3600000}};
  for (const auto& unit : kUnits) {
    double number = 0;
    if (!ReadNumber(text, unit.name, number)) {
      continue;
    }
    const double milliseconds = number * unit.milliseconds;
    if (milliseconds < static_cast<double>(minimum.count()) ||
        milliseconds > static_cast<double>(maximum.count())) {
      break;
    }
    value = std::chrono::milliseconds(std::llround(milliseconds));
    return {};
  }
  return MustBe("a duration with the unit ms, s, min or h from " +
                FormatDuration(minimum) + " to " + FormatDuration(maximum));
}

std::string FormatDuration(std::chrono::milliseconds duration) {
  using std::chrono::hours;
  using std::chrono::minutes;
  using std::chrono::seconds;
  const auto is_whole = [duration](std::chrono::milliseconds unit) {
    return duration >= unit && duration % unit == seconds(0);
  };
  if (is_whole(hours(1))) {
    return std::to_string(duration / hours(1)) + "h";
  }
  if (is_whole(minutes(1))) {
    return std::to_string(duration / minutes(1)) + "min";
  }
  if (is_whole(seconds(1))) {
    return std::to_string(duration / seconds(1)) + "s";
  }
  return std::to_string(duration.count()) + "ms";
}

Result<void> ReadFlag(const std::string& text, bool& value) {
  if (text != "yes" && text != "no") {
    return MustBe("yes or no");
  }
  value = text == "yes";
  return {};
}

Result<void> ReadNames(const std::string& text,
                       std::vector<std::string>& value) {
  const auto names = Split(text, ',');
  if (!std::all_of(names.begin(), names.end(), IsName)) {
    return MustBe("names separated by commas without spaces");
  }
  value = names;
  return {};
}

bool IsName(const std::string& text) {
  constexpr std::string_view kPunctuation = "._-:/";
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [&](char character) {
           return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
                  kPunctuation.find(character) != std::string_view::npos;
         });
}

}  // namespace crocus
