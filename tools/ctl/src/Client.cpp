#include "Client.h"

#include <algorithm>

namespace amaranth::ctl {

namespace {

constexpr base::Millis RetryInterval(500);
/// Keeps one unresponsive server from using up the whole time limit.
constexpr base::Millis MaxTimePerServer = base::Millis::seconds(8);

} // namespace

Client::Client(Network &Net, std::vector<base::Address> Servers,
               std::string Key, base::Millis Timeout, std::ostream &Err)
    : Net(Net), Servers(std::move(Servers)), Key(std::move(Key)),
      Deadline(Net.now() + Timeout), Err(Err) {}

HttpReply Client::get(const std::string &Target) {
  HttpRequest Request{"GET", Target, Key, ""};
  for (const base::Address &Server : Servers) {
    try {
      HttpReply Reply = Net.send(Server, Request, attemptTimeout());
      if (Reply.Status != 503)
        return Reply;
      reportProblem(Server, Reply.Body);
    } catch (const base::Error &Failure) {
      reportProblem(Server, Failure.what());
    }
  }
  throw Unreachable("no server answered; last problem: " + LastProblem);
}

std::vector<ServerReply> Client::getAll(const std::string &Target) {
  HttpRequest Request{"GET", Target, Key, ""};
  std::vector<ServerReply> Result;
  for (const base::Address &Server : Servers) {
    auto Left = static_cast<std::int64_t>(Servers.size() - Result.size());
    base::Millis Share((Deadline - Net.now()).count() / Left);
    ServerReply Each{Server.text(), {}, ""};
    try {
      Each.Reply =
          Net.send(Server, Request,
                   std::clamp(Share, base::Millis(1), MaxTimePerServer));
      if (Each.Reply.Status == 503)
        Each.Problem = Each.Reply.Body;
    } catch (const base::Error &Failure) {
      Each.Problem = Failure.what();
    }
    Result.push_back(std::move(Each));
  }
  return Result;
}

HttpReply Client::post(const std::string &Target, const std::string &Body) {
  HttpRequest Request{"POST", Target, Key, Body};
  bool Sent = false;
  HttpReply Reply;
  do {
    for (const base::Address &Server : Servers) {
      Outcome Result = sendChange(Server, Request, Sent, Reply);
      if (Result == Outcome::Final)
        return Reply;
      Sent = Sent || Result == Outcome::Unknown;
    }
    if (!Sent)
      throw Unreachable("the change was not applied; last problem: " +
                        LastProblem);
    Net.pause(RetryInterval);
  } while (Net.now() < Deadline);
  throw UnknownOutcome("the change may or may not have been applied; last "
                       "problem: " +
                       LastProblem);
}

HttpReply Client::postOnce(const std::string &Target, const std::string &Body) {
  HttpRequest Request{"POST", Target, Key, Body};
  HttpReply Reply;
  for (const base::Address &Server : Servers) {
    switch (sendChange(Server, Request, false, Reply)) {
    case Outcome::Final:
      return Reply;
    case Outcome::Unknown:
      throw UnknownOutcome("the change may or may not have been applied; last "
                           "problem: " +
                           LastProblem);
    case Outcome::NotApplied:
      break;
    }
  }
  throw Unreachable("the change was not applied; last problem: " + LastProblem);
}

Client::Outcome Client::sendChange(const base::Address &Server,
                                   const HttpRequest &Request, bool Sent,
                                   HttpReply &Reply) {
  try {
    Reply = Net.send(Server, Request, attemptTimeout());
  } catch (const Unreachable &Failure) {
    reportProblem(Server, Failure.what());
    return Outcome::NotApplied;
  } catch (const ResponseLost &Failure) {
    reportProblem(Server, Failure.what());
    return Outcome::Unknown;
  }
  // These statuses come from the control state, which returns the result of
  // the first execution whenever an operation id is repeated.
  for (unsigned Status : {200U, 403U, 409U, 422U})
    if (Reply.Status == Status)
      return Outcome::Final;
  if (Reply.Status >= 400 && Reply.Status < 500 && !Sent)
    return Outcome::Final;
  reportProblem(Server, Reply.Body);
  // Any other rejection does not tell whether an earlier attempt was applied.
  bool NotApplied = Reply.Status == 503 || Reply.Status < 500;
  return NotApplied ? Outcome::NotApplied : Outcome::Unknown;
}

base::Millis Client::attemptTimeout() {
  base::Millis Left = Deadline - Net.now();
  return std::clamp(Left, base::Millis(1), MaxTimePerServer);
}

void Client::reportProblem(const base::Address &Server,
                           const std::string &Text) {
  LastProblem = Server.text() + ": " + Text;
  Err << "amaranthctl: " << LastProblem << '\n';
}

} // namespace amaranth::ctl
