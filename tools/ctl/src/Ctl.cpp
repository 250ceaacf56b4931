#include "amaranth/ctl/Ctl.h"

#include "Client.h"
#include "Options.h"
#include "Views.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/IniFile.h"
#include "amaranth/document/Document.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace amaranth::ctl {

namespace {

using Sections = std::vector<document::SectionText>;

/// Replaces the section-relative line number in a server message by the file
/// name and line, if the file contains that section.
std::string withFileLine(const std::string &Message, const std::string &File,
                         const Sections &From) {
  constexpr std::string_view Source = "section:";
  if (!Message.starts_with(Source))
    return Message;
  auto Open = Message.find('[');
  auto Close = Message.find(']');
  if (Open == std::string::npos || Close == std::string::npos || Close < Open)
    return Message;
  std::string Name = Message.substr(Open + 1, Close - Open - 1);
  auto It = std::find_if(From.begin(), From.end(), [&](const auto &Section) {
    return Section.Name == Name;
  });
  if (It == From.end())
    return Message.substr(Open);
  // A message without a line number refers to the line of the section header.
  unsigned Line = 1;
  std::from_chars(Message.data() + Source.size(), Message.data() + Open, Line);
  return fmt::format("{}:{}: {}", File, It->fileLine(Line),
                     Message.substr(Open));
}

class CommandRunner {
public:
  CommandRunner(Options Opts, Network &Net, std::ostream &Out,
                std::ostream &Err)
      : Opts(std::move(Opts)), Net(Net), Out(Out), Err(Err) {}

  Exit run() {
    if (Opts.Command == "check")
      return check();
    if (Opts.Command == "apply")
      return apply();
    if (Opts.Command == "get")
      return get();
    if (Opts.Command == "diff")
      return diff();
    if (Opts.Command == "status")
      return status();
    if (Opts.Command == "replace-voter")
      return replaceVoter();
    if (Opts.Command == "lift-quarantine")
      return liftQuarantine();
    if (Opts.Command == "evacuate")
      return evacuate();
    return query();
  }

private:
  Exit check() {
    std::vector<base::FileFault> Faults;
    document::Document::parse(base::readTextFile(Opts.File), Opts.File, Faults);
    if (Opts.Json)
      Out << faultsJson(Faults) << '\n';
    else
      printFaults(Faults);
    return Faults.empty() ? Exit::Ok : Exit::Refused;
  }

  Exit apply() {
    Sections Text;
    if (!Opts.File.empty())
      Text = readFile();
    std::vector<Change> Changes;
    for (const document::SectionText &Section : Text)
      Changes.push_back({Section.Name,
                         Section.Revision.value_or(base::Revision()).value(),
                         Section.Body, false});
    for (const Deletion &Each : Opts.Deletions)
      Changes.push_back({Each.Section, Each.Expected.value(), "", true});
    std::string Operation =
        Opts.Operation.empty() ? base::randomHexId() : Opts.Operation;
    Err << "operation " << Operation << std::endl;
    Client Server = client();
    HttpReply Reply = Server.apply(applyBody(Operation, Changes));
    return report(Reply, Text);
  }

  Exit report(const HttpReply &Reply, const Sections &Text) {
    if (Opts.Json)
      Out << Reply.Body << '\n';
    bool HasApplyResult = Reply.Status == 200 || Reply.Status == 403 ||
                          Reply.Status == 409 || Reply.Status == 422;
    if (!HasApplyResult) {
      Err << "amaranthctl: " << errorText(Reply.Body) << '\n';
      return Exit::Refused;
    }
    ApplyResult View = readApplyResult(Reply.Body);
    for (const std::string &Message : View.Messages)
      Err << withFileLine(Message, Opts.File, Text) << '\n';
    if (Reply.Status == 409)
      return Exit::Conflict;
    if (Reply.Status != 200)
      return Exit::Refused;
    if (!Opts.Json) {
      Out << "document " << View.Document << '\n';
      for (const auto &[Section, Revision] : View.Revisions)
        Out << fmt::format("[{}] revision {}\n", Section, Revision);
    }
    return Exit::Ok;
  }

