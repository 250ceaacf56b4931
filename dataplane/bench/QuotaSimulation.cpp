#include "QuotaSimulation.h"

#include <algorithm>
#include <cmath>

namespace amaranth::dataplane::testing {

namespace {

constexpr std::int64_t ControlInterval = 100;
constexpr std::int64_t WindowMs = 5000;
constexpr std::size_t FrameBytes = 16;

} // namespace

QuotaSimulation::QuotaSimulation(Settings Setup)
    : Options(Setup), Random(Setup.Seed), Nodes(Setup.Nodes) {
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    Nodes[I].Name = "node-" + std::to_string(I);
    Nodes[I].Rate = 1 + Options.ClockError * (2 * uniform() - 1);
    Nodes[I].Offset = static_cast<std::int64_t>(uniform() * 1e6);
    Index[base::NodeId(Nodes[I].Name)] = I;
  }
  for (std::size_t I = 0; I < Nodes.size(); ++I)
    startNode(I);
  at(0, [this] { controlRound(); });
}

QuotaTime QuotaSimulation::time(const Node &At) const {
  auto Local =
      At.Offset + static_cast<std::int64_t>(static_cast<double>(Now) * At.Rate);
  return {base::TimePoint(Local - At.Suspended), base::BootTime(Local)};
}

void QuotaSimulation::startNode(std::size_t I) {
  Node &At = Nodes[I];
  At.Core = std::make_unique<QuotaNode>(
      base::NodeId(At.Name), Random(),
      static_cast<std::uint64_t>(Now + 1) << 16U, time(At).Now);
  At.Pending.clear();
  if (!Customers.empty())
    sendView(I);
  at(Now, [this, I] { wake(I); });
}

std::shared_ptr<const std::vector<QuotaMember>>
QuotaSimulation::members() const {
  std::vector<QuotaMember> Result;
  for (std::size_t J = 0; J < Nodes.size(); ++J)
    Result.push_back(
        {base::NodeId("node-" + std::to_string(J)),
         {"10.0.0.1", static_cast<std::uint16_t>(J)},
         base::AvailabilityZone("zone-" + std::to_string(J % Options.Zones)),
         Nodes[J].Live});
  return std::make_shared<const std::vector<QuotaMember>>(std::move(Result));
}

void QuotaSimulation::sendView(std::size_t I) { sendView(I, members()); }

void QuotaSimulation::sendViews() {
  auto Members = members();
  for (std::size_t I = 0; I < Nodes.size(); ++I)
    sendView(I, Members);
}

void QuotaSimulation::sendView(
    std::size_t I, std::shared_ptr<const std::vector<QuotaMember>> Members) {
  auto Lag = static_cast<std::int64_t>(uniform() *
                                       static_cast<double>(Options.MaxViewLag));
  auto Apply = [this, I, Members, Listed = Customers] {
    Nodes[I].Core->setMembers(*Members, time(Nodes[I]).Now);
    Nodes[I].Core->setCustomers(Listed, time(Nodes[I]).Now);
  };
  // A node that starts gets its first view before it serves.
  if (Nodes[I].Pending.empty() && Lag == 0)
    Apply();
  else
    at(Now + Lag, [this, I, Apply] {
      if (Nodes[I].Part == 0)
        deliver(I, 0, Apply);
    });
}

void QuotaSimulation::setCustomers(std::vector<document::Customer> Listed) {
  Customers = std::move(Listed);
  sendViews();
}

void QuotaSimulation::controlRound() {
  bool Changed = false;
  for (std::size_t I = 0; I < Nodes.size() && !ControlIsDown; ++I) {
    Node &At = Nodes[I];
    bool Lost = At.Down || At.StoppedUntil > Now || At.Part != 0;
    if (!Lost)
      At.LostSince = -1;
    else if (At.LostSince < 0)
      At.LostSince = Now;
    bool Live =
        !At.Draining && (!Lost || Now - At.LostSince < Options.ControlLease);
    Changed = Changed || Live != At.Live;
    At.Live = Live;
    if (!Lost)
      At.Core->onControlContact(time(At).Now);
  }
  if (Changed)
    sendViews();
  at(Now + ControlInterval, [this] { controlRound(); });
}

std::int64_t QuotaSimulation::delay() {
  return Options.MinDelay +
         static_cast<std::int64_t>(
             uniform() *
             static_cast<double>(Options.MaxDelay - Options.MinDelay + 1));
}

void QuotaSimulation::deliver(std::size_t To, int FromPart,
                              std::function<void()> Action) {
  Node &At = Nodes[To];
  if (At.Down || At.Part != FromPart)
    return;
  if (At.StoppedUntil > Now)
    At.Inbox.push_back(std::move(Action));
  else
    Action();
}

