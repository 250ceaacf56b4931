#include "Simulation.h"

#include "amaranth/control/FollowMessages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace asio = boost::asio;

namespace amaranth::follower::testing {

DelayedChannel::DelayedChannel(
    std::shared_ptr<protocol::testing::MemoryChannel> Inner, base::Clock &Time,
    std::shared_ptr<LinkModel> Model, const asio::any_io_executor &Executor)
    : Inner(std::move(Inner)), Time(Time), Model(std::move(Model)),
      Executor(Executor) {}

asio::awaitable<void> DelayedChannel::send(protocol::MessageType Type,
                                           std::uint64_t Stream,
                                           base::Bytes Payload) {
  if (!isOpen())
    throw protocol::ChannelClosed("closed");
  post(Type, Stream, std::move(Payload));
  co_return;
}

void DelayedChannel::post(protocol::MessageType Type, std::uint64_t Stream,
                          base::Bytes Payload) {
  // Throws on an oversized frame, as a real channel does.
  protocol::encodeFrameHeader(Type, Stream, Payload.size());
  protocol::Frame Message{Type, Stream, std::move(Payload)};
  if (Tamper)
    Tamper(Message);
  if (Model->DropsMessages)
    return;
  auto Transfer = base::Millis(
      static_cast<std::int64_t>(Message.Payload.size() / Model->BytesPerMs));
  base::TimePoint Begin = std::max(Model->IdleAt, Time.now());
  Model->IdleAt = Begin + Transfer;
  base::TimePoint Due = Model->IdleAt + Model->Latency;
  Outgoing->push_back({Begin + Model->Latency, Due});
  asio::co_spawn(
      Executor,
      [To = Inner, &Time = Time, Due, Message]() -> asio::awaitable<void> {
        co_await Time.sleepUntil(Due);
        To->post(Message.Type, Message.Stream, Message.Payload);
      },
      asio::detached);
}

std::optional<base::TimePoint> DelayedChannel::incompleteMessageTime() const {
  base::TimePoint Now = Time.now();
  if (Incoming && std::any_of(Incoming->begin(), Incoming->end(),
                              [Now](const Transfer &Each) {
                                return Each.Begin <= Now && Now < Each.End;
                              }))
    return Now;
  return std::nullopt;
}

asio::awaitable<protocol::Frame> DelayedChannel::receive() {
  co_return co_await Inner->receive();
}

asio::awaitable<base::Bytes> FakeLog::propose(base::Bytes Command,
                                              base::Millis Timeout) {
  ++Proposals;
  if (Behaviour == Mode::NotLeader)
    throw replication::NotLeader("no known leader");
  if (Behaviour == Mode::Hang) {
    co_await Time.sleepFor(Timeout);
    throw base::TimeoutError("no majority answered");
  }
  co_await Time.sleepFor(base::Millis(2));
  control::CommandResult Result = Apply(control::decodeCommand(Command));
  if (Behaviour == Mode::CommitAndHang) {
    co_await Time.sleepFor(Timeout);
    throw base::TimeoutError("no reply from the leader");
  }
  co_return control::encodeResult(Result);
}

asio::awaitable<base::LogIndex> FakeLog::readIndex(base::Millis Timeout) {
  if (!ReadsSucceed) {
    co_await Time.sleepFor(Timeout);
    throw base::TimeoutError("no majority answered");
  }
  co_await Time.sleepFor(base::Millis(1));
  co_return Applied;
}

namespace {

class SimulatedDialer final : public protocol::Dialer {
public:
  SimulatedDialer(Simulation &Owner, protocol::Identity Self)
      : Owner(Owner), Self(std::move(Self)) {}