  Exit get() {
    HttpReply Reply = fetch("/v1/document");
    if (Reply.Status != 200)
      return refused(Reply);
    if (Opts.Json) {
      Out << Reply.Body << '\n';
      return Exit::Ok;
    }
    Sections Text = readDocument(Reply.Body);
    if (!Opts.Section.empty()) {
      std::erase_if(Text, [this](const auto &Section) {
        return Section.Name != Opts.Section;
      });
      if (Text.empty()) {
        Err << fmt::format("amaranthctl: [{}] does not exist\n", Opts.Section);
        return Exit::Refused;
      }
    }
    Out << document::joinSections(Text);
    return Exit::Ok;
  }

  /// Prints what `apply` would change. Sections that are not in the file are
  /// omitted.
  Exit diff() {
    Sections New = readFile();
    HttpReply Reply = fetch("/v1/document");
    if (Reply.Status != 200)
      return refused(Reply);
    Sections Old = readDocument(Reply.Body);
    std::erase_if(Old, [&New](const auto &Section) {
      return std::none_of(New.begin(), New.end(), [&](const auto &Other) {
        return Other.Name == Section.Name;
      });
    });
    for (const document::SectionText &Section : New)
      warnOnRevisionMismatch(Section, Old);
    auto Diff = document::diffSections(Old, New);
    Out << (Opts.Json ? diffJson(Diff) + '\n' : document::formatDiff(Diff));
    return Exit::Ok;
  }

  void warnOnRevisionMismatch(const document::SectionText &Section,
                              const Sections &Old) {
    auto It = std::find_if(Old.begin(), Old.end(), [&](const auto &Other) {
      return Other.Name == Section.Name;
    });
    base::Revision Current = It == Old.end()
                                 ? base::Revision()
                                 : It->Revision.value_or(base::Revision());
    base::Revision Seen = Section.Revision.value_or(base::Revision());
    if (Current != Seen)
      Err << fmt::format("{}:{}: [{}] revision: {} in the file, {} at the "
                         "server\n",
                         Opts.File, Section.fileLine(1), Section.Name,
                         Seen.value(), Current.value());
  }

  Exit replaceVoter() {
    Client Server = client();
    HttpReply Reply = Server.postOnce(
        "/v1/replace-voter", replacementBody(Opts.Lost, Opts.Replacement));
    if (Reply.Status != 200)
      return refused(Reply);
    if (Opts.Json)
      Out << Reply.Body << '\n';
    else
      Out << fmt::format("{} is a voter; {} is being removed\n",
                         Opts.Replacement.value(), Opts.Lost.value());
    return Exit::Ok;
  }

  Exit liftQuarantine() {
    Client Server = client();
    HttpReply Reply = Server.postOnce("/v1/lift-quarantine",
                                      fingerprintBody(Opts.Fingerprint));
    if (Reply.Status != 200)
      return refused(Reply);
    if (Opts.Json)
      Out << Reply.Body << '\n';
    else
      Out << fmt::format("request {} is served again\n", Opts.Fingerprint);
    return Exit::Ok;
  }

  Exit evacuate() {
    Client Server = client();
    const char *Path = Opts.Finish ? "/v1/evacuate/finish" : "/v1/evacuate";
    // The order is idempotent, so it is sent again until it is acknowledged.
    HttpReply Reply = Server.post(Path, zoneBody(Opts.Zone));
    if (Reply.Status != 200)
      return refused(Reply);
    std::string Message = messageText(Reply.Body);
    if (Opts.Json)
      Out << Reply.Body << '\n';
    else
      Out << fmt::format("zone {} {}{}\n", Opts.Zone,
                         Opts.Finish ? "is taken back" : "is evacuated",
                         Message.empty() ? "" : ": " + Message);
    return Exit::Ok;
  }

