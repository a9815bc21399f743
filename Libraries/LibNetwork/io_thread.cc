#include "LibNetwork/io_thread.h"

namespace crocus {

IoThread::IoThread()
    : work_guard(boost::asio::make_work_guard(this->io_context)),
      thread([this] { this->io_context.run(); }) {}

IoThread::~IoThread() {
  this->Stop();
}

void IoThread::Stop() {
  this->io_context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

}  // namespace crocus
