#include "Seed.h"
#include "amaranth/document/Diff.h"
#include "amaranth/document/Document.h"
#include "amaranth/document/UtcTime.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

namespace amaranth::document {

static const std::string Valid = R"([route booking]
owner = studio
path = /booking
service = programari
timeout = 2s
require-idempotency-key = true

[service programari]
owner = studio
version = v1
[version programari/v1]
owner = studio
[version programari/v2]
owner = studio
note = new calendar
[rollout programari]
owner = studio
from = v1
to = v2
start = 2026-12-04T06:00:00Z
deadline = 2026-12-04T08:00:00Z
steps = 1, 50%, 100
)";

class DocumentTest {
protected:
  Document parse(const std::string &Text) {
    Faults.clear();
    return Document::parse(Text, "d.ini", Faults);
  }

  static std::string validTextWith(const std::string &Old,
                                   const std::string &New) {
    std::string Text = Valid;
    return Text.replace(Text.find(Old), Old.size(), New);
  }

  /// Whether the message of any fault contains `Part`.
  bool hasFault(const std::string &Part) {
    return std::any_of(Faults.begin(), Faults.end(), [&](const auto &Fault) {
      return Fault.message().find(Part) != std::string::npos;
    });
  }

  std::string messages() { return base::FileError(Faults).what(); }

  std::vector<base::FileFault> Faults;
};

TEST_CASE_METHOD(DocumentTest, "Document valid text is parsed") {
  Document Parsed = parse(Valid);
  INFO(messages());
  REQUIRE(Faults.empty());
  const auto &Rollout = Parsed.rollouts().at(base::ServiceName("programari"));
  CHECK(Rollout.Steps ==
        std::vector<std::uint32_t>{10'000, 500'000, 1'000'000});
  CHECK(Rollout.Deadline - Rollout.Start == base::Millis::seconds(7200));
  CHECK(Parsed.routes().begin()->second.Value.RequireIdempotencyKey);
}

TEST_CASE_METHOD(DocumentTest, "Document each fault names line and key") {
  struct Case {
    std::string Old, New, Message;
  };
  const std::vector<Case> Cases = {
      {"timeout = 2s", "timeout = 2", "d.ini:5: [route booking] timeout: '2'"},
      {"timeout = 2s", "timeout = 0s", "timeout: expected 1ms to 1h"},
      {"timeout = 2s", "timeout = 2s\ntimout = 1s",
       "d.ini:6: [route booking] timout: unknown key"},
      {"timeout = 2s", "timeout = 2s\ntimeout = 3s", "duplicate key"},
      {"service = programari", "service = x",
       "d.ini:4: [route booking] service: [service x] does not exist"},
      {"path = /booking", "path = booking",
       "d.ini:3: [route booking] path: expected"},
      {"[service programari]", "[servise programari]",
       "unknown kind of section"},
      {"[version programari/v1]", "[version programari]",
       "expected [version SERVICE/ID]"},
      {"version = v1", "version = v9",
       "d.ini:10: [service programari] version: [version programari/v9]"},
      {"to = v2", "to = v1",
       "d.ini:19: [rollout programari] to: the same version"},
      {"to = v2", "to = v3", "[version programari/v3] does not exist"},
      {"08:00:00Z", "05:00:00Z", "deadline: the deadline must be after"},
      {"08:00:00Z", "06:00:10Z", "deadline: 10s after the start"},
      {"2026-12-04T08:00:00Z", "2026-02-30T08:00:00Z", "is no UTC time"},
      {"steps = 1, 50%, 100", "steps = 5, 1, 100", "the steps must rise"},
      {"steps = 1, 50%, 100", "steps = 1, x, 100", "'x' is no percentage"},
      {"steps = 1, 50%, 100", "risk = low", "risk: 'low' is not one of"},
      {"[route booking]", "[route " + std::string(65, 'a') + "]", "is no name"},
      {"[route booking]", "[route b/c]", "'b/c' is no name"},
      {"[route booking]", "[route booking", "a section line must end"},
      {"[route booking]", "x = 1\n[route booking]", "before the first section"},
      {"timeout = 2s", "timeout = 2s\npublic = yes", "public: 'yes' is"},
      {"version = v1", "version = v1\ncold-period = 2h",
       "cold-period: expected 0s to 1h"},
      {"version = v1", "version = v1\ncold-requests-per-second = -1",
       "cold-requests-per-second: '-1' is no number"},
      {"[service programari]", "[route booking]\n[service programari]",
       "d.ini:8: [route booking] duplicate section"},
      {"[service programari]",
       "[route b]\nowner = t\npath = /booking\nservice = programari\ntimeout = "
       "1s\n[service programari]",
       "[route booking] path: route b has the path /booking already"},
  };
  for (const Case &Each : Cases) {
    parse(validTextWith(Each.Old, Each.New));
    INFO(messages());
    CHECK(hasFault(Each.Message));
  }
}