  /// Queries all servers, because each knows only the nodes that follow it.
  Exit status() {
    Client Server = client();
    std::vector<StatusResponse> Responses;
    bool Any = false;
    for (const ServerReply &Each :
         Server.getAll(Opts.Stale ? "/v1/status?stale=true" : "/v1/status")) {
      bool Usable = Each.Problem.empty();
      if (Usable && Each.Reply.Status != 200)
        return refused(Each.Reply);
      Any = Any || Usable;
      if (Usable && isStale(Each.Reply.Body))
        Err << "amaranthctl: " << Each.Server << ": the data may be old\n";
      Responses.push_back(
          {Each.Server, Usable ? Each.Reply.Body : "", Each.Problem});
    }
    if (!Any)
      throw Unreachable("no server answered; last problem: " +
                        errorText(Responses.back().Problem));
    std::string Merged = mergeStatus(Responses);
    if (Opts.Json)
      Out << Merged << '\n';
    else
      printStatus(Out, Merged);
    return Exit::Ok;
  }

  Exit query() {
    std::string Target = "/v1/" + Opts.Command;
    if (Opts.Command == "audit")
      Target += fmt::format("?limit={}", Opts.Limit);
    HttpReply Reply = fetch(Target);
    if (Reply.Status != 200)
      return refused(Reply);
    if (Opts.Json)
      Out << Reply.Body << '\n';
    else if (Opts.Command == "versions")
      printVersions(Out, Reply.Body);
    else
      printAudit(Out, Reply.Body);
    return Exit::Ok;
  }

  HttpReply fetch(std::string Target) {
    if (Opts.Stale)
      Target +=
          Target.find('?') == std::string::npos ? "?stale=true" : "&stale=true";
    Client Server = client();
    HttpReply Reply = Server.get(Target);
    if (Reply.Status == 200 && isStale(Reply.Body))
      Err << "amaranthctl: the server's data may be old\n";
    return Reply;
  }

  Exit refused(const HttpReply &Reply) {
    Err << "amaranthctl: " << errorText(Reply.Body) << '\n';
    return Exit::Refused;
  }

  /// Throws `base::FileError`.
  Sections readFile() const {
    std::vector<base::FileFault> Faults;
    Sections Result = document::splitSections(base::readTextFile(Opts.File),
                                              Opts.File, Faults);
    if (!Faults.empty())
      throw base::FileError(std::move(Faults));
    return Result;
  }

  Client client() {
    if (Opts.KeyFile.empty())
      throw UsageError("--key-file is required");
    return {Net, Opts.Servers, base::readSecretFile(Opts.KeyFile), Opts.Timeout,
            Err};
  }

  void printFaults(const std::vector<base::FileFault> &Faults) {
    for (const base::FileFault &Fault : Faults)
      Err << Fault.message() << '\n';
  }

  Options Opts;
  Network &Net;
  std::ostream &Out;
  std::ostream &Err;
};

} // namespace

Exit run(const std::vector<std::string> &Arguments, Network &Net,
         std::ostream &Out, std::ostream &Err) {
  try {
    return CommandRunner(parseOptions(Arguments), Net, Out, Err).run();
  } catch (const HelpRequested &Help) {
    Out << Help.what();
    return Exit::Ok;
  } catch (const UsageError &Failure) {
    Err << Failure.what() << '\n';
    return Exit::Usage;
  } catch (const Unreachable &Failure) {
    Err << "amaranthctl: " << Failure.what() << '\n';
    return Exit::Unreachable;
  } catch (const UnknownOutcome &Failure) {
    Err << "amaranthctl: " << Failure.what() << '\n';
    return Exit::UnknownOutcome;
  } catch (const base::Error &Failure) {
    Err << Failure.what() << '\n';
    return Exit::Refused;
  }
}

} // namespace amaranth::ctl
