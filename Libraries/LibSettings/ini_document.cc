#include "LibSettings/ini_document.h"

#include <fstream>
#include <sstream>

#include <ini.h>

namespace crocus {

namespace {

/// State of the line reader that inih calls. It counts the lines, because inih
/// reports no line numbers to its handler.
struct Cursor {
  std::istringstream stream;
  int line = 0;
  /// True if the line continues the value of the previous line.
  bool is_continuation = false;
  IniDocument* document;
  /// Reason why the line cannot be read; reading stops there.
  std::string error;
};

char* ReadLine(char* buffer, int size, void* user) {
  auto* cursor = static_cast<Cursor*>(user);
  std::string line;
  if (!cursor->error.empty() || !std::getline(cursor->stream, line)) {
    return nullptr;
  }
  ++cursor->line;
  // inih has a fixed buffer and treats a zero byte as the end of the line; it
  // would truncate the value without an error.
  const std::size_t limit = size - 2;
  if (line.size() > limit) {
    cursor->error = "the line is longer than " + std::to_string(limit) +
                    " bytes; a value can be continued on indented lines";
    return nullptr;
  }
  if (line.find('\0') != std::string::npos) {
    cursor->error = "the line contains a zero byte";
    return nullptr;
  }
  cursor->is_continuation =
      !line.empty() && (line.front() == ' ' || line.front() == '\t');
  line += '\n';
  line.copy(buffer, line.size());
  buffer[line.size()] = '\0';
  return buffer;
}

int OnEntry(void* user,
            const char* section,
            const char* name,
            const char* value) {
  auto* cursor = static_cast<Cursor*>(user);
  auto& entries = cursor->document->entries;
  const std::string text = value == nullptr ? "" : value;
  // inih reports a continuation line as another entry with the same name. It
  // treats an indented "key = value" in the same way, so only lists may be
  // continued.
  if (cursor->is_continuation && !entries.empty() &&
      entries.back().section == section && entries.back().key == name) {
    if (entries.back().value.empty() || entries.back().value.back() != ',') {
      cursor->error =
          "an indented line continues the value above it, which must end with "
          "a comma";
      return 0;
    }
    entries.back().value += " " + text;
    return 1;
  }
  entries.push_back(
      {.section = section, .key = name, .value = text, .line = cursor->line});
  return 1;
}

}  // namespace

Result<IniDocument> ParseIni(const std::string& file, const std::string& text) {
  IniDocument document{.file = file, .entries = {}};
  Cursor cursor{.stream = std::istringstream(text), .document = &document};
  // inih passes one user pointer to both the reader and the handler.
  const int error = ini_parse_stream(ReadLine, &cursor, OnEntry, &cursor);
  if (!cursor.error.empty()) {
    return Failure(
        ErrorCode::kInvalidArgument,
        file + ":" + std::to_string(cursor.line) + ": " + cursor.error);
  }
  if (error != 0) {
    return Failure(
        ErrorCode::kInvalidArgument,
        file + ":" + std::to_string(error) + ": not a section or key = value");
  }
  return document;
}

Result<IniDocument> ReadIniFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    return Failure(ErrorCode::kNotFound, path + ": file cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseIni(path, text.str());
}

}  // namespace crocus
