#include "DecisionTable.h"
#include "LoadGenerator.h"
#include "amaranth/base/CommandLine.h"
#include "amaranth/base/Error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <cmath>
#include <iostream>

namespace asio = boost::asio;
namespace json = boost::json;

namespace amaranth::bench {

namespace {

const char *const Usage = R"(amaranth-bench: load and experiments.

Usage:
  amaranth-bench load --target=IP:PORT [options]
  amaranth-bench path --direct=IP:PORT --through=IP:PORT [options]
  amaranth-bench decisions [--seed=N] [--seeds=N]
  amaranth-bench (-h | --help)

load sends an open-loop load to one target. path sends the same load to an
upstream directly and through a node at the same time, half each, and reports
the added latency. decisions simulates entry nodes and gates without a network
and compares the rules that place, order and refuse requests: first come first
served, the previous rule and the current one.

Options:
  --path=PATH        Path of the requests [default: /].
  --method=METHOD    HTTP method [default: GET].
  --body-bytes=N     Size of the request body in bytes [default: 0].
  --key              Send a new Idempotency-Key with each request.
  --rate=R           Requests per second [default: 100].
  --seconds=S        Duration in seconds [default: 5].
  --in-flight=N      Arrivals above N open requests are dropped [default: 1000].
  --seed=N           Seed of the arrivals [default: 1].
  --seeds=N          Number of seeds, from --seed on, 1 to 100 [default: 2].
  --json             Print JSON instead of a table.
  -h --help          Show this text.

Latencies count from the intended send time, so waiting behind a stalled
server is included. Exit code: 0 done, 1 no request succeeded, 2 usage.
)";

double number(const base::Arguments &Args, const std::string &Name) {
  const std::string &Text = Args.at(Name).asString();
  try {
    std::size_t Used = 0;
    double Value = std::stod(Text, &Used);
    if (Used == Text.size() && Value >= 0)
      return Value;
  } catch (const std::logic_error &) {
    // Reported below with the option's name.
  }
  throw base::Error(fmt::format("{}: '{}' is no number", Name, Text));
}

base::Address address(const base::Arguments &Args, const std::string &Name) {
  const std::string &Text = Args.at(Name).asString();
  if (auto Parsed = base::parseAddress(Text))
    return *Parsed;
  throw base::Error(
      fmt::format("{}: '{}' is no address; expected IP:PORT", Name, Text));
}

LoadPlan planOf(const base::Arguments &Args) {
  LoadPlan Plan;
  Plan.Path = Args.at("--path").asString();
  Plan.Method = Args.at("--method").asString();
  Plan.Body.assign(static_cast<std::size_t>(number(Args, "--body-bytes")), 'x');
  Plan.WithIdempotencyKey = Args.at("--key").asBool();
  Plan.RequestsPerSecond = number(Args, "--rate");
  Plan.Seconds = number(Args, "--seconds");
  Plan.MaxInFlight = static_cast<std::size_t>(number(Args, "--in-flight"));
  Plan.Seed = static_cast<std::uint64_t>(number(Args, "--seed"));
  if (Plan.RequestsPerSecond == 0)
    throw base::Error("--rate: must be above 0");
  return Plan;
}

json::object toJson(const LoadResult &Result) {
  json::object Statuses;
  for (const auto &[Status, Count] : Result.Statuses)
    Statuses[std::to_string(Status)] = Count;
  return {{"requests", Result.Latencies.size()},
          {"seconds", Result.Seconds},
          {"goodput_per_s",
           static_cast<double>(Result.succeeded()) / Result.Seconds},
          {"p50_us", Result.quantile(0.5)},
          {"p99_us", Result.quantile(0.99)},
          {"p999_us", Result.quantile(0.999)},
          {"max_us", Result.quantile(1)},
          {"dropped", Result.Dropped},
          {"statuses", std::move(Statuses)}};
}

void printRow(const std::string &Name, const LoadResult &Result) {
  std::string Statuses;
  for (const auto &[Status, Count] : Result.Statuses)
    Statuses += fmt::format(" {}:{}", Status, Count);
  std::cout << fmt::format(
      "{:<10} {:>9} {:>10.1f} {:>9.3f} {:>9.3f} {:>9.3f} {:>8} {}\n", Name,
      Result.Latencies.size(),
      static_cast<double>(Result.succeeded()) / Result.Seconds,
      Result.quantile(0.5) / 1e3, Result.quantile(0.99) / 1e3,
      Result.quantile(0.999) / 1e3, Result.Dropped, Statuses);
}

void printHeader() {
  std::cout << fmt::format("{:<10} {:>9} {:>10} {:>9} {:>9} {:>9} {:>8} {}\n",
                           "target", "requests", "ok/s", "p50 ms", "p99 ms",
                           "p99.9 ms", "dropped", "statuses");
}

int runLoadCommand(const base::Arguments &Args) {
  LoadPlan Plan = planOf(Args);
  Plan.Target = address(Args, "--target");
  asio::io_context Context(1);
  LoadResult Result;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> { Result = co_await runLoad(Plan); },
      [](std::exception_ptr Failure) {
        if (Failure)
          std::rethrow_exception(Failure);
      });
  Context.run();
  if (Args.at("--json").asBool()) {
    std::cout << toJson(Result) << '\n';
  } else {
    printHeader();
    printRow("load", Result);
  }
  return Result.succeeded() > 0 ? 0 : 1;
}

