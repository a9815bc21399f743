#ifndef LIBRULES_RULE_PARSER_H_
#define LIBRULES_RULE_PARSER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "LibCore/result.h"
#include "LibRules/rule_line.h"
#include "LibRules/rule_set.h"

namespace crocus {

/// Largest rule file in bytes. It travels in one log record and one frame, and
/// every daemon keeps it within its 32 MB.
inline constexpr std::size_t kMaxRuleFileBytes = 512u << 10;

/// A rule file that has no errors.
struct ParsedRules {
  /// The version is 0; it is not part of the file.
  RuleSet rules;
  std::vector<RuleLine> lines;

  bool operator==(const ParsedRules&) const = default;
};

/// Parses a rule file; docs/rules.md describes it. A failure's message holds
/// every error, one a line, each with file, line and reason.
Result<ParsedRules> ParseRules(const std::string& file,
                               const std::string& text);

}  // namespace crocus

#endif  // LIBRULES_RULE_PARSER_H_
