#ifndef LIBRULES_RULE_VALUE_H_
#define LIBRULES_RULE_VALUE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/result.h"

namespace crocus {

// Functions that parse one value of a rule. The message of a failure states the
// expected value, such as "must be a percentage from 0% to 100%, such as 20%".

/// A percentage such as 20%; the result is a share from 0 to 1.
Result<void> ReadPercentage(const std::string& text, double& value);

/// A weight from 0.01 to 1000, without a unit.
Result<void> ReadWeight(const std::string& text, double& value);

/// A rate such as 100/s; 0/s is no limit.
Result<void> ReadRate(const std::string& text, double& value);

/// A whole number from 0 to 1000000, without a unit.
Result<void> ReadCount(const std::string& text, std::uint32_t& value);

/// A duration with the unit ms, s, min or h, from `minimum` to `maximum`.
Result<void> ReadDuration(const std::string& text,
                          std::chrono::milliseconds minimum,
                          std::chrono::milliseconds maximum,
                          std::chrono::milliseconds& value);

/// Formats a duration with the largest unit that keeps it a whole number.
std::string FormatDuration(std::chrono::milliseconds duration);

/// The word yes or no.
Result<void> ReadFlag(const std::string& text, bool& value);

/// Names separated by commas without spaces.
Result<void> ReadNames(const std::string& text,
                       std::vector<std::string>& value);

/// True if the text is not empty and consists of letters, digits and the
/// characters ". _ - : /".
bool IsName(const std::string& text);

}  // namespace crocus

#endif  // LIBRULES_RULE_VALUE_H_
