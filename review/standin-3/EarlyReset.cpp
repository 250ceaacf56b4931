// A target answers some long uploads at once with a response without a length,
// and resets the connection in the middle of that response. The part must not
// arrive as a complete response.

#include "Stage.h"

#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr std::size_t UploadBytes = 3U << 20U;
constexpr std::size_t PieceBytes = 16U << 10U;
/// Body of a response to an upload, and the part that is sent before the reset.
constexpr std::size_t AnswerBytes = 5000;
constexpr std::size_t PartBytes = 700;
/// Share of its responses that the faulty target spoils.
constexpr double SpoiledShare = 0.02;
constexpr double RunSeconds = 40;

/// Responses of the faulty target.
struct Spoiler {
  std::atomic<int> Answers{0};
  std::atomic<int> Spoiled{0};

  bool spoilsNext() {
    if (!withTrouble() || Spoiled + 1 > SpoiledShare * Answers)
      return false;
    ++Spoiled;
    return true;
  }
};

std::string unframedHead(const Message &Request) {
  std::string Head = answerHead(Request, 0);
  std::string Length = "Content-Length: 0\r\n";
  Head.replace(Head.find(Length), Length.size(), "Connection: close\r\n");
  return Head;
}

bool isUpload(const Message &Request) {
  return Request.First.find(" /upload") != std::string::npos;
}

/// Sends a part of the response, reads on for `Pause` and resets.
void spoil(Stream &Caller, const Message &Request, double Pause) {
  Caller.send(unframedHead(Request) + std::string(PartBytes, 'a'));
  double End = now() + Pause;
  while (now() < End && !Caller.atEnd())
    Caller.readBytes(PieceBytes, End);
  Caller.close(true);
}

/// Sends an upload in pieces of 16 KiB, one each millisecond, until a response
/// arrives.
std::optional<Message> upload(const Address &To, const std::string &Id) {
  auto Node = Stream::connect(To, To.Ip);
  if (!Node)
    return std::nullopt;
  std::string Request =
      requestText("POST", "work.example", "/upload", Id, 5000, UploadBytes);
  for (std::size_t At = 0; At < Request.size(); At += PieceBytes) {
    if (!Node->send(Request.substr(At, PieceBytes)) || Node->hasInput())
      break;
    sleepFor(0.001);
  }
  return readResponse(*Node, now() + 5);
}

int run(const std::string &Root, const std::string &Folder) {
  Record Log(Folder + "/record.txt");
  Log.line(withTrouble() ? "run with spoiled responses"
                         : "run without spoiled responses");
  Deployment Fleet(Root, {"front", "front", "front", "work", "work", "work"},
                   Log);
  constexpr std::size_t Faulty = 3;
  Spoiler Fault;
  std::vector<std::unique_ptr<Target>> Targets;
  Fleet.start();
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node) {
    auto Answer = [&, Node](Stream &Caller, const Message &Request) {
      if (Node == Faulty)
        ++Fault.Answers;
      if (!isUpload(Request)) {
        Caller.send(answerHead(Request, 4) + "done");
        return;
      }
      // A response without a length that ends in order.
      Caller.send(unframedHead(Request) + std::string(AnswerBytes, 'a'));
      Caller.close();
    };
    auto Head = [&, Node](Stream &Caller, const Message &Request) {
      if (Node != Faulty || !isUpload(Request) || !Fault.spoilsNext())
        return false;
      double Pause = Fault.Spoiled * 7 % 60 / 1000.0;
      Log.line("target: part of a response to " + attemptOf(Request) +
               ", reset after " + std::to_string(Pause) + " s");
      spoil(Caller, Request, Pause);
      ++Fault.Answers;
      return true;
    };
    Targets.push_back(std::make_unique<Target>(
        "i-" + std::to_string(Node), Fleet.service(Node), Fleet.target(Node),
        Fleet.announce(Node), Fleet.zone(Node), Answer, Head));
  }
  Fleet.configure({{"r-work", "work.example", "non_idempotent", "work", 5, 2}});
  Fleet.waitReady();
  sleepFor(5);

  double End = now() + RunSeconds;
  std::atomic<int> Whole{0};
  std::atomic<int> Parts{0};
  std::atomic<int> Failed{0};
  std::atomic<int> Short{0};
  std::vector<std::thread> Threads;
  for (std::size_t Client = 0; Client < 9; ++Client)
    Threads.emplace_back([&, Client] {
      for (int Index = 0; now() < End; ++Index) {
        std::string Id =
            "s-" + std::to_string(Client) + "-" + std::to_string(Index);
        Outcome Got =
            call(Fleet.caller(Client % 3),
                 requestText("POST", "work.example", "/short", Id, 5000, 10),
                 now() + 5);
        Short += Got.Status == 200 && Got.Complete;
        sleepFor(0.03);
      }
    });
  for (std::size_t Client = 0; Client < 3; ++Client)
    Threads.emplace_back([&, Client] {
      for (int Index = 0; now() < End; ++Index) {
        std::string Id =
            "u-" + std::to_string(Client) + "-" + std::to_string(Index);
        auto Got = upload(Fleet.caller(Client), Id);
        bool Complete = Got && Got->status() == 200 && Got->Complete;
        bool IsPart = Complete && Got->Body.size() != AnswerBytes;
        ++(IsPart ? Parts : Complete ? Whole : Failed);
        Log.line("client: " + Id + " got " +
                 (Got ? std::to_string(Got->status()) + ", " +
                            std::to_string(Got->Body.size()) + " bytes, " +
                            (Got->Complete ? "complete" : "not complete") +
                            ", length " + Got->field("content-length")
                      : std::string("no response")) +
                 (IsPart ? ": a part as a complete response" : ""));
        sleepFor(0.05);
      }
    });
  for (std::thread &Each : Threads)
    Each.join();

  char Line[240];
  std::snprintf(Line, sizeof(Line),
                "%d of %d responses of the faulty target spoiled; uploads: %d "
                "whole, %d failed, %d got a part as a complete 200; %d short "
                "requests: %s",
                Fault.Spoiled.load(), Fault.Answers.load(), Whole.load(),
                Failed.load(), Parts.load(), Short.load(),
                Parts > 0 ? "MIXED broken" : "rule held");
  Log.line(Line);
  std::puts(Line);
  if (Fleet.ended() > 0 || Whole < 20 ||
      (!withTrouble() && (Failed > 0 || Parts > 0))) {
    Log.line("the run is not sound");
    return 2;
  }
  return Parts > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Words) {
  if (Count != 3)
    return 2;
  ::signal(SIGPIPE, SIG_IGN);
  try {
    return run(Words[1], Words[2]);
  } catch (const CannotRun &Fault) {
    std::puts(("cannot run: " + Fault.Why).c_str());
    return 2;
  }
}
