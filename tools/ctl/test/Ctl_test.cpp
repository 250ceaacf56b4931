#include "KeysFile.h"
#include "amaranth/ctl/Ctl.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <sstream>

namespace amaranth::ctl {

/// Returns scripted responses and records the requests.
class ScriptedNetwork final : public Network {
public:
  using Step = std::function<HttpReply()>;

  HttpReply send(const base::Address &Server, const HttpRequest &Request,
                 base::Millis Timeout) override {
    Sent.emplace_back(Server.text(), Request);
    Now = Now + std::min(Timeout, base::Millis(1000));
    if (Steps.empty())
      throw Unreachable("connection refused");
    Step Next = Steps.front();
    if (Steps.size() > 1 || !Repeat)
      Steps.pop_front();
    return Next();
  }
  base::TimePoint now() override { return Now; }
  void pause(base::Millis Span) override { Now = Now + Span; }

  std::deque<Step> Steps;
  /// Repeats the last step for all further requests.
  bool Repeat = false;
  std::vector<std::pair<std::string, HttpRequest>> Sent;
  base::TimePoint Now;
};

class CtlTest {
protected:
  CtlTest() : Key("0123456789abcdef\n") {}

  Exit call(std::vector<std::string> Arguments) {
    Out.str("");
    Err.str("");
    Arguments.insert(Arguments.end(), {"--key-file", Key.path(), "--server",
                                       "127.0.0.1:1,127.0.0.1:2"});
    return run(Arguments, Net, Out, Err);
  }

  void queueResponse(unsigned Status, const std::string &Body) {
    Net.Steps.emplace_back([=] { return HttpReply{Status, Body}; });
  }
  void loseResponse() {
    Net.Steps.emplace_back(
        []() -> HttpReply { throw ResponseLost("connection reset"); });
  }

  static std::string result(const std::string &Code,
                            const std::string &Message) {
    return R"({"result":")" + Code + R"(","document":9,"messages":[)" +
           Message + R"(],"revisions":{"route x":9}})";
  }

  bool errHas(const std::string &Part) const {
    return Err.str().find(Part) != std::string::npos;
  }

  static constexpr const char *Stored =
      R"({"document":9,"stale":false,"sections":[
      {"section":"route x","revision":7,"body":"owner = t\npath = /x\n"},
      {"section":"service s","revision":3,"body":"owner = t\n"}]})";

  control::KeysFile Key;
  ScriptedNetwork Net;
  std::ostringstream Out;
  std::ostringstream Err;
};

TEST_CASE_METHOD(CtlTest,
                 "amaranthctl exits with 2 on an invalid command line") {
  CHECK(call({}) == Exit::Usage);
  CHECK(call({"remove"}) == Exit::Usage);
  CHECK(call({"apply"}) == Exit::Usage);
  CHECK(call({"apply", "--delete", "route x"}) == Exit::Usage);
  CHECK(call({"apply", "--delete", "route x@0"}) == Exit::Usage);
  CHECK(call({"audit", "--limit", "0"}) == Exit::Usage);
  CHECK(call({"status", "--timeout", "5"}) == Exit::Usage);
  CHECK(run({"status", "--server", "localhost:1"}, Net, Out, Err) ==
        Exit::Usage);
  CHECK(Net.Sent.empty());
}

TEST_CASE_METHOD(CtlTest, "apply sends the revisions that get printed") {
  queueResponse(200, Stored);
  REQUIRE(call({"get"}) == Exit::Ok);
  CHECK(Out.str().find("[route x]\nrevision = 7\nowner = t\n") == 0);
  control::KeysFile File(Out.str() + "[route new]\nowner = t\n");
  queueResponse(200, result("accepted", ""));
  REQUIRE(call({"apply", File.path(), "--operation", "op", "--delete",
                "route a@4", "--delete", "route b@5"}) == Exit::Ok);
  CHECK(errHas("operation op\n"));
  CHECK(Net.Sent.back().second.Key == "0123456789abcdef");
  CHECK(Net.Sent.back().second.Body ==
        R"({"operation":"op","changes":[)"
        R"({"section":"route x","expected":7,"body":"owner = t\npath = /x\n"},)"
        R"({"section":"service s","expected":3,"body":"owner = t\n"},)"
        R"({"section":"route new","expected":0,"body":"owner = t\n"},)"
        R"({"section":"route a","expected":4,"delete":true},)"
        R"({"section":"route b","expected":5,"delete":true}]})");
  CHECK(Out.str() == "document 9\n[route x] revision 9\n");
}

