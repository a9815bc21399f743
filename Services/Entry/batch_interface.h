#ifndef ENTRY_BATCH_INTERFACE_H_
#define ENTRY_BATCH_INTERFACE_H_

#include <cstdint>
#include <string>

#include "Entry/batch_store.h"
#include "Entry/peer_link.h"
#include "LibHttp/http_message.h"
#include "LibSettings/settings.h"

namespace crocus {

/// HTTP interface of batch jobs.
class BatchInterface {
 public:
  BatchInterface(const EntrySettings& settings,
                 BatchStore& store,
                 PeerLink& peers)
      : settings(settings), store(store), peers(peers) {}

  /// POST /v1/batches: JSON lines; the first line describes the job.
  HttpResponse Submit(const HttpRequest& request);
  HttpResponse Status(const HttpRequest& request);
  HttpResponse Cancel(const HttpRequest& request);
  /// JSON lines of finished items in the order of finishing: at most `limit`
  /// from position `first`. A page may be shorter than `limit`; the header
  /// X-Next-First has the position after it.
  HttpResponse Results(const HttpRequest& request);

  /// Answers another entry's query from this entry's state.
  messages::PartitionReply OnQuery(const messages::PartitionQuery& query);

 private:
  /// Asks the owner if that is another entry. Without its answer this entry
  /// answers, which may be behind but is never wrong.
  HttpResponse Respond(messages::PartitionQuery query);
  HttpResponse RespondLocally(const messages::PartitionQuery& query);
  HttpResponse LocalStatus(const std::string& job);
  HttpResponse CancelLocally(const std::string& job);
  HttpResponse LocalResults(const std::string& job,
                            std::uint64_t first,
                            std::uint64_t limit);

  const EntrySettings& settings;
  BatchStore& store;
  PeerLink& peers;
};

}  // namespace crocus

#endif  // ENTRY_BATCH_INTERFACE_H_
