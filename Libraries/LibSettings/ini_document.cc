#include "LibSettings/ini_document.h"

#include <fstream>
#include <sstream>

#include <ini.h>

namespace crocus {

namespace {

/// State of the line reader that is handed to inih, which reports no line
/// numbers to its handler.
struct Cursor {
  std::istringstream stream;
  int line = 0;
  IniDocument* document;
};

char* ReadLine(char* buffer, int size, void* user) {
  auto* cursor = static_cast<Cursor*>(user);
  std::string line;
  if (!std::getline(cursor->stream, line)) {
    return nullptr;
  }
  ++cursor->line;
  line.resize(std::min<std::size_t>(line.size(), size - 2));
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
  cursor->document->entries.push_back({.section = section,
                                       .key = name,
                                       .value = value == nullptr ? "" : value,
                                       .line = cursor->line});
  return 1;
}

}  // namespace

Result<IniDocument> ParseIni(const std::string& file, const std::string& text) {
  IniDocument document{.file = file, .entries = {}};
  Cursor cursor{
      .stream = std::istringstream(text), .line = 0, .document = &document};
  // inih takes one user pointer for both the reader and the handler.
  const int error = ini_parse_stream(ReadLine, &cursor, OnEntry, &cursor);
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