TEST_CASE_METHOD(
    CtlTest, "apply resends an unknown outcome with the same operation id") {
  loseResponse();
  queueResponse(401, R"({"error":"no key"})");
  queueResponse(504, R"({"error":"unknown"})");
  queueResponse(503, R"({"error":"no leader"})");
  queueResponse(200, result("accepted", ""));
  CHECK(call({"apply", "--delete", "route x@7"}) == Exit::Ok);
  REQUIRE(Net.Sent.size() == 5);
  for (const auto &[Server, Request] : Net.Sent)
    CHECK(Request.Body == Net.Sent[0].second.Body);
  CHECK(Net.Sent[0].first != Net.Sent[1].first);
}

TEST_CASE_METHOD(CtlTest, "apply exit codes distinguish the outcomes") {
  std::vector<std::string> Apply = {"apply", "--delete", "route x@7"};
  CHECK(call(Apply) == Exit::Unreachable);
  queueResponse(503, R"({"error":"no leader"})");
  queueResponse(503, R"({"error":"no leader"})");
  CHECK(call(Apply) == Exit::Unreachable);
  queueResponse(409, result("conflict", R"("[route x] has revision 8")"));
  CHECK(call(Apply) == Exit::Conflict);
  CHECK(errHas("[route x] has revision 8"));
  queueResponse(403, result("forbidden", ""));
  CHECK(call(Apply) == Exit::Refused);
  queueResponse(401, R"({"error":"no key"})");
  CHECK(call(Apply) == Exit::Refused);
  loseResponse();
  Net.Repeat = true;
  CHECK(call(Apply) == Exit::UnknownOutcome);
  CHECK(errHas("may or may not have been applied"));
  CHECK(Net.Sent.size() > 10);
}

TEST_CASE_METHOD(CtlTest, "apply reports faults with the line of the file") {
  control::KeysFile File("# comment\n\n[route x]\nrevision = 7\nowner = t\n"
                         "path = x\n");
  queueResponse(422,
                result("invalid", R"("section:3: [route x] path: bad",)"
                                  R"("section: [route x] deadline: late")"));
  CHECK(call({"apply", File.path()}) == Exit::Refused);
  INFO(Err.str());
  CHECK(errHas(File.path() + ":6: [route x] path: bad"));
  CHECK(errHas(File.path() + ":3: [route x] deadline: late"));
}

TEST_CASE_METHOD(CtlTest, "get tries the servers in turn") {
  queueResponse(503, R"({"error":"not current"})");
  queueResponse(200, Stored);
  CHECK(call({"get", "service s"}) == Exit::Ok);
  CHECK(Out.str() == "[service s]\nrevision = 3\nowner = t\n");
  CHECK(Net.Sent[1].first == "127.0.0.1:2");
  queueResponse(200, Stored);
  CHECK(call({"get", "service none"}) == Exit::Refused);
  CHECK(call({"get"}) == Exit::Unreachable);
  queueResponse(200, "not json");
  CHECK(call({"get"}) == Exit::Refused);
}

TEST_CASE_METHOD(CtlTest, "diff shows what apply would change") {
  control::KeysFile File("[route x]\nrevision = 6\nowner = t\npath = /y\n");
  queueResponse(200, Stored);
  CHECK(call({"diff", File.path()}) == Exit::Ok);
  CHECK(Out.str() ==
        "changed [route x]\n  owner = t\n- path = /x\n+ path = /y\n");
  CHECK(errHas("revision: 6 in the file, 7 at the server"));
}

