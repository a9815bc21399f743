#include "LibRules/rule_line.h"

#include <algorithm>
#include <string_view>

#include "LibCore/result.h"
#include "LibCore/text.h"

namespace crocus {

namespace {

/// Limits the time to parse a line and the length of an error message.
constexpr std::size_t kMaximumLineBytes = 4096;

bool HasControlCharacter(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::any_of(text.begin(), text.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return (byte < kFirstPrintable && byte != '\t') || byte == kDelete;
  });
}

std::vector<std::string> SplitWords(std::string text) {
  std::replace(text.begin(), text.end(), '\t', ' ');
  auto words = Split(text, ' ');
  std::erase(words, "");
  return words;
}

/// Parses the comment `NAME: reason` into the rule.
Result<void> ReadComment(std::string_view comment, RuleLine& rule) {
  const auto colon = comment.find(':');
  if (colon != std::string_view::npos) {
    rule.requester = Trim(comment.substr(0, colon));
    rule.reason = Trim(comment.substr(colon + 1));
  }
  if (rule.requester.empty() || rule.reason.empty()) {
    return Failure(ErrorCode::kInvalidArgument,
                   "the comment must say who asked for the rule and why, as in "
                   "\"# NAME: reason\"");
  }
  return {};
}

Result<void> ReadValues(const std::vector<std::string>& words, RuleLine& rule) {
  for (std::size_t i = 2; i < words.size(); ++i) {
    const auto equals = words[i].find('=');
    if (equals == std::string::npos || equals == 0 ||
        equals + 1 == words[i].size()) {
      return Failure(ErrorCode::kInvalidArgument,
                     "\"" + words[i] + "\" is not of the form key=value");
    }
    const std::string key = words[i].substr(0, equals);
    if (!rule.values.emplace(key, words[i].substr(equals + 1)).second) {
      return Failure(ErrorCode::kInvalidArgument,
                     "key \"" + key + "\" is set twice");
    }
  }
  return {};
}

Result<RuleLine> ReadRuleLine(std::string_view text, int number) {
  if (text.size() > kMaximumLineBytes) {
    return Failure(ErrorCode::kInvalidArgument,
                   "the line is longer than " +
                       std::to_string(kMaximumLineBytes) + " bytes");
  }
  if (HasControlCharacter(text)) {
    return Failure(ErrorCode::kInvalidArgument,
                   "the line contains a control character");
  }
  const auto hash = text.find('#');
  RuleLine rule{.line = number};
  const auto words = SplitWords(std::string(text.substr(0, hash)));
  if (words.size() < 2) {
    return Failure(ErrorCode::kInvalidArgument,
                   "a rule is written as: kind name key=value ...  "
                   "# NAME: reason");
  }
  rule.kind = words[0];
  rule.name = words[1];
  TRY(ReadValues(words, rule));
  TRY(ReadComment(hash == std::string_view::npos ? "" : text.substr(hash + 1),
                  rule));
  return rule;
}

}  // namespace

std::string RuleLine::Workspace() const {
  const auto found = this->values.find("workspace");
  return found == this->values.end() ? "*" : found->second;
}

std::string RuleLine::Identity() const {
  const std::string identity = this->kind + " " + this->name;
  return this->kind == "class" ? identity + " workspace=" + this->Workspace()
                               : identity;
}

std::pair<std::string, std::string> OverflowRegions(const std::string& name) {
  constexpr std::string_view kArrow = "->";
  const auto arrow = name.find(kArrow);
  if (arrow == std::string::npos) {
    return {name, ""};
  }
  return {name.substr(0, arrow), name.substr(arrow + kArrow.size())};
}

RuleLines SplitRuleLines(const std::string& text) {
  RuleLines result;
  int number = 0;
  for (auto line : Split(text, '\n')) {
    ++number;
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (const std::string trimmed = Trim(line);
        trimmed.empty() || trimmed.front() == '#') {
      continue;
    }
    if (auto rule = ReadRuleLine(line, number)) {
      result.lines.push_back(std::move(*rule));
    } else {
      result.errors.push_back({.line = number, .reason = rule.error().message});
    }
  }
  return result;
}

}  // namespace crocus