int runPathCommand(const base::Arguments &Args) {
  using namespace asio::experimental::awaitable_operators;
  LoadPlan Direct = planOf(Args);
  Direct.RequestsPerSecond /= 2;
  LoadPlan Through = Direct;
  Direct.Target = address(Args, "--direct");
  Through.Target = address(Args, "--through");
  ++Through.Seed;
  asio::io_context Context(1);
  LoadResult DirectResult;
  LoadResult ThroughResult;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        std::tie(DirectResult, ThroughResult) =
            co_await (runLoad(Direct) && runLoad(Through));
      },
      [](std::exception_ptr Failure) {
        if (Failure)
          std::rethrow_exception(Failure);
      });
  Context.run();
  auto Added = [&](double Q) {
    return static_cast<std::int64_t>(ThroughResult.quantile(Q)) -
           static_cast<std::int64_t>(DirectResult.quantile(Q));
  };
  if (Args.at("--json").asBool()) {
    json::object Report{{"direct", toJson(DirectResult)},
                        {"through", toJson(ThroughResult)},
                        {"added_p50_us", Added(0.5)},
                        {"added_p99_us", Added(0.99)}};
    std::cout << Report << '\n';
  } else {
    printHeader();
    printRow("direct", DirectResult);
    printRow("through", ThroughResult);
    std::cout << fmt::format("added latency: p50 {:.3f} ms, p99 {:.3f} ms\n",
                             static_cast<double>(Added(0.5)) / 1e3,
                             static_cast<double>(Added(0.99)) / 1e3);
  }
  return ThroughResult.succeeded() > 0 ? 0 : 1;
}

int runDecisionsCommand(const base::Arguments &Args) {
  constexpr double MaxSeed = 1e15;
  constexpr double MaxSeeds = 100;
  double Seed = number(Args, "--seed");
  double Seeds = number(Args, "--seeds");
  if (Seed > MaxSeed || Seed != std::floor(Seed))
    throw base::Error("--seed: must be a whole number up to 1e15");
  if (Seeds < 1 || Seeds > MaxSeeds || Seeds != std::floor(Seeds))
    throw base::Error("--seeds: must be a whole number from 1 to 100");
  printDecisionTable(static_cast<std::uint64_t>(Seed),
                     static_cast<unsigned>(Seeds));
  return 0;
}

int run(int Count, char **Values) {
  base::Arguments Args = base::parseCommandLine(Usage, Count, Values);
  if (Args.at("decisions").asBool())
    return runDecisionsCommand(Args);
  if (Args.at("load").asBool())
    return runLoadCommand(Args);
  return runPathCommand(Args);
}

} // namespace

} // namespace amaranth::bench

int main(int Count, char **Values) {
  try {
    return amaranth::bench::run(Count, Values);
  } catch (const std::exception &Failure) {
    std::cerr << "amaranth-bench: " << Failure.what() << '\n';
    return 2;
  }
}