TEST_CASE_METHOD(CtlTest, "check works offline and reports all faults") {
  control::KeysFile File("[route x]\nowner = t\npath = x\ntimeout = 5\n");
  CHECK(call({"check", File.path()}) == Exit::Refused);
  CHECK(errHas(File.path() + ":3: [route x] path: "));
  CHECK(errHas(File.path() + ":4: [route x] timeout: "));
  CHECK(call({"check", File.path(), "--json"}) == Exit::Refused);
  CHECK(Out.str().find(R"("line":4,"section":"route x","key":"timeout")") !=
        std::string::npos);
  control::KeysFile Good("[service s]\nrevision = 4\nowner = t\nversion = v\n"
                         "[version s/v]\nowner = t\n");
  CHECK(call({"check", Good.path()}) == Exit::Ok);
  CHECK(Net.Sent.empty());
}

TEST_CASE_METHOD(CtlTest,
                 "replace-voter is not resent when the outcome is unknown") {
  std::vector<std::string> Call{"replace-voter", "18446744073709551615", "7"};
  CHECK(call({"replace-voter", "0", "7"}) == Exit::Usage);
  CHECK(call({"replace-voter", "1", "x"}) == Exit::Usage);
  CHECK(Net.Sent.empty());
  queueResponse(503, R"({"error":"no leader"})");
  queueResponse(200, "{}");
  CHECK(call(Call) == Exit::Ok);
  REQUIRE(Net.Sent.size() == 2);
  CHECK(Net.Sent[1].second.Target == "/v1/replace-voter");
  CHECK(Net.Sent[1].second.Body ==
        R"({"lost":"18446744073709551615","replacement":"7"})");
  queueResponse(409, R"({"error":"lacks 900 entries"})");
  CHECK(call(Call) == Exit::Refused);
  CHECK(errHas("lacks 900 entries"));
  Net.Sent.clear();
  queueResponse(504, R"({"error":"no answer"})");
  CHECK(call(Call) == Exit::UnknownOutcome);
  loseResponse();
  CHECK(call(Call) == Exit::UnknownOutcome);
  CHECK(Net.Sent.size() == 2);
  CHECK(call(Call) == Exit::Unreachable);
}

TEST_CASE_METHOD(CtlTest, "lift-quarantine sends the fingerprint") {
  CHECK(call({"lift-quarantine", "ab"}) == Exit::Usage);
  CHECK(call({"lift-quarantine", "00000000000000xy"}) == Exit::Usage);
  CHECK(Net.Sent.empty());
  queueResponse(200, "{}");
  CHECK(call({"lift-quarantine", "00000000000000ab"}) == Exit::Ok);
  REQUIRE(Net.Sent.size() == 1);
  CHECK(Net.Sent[0].second.Target == "/v1/lift-quarantine");
  CHECK(Net.Sent[0].second.Body == R"({"fingerprint":"00000000000000ab"})");
  queueResponse(409, R"({"messages":["request ab is not in quarantine"]})");
  CHECK(call({"lift-quarantine", "00000000000000ab"}) == Exit::Refused);
}

// Guards against an order that is given up when its answer is lost.
TEST_CASE_METHOD(CtlTest, "evacuate sends the order until it is acknowledged") {
  CHECK(call({"evacuate"}) == Exit::Usage);
  queueResponse(504, R"({"error":"no answer"})");
  queueResponse(200, R"({"result":"accepted","message":"ordered before"})");
  CHECK(call({"evacuate", "a"}) == Exit::Ok);
  REQUIRE(Net.Sent.size() == 2);
  CHECK(Net.Sent[1].second.Target == "/v1/evacuate");
  CHECK(Net.Sent[1].second.Body == R"({"zone":"a"})");
  CHECK(Out.str().find("zone a is evacuated: ordered before") !=
        std::string::npos);
  queueResponse(422, R"({"error":"no endpoint is in zone b"})");
  CHECK(call({"evacuate", "--finish", "b"}) == Exit::Refused);
  CHECK(Net.Sent.back().second.Target == "/v1/evacuate/finish");
}

