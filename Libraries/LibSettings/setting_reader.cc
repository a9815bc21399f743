#include "LibSettings/setting_reader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <sstream>
#include <string_view>

#include "LibCore/text.h"

namespace crocus {

namespace {

/// Largest edit distance at which another key is suggested.
constexpr std::size_t kSuggestionDistance = 4;

template <typename Number>
bool ParseNumber(std::string_view text, Number& value) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

}  // namespace

SettingReader::SettingReader(const IniDocument& document)
    : document(document) {}

const IniEntry* SettingReader::Find(const std::string& section,
                                    const std::string& key,
                                    const SettingLimits& limits) {
  this->known_keys.emplace_back(section, key);
  const IniEntry* found = nullptr;
  for (const auto& entry : this->document.entries) {
    if (entry.section != section || entry.key != key) {
      continue;
    }
    if (found != nullptr) {
      this->AddError(
          entry, "is set twice, first in line " + std::to_string(found->line));
    }
    found = &entry;
  }
  if (found == nullptr && limits.required) {
    this->errors.push_back(this->document.file + ": [" + section + "] " + key +
                           " is required");
  }
  return found;
}

void SettingReader::Read(const std::string& section,
                         const std::string& key,
                         const SettingLimits& limits,
                         std::string& value) {
  if (const IniEntry* entry = this->Find(section, key, limits)) {
    value = entry->value;
    if (limits.required && value.empty()) {
      this->AddError(*entry, "must not be empty");
    }
  }
}

void SettingReader::Read(const std::string& section,
                         const std::string& key,
                         const SettingLimits& limits,
                         std::vector<std::string>& value) {
  const IniEntry* entry = this->Find(section, key, limits);
  if (entry == nullptr) {
    return;
  }
  value.clear();
  std::istringstream stream(entry->value);
  for (std::string item; std::getline(stream, item, ',');) {
    if (item = Trim(item); !item.empty()) {
      value.push_back(item);
    }
  }
  if (limits.required && value.empty()) {
    this->AddError(*entry, "must contain at least one value");
  }
}

void SettingReader::Read(const std::string& section,
                         const std::string& key,
                         const SettingLimits& limits,
                         bool& value) {
  const IniEntry* entry = this->Find(section, key, limits);
  if (entry == nullptr) {
    return;
  }
  if (entry->value != "true" && entry->value != "false") {
    this->AddError(*entry, "must be true or false");
    return;
  }
  value = entry->value == "true";
}

template <typename Integer>
void SettingReader::ReadInteger(const std::string& section,
                                const std::string& key,
                                const SettingLimits& limits,
                                Integer& value) {
  const IniEntry* entry = this->Find(section, key, limits);
  if (entry == nullptr) {
    return;
  }
  std::uint64_t number = 0;
  if (!ParseNumber(entry->value, number)) {
    this->AddError(*entry, "must be a whole number");
    return;
  }
  if (this->CheckRange(*entry, limits, static_cast<double>(number))) {
    value = static_cast<Integer>(number);
  }
}

void SettingReader::Read(const std::string& section,
                         const std::string& key,
                         const SettingLimits& limits,
                         std::uint16_t& value) {
  this->ReadInteger(section, key, limits, value);
}

void SettingReader::Read(const std::string& section,
                         const std::string& key,
                         const SettingLimits& limits,
                         std::uint32_t& value) {
  this->ReadInteger(section, key, limits, value);
}

void SettingReader::Read(const std::string& section,
                         const std::string& key,
                         const SettingLimits& limits,
                         std::uint64_t& value) {
  this->ReadInteger(section, key, limits, value);
}

void SettingReader::Read(const std::string& section,
                         const std::string& key,
                         const SettingLimits& limits,
                         double& value) {
  const IniEntry* entry = this->Find(section, key, limits);
  if (entry == nullptr) {
    return;
  }
  double number = 0;
  if (!ParseNumber(entry->value, number)) {
    this->AddError(*entry, "must be a number");
    return;
  }
  if (this->CheckRange(*entry, limits, number)) {
    value = number;
  }
}

void SettingReader::Read(const std::string& section,
                         const std::string& key,
                         const SettingLimits& limits,
                         std::chrono::milliseconds& value) {
  const IniEntry* entry = this->Find(section, key, limits);
  if (entry == nullptr) {
    return;
  }
  const auto unit_at = std::find_if_not(
      entry->value.begin(), entry->value.end(), [](unsigned char character) {
        return std::isdigit(character) != 0 || character == '.';
      });
  const std::string digits(entry->value.begin(), unit_at);
  const std::string unit = Trim(std::string(unit_at, entry->value.end()));
  double number = 0;
  std::uint64_t factor = 0;
  if (unit.empty() || unit == "ms") {
    factor = 1;
  } else if (unit == "s") {
    factor = 1000;
  } else if (unit == "min") {
    factor = 60000;
  }
  if (factor == 0 || !ParseNumber(digits, number)) {
    this->AddError(*entry, "must be a duration such as 250ms, 3s or 2min");
    return;
  }
  const double milliseconds = number * static_cast<double>(factor);
  if (this->CheckRange(*entry, limits, milliseconds)) {
    value = std::chrono::milliseconds(std::llround(milliseconds));
  }
}

bool SettingReader::CheckRange(const IniEntry& entry,
                               const SettingLimits& limits,
                               double value) {
  if (value >= limits.minimum && value <= limits.maximum) {
    return true;
  }
  std::ostringstream reason;
  reason.precision(15);
  reason << "must be from " << limits.minimum << " to " << limits.maximum;
  this->AddError(entry, reason.str());
  return false;
}

void SettingReader::AddError(const IniEntry& entry, const std::string& reason) {
  this->errors.push_back(this->document.file + ":" +
                         std::to_string(entry.line) + ": [" + entry.section +
                         "] " + entry.key + " = \"" + entry.value + "\" " +
                         reason);
}

std::string SettingReader::NearestKnownKey(const IniEntry& entry) const {
  std::string nearest;
  std::size_t best = kSuggestionDistance + 1;
  for (const auto& [section, key] : this->known_keys) {
    const std::size_t distance =
        EditDistance(key, entry.key) + (section == entry.section ? 0 : 1);
    if (distance < best) {
      best = distance;
      nearest = "[" + section + "] " + key;
    }
  }
  return nearest;
}

Result<void> SettingReader::Finish() {
  for (const auto& entry : this->document.entries) {
    const bool is_known = std::any_of(
        this->known_keys.begin(), this->known_keys.end(),
        [&entry](const auto& item) {
          return item.first == entry.section && item.second == entry.key;
        });
    if (is_known) {
      continue;
    }
    const std::string nearest = this->NearestKnownKey(entry);
    this->AddError(entry,
                   nearest.empty()
                       ? "is not a known key"
                       : "is not a known key; did you mean " + nearest + "?");
  }
  if (this->errors.empty()) {
    return {};
  }
  std::string message;
  for (const auto& error : this->errors) {
    message += (message.empty() ? "" : "\n") + error;
  }
  return Failure(ErrorCode::kInvalidArgument, message);
}

}  // namespace crocus
