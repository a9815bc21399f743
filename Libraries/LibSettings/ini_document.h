#ifndef LIBSETTINGS_INI_DOCUMENT_H_
#define LIBSETTINGS_INI_DOCUMENT_H_

#include <string>
#include <vector>

#include "LibCore/result.h"

namespace crocus {

struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;

  bool operator==(const IniEntry&) const = default;
};

/// The entries of an INI file in file order, with line numbers.
struct IniDocument {
  std::string file;
  std::vector<IniEntry> entries;

  bool operator==(const IniDocument&) const = default;
};

/// Parses INI text. `file` is used in error messages only.
Result<IniDocument> ParseIni(const std::string& file, const std::string& text);

/// Reads and parses an INI file.
Result<IniDocument> ReadIniFile(const std::string& path);

}  // namespace crocus

#endif  // LIBSETTINGS_INI_DOCUMENT_H_
