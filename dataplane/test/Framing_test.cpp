#include "MeshFixture.h"

#include <catch2/catch.hpp>

namespace amaranth::dataplane::testing {

class FramingTest : public OneNodeFixture {};

// Guards against request smuggling: if the length of a message is ambiguous,
// the bytes after it must not be parsed as a second request.
TEST_CASE_METHOD(FramingTest, "Ambiguous requests are refused with 400") {
  const std::string Hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::vector<std::string> Heads = {
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
      ("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: chunked\r\n\r\n"),
      ("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 4\r\n\r\n"),
      ("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
       "Content-Length: 5\r\n\r\n"),
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
      ("POST / HTTP/1.1\r\nHost: h\r\n"
       "Content-Length: 99999999999999999999\r\n\r\n"),
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\n",
      "GET / HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
  };
  for (const std::string &Head : Heads) {
    INFO(Head);
    auto Result = sendRaw(Head + Hidden);
    CHECK(Result->status() == 400);
    CHECK(Result->Text.find("HTTP/1.1", 8) == std::string::npos);
  }
  CHECK(Upstream.Seen.empty());
}

TEST_CASE_METHOD(FramingTest, "Malformed chunk is answered with 400") {
  for (const char *Chunk :
       {"zz\r\nab\r\n", "-1\r\n", "3\r\nabcd\r\n0\r\n\r\n"}) {
    INFO(Chunk);
    auto Result = sendRaw("POST / HTTP/1.1\r\nHost: h\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n" +
                          std::string(Chunk));
    CHECK(Result->status() == 400);
  }
  CHECK(Upstream.Seen.empty());
}

TEST_CASE_METHOD(FramingTest, "Routes are chosen by host and weights") {
  document::Service Other = Mesh.Services.begin()->second;
  Other.Name = base::ServiceName("other");
  Mesh.Services[Other.Name] = Other;
  Mesh.Routes.clear();
  document::Route Entry;
  Entry.Name = base::RouteName("r");
  Entry.Host = "a.example";
  Entry.PathPrefix = "/x/";
  Entry.Split = {{base::ServiceName("s"), 75}, {Other.Name, 25}};
  Entry.Timeout = base::Millis(10'000);
  Mesh.Routes[Entry.Name] = Entry;
  Snapshots.set(Mesh);
  auto Ask = [this](const std::string &Host) {
    return sendRaw("GET /x/1 HTTP/1.1\r\nHost: " + Host +
                   "\r\nConnection: close\r\n\r\n")
        ->status();
  };
  CHECK(Ask("b.example") == 404);
  int Served = 0;
  for (int I = 0; I < 200; ++I)
    Served += Ask("A.Example:80") == 200 ? 1 : 0;
  // Service "other" has no upstream; its 25 percent of the requests must not be
  // routed to service "s".
  CHECK(Served > 120);
  CHECK(Served < 180);
}

} // namespace amaranth::dataplane::testing