  asio::awaitable<std::shared_ptr<protocol::Channel>>
  dial(base::Address Peer, base::Millis Timeout) override {
    Simulation::Control &Target = *Owner.Controls.at(Peer.Port);
    Target.DialTimes.push_back(Owner.Time.now());
    base::Millis Needed =
        Target.Hangs ? Timeout + base::Millis(1) : Target.Links->Latency * 3;
    co_await Owner.Time.sleepFor(std::min(Needed, Timeout));
    if (Needed > Timeout)
      throw protocol::ChannelClosed("no connection in time");
    if (Target.Down || Target.Links->DropsMessages)
      throw protocol::ChannelClosed("connection refused");
    auto Executor = Owner.Context.get_executor();
    protocol::Identity Server{Target.PeerRole, "1", {}};
    auto [NodeChannel, ControlChannel] =
        protocol::testing::makeChannelPair(Executor, Self, Server);
    // Each node has its own uplink.
    auto Uplink = std::make_shared<LinkModel>();
    Uplink->Latency = Target.Links->Latency;
    auto NodeEnd = std::make_shared<DelayedChannel>(NodeChannel, Owner.Time,
                                                    Uplink, Executor);
    auto ControlEnd = std::make_shared<DelayedChannel>(
        ControlChannel, Owner.Time, Target.Links, Executor);
    NodeEnd->Incoming = ControlEnd->Outgoing;
    ControlEnd->Tamper = [&Target](protocol::Frame &Message) {
      protocol::MessageType Type = Message.Type;
      if (Type == protocol::MessageType::CompressedUpdate) {
        ++Target.CompressedMessages;
        Type = control::decodeCompressedUpdate(Message.Payload).Type;
      }
      ++Target.SentMessages[Type];
      if (Target.Tamper)
        Target.Tamper(Message);
    };
    Target.OpenChannels.push_back(ControlEnd);
    asio::co_spawn(
        Executor,
        [Service = Target.Service.get(), ControlEnd]()
            -> asio::awaitable<void> { co_await Service->serve(ControlEnd); },
        asio::detached);
    co_return NodeEnd;
  }

private:
  Simulation &Owner;
  protocol::Identity Self;
};

} // namespace

Simulation::Simulation(std::size_t Count, std::uint64_t Seed)
    : Random(Seed), Seed(Seed) {
  Latest = std::make_shared<document::MeshSnapshot>();
  for (std::size_t I = 0; I < Count; ++I)
    addControl();
  commit(true, [](document::MeshSnapshot &) {});
}

std::size_t Simulation::addControl() {
  std::size_t Index = Controls.size();
  auto Process = std::make_unique<Control>();
  Process->Log = std::make_shared<FakeLog>(
      Context.get_executor(), Time,
      [this](const control::Command &Request) { return apply(Request); });
  Process->Log->Leader = Index == 0;
  Process->Metrics = std::make_unique<prometheus::Registry>();
  control::NodeServiceSettings Settings;
  Settings.Seed = Seed + Index + 1;
  Process->Service = std::make_unique<control::NodeService>(
      Settings, Context.get_executor(), Time, *Process->Log,
      [Owner = Process.get()] { return Owner->Mesh; }, *Process->Metrics);
  Process->Log->ToLeader = [this](base::Bytes Message) {
    Controls[0]->Service->receiveReport(Message);
  };
  deliver(*Process);
  Process->Service->start();
  Controls.push_back(std::move(Process));
  return Index;
}

void Simulation::setMembers(const std::vector<std::size_t> &Members) {
  LatestMembers.clear();
  for (std::size_t Index : Members) {
    replication::MemberStatus Member;
    Member.Id = base::ReplicaId(Index + 1);
    Member.Address = address(Index).text();
    Member.Voter = true;
    LatestMembers.push_back(Member);
  }
  commit(false, [](document::MeshSnapshot &) {});
}

Simulation::~Simulation() {
  for (Node &Entry : Nodes)
    Entry.NodeFollower->stop();
  for (auto &Process : Controls)
    Process->Service->stop();
  // Let all coroutines finish while the objects they refer to still exist.
  run(base::Millis::seconds(40));
}

Follower &Simulation::addNode(const std::string &Name,
                              std::set<base::ServiceName> Services) {
  FollowerSettings Settings;
  Settings.Services = std::move(Services);
  std::vector<std::size_t> All(Controls.size());
  std::iota(All.begin(), All.end(), 0);
  return addNode(Name, std::move(Settings), All);
}

Follower &Simulation::addNode(const std::string &Name,
                              FollowerSettings Settings,
                              const std::vector<std::size_t> &Seeds) {
  Settings.Node = base::NodeId(Name);
  Settings.Zone = base::AvailabilityZone("z");
  Settings.Seed = Random();
  for (std::size_t I : Seeds)
    Settings.ControlProcesses.push_back(
        {address(I), base::AvailabilityZone(I == 0 ? "z" : "y")});
  Node Entry;
  Entry.Dial = std::make_unique<SimulatedDialer>(
      *this, protocol::Identity{protocol::Role::Node, Name, Settings.Zone});
  Entry.Metrics = std::make_unique<prometheus::Registry>();
  Entry.NodeFollower = std::make_unique<Follower>(
      Settings, Context.get_executor(), Time, *Entry.Dial, *Entry.Metrics);
  Entry.NodeFollower->start();
  Nodes.push_back(std::move(Entry));
  return *Nodes.back().NodeFollower;
}

void Simulation::removeNode(std::size_t Index) {
  Nodes[Index].NodeFollower->stop();
  run(base::Millis::seconds(6));
  Nodes.erase(Nodes.begin() + static_cast<std::ptrdiff_t>(Index));
}

void Simulation::deliver(Control &Process) {
  Process.Mesh = Latest;
  Process.Log->Applied = base::LogIndex(Latest->State.value());
  Process.Log->Members = LatestMembers;
  Process.Log->changed().notifyAll();
}

void Simulation::commit(
    bool Document,
    const std::function<void(document::MeshSnapshot &)> &Change) {
  auto Next = std::make_shared<document::MeshSnapshot>(*Latest);
  Change(*Next);
  Next->State = base::StateIndex(NextIndex);
  if (Document)
    Next->Document = base::DocumentVersion(NextIndex);
  ++NextIndex;
  Latest = Next;
  deliverAll();
}

void Simulation::deliverAll() {
  for (auto &Process : Controls)
    if (!Process->Lagging)
      deliver(*Process);
}

control::CommandResult
Simulation::applyToStateMachine(const control::Command &Request) {
  base::Bytes Encoded = control::encodeCommand(Request);
  base::LogIndex Index(NextIndex++);
  base::Bytes Result =
      StateMachine->apply({Index, base::Term(1), Time.wallNow(), Encoded});
  Latest = StateMachine->mesh();
  deliverAll();
  return control::decodeResult(Result);
}

void Simulation::updateEndpoint(int Endpoint) {
  commit(false, [&](document::MeshSnapshot &Mesh) {
    ++Mesh.Endpoints.edit().at(endpoint(Endpoint, "").Id).Sequence;
  });
}

void Simulation::deliverLatest(Control &Process) {
  Process.Lagging = false;
  deliver(Process);
}

control::CommandResult Simulation::apply(const control::Command &Request) {
  if (StateMachine)
    return applyToStateMachine(Request);
  control::CommandResult Result;
  Result.Code = control::ResultCode::Accepted;
  if (const auto *Put = std::get_if<control::PutEndpoint>(&Request)) {
    auto Known = Latest->Endpoints.find(Put->Entry.Id);
    if (Known != Latest->Endpoints.end() &&
        std::pair(Known->second.Incarnation, Known->second.Sequence) >=
            std::pair(Put->Entry.Incarnation, Put->Entry.Sequence)) {
      Result.Code = control::ResultCode::Conflict;
      return Result;
    }
    ++EndpointUpdates;
    commit(false, [&](document::MeshSnapshot &Mesh) {
      Mesh.Endpoints[Put->Entry.Id] = Put->Entry;
    });
  }
  if (const auto *Expiry = std::get_if<control::ExpireEndpoints>(&Request))
    commit(false, [&](document::MeshSnapshot &Mesh) {
      for (const auto &Item : Expiry->Items)
        Mesh.Endpoints[Item.Id].State = document::EndpointState::Unreachable;
    });
  return Result;
}

void Simulation::closeConnections(Control &Process, bool Down) {
  Process.Down = Down;
  for (const auto &Link : std::exchange(Process.OpenChannels, {}))
    if (auto Open = Link.lock())
      Open->close("connection closed by the test");
}

void Simulation::dropMessages(Control &Process) {
  Process.Links->DropsMessages = true;
  DroppingSince[&Process] = Time.now();
}

void Simulation::cutPower(Control &Process) {
  Process.Hangs = true;
  dropMessages(Process);
}

void Simulation::closeSilentConnections() {
  for (const auto &[Process, Since] : DroppingSince)
    if (Process->Links->DropsMessages &&
        Time.now() - Since >= protocol::SilenceTimeout)
      closeConnections(*Process, Process->Down);
}

void Simulation::poll() {
  Context.restart();
  Context.poll();
}

void Simulation::run(base::Millis Span) {
  base::TimePoint End = Time.now() + Span;
  poll();
  while (Time.now() < End) {
    base::TimePoint Next =
        std::min({End, Time.nextDeadline(), Time.now() + base::Millis(100)});
    Time.advance(std::max(Next - Time.now(), base::Millis(1)));
    closeSilentConnections();
    poll();
  }
}

base::Millis Simulation::runUntil(const std::function<bool()> &Done,
                                  base::Millis Limit) {
  base::TimePoint Start = Time.now();
  poll();
  while (!Done() && Time.now() - Start < Limit)
    run(base::Millis(1));
  INFO("simulated ms " << (Time.now() - Start).count());
  REQUIRE(Done());
  return Time.now() - Start;
}

bool Simulation::converged() const {
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const Node &Entry) {
    auto Mesh = Entry.NodeFollower->current();
    return Mesh && Mesh->State == Latest->State;
  });
}

