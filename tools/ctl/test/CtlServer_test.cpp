#include "FakeLog.h"
#include "KeysFile.h"
#include "amaranth/control/OperatorServer.h"
#include "amaranth/ctl/Ctl.h"
#include "amaranth/ctl/HttpNetwork.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <sstream>
#include <thread>

namespace amaranth::ctl {

namespace asio = boost::asio;
using control::FakeLog;

/// Runs a server on its own thread; the client connects over loopback.
class CtlServerTest {
protected:
  CtlServerTest()
      : Keys("[operator ana]\nkey = 0123456789abcdef\nteams = studio\n"),
        Key("0123456789abcdef\n"), Log(Io.get_executor(), State),
        Server(Io.get_executor(), Time, Log, State, Nodes, Members,
               control::OperatorKeys::read(Keys.path()), Metrics,
               {{"127.0.0.1", 0}}) {
    Address = Server.address().text();
    asio::co_spawn(Io, Server.run(), asio::detached);
    Worker = std::thread([this] { Io.run(); });
  }
  ~CtlServerTest() {
    asio::post(Io, [this] { Server.stop(); });
    Worker.join();
  }

  Exit call(std::vector<std::string> Arguments) {
    Out.str("");
    Arguments.insert(Arguments.end(),
                     {"--key-file", Key.path(), "--server",
                      "127.0.0.1:1," + Address, "--timeout", "1s"});
    return run(Arguments, Net, Out, Err);
  }

  /// The mode takes effect before the server reads the next request.
  void setLogMode(FakeLog::Mode Mode) {
    asio::post(Io, [this, Mode] { Log.Behaviour = Mode; });
  }

  bool outHas(const std::string &Part) const {
    return Out.str().find(Part) != std::string::npos;
  }

  control::KeysFile Keys;
  control::KeysFile Key;
  asio::io_context Io;
  base::SystemClock Time;
  control::ControlState State;
  FakeLog Log;
  control::FakeStatusSource Nodes;
  control::FakeMembershipControl Members;
  prometheus::Registry Metrics;
  control::OperatorServer Server;
  std::string Address;
  std::thread Worker;
  HttpNetwork Net;
  std::ostringstream Out;
  std::ostringstream Err;
};

TEST_CASE_METHOD(CtlServerTest, "amaranthctl edits a document over HTTP") {
  control::KeysFile File(
      "[service s]\nowner = studio\nversion = v1\n[version s/v1]\nowner = "
      "studio\n[version s/v2]\nowner = studio\n[rollout s]\nowner = studio\n"
      "from = v1\nto = v2\nstart = 2027-01-15T08:00:00Z\n"
      "deadline = 2027-02-15T08:00:00Z\n");
  REQUIRE(call({"apply", File.path()}) == Exit::Ok);
  CHECK(call({"apply", File.path()}) == Exit::Conflict);
  REQUIRE(call({"get"}) == Exit::Ok);
  control::KeysFile Again(Out.str());
  CHECK(call({"apply", Again.path()}) == Exit::Ok);
  CHECK(call({"versions"}) == Exit::Ok);
  CHECK(outHas("rollout v1 -> v2: waiting at 0 %, deadline 2027-02-15"));
  CHECK(call({"status"}) == Exit::Ok);
  CHECK(outHas("2 follow this process, 1 have document 1"));
  CHECK(call({"audit", "--limit", "1"}) == Exit::Ok);
  CHECK(outHas("ana [version s/v2] 1 -> 1 accepted"));
  CHECK(call({"audit", "--json", "--stale"}) == Exit::Ok);
  CHECK(outHas(R"("stale":true)"));
}

TEST_CASE_METHOD(CtlServerTest,
                 "amaranthctl resend returns the result of a lost response") {
  setLogMode(FakeLog::Mode::AppliedThenTimeout);
  control::KeysFile File("[service s]\nowner = studio\nversion = v1\n"
                         "[version s/v1]\nowner = studio\n");
  CHECK(call({"apply", File.path(), "--operation", "x"}) ==
        Exit::UnknownOutcome);
  setLogMode(FakeLog::Mode::Normal);
  CHECK(call({"apply", File.path(), "--operation", "x"}) == Exit::Ok);
  CHECK(outHas("document 1\n"));
}

TEST_CASE_METHOD(CtlServerTest, "amaranthctl without a leader exits with 3") {
  setLogMode(FakeLog::Mode::NotLeader);
  CHECK(call({"get"}) == Exit::Unreachable);
  CHECK(call({"apply", "--delete", "route x@1"}) == Exit::Unreachable);
  CHECK(call({"get", "--stale"}) == Exit::Ok);
}

} // namespace amaranth::ctl
