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
  /// Returns finished items as JSON lines, in the order in which they finished:
  /// at most `limit` from position `first` on. A page may be shorter than
  /// `limit`; the header X-Next-First contains the position after it.
  HttpResponse Results(const HttpRequest& request);

  /// Handles a query of another entry with the state of this entry.
  messages::PartitionReply OnQuery(const messages::PartitionQuery& query);

 private:
  /// Forwards the query to the owner if that is another entry. If the owner
  /// does not respond, this entry responds; its state may be behind that of the
  /// owner but is valid.
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
