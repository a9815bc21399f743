#include "Entry/internal_server.h"

namespace crocus {

Result<void> InternalServer::Start(const std::string& address,
                                   std::uint16_t port) {
  TRY_ASSIGN(this->server,
             FrameServer::Listen(
                 this->context, address, port,
                 {.on_open =
                      [this](const auto& connection) {
                        connection->Send(MakeFrame(this->hello()));
                      },
                  .on_frame =
                      [this](const auto& connection, const Frame& frame) {
                        if (const auto found = this->handlers.find(frame.type);
                            found != this->handlers.end()) {
                          found->second(connection, frame);
                        }
                      },
                  .on_closed = {}}));
  return {};
}

void InternalServer::Stop() {
  if (this->server != nullptr) {
    this->server->Close();
  }
}

}  // namespace crocus
