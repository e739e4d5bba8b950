#include "quincebank/gateway/gateway_service.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "forward_flow.h"
#include "quincebank/base/clock.h"
#include "quincebank/gateway/agent_engine_port.h"
#include "quincebank/routing/entries.h"

namespace quincebank {
namespace {

// Least number of entries among which the retry budget is divided: few are known at the start.
constexpr double kMinBudgetEntries = 8;
// Part of the configured retry ratio that entries use, since a request and its retries may be
// counted in different time windows.
constexpr double kRetryRatioShare = 0.9;
// Some clients cache a look-up three times as long as its lifetime.
constexpr int kStaleLookupFactor = 3;
constexpr milliseconds kDefaultLookupTtl{1'000};
// Time within which the look-ups of all entries stop naming one that has left.
constexpr milliseconds kLookupPropagation{1'000};
// Time reserved for the process to exit after the last request.
constexpr milliseconds kExitMargin{500};
// Part of it in which aborted requests tell their clients.
constexpr milliseconds kAbortTime{250};
// Time for the end of a map change that holds a pass; then another entry has to take it over.
constexpr milliseconds kRoundEndTime{2'000};
constexpr milliseconds kDrainPollPeriod{20};
// Upper limit on the entries in one look-up.
constexpr std::size_t kMaxLookupAddresses = 64;
// Parts of the connections for clients, peers and the directory; each other server gets the least.
constexpr std::size_t kClientDivisor = 2;
constexpr std::size_t kPeerDivisor = 4;
constexpr std::size_t kInternalDivisor = 8;
// Bodies of calls between gateways, such as a crash report. A parsed message takes many times its
// size.
constexpr std::uint64_t kMaxPeerBody = std::uint64_t{256} * 1024;

}  // namespace

gateway_context::gateway_context(const gateway_settings& process_settings,
                                 const exchange_codec& http_codec,
                                 event_log& process_log,
                                 std::uint64_t seed)
    : settings(process_settings),
      rules(process_settings.rules),
      codec(http_codec),
      log(process_log),
      random(seed) {}

retry_budget& gateway_context::RetryBudgetFor(const std::string& service) {
  const double entries =
      std::max(kMinBudgetEntries, static_cast<double>(snapshots.Get()->expected_entries));
  retry_budget_share& share = retry_budgets[service];
  if (share.budget && share.entries >= entries)
    return *share.budget;
  const gateway_rules current_rules = rules.Get();
  const double burst = std::max(current_rules.retry_allowance / (2 * entries), 1.0);
  const double carried_over = share.budget ? std::min(share.budget->tokens(), burst) : burst;
  share.entries = entries;
  share.budget = std::make_unique<retry_budget>(
      retry_budget_settings{.ratio = current_rules.retry_ratio * kRetryRatioShare,
                            .burst = burst,
                            .initial = carried_over});
  return *share.budget;
}

service_queue& gateway_context::QueueFor(const std::string& service) {
  return queues.try_emplace(service, settings.max_waiting_requests).first->second;
}

void gateway_context::NotifyCapacity(std::string_view service) {
  const auto found = queues.find(service);
  if (found != queues.end() && !found->second.requests.empty())
    found->second.capacity_changed.NotifyAll();
}

milliseconds gateway_context::BlockedTime(const std::vector<std::string>& segments) {
  const time_point now = Now();
  for (const std::string& segment : crashes.Evaluate(now)) {
    log.Write(event_line("segment.blocked")
                  .Add("segment", segment)
                  .Add("for_ms", std::chrono::duration_cast<milliseconds>(
                                     crashes.BlockedUntil({segment}, now).value_or(now) - now)));
  }
  const auto until = crashes.BlockedUntil(segments, now);
  return until ? std::chrono::duration_cast<milliseconds>(*until - now) : milliseconds(0);
}

gateway_service::gateway_service(const gateway_settings& settings,
                                 const exchange_codec& http_codec,
                                 event_log& log,
                                 std::uint64_t seed)
    : settings_(settings),
      log_(log),
      shared_(settings, http_codec, log, seed),
      incarnation_(seed),
      control_thread_("control"),
      traffic_thread_("traffic") {
  control_http_ = std::make_unique<http_client>(control_thread_, settings.clients.address);
  traffic_http_ = std::make_unique<http_client>(traffic_thread_, settings.clients.address);
  rpc_client_ = std::make_unique<rpc_client>(*control_http_);
  shared_.http = traffic_http_.get();
}

gateway_service::~gateway_service() {
  if (rebalancer_) {
    rebalancer_->Stop();
    rebalancer_->Join();
  }
  client_server_.reset();
  load_watch_.reset();
  if (fleet_sync_) {
    fleet_sync_->Stop();
    // Crash reports that were passed on before may not have started yet.
    control_thread_.RunAndWait([] {});
  }
  internal_servers_.clear();
}

result<void> gateway_service::Listen(const endpoint& address, const http_handler& handler) {
  if (address.port == 0)
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  BOOST_OUTCOME_TRY(auto server, http_server::Listen({&traffic_thread_}, address, handler,
                                                     InternalHttpLimits(kInternalDivisor)));
  internal_servers_.push_back(std::move(server));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> gateway_service::Start(const platform_handlers& handlers,
                                    const record_codec& records,
                                    std::unique_ptr<shared_store> store,
                                    std::unique_ptr<engine_port> engines) {
  store_ = std::move(store);
  fleet_sync_ = std::make_unique<fleet_sync>(settings_, shared_.rules, records, *store_,
                                             *rpc_client_, log_, shared_.snapshots, incarnation_);
  fleet_sync_->AddMethods(rpc_);
  engines_ = std::make_unique<agent_engine_port>(*rpc_client_, settings_.agent_port,
                                                 std::move(engines), log_);
  rebalancer_ =
      std::make_unique<expert_rebalancer>(*fleet_sync_, *engines_, log_, shared_.snapshots);
  observation_sharing_ =
      std::make_unique<observation_sharing>(settings_.name, log_, shared_.metrics, incarnation_);
  load_watch_ = std::make_unique<load_watch>(
      shared_.snapshots, settings_.agent_port, log_,
      [this](const std::string& service) { shared_.NotifyCapacity(service); },
      observation_sharing_.get());
  BOOST_OUTCOME_TRY(load_watch_->Start(traffic_thread_, settings_.peers));
  shared_.engine_loads = load_watch_.get();
  BOOST_OUTCOME_TRY(client_server_,
                    http_server::Listen(
                        {&traffic_thread_}, settings_.clients,
                        [this](http_exchange& exchange) { forward_flow(shared_, exchange).Run(); },
                        http_limits_source([this] { return ClientHttpLimits(); })));
  BOOST_OUTCOME_TRY(Listen(settings_.readiness, handlers.readiness));
  BOOST_OUTCOME_TRY(Listen(settings_.directory, handlers.directory));
  BOOST_OUTCOME_TRY(Listen(settings_.metrics, [this](http_exchange& e) { ServeMetrics(e); }));
  // Peers read the store mirror, which belongs to the control thread.
  BOOST_OUTCOME_TRY(auto peers, http_server::Listen(
                                    {&control_thread_}, settings_.peers,
                                    [this](http_exchange& e) { rpc_.Serve(e); },
                                    InternalHttpLimits(kPeerDivisor)));
  internal_servers_.push_back(std::move(peers));
  fleet_sync_->OnCrashReports([this](const crash_report& report) {
    traffic_thread_.Spawn([this, report] { shared_.crashes.OnCrash(report, Now()); });
  });
  fleet_sync_->OnStoreRestored([this] { shared_.metrics.store_restores.Add(); });
  shared_.share_crash = [this](const crash_report& report) {
    control_thread_.Spawn([this, report] { fleet_sync_->ShareCrash(report); });
  };
  BOOST_OUTCOME_TRY(fleet_sync_->Start(control_thread_));
  rebalancer_->Start(control_thread_);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

http_limits gateway_service::InternalHttpLimits(std::size_t divisor) const {
  http_limits limits;
  limits.body_bytes = kMaxPeerBody;
  limits.connections = MaxConnections(settings_.limits) / divisor;
  limits.socket_buffer_bytes = SocketBufferBytes(settings_.limits);
  return limits;
}

http_limits gateway_service::ClientHttpLimits() const {
  const auto catalog = shared_.snapshots.Get()->catalog;
  const client_limits configured = catalog ? catalog->limits() : client_limits{};
  http_limits limits;
  limits.header_bytes = configured.header_bytes;
  limits.body_bytes = configured.body_bytes;
  limits.header_timeout = configured.header_timeout;
  limits.idle_timeout = configured.idle_timeout;
  limits.connections = MaxConnections(settings_.limits) / kClientDivisor;
  limits.socket_buffer_bytes = SocketBufferBytes(settings_.limits);
  return limits;
}

bool gateway_service::Ready() const {
  return !leaving_ && shared_.snapshots.Get()->catalog;
}

milliseconds gateway_service::lookup_ttl() const noexcept {
  return std::min(kDefaultLookupTtl, shared_.rules.Get().max_lookup_ttl);
}

std::vector<endpoint> gateway_service::Lookup(std::string_view failure_domain) {
  shared_.metrics.lookups.Add();
  const auto snapshot = shared_.snapshots.Get();
  std::vector<entry_address> listed;
  bool self_listed = false;
  for (const entry_record& entry : snapshot->entries) {
    const bool self = entry.name == settings_.name;
    self_listed = self_listed || self;
    listed.push_back({entry.clients.address, entry.clients.port, entry.name, entry.failure_domain,
                      self && leaving_});
  }
  if (!self_listed && Ready()) {
    listed.push_back({settings_.clients.address, settings_.clients.port, settings_.name,
                      settings_.failure_domain, false});
  }
  std::vector<endpoint> addresses;
  for (const entry_address& entry :
       OrderEntries(listed, failure_domain, shared_.random.Next(), kMaxLookupAddresses))
    addresses.push_back({entry.address, entry.port});
  return addresses;
}

void gateway_service::ServeMetrics(http_exchange& exchange) {
  const auto snapshot = shared_.snapshots.Get();
  shared_.metrics.config_version.Set(
      snapshot->catalog ? static_cast<std::int64_t>(snapshot->catalog->version()) : 0);
  const memory_budget& memory = memory_budget::OfProcess();
  shared_.metrics.buffered_bytes.Set(static_cast<std::int64_t>(memory.used()));
  shared_.metrics.buffered_bytes_limit.Set(static_cast<std::int64_t>(memory.limit()));
  shared_.metrics.memory_rejections.Set(static_cast<std::int64_t>(memory.rejections()));
  shared_.metrics.evicted_bodies.Set(static_cast<std::int64_t>(memory.evictions()));
  shared_.metrics.closed_connections.Set(
      static_cast<std::int64_t>(client_server_->closed_connections()));
  shared_.metrics.store_era.Set(static_cast<std::int64_t>(snapshot->store_era));
  exchange.Respond({200,
                    {{"Content-Type", "text/plain; version=0.0.4"}},
                    ToPrometheusText(shared_.metrics.registry.Snapshot())});
}

void gateway_service::Reload(const gateway_settings& updated) {
  const bool rules_changed = updated.rules != shared_.rules.Get();
  const bool restart_needed =
      updated.clients != settings_.clients || updated.peers != settings_.peers ||
      updated.readiness != settings_.readiness || updated.directory != settings_.directory ||
      updated.store != settings_.store || updated.policy != settings_.policy ||
      updated.limits.memory_mb != settings_.limits.memory_mb ||
      updated.limits.descriptors != settings_.limits.descriptors;
  shared_.rules.Set(updated.rules);
  log_.Write(event_line("settings.reloaded")
                 .Add("rules_changed", rules_changed)
                 .Add("needs_restart", restart_needed));
}

void gateway_service::Shutdown() {
  const time_point started = Now();
  const time_point deadline = started + shared_.rules.Get().stop_grace - kExitMargin;
  leaving_ = true;
  log_.Write(event_line("process.leaving").Add("running", client_server_->running()));
  client_server_->AnnounceClose();
  rebalancer_->Stop();
  control_thread_.Spawn([this, limit = started + kRoundEndTime] {
    fleet_sync_->Deregister();
    // Without the role a change that has held a pass could not release it.
    rebalancer_->AwaitEnd(limit);
    fleet_sync_->ResignCoordinator();
  });
  traffic_thread_.RunAndWait([&] {
    const boot_time now = BootNow();
    shared_.stop.Begin(now + lookup_ttl() + kLookupPropagation, now + (deadline - Now()));
  });
  // Clients that cache the address still connect until their look-ups have expired.
  std::this_thread::sleep_until(
      std::min(started + lookup_ttl() * kStaleLookupFactor + kExitMargin, deadline));
  client_server_->Close();
  AwaitDrained(deadline);
  AbortRunning();
  AwaitDrained(deadline + kAbortTime);
  LogUnfinished();
  log_.Write(event_line("process.stopped").Add("running", client_server_->running()));
}

void gateway_service::AwaitDrained(time_point deadline) const {
  while (!client_server_->Drained() && Now() < deadline)
    std::this_thread::sleep_for(kDrainPollPeriod);
}

void gateway_service::LogUnfinished() {
  if (client_server_->Drained())
    return;
  traffic_thread_.RunAndWait([this] {
    for (running_request& request : shared_.running)
      request.LogUnfinished();
  });
}

void gateway_service::AbortRunning() {
  if (client_server_->Drained())
    return;
  traffic_thread_.RunAndWait([this] {
    log_.Write(event_line("process.aborting")
                   .Add("requests", static_cast<std::uint64_t>(shared_.running.size())));
    for (running_request& request : shared_.running)
      request.Abort();
  });
}

}  // namespace quincebank
