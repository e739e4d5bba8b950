#include <boost/json/array.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <thread>
#include <utility>

#include "bench_system.h"
#include "callers.h"
#include "experiments.h"
#include "quincebank/base/clock.h"
#include "quincebank/daemon/options.h"
#include "report.h"

namespace quincebank {
namespace {

// Time after which the platform's host list no longer shows a host that has died.
constexpr milliseconds kHostListLag{2'000};
// Longer than the 3 s of silence after which a connection counts as dead.
constexpr milliseconds kPause{5'000};
constexpr const char* kEntry = "entry-1";
constexpr const char* kUpstream = "drafts-0";
constexpr const char* kAgent = "agent-drafts-0";

/// Collects the windows of a run and the last new work of what left.
class fault_run {
 public:
  fault_run(bench_system& system, const bench_settings& settings)
      : system_(system), settings_(settings) {}

  /// A fault happens at the given time: the window before it ends.
  void Begin(std::string name, time_point at) {
    if (!windows_.empty())
      windows_.back().to = at;
    windows_.push_back({std::move(name), at, at + settings_.window});
  }
  void Begin(std::string name) { Begin(std::move(name), Now()); }

  /// Waits until the time of the last window is over.
  void Wait() const { std::this_thread::sleep_until(windows_.back().to); }

  /// Prints when the upstreams last began work, from the start of the last window.
  void NoteLastWork(const std::vector<std::string>& upstreams) {
    const auto last = std::chrono::duration_cast<milliseconds>(system_.LastStart(upstreams) -
                                                               windows_.back().from);
    if (last.count() < 0) {
      std::printf("%s: no new work after it, the last began %lld ms before\n",
                  windows_.back().name.c_str(), static_cast<long long>(-last.count()));
    } else {
      std::printf("%s: last new work after %lld ms (bound 3000)\n", windows_.back().name.c_str(),
                  static_cast<long long>(last.count()));
    }
  }

  [[nodiscard]] const std::vector<fault_window>& windows() const noexcept { return windows_; }

 private:
  bench_system& system_;
  const bench_settings& settings_;
  std::vector<fault_window> windows_;
};

constexpr std::size_t kSteadyWindow = 1;

void Steady(fault_run& run) {
  run.Begin("cold start of all");
  run.Wait();
  run.Begin("no fault");
  run.Wait();
}

bool DrainAndReturn(bench_system& system, fault_run& run, bool offer) {
  const auto drained = system.SetDomain("drain", offer);
  if (!drained)
    return false;
  run.Begin(offer ? "domain drained" : "domain drained, no offers", *drained);
  run.Wait();
  run.NoteLastWork(bench_system::UpstreamsOfDomain());
  const auto returned = system.SetDomain("return", offer);
  if (!returned)
    return false;
  run.Begin(offer ? "domain returned" : "domain returned, no offers", *returned);
  run.Wait();
  return true;
}

void LoseAndRestart(bench_system& system, fault_run& run) {
  run.Begin("domain lost");
  system.LoseDomain();
  run.Wait();
  run.Begin("domain restarted cold");
  system.RestartDomain();
  run.Wait();
}

void KillEntry(bench_system& system, fault_run& run) {
  run.Begin("entry killed");
  system.processes().Process(kEntry).Kill();
  std::this_thread::sleep_for(kHostListLag);
  (void)system.SetListing(kEntry, host_listing::kAbsent);
  run.Wait();
  run.Begin("entry restarted");
  system.processes().Restart(kEntry);
  (void)system.SetListing(kEntry, host_listing::kLive);
  run.Wait();
}

void KillAgent(bench_system& system, fault_run& run) {
  run.Begin("agent killed");
  system.processes().Process(kAgent).Kill();
  run.Wait();
  run.Begin("agent restarted");
  system.processes().Restart(kAgent);
  run.Wait();
}

void PauseAgent(bench_system& system, fault_run& run) {
  run.Begin("agent paused for 5 s");
  system.processes().Process(kAgent).Signal(SIGSTOP);
  std::this_thread::sleep_for(kPause);
  system.processes().Process(kAgent).Signal(SIGCONT);
  run.Wait();
  run.Begin("after the pause");
  run.Wait();
}

void LeaveByHostList(bench_system& system, fault_run& run) {
  const time_point listed = system.SetListing(kAgent, host_listing::kLeaving);
  run.Begin("host leaves by the host list", listed);
  run.Wait();
  run.NoteLastWork({kUpstream});
  run.Begin("host listed as live again", system.SetListing(kAgent, host_listing::kLive));
  run.Wait();
}

void LeaveBySignal(bench_system& system, fault_run& run) {
  run.Begin("agent leaves by SIGTERM");
  system.processes().Process(kAgent).Signal(SIGTERM);
  run.Wait();
  run.NoteLastWork({kUpstream});
  run.Begin("agent started again");
  system.processes().Restart(kAgent);
  run.Wait();
}

bool RemoveUpstream(bench_system& system, fault_run& run) {
  boost::json::value removed;
  const auto out = system.Edit([&](boost::json::object& document) {
    boost::json::array& upstreams = document["upstreams"].as_object()["upstreams"].as_array();
    for (auto one = upstreams.begin(); one != upstreams.end(); ++one) {
      if (one->as_object().at("name") != kUpstream)
        continue;
      removed = *one;
      upstreams.erase(one);
      break;
    }
  });
  if (!out)
    return false;
  run.Begin("upstream removed", *out);
  run.Wait();
  run.NoteLastWork({kUpstream});
  const auto in = system.Edit([&](boost::json::object& document) {
    document["upstreams"].as_object()["upstreams"].as_array().push_back(removed);
  });
  if (!in)
    return false;
  run.Begin("upstream added again", *in);
  run.Wait();
  return true;
}

void StopKeyValueService(bench_system& system, fault_run& run) {
  run.Begin("key-value service out");
  system.processes().Control("kv", R"({"down": true})");
  run.Wait();
  run.Begin("key-value service back");
  system.processes().Control("kv", R"({"down": false})");
  run.Wait();
}

int Finish(bench_system& system, callers& load, const fault_run& run) {
  load.Stop();
  PrintFaults(load.records(), run.windows(),
              LimitsFrom(load.records(), run.windows()[kSteadyWindow]));
  Print(CheckOrders(system.processes(), kOrderServices, load.records()));
  std::printf("crashes of cold engines: %lld\n", static_cast<long long>(system.Crashes()));
  return kExitOk;
}

}  // namespace

int RunFaults(const bench_settings& settings) {
  bench_system system(false, kAmpleLimit);
  const auto started = system.Start();
  if (!started) {
    std::cerr << started.error().message << "\n";
    return kExitFailure;
  }
  std::printf("\nfaults, seed %llu\n", static_cast<unsigned long long>(settings.seed));
  fault_run run(system, settings);
  callers_plan plan;
  plan.seed = settings.seed;
  callers load(system.processes(), plan);
  Steady(run);
  if (!DrainAndReturn(system, run, true) || !DrainAndReturn(system, run, false))
    return kExitFailure;
  LoseAndRestart(system, run);
  KillEntry(system, run);
  KillAgent(system, run);
  PauseAgent(system, run);
  LeaveByHostList(system, run);
  LeaveBySignal(system, run);
  if (!RemoveUpstream(system, run))
    return kExitFailure;
  StopKeyValueService(system, run);
  return Finish(system, load, run);
}

int RunSilence(const bench_settings& settings) {
  bench_system system(true, kAmpleLimit);
  const auto started = system.Start();
  if (!started) {
    std::cerr << started.error().message << "\n";
    return kExitFailure;
  }
  std::printf("\nsilent connections, seed %llu\n", static_cast<unsigned long long>(settings.seed));
  fault_run run(system, settings);
  callers_plan plan;
  plan.seed = settings.seed;
  callers load(system.processes(), plan);
  Steady(run);
  run.Begin("connections silent");
  for (const std::string& upstream : bench_system::UpstreamsOfDomain())
    system.processes().Control("relay-agent-" + upstream, R"({"silence": true})");
  run.Wait();
  run.Begin("after the silence");
  run.Wait();
  return Finish(system, load, run);
}

}  // namespace quincebank
