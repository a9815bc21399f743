#ifndef LIBLEDGER_APPEND_H_
#define LIBLEDGER_APPEND_H_

#include <string>
#include <utility>
#include <vector>

#include "LibCore/random.h"
#include "LibMessages/codec.h"
#include "LibMessages/records.h"

namespace crocus {

/// Wraps a record in an envelope, the form in which an append stores it.
template <typename Record>
records::Envelope MakeEnvelope(const Record& record) {
  return {.type = static_cast<std::uint16_t>(Record::kType),
          .body = Encode(record)};
}

/// Makes an append with a new unique id.
inline records::Append MakeAppend(const std::string& writer,
                                  std::vector<records::Envelope> envelopes) {
  return {.id = MakeIdentifier(writer),
          .writer = writer,
          .records = std::move(envelopes)};
}

}  // namespace crocus

#endif  // LIBLEDGER_APPEND_H_