document::Endpoint Simulation::endpoint(int Index, const std::string &Node) {
  document::Endpoint Entry;
  Entry.Id = base::EndpointId(fmt::format("upstream-{:04}", Index));
  Entry.Node = base::NodeId(Node);
  Entry.NodeAddress = {"10.1.0.1", 7001};
  Entry.Service = base::ServiceName("service-0000");
  Entry.Version = base::VersionName("v1");
  Entry.Zone = base::AvailabilityZone("sve-mitt-1");
  Entry.Slots = 12;
  Entry.State = document::EndpointState::Ready;
  Entry.Incarnation = 1'700'000'000'000;
  Entry.Sequence = 1;
  return Entry;
}

void Simulation::fill(int Services, int Routes, int Endpoints) {
  commit(true, [&](document::MeshSnapshot &Mesh) {
    auto Name = [](int I) {
      return base::ServiceName(fmt::format("service-{:04}", I));
    };
    for (int I = 0; I < Services; ++I) {
      document::Service Entry;
      Entry.Name = Name(I);
      Entry.Versions = {{base::VersionName("v1"), document::FullShare, false}};
      Mesh.Services[Entry.Name] = Entry;
    }
    for (int I = 0; I < Routes; ++I) {
      document::Route Entry{base::RouteName(fmt::format("route-{:04}", I)),
                            fmt::format("/part/{:04}", I), Name(I % Services),
                            base::Millis(1000), false};
      Mesh.Routes[Entry.Name] = Entry;
    }
    for (int I = 0; I < Endpoints; ++I) {
      document::Endpoint Entry = endpoint(I, fmt::format("other-{}", I));
      Entry.Service = Name(I % Services);
      Mesh.Endpoints[Entry.Id] = Entry;
    }
  });
}

} // namespace amaranth::follower::testing