/// Returns a status response with one node.
std::string statusOf(const std::string &Self, bool Leader,
                     const std::string &Node, int Heard) {
  return R"({"document":4,"stale":false,"state":8,"self":")" + Self +
         R"(","leader":"1","is_leader":)" + (Leader ? "true" : "false") +
         R"(,"term":2,"applied":9,"commit":9,"since_current_ms":0,"members":[)"
         R"({"id":"1","address":"127.0.0.1:7","voter":false,"match":8}],)"
         R"("nodes":{"document":4,"following":1,"applied":1,)"
         R"("converged_after_ms":null,"list":[{"node":")" +
         Node + R"(","zone":"a","document":4,"state":8,"since_heard_ms":)" +
         std::to_string(Heard) +
         R"(}]},"evacuated":[{"zone":"c","operator":"ana",)"
         R"("since":"2027-01-15T08:00:00Z"}],"quarantine":[{"fingerprint":"00000000000000ab",)"
         R"("service":"plati","convicted":true,"until":"2027-01-15T08:00:00Z"}],)"
         R"("rollouts":[{"service":"plati","from":"v1","to":"v2",)"
         R"("phase":"stepping","share_percent":5,"deadline":"2027-01-16T08:00:00Z",)"
         R"("since":"2027-01-15T08:00:00Z","reason":"guards hold"}]})";
}

TEST_CASE_METHOD(CtlTest, "status merges the nodes of all servers") {
  queueResponse(200, statusOf("2", false, "n1", 5));
  queueResponse(200, statusOf("1", true, "n2", 6));
  REQUIRE(call({"status"}) == Exit::Ok);
  std::string Text = Out.str();
  INFO(Text);
  auto Has = [&](const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  };
  CHECK(Net.Sent.size() == 2);
  CHECK(Has("leader 1, this process 1,"));
  CHECK(Has("member 1 127.0.0.1:7 learner match 8\n"));
  CHECK(Has("node n1 zone a document 4 heard 5 ms ago\n"));
  CHECK(Has("node n2 zone a document 4 heard 6 ms ago\n"));
  CHECK(Has("zone c is evacuated since 2027-01-15T08:00:00Z by ana\n"));
  CHECK(Has("quarantine 00000000000000ab service plati convicted until "
            "2027-01-15T08:00:00Z\n"));
  CHECK(Has("plati: rollout v1 -> v2: stepping at 5 %, deadline "
            "2027-01-16T08:00:00Z, since 2027-01-15T08:00:00Z: guards hold\n"));
  // A node in two lists is shown once, as reported by the server that heard it
  // most recently.
  queueResponse(200, statusOf("2", false, "n1", 900));
  queueResponse(200, statusOf("3", false, "n1", 7));
  REQUIRE(call({"status"}) == Exit::Ok);
  Text = Out.str();
  CHECK(Has("heard 7 ms ago"));
  CHECK_FALSE(Has("heard 900 ms ago"));
  CHECK(Has("match known to the leader"));
}

TEST_CASE_METHOD(CtlTest, "status names the servers that did not answer") {
  queueResponse(200, statusOf("2", false, "n1", 5));
  queueResponse(503, R"({"error":"not current"})");
  REQUIRE(call({"status"}) == Exit::Ok);
  CHECK(Out.str().find("server 127.0.0.1:2 did not answer: not current\n") !=
        std::string::npos);
  queueResponse(200, statusOf("2", false, "n1", 5));
  REQUIRE(call({"status", "--json"}) == Exit::Ok);
  CHECK(Out.str().find(R"({"server":"127.0.0.1:2","answered":false,)"
                       R"("problem":"connection refused"})") !=
        std::string::npos);
  CHECK(call({"status"}) == Exit::Unreachable);
  queueResponse(401, R"({"error":"wrong key"})");
  CHECK(call({"status"}) == Exit::Refused);
}

} // namespace amaranth::ctl
