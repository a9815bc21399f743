#ifndef LIBRULES_RULE_PARSER_H_
#define LIBRULES_RULE_PARSER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "LibCore/result.h"
#include "LibRules/rule_line.h"
#include "LibRules/rule_set.h"

namespace crocus {

/// Maximum size of a rule file. The file is sent in one log record and one
/// frame, and every daemon holds it within its memory limit of 32 MB.
inline constexpr std::size_t kMaximumRuleFileBytes = 512u << 10;

/// A rule file without errors.
struct ParsedRules {
  /// The version is 0; it is not part of the file.
  RuleSet rules;
  std::vector<RuleLine> lines;

  bool operator==(const ParsedRules&) const = default;
};

/// Parses a rule file; docs/rules.md describes the format. The message of a
/// failure lists every error on a line of its own, with file, line and reason.
Result<ParsedRules> ParseRules(const std::string& file,
                               const std::string& text);

}  // namespace crocus

#endif  // LIBRULES_RULE_PARSER_H_