TEST_CASE_METHOD(DocumentTest, "Document all faults are reported at once") {
  parse("[route a]\npath = x\ntimeout = 5\n[rollout s]\nfrom = a\nto = a\n");
  INFO(messages());
  for (const char *Part :
       {"[route a] owner: the key", "[route a] path: ", "[route a] service:",
        "timeout: '5'", "[rollout s] to: the same", "start: the key",
        "[rollout s] [service s] does not exist"})
    CHECK(hasFault(Part));
}

TEST_CASE_METHOD(DocumentTest, "Document too many versions are rejected") {
  std::string Text = Valid;
  for (unsigned I = 0; I < MaxVersionsPerService; ++I)
    Text += "[version programari/n" + std::to_string(I) + "]\nowner = t\n";
  parse(Text);
  CHECK(hasFault("[service programari] 66 versions, the limit is 64"));
}

TEST_CASE_METHOD(DocumentTest,
                 "Document body with a section line is rejected") {
  Document::parse({{"service a", "owner = t\n[service b]\n", {}, {}}}, "apply",
                  Faults);
  CHECK(hasFault("apply:3: [service a] the body of a section contains"));
}

TEST_CASE_METHOD(DocumentTest, "fillMesh shares follow the rollout") {
  Document Parsed = parse(Valid);
  base::ServiceName Name("programari");
  RolloutTrafficMap Traffic;
  Traffic[Name] = {base::Revision(4), 2, 10'000, true};
  MeshSnapshot Mesh;
  Parsed.fillMesh(Mesh, Traffic, {});
  CHECK(Mesh.faults().empty());
  CHECK(Mesh.Services[Name].Versions[0].Share == 990'000);
  CHECK(Mesh.Services[Name].Versions[1].Share == 10'000);
  CHECK(Mesh.Services[Name].Rollout.Epoch == 2);
  Traffic[Name] = {base::Revision(4), 3, 0, false};
  MeshSnapshot After;
  Parsed.fillMesh(After, Traffic, {{Name, base::VersionName("v2")}});
  CHECK(After.faults().empty());
  CHECK(After.Services[Name].Versions[1].Barred);
  CHECK_FALSE(After.Services[Name].HasRollout);
}

TEST_CASE_METHOD(DocumentTest, "splitSections parses joined text") {
  auto Sections = splitSections(Valid, "d.ini", Faults);
  REQUIRE(Sections.size() == 5);
  Sections[1].Revision = base::Revision(7);
  auto Again = splitSections(joinSections(Sections), "d.ini", Faults);
  CHECK(Faults.empty());
  CHECK(Again[1].Revision == base::Revision(7));
  CHECK(diffSections(Sections, Again).empty());
}

TEST_CASE_METHOD(DocumentTest, "diffSections reports each kind of change") {
  auto Old = splitSections(Valid, "", Faults);
  auto New = splitSections(validTextWith("timeout = 2s", "timeout = 3s") +
                               "[service x]\nowner = t\n",
                           "", Faults);
  New.erase(New.begin() + 1);
  auto Text = formatDiff(diffSections(Old, New));
  CHECK(Text.find("changed [route booking]\n  owner = studio\n") !=
        std::string::npos);
  CHECK(Text.find("- timeout = 2s\n+ timeout = 3s\n") != std::string::npos);
  CHECK(Text.find("added [service x]\n+ owner = t\n") != std::string::npos);
  CHECK(Text.find("removed [service programari]") != std::string::npos);
}

static const std::string DigestA(64, 'a');
static const std::string DigestB(64, 'B');
static const std::string WithCustomers =
    "[customer pulo780]\nowner = studio\nkey-digests = " + DigestB + ", " +
    DigestA +
    "\npriority = 1\nrequests-per-second = 610.5\nburst = 20\n"
    "[customer avion12]\nowner = studio\n" +
    Valid;

TEST_CASE_METHOD(DocumentTest, "fillMesh carries customers and cold limits") {
  std::string Text = WithCustomers;
  Text.insert(Text.find("timeout = 2s"), "public = true\n");
  Text.insert(Text.find("version = v1"),
              "cold-period = 4s\ncold-requests-per-second = 3.5\n");
  Document Parsed = parse(Text);
  INFO(messages());
  REQUIRE(Faults.empty());
  MeshSnapshot Mesh;
  Parsed.fillMesh(Mesh, {}, {});
  CHECK(Mesh.faults().empty());
  REQUIRE(Mesh.Customers.size() == 2);
  const Customer &Entry = Mesh.Customers.at(base::CustomerName("pulo780"));
  REQUIRE(Entry.Keys.size() == 2);
  CHECK(Entry.Keys[0][31] == 0xaa);
  CHECK(Entry.Keys[1][0] == 0xbb);
  CHECK(Entry.Priority == 1);
  CHECK(Entry.RequestsPerSecond == 610.5);
  CHECK(Entry.Burst == 20);
  CHECK(Mesh.Routes.begin()->second.Public);
  CHECK(Mesh.Services.begin()->second.ColdPeriod == base::Millis(4000));
  CHECK(Mesh.Services.begin()->second.ColdRequestsPerSecond == 3.5);
  // An endpoint's change must not copy the customers.
  MeshSnapshot Next;
  Parsed.fillMesh(Next, {}, {});
  CHECK(Next.Customers.sharesWith(Mesh.Customers));
}

// Guards against keys in errors and diffs: an operator may have written a key
// in place of its digest.
TEST_CASE_METHOD(DocumentTest, "Document errors and diffs show no key") {
  std::string Text = WithCustomers;
  Text.insert(Text.find("[customer avion12]"),
              "key-digests = secret-0\nsecret-1==\nsecret-2\n");
  Text.insert(Text.find("[route booking]"), "key-digests = secret-3, " +
                                                DigestA + ", " + DigestA +
                                                "\nburst = -1\n");
  parse(Text);
  INFO(messages());
  for (const char *Part :
       {"d.ini:7: [customer pulo780] key-digests: duplicate key",
        "d.ini:8: [customer pulo780] (hidden): unknown key",
        "d.ini:9: [customer pulo780] expected 'key = value'",
        "[customer avion12] key-digests: part 1 is no digest",
        "[customer avion12] key-digests: part 3 repeats an earlier part",
        "d.ini:13: [customer avion12] burst: '-1' is no number"})
    CHECK(hasFault(Part));
  CHECK(hasFault("d.ini:3: [customer pulo780] key-digests: [customer avion12] "
                 "has a key of this customer already"));
  CHECK_FALSE(hasFault("secret"));
  std::vector<base::FileFault> Ignored;
  auto Old = splitSections(Valid, "", Ignored);
  auto New = splitSections(Text, "", Ignored);
  std::string Shown = formatDiff(diffSections(Old, New));
  INFO(Shown);
  CHECK(Shown.find("secret") == std::string::npos);
  CHECK(Shown.find("+ key-digests = (hidden), " + DigestA) !=
        std::string::npos);
  CHECK(Shown.find("+ priority = 1\n") != std::string::npos);
}

// Guards against malformed operator input that crashes control processes.
TEST_CASE_METHOD(DocumentTest, "Document corrupted text never crashes") {
  unsigned Seed = testing::seed();
  INFO(testing::reproductionHint(Seed));
  std::mt19937 Random(Seed);
  for (unsigned Round = 0; Round < 1500; ++Round) {
    std::string Text = Round % 2 == 0 ? Valid : WithCustomers;
    for (unsigned Change = 0; Change < 1 + Round % 5; ++Change) {
      std::size_t At = Random() % Text.size();
      if (Random() % 2 == 0)
        Text[At] = static_cast<char>(Random());
      else
        Text.erase(At, Random() % 40);
    }
    Document Parsed = parse(Text);
    if (!Faults.empty())
      continue;
    MeshSnapshot Mesh;
    Parsed.fillMesh(Mesh, {}, {});
    CHECK(Mesh.faults().empty());
  }
}

TEST_CASE("parseUtcTime and formatUtcTime are inverse") {
  auto Time = parseUtcTime("2026-12-04T06:00:00Z");
  REQUIRE(Time.has_value());
  CHECK(Time->count() == 1'796'364'000'000);
  CHECK(formatUtcTime(*Time) == "2026-12-04T06:00:00Z");
  for (const char *Bad : {"", "2026-12-04", "2026-12-04T24:00:00Z",
                          "2026-12-04T06:00:00", "1970-01-01T00:00:00Z"})
    CHECK_FALSE(parseUtcTime(Bad).has_value());
}

} // namespace amaranth::document
