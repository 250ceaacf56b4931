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

/// Puts the line of the file into a message about a line of a section that
/// the file contains.
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
  // Without a line, the section line is the best place to look at.
  unsigned Line = 1;
  std::from_chars(Message.data() + Source.size(), Message.data() + Open, Line);
  return fmt::format("{}:{}: {}", File, It->fileLine(Line),
                     Message.substr(Open));
}

class Session {
public:
  Session(Options Wanted, Network &Net, std::ostream &Out, std::ostream &Err)
      : Wanted(std::move(Wanted)), Net(Net), Out(Out), Err(Err) {}

  Exit run() {
    if (Wanted.Command == "check")
      return check();
    if (Wanted.Command == "apply")
      return apply();
    if (Wanted.Command == "get")
      return get();
    if (Wanted.Command == "diff")
      return diff();
    if (Wanted.Command == "status")
      return status();
    if (Wanted.Command == "replace-voter")
      return replaceVoter();
    return show();
  }

private:
  Exit check() {
    std::vector<base::FileFault> Faults;
    document::Document::parse(base::readTextFile(Wanted.File), Wanted.File,
                              Faults);
    if (Wanted.Json)
      Out << faultsJson(Faults) << '\n';
    else
      printFaults(Faults);
    return Faults.empty() ? Exit::Ok : Exit::Refused;
  }

  Exit apply() {
    Sections Text;
    if (!Wanted.File.empty())
      Text = readFile();
    std::vector<Change> Changes;
    for (const document::SectionText &Section : Text)
      Changes.push_back({Section.Name,
                         Section.Revision.value_or(base::Revision()).value(),
                         Section.Body, false});
    for (const Deletion &Each : Wanted.Deletions)
      Changes.push_back({Each.Section, Each.Expected.value(), "", true});
    std::string Operation =
        Wanted.Operation.empty() ? base::randomHexId() : Wanted.Operation;
    Err << "operation " << Operation << std::endl;
    Client Server = client();
    HttpReply Reply = Server.apply(applyBody(Operation, Changes));
    return report(Reply, Text);
  }

  Exit report(const HttpReply &Reply, const Sections &Text) {
    if (Wanted.Json)
      Out << Reply.Body << '\n';
    bool Answered = Reply.Status == 200 || Reply.Status == 403 ||
                    Reply.Status == 409 || Reply.Status == 422;
    if (!Answered) {
      Err << "amaranthctl: " << errorText(Reply.Body) << '\n';
      return Exit::Refused;
    }
    ApplyView View = readResult(Reply.Body);
    for (const std::string &Message : View.Messages)
      Err << withFileLine(Message, Wanted.File, Text) << '\n';
    if (Reply.Status == 409)
      return Exit::Conflict;
    if (Reply.Status != 200)
      return Exit::Refused;
    if (!Wanted.Json) {
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
    if (Wanted.Json) {
      Out << Reply.Body << '\n';
      return Exit::Ok;
    }
    Sections Text = readDocument(Reply.Body);
    if (!Wanted.Section.empty()) {
      std::erase_if(Text, [this](const auto &Section) {
        return Section.Name != Wanted.Section;
      });
      if (Text.empty()) {
        Err << fmt::format("amaranthctl: [{}] does not exist\n",
                           Wanted.Section);
        return Exit::Refused;
      }
    }
    Out << document::joinSections(Text);
    return Exit::Ok;
  }

  /// What `apply` of the file would change; other sections are left out.
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
      noteRevision(Section, Old);
    auto Diff = document::diffSections(Old, New);
    Out << (Wanted.Json ? diffJson(Diff) + '\n' : document::formatDiff(Diff));
    return Exit::Ok;
  }

  void noteRevision(const document::SectionText &Section, const Sections &Old) {
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
                         Wanted.File, Section.fileLine(1), Section.Name,
                         Seen.value(), Current.value());
  }

  Exit replaceVoter() {
    Client Server = client();
    HttpReply Reply = Server.postOnce(
        "/v1/replace-voter", replacementBody(Wanted.Lost, Wanted.Replacement));
    if (Reply.Status != 200)
      return refused(Reply);
    if (Wanted.Json)
      Out << Reply.Body << '\n';
    else
      Out << fmt::format("{} is a voter; {} is being removed\n",
                         Wanted.Replacement.value(), Wanted.Lost.value());
    return Exit::Ok;
  }

  /// Asks all servers: each knows only the nodes that follow it.
  Exit status() {
    Client Server = client();
    std::vector<StatusAnswer> Answers;
    bool Any = false;
    for (const ServerReply &Each :
         Server.getAll(Wanted.Stale ? "/v1/status?stale=true" : "/v1/status")) {
      bool Usable = Each.Problem.empty();
      if (Usable && Each.Reply.Status != 200)
        return refused(Each.Reply);
      Any = Any || Usable;
      if (Usable && isStale(Each.Reply.Body))
        Err << "amaranthctl: " << Each.Server << ": the data may be old\n";
      Answers.push_back(
          {Each.Server, Usable ? Each.Reply.Body : "", Each.Problem});
    }
    if (!Any)
      throw Unreachable("no server answered; last problem: " +
                        errorText(Answers.back().Problem));
    std::string Merged = mergeStatus(Answers);
    if (Wanted.Json)
      Out << Merged << '\n';
    else
      printStatus(Out, Merged);
    return Exit::Ok;
  }

  Exit show() {
    std::string Target = "/v1/" + Wanted.Command;
    if (Wanted.Command == "audit")
      Target += fmt::format("?limit={}", Wanted.Limit);
    HttpReply Reply = fetch(Target);
    if (Reply.Status != 200)
      return refused(Reply);
    if (Wanted.Json)
      Out << Reply.Body << '\n';
    else if (Wanted.Command == "versions")
      printVersions(Out, Reply.Body);
    else
      printAudit(Out, Reply.Body);
    return Exit::Ok;
  }

  HttpReply fetch(std::string Target) {
    if (Wanted.Stale)
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
    Sections Result = document::splitSections(base::readTextFile(Wanted.File),
                                              Wanted.File, Faults);
    if (!Faults.empty())
      throw base::FileError(std::move(Faults));
    return Result;
  }

  Client client() {
    if (Wanted.KeyFile.empty())
      throw UsageError("--key-file is required");
    return {Net, Wanted.Servers, base::readSecretFile(Wanted.KeyFile),
            Wanted.Timeout, Err};
  }

  void printFaults(const std::vector<base::FileFault> &Faults) {
    for (const base::FileFault &Fault : Faults)
      Err << Fault.message() << '\n';
  }

  Options Wanted;
  Network &Net;
  std::ostream &Out;
  std::ostream &Err;
};

} // namespace

Exit run(const std::vector<std::string> &Arguments, Network &Net,
         std::ostream &Out, std::ostream &Err) {
  try {
    return Session(parseOptions(Arguments), Net, Out, Err).run();
  } catch (const HelpWanted &Help) {
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