void QuotaSimulation::collect(std::size_t I) {
  Node &At = Nodes[I];
  for (const QuotaNode::Decision &Each : At.Core->takeDecisions()) {
    auto Found = At.Pending.find(Each.Request);
    if (Found == At.Pending.end())
      continue;
    Result &Into = Results[Found->second];
    if (Each.Verdict.Admitted)
      Into.AdmittedAt.push_back(Now);
    else
      ++Into.Refused;
    At.Pending.erase(Found);
  }
  for (QuotaNode::Outgoing &Each : At.Core->takeMessages()) {
    ++Messages;
    if (CountBytes)
      Bytes += encode(Each.Message).size() + FrameBytes;
    if (uniform() < Options.Loss)
      continue;
    std::size_t To = Index.at(Each.To);
    QuotaNode *Sender = At.Core.get();
    at(Now + delay(), [this, I, To, Sender, Part = At.Part,
                       Message = std::move(Each.Message)] {
      deliver(To, Part, [this, I, To, Sender, Message] {
        QuotaGrant Grant = Nodes[To].Core->onRequest(
            base::NodeId(Nodes[I].Name), Message, time(Nodes[To]));
        collect(To);
        if (Grant.empty())
          return;
        ++Messages;
        if (CountBytes)
          Bytes += encode(Grant).size() + FrameBytes;
        if (uniform() < Options.Loss)
          return;
        at(Now + delay(), [this, I, To, Sender, Part = Nodes[To].Part, Grant] {
          deliver(I, Part, [this, I, To, Sender, Grant] {
            if (Nodes[I].Core.get() != Sender)
              return;
            Nodes[I].Core->onGrant(base::NodeId(Nodes[To].Name), Grant,
                                   time(Nodes[I]));
            collect(I);
          });
        });
      });
    });
  }
  std::int64_t Next =
      Now + std::max<std::int64_t>(
                1, (At.Core->wakeTime(time(At).Now) - time(At).Now).count());
  if (At.WakeAt <= Now || Next < At.WakeAt) {
    At.WakeAt = Next;
    at(Next, [this, I, Next] {
      if (Nodes[I].WakeAt == Next)
        wake(I);
    });
  }
}

void QuotaSimulation::wake(std::size_t I) {
  Node &At = Nodes[I];
  if (At.Down || At.StoppedUntil > Now)
    return;
  At.WakeAt = 0;
  At.Core->advance(time(At));
  collect(I);
}

void QuotaSimulation::arrive(std::size_t I,
                             const document::Customer &Customer) {
  constexpr base::Millis MaxWait = base::Millis(150);
  Node &At = Nodes[I];
  if (At.Down || At.StoppedUntil > Now)
    return;
  ++Results[Customer.Name].Requests;
  std::uint64_t Id = At.Core->request(Customer, MaxWait, time(At));
  At.Pending.emplace(Id, Customer.Name);
  collect(I);
}

void QuotaSimulation::load(const document::Customer &Customer, double PerSecond,
                           std::vector<std::size_t> At, std::int64_t Until,
                           double Within) {
  QuotaBucket Allowed({Customer.RequestsPerSecond * Within,
                       std::max(1.0, Customer.Burst * Within)},
                      base::TimePoint(Now));
  std::exponential_distribution<> Gap(PerSecond / 1000);
  for (double Time = static_cast<double>(Now) + Gap(Random);
       Time < static_cast<double>(Until); Time += Gap(Random)) {
    auto When = static_cast<std::int64_t>(Time);
    std::size_t Node = At[Random() % At.size()];
    if (Within > 0 && Allowed.take(1, base::TimePoint(When)) == 0)
      continue;
    at(When, [this, Node, Name = Customer.Name] {
      auto Found =
          std::ranges::find(Customers, Name, &document::Customer::Name);
      if (Found != Customers.end())
        arrive(Node, *Found);
    });
  }
}

void QuotaSimulation::run(std::int64_t Until) {
  while (!Events.empty() && Events.top().Time <= Until) {
    Event Next = Events.top();
    Events.pop();
    Now = Next.Time;
    Next.Action();
  }
  Now = Until;
}

void QuotaSimulation::freeze(std::size_t I, std::int64_t Until, bool Suspend) {
  Node &At = Nodes[I];
  if (At.StoppedUntil > Now || At.Down)
    return;
  std::int64_t Length = Until - Now;
  At.StoppedUntil = Until;
  at(Until, [this, I, Length, Suspend] {
    Node &Woken = Nodes[I];
    if (Suspend)
      Woken.Suspended += Length;
    for (auto &Action : std::exchange(Woken.Inbox, {}))
      Action();
    wake(I);
  });
}

void QuotaSimulation::restart(std::size_t I, std::int64_t DownUntil) {
  Node &At = Nodes[I];
  if (At.StoppedUntil > Now || At.Down)
    return;
  At.Down = true;
  at(DownUntil, [this, I] {
    Nodes[I].Down = false;
    startNode(I);
  });
}

void QuotaSimulation::setPart(std::size_t I, int Part) {
  if (Nodes[I].Part == Part)
    return;
  Nodes[I].Part = Part;
  if (Part == 0)
    sendView(I);
}

std::uint64_t QuotaSimulation::worstWindow(const document::Customer &Customer,
                                           std::int64_t From) {
  const auto &Times = Results[Customer.Name].AdmittedAt;
  std::uint64_t Worst = 0;
  for (std::size_t First = 0, Last = 0; Last < Times.size(); ++Last) {
    while (Times[First] <= Times[Last] - WindowMs || Times[First] < From) {
      if (First == Last)
        break;
      ++First;
    }
    if (Times[First] >= From)
      Worst = std::max<std::uint64_t>(Worst, Last - First + 1);
  }
  return Worst;
}

} // namespace amaranth::dataplane::testing
