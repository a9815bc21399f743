#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include "LibMessages/frame.h"
#include "process_fleet.h"

namespace crocus {

namespace {

using boost::asio::ip::tcp;

/// A connection to an internal port that sends arbitrary bytes.
class RawPeer {
 public:
  explicit RawPeer(std::uint16_t port) : socket(this->context) {
    this->socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  }

  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
  }

  /// Reads until the peer closes the connection. Returns false if the socket's
  /// receive timeout expires first.
  bool WaitForClose() {
    const timeval limit{.tv_sec = 10, .tv_usec = 0};
    setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof(limit));
    char buffer[4096];
    for (;;) {
      const auto count =
          recv(this->socket.native_handle(), buffer, sizeof(buffer), 0);
      if (count <= 0) {
        return count == 0 || errno == ECONNRESET;
      }
    }
  }

 private:
  boost::asio::io_context context;
  tcp::socket socket;
};

std::string RawFrame(messages::MessageType type, const std::string& body) {
  return EncodeFrame({.type = type, .body = body});
}

/// Accepts connections and sends on each a frame whose body cannot be decoded.
class MalformedFrameDaemon {
 public:
  MalformedFrameDaemon()
      : acceptor(this->context,
                 {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    this->Accept();
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~MalformedFrameDaemon() {
    this->context.stop();
    this->thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  int accepted_connections() const { return this->count; }

 private:
  void Accept() {
    this->acceptor.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (error) {
            return;
          }
          ++this->count;
          boost::system::error_code ignored;
          boost::asio::write(
              socket,
              boost::asio::buffer(RawFrame(messages::MessageType::kLoadReport,
                                           "\xff\xff\xff\x7f")),
              ignored);
          this->Accept();
        });
  }

  boost::asio::io_context context;
  tcp::acceptor acceptor;
  std::atomic<int> count = 0;
  std::thread thread;
};

std::size_t CountOccurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto position = text.find(part); position != std::string::npos;
       position = text.find(part, position + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_GROUP(BadInput_OneEntryOneDaemon) {
  ProcessFleet fleet;
  std::string log_url;
  std::string daemon;
  std::string entry_url;

  void setup() override {
    this->log_url = this->fleet.StartStandin("log", {"log"});
    const auto engine =
        this->fleet.StartStandin("engine", {"engine", "--token-us", "500"});
    this->daemon = this->fleet.StartDaemon("daemon-1", {engine});
    this->entry_url =
        this->fleet.StartEntry("entry-1", this->log_url, {this->daemon});
    CHECK(WaitUntil([this] {
      return Call("GET", this->entry_url + "/readyz").status == 200;
    }));
  }

  void CheckServesRequests() {
    const auto reply = CallJson(
        "POST", this->entry_url + "/v1/requests",
        R"({"model":"proof","prompt":"x","max_tokens":3,"workspace":"mats"})");
    STRCMP_EQUAL("ran", reply.value("verdict", "").c_str());
  }

  /// Sends `bytes` to the internal port of `program` and checks that the
  /// connection is closed and that the program logs `reason`.
  void CheckRejected(const std::string& program, const std::string& bytes,
                     const std::string& reason) {
    const auto before =
        CountOccurrences(this->fleet.ReadLogFile(program), reason);
    RawPeer peer(this->fleet.Port(program, "internal"));
    peer.Write(bytes);
    CHECK_TEXT(peer.WaitForClose(), reason.c_str());
    CHECK_TEXT(WaitUntil([&] {
                 return CountOccurrences(this->fleet.ReadLogFile(program),
                                         reason) > before;
               }),
               reason.c_str());
  }

  HttpReply Post(const std::string& path, const std::string& body) {
    return Call("POST", this->entry_url + path, body);
  }
};

// Guards against a process that terminates or hangs after a malformed frame, or
// that continues to read the stream although it cannot locate the next frame.
TEST(BadInput_OneEntryOneDaemon, MalformedFramesCloseOnlyTheirConnection) {
  using messages::MessageType;
  for (const char* program : {"daemon-1", "entry-1"}) {
    this->CheckRejected(program, std::string(kFrameHeaderBytes, '\xff'),
                        "exceeds the limit");
    this->CheckRejected(program, RawFrame(static_cast<MessageType>(9999), ""),
                        "frame type 9999 is unknown");
    this->CheckRejected(program, RawFrame(MessageType::kRulesQuery, "abc"),
                        "message is truncated");
  }
  const std::string huge_size = "\xff\xff\xff\x7f";
  for (const auto type : {MessageType::kExecute, MessageType::kRevoke,
                          MessageType::kConfirmResults}) {
    this->CheckRejected("daemon-1", RawFrame(type, huge_size),
                        "container size exceeds the message");
  }
  this->CheckRejected("daemon-1",
                      RawFrame(MessageType::kRulesPush, "version." + huge_size),
                      "container size exceeds the message");
  this->CheckServesRequests();
}

// Guards against connections with incomplete frames that block others, or for
// which memory is allocated although the body never arrives.
TEST(BadInput_OneEntryOneDaemon, IncompleteFramesBlockNoOtherConnection) {
  const auto before = this->fleet.ResidentBytes("daemon-1");
  std::vector<std::unique_ptr<RawPeer>> peers;
  const std::string frame = RawFrame(messages::MessageType::kExecute,
                                     std::string(kMaximumFrameBytes - 1, 'x'));
  constexpr int kPeers = 40;
  for (int i = 0; i < kPeers; ++i) {
    for (const char* program : {"daemon-1", "entry-1"}) {
      peers.push_back(
          std::make_unique<RawPeer>(this->fleet.Port(program, "internal")));
      peers.back()->Write(frame.substr(0, i % 2 == 0 ? 5 : 20));
    }
  }
  this->CheckServesRequests();
  const auto after = this->fleet.ResidentBytes("daemon-1");
  constexpr std::uint64_t kMaximumGrowthBytes = 48u << 20;
  CHECK_TEXT(after < before + kMaximumGrowthBytes,
             std::to_string(after - before).c_str());
  peers.clear();
  this->CheckServesRequests();
}

// Guards against an entry that terminates because of one malformed body, and
// against errors that do not name the malformed field.
TEST(BadInput_OneEntryOneDaemon, MalformedBodiesAreRefusedNamingTheField) {
  const auto check = [this](const std::string& path, const std::string& body,
                            const std::string& expected_text) {
    const auto reply = this->Post(path, body);
    CHECK_EQUAL_TEXT(400, reply.status, body.c_str());
    STRCMP_CONTAINS(expected_text.c_str(), reply.body.c_str());
    STRCMP_CONTAINS("\"not_run\"", reply.body.c_str());
  };
  check("/v1/requests", "[", "not a JSON object");
  check("/v1/requests", R"({"model":5,"prompt":"x","workspace":"w"})", "model");
  check("/v1/requests",
        R"({"model":"proof","prompt":"x","workspace":"w",)"
        R"("max_tokens":4294967300})",
        "max_tokens");
  const std::string header = R"({"model":"proof","workspace":"w"})";
  check("/v1/batches", "", "line 1");
  check("/v1/batches", R"({"model":5,"workspace":"w"})", "model");
  check("/v1/batches", R"({"model":"m","workspace":"w","due_in_ms":"1"})",
        "due_in_ms");
  check("/v1/batches", R"({"model":"m","workspace":"w","due_in_ms":1e300})",
        "due_in_ms");
  check("/v1/batches", header + "\n{\"prompt\":7}", "line 2");
  check("/v1/batches", header + "\n{\"prompt\":\"a\",\"max_tokens\":-1}",
        "max_tokens");
  check("/v1/drain", R"({"endpoint":5})", "endpoint");
  this->CheckServesRequests();
}

// Guards against an entry that terminates, or that reconnects without backoff,
// when a daemon sends malformed frames.
TEST(BadInput_OneEntryOneDaemon, MalformedFramesFromADaemonDoNotStopTheEntry) {
  MalformedFrameDaemon malformed_daemon;
  this->entry_url = this->fleet.StartEntry(
      "entry-2", this->log_url, {this->daemon, malformed_daemon.address()});
  CHECK(
      WaitUntil([&] { return malformed_daemon.accepted_connections() >= 3; }));
  CHECK(WaitUntil([&] {
    return CountOccurrences(this->fleet.ReadLogFile("entry-2"),
                            "frame_rejected") > 0;
  }));
  const int before = malformed_daemon.accepted_connections();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const int reconnects = malformed_daemon.accepted_connections() - before;
  CHECK_TEXT(reconnects < 12, std::to_string(reconnects).c_str());
  this->CheckServesRequests();
}

// Guards against a program that starts although its settings contain errors,
// and thus with other settings than intended.
TEST(BadInput_OneEntryOneDaemon, InvalidSettingsAreReportedWithTheirLine) {
  this->fleet.StartProgram("bad", "crocus-daemon",
                           "name = d\n[endpoint]\nslots = 0\nreplica = x\n");
  CHECK_EQUAL(2, this->fleet.WaitForExit("bad", std::chrono::seconds(10)));
  const std::string log = this->fleet.ReadLogFile("bad");
  STRCMP_CONTAINS("bad.ini:5: [endpoint] slots = \"0\" must be from 1",
                  log.c_str());
  STRCMP_CONTAINS("did you mean [endpoint] replicas", log.c_str());
  STRCMP_CONTAINS("[host] region is required", log.c_str());
}

}  // namespace crocus
