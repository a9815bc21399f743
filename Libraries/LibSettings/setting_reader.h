#ifndef LIBSETTINGS_SETTING_READER_H_
#define LIBSETTINGS_SETTING_READER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/result.h"
#include "LibSettings/ini_document.h"

namespace crocus {

struct SettingLimits {
  bool required = false;
  double minimum = 0;
  double maximum = 0;
};

/// Reads typed values from an INI document and collects errors, each with
/// file, line and reason.
class SettingReader {
 public:
  explicit SettingReader(const IniDocument& document);

  void Read(const std::string& section,
            const std::string& key,
            const SettingLimits& limits,
            std::string& value);
  void Read(const std::string& section,
            const std::string& key,
            const SettingLimits& limits,
            std::vector<std::string>& value);
  void Read(const std::string& section,
            const std::string& key,
            const SettingLimits& limits,
            bool& value);
  void Read(const std::string& section,
            const std::string& key,
            const SettingLimits& limits,
            std::uint16_t& value);
  void Read(const std::string& section,
            const std::string& key,
            const SettingLimits& limits,
            std::uint32_t& value);
  void Read(const std::string& section,
            const std::string& key,
            const SettingLimits& limits,
            std::uint64_t& value);
  void Read(const std::string& section,
            const std::string& key,
            const SettingLimits& limits,
            double& value);
  /// Accepts a plain number of milliseconds or one with the unit ms, s or min.
  void Read(const std::string& section,
            const std::string& key,
            const SettingLimits& limits,
            std::chrono::milliseconds& value);

  /// Returns the collected errors, with one for each entry that no call has
  /// read.
  Result<void> Finish();

 private:
  const IniEntry* Find(const std::string& section,
                       const std::string& key,
                       const SettingLimits& limits);
  template <typename Integer>
  void ReadInteger(const std::string& section,
                   const std::string& key,
                   const SettingLimits& limits,
                   Integer& value);
  bool CheckRange(const IniEntry& entry,
                  const SettingLimits& limits,
                  double value);
  void AddError(const IniEntry& entry, const std::string& reason);
  std::string NearestKnownKey(const IniEntry& entry) const;

  const IniDocument& document;
  std::vector<std::pair<std::string, std::string>> known_keys;
  std::vector<std::string> errors;
};

}  // namespace crocus

#endif  // LIBSETTINGS_SETTING_READER_H_
