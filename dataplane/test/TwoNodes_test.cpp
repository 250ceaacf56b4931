#include "MeshFixture.h"

#include <catch2/catch.hpp>

namespace amaranth::dataplane::testing {

class TwoNodesTest : public MeshFixture {
protected:
  TwoNodesTest() : Left(addNode("left")), Right(addNode("right")) {}

  TestNode &Left;
  TestNode &Right;
};

TEST_CASE_METHOD(TwoNodesTest, "Request reaches the upstream of another node") {
  addUpstream(Right);
  auto Result = post(Left, "/echo?x=1", "body");
  runUntil([&] { return Result->Done; });
  CHECK(Result->status() == 200);
  CHECK(Result->body() == "POST /echo?x=1 body");
  // The outcome field of an upstream must not be forwarded as the node's own.
  CHECK_FALSE(Result->has("X-Amaranth-Outcome"));
  CHECK(Result->has("X-Kept: 1"));
}

TEST_CASE_METHOD(TwoNodesTest,
                 "Large bodies are forwarded completely in both directions") {
  addUpstream(Right);
  std::string Body(3'000'000, 'b');
  auto Up = post(Left, "/echo", Body);
  auto Down = get(Left, "/size/3000000");
  runUntil([&] { return Up->Done && Down->Done; });
  CHECK(Up->body() == "POST /echo " + Body);
  CHECK(Down->body().size() == 3'000'000);
}

} // namespace amaranth::dataplane::testing
