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

// Entries among which the budget of repeats is divided, at least: at the start few are known.
constexpr double kExpectedEntries = 8;
// Part of the ratio that entries use: a request of a client may be counted in another window.
constexpr double kRepeatShare = 0.9;
// Some clients keep a look-up three times as long as they may.
constexpr int kStaleLookups = 3;
constexpr milliseconds kLookupTtl{1'000};
// Left for the process to end after the last request.
constexpr milliseconds kStopMargin{500};
constexpr milliseconds kStopPoll{20};
// Look-ups name at most this many entries.
constexpr std::size_t kMostListed = 64;

}  // namespace

gateway_shared::gateway_shared(const gateway_settings& process,
                               const exchange_codec& exchanges,
                               event_log& lines,
                               std::uint64_t seed)
    : settings(process), rules(process.rules), codec(exchanges), log(lines), random(seed) {}

retry_budget& gateway_shared::RepeatsOf(const std::string& service) {
  const double entries =
      std::max(kExpectedEntries, static_cast<double>(snapshots.Get()->expected_entries));
  repeat_share& share = repeats[service];
  if (share.budget && share.entries >= entries)
    return *share.budget;
  const gateway_rules bounds = rules.Get();
  const double burst = std::max(bounds.repeat_allowance / (2 * entries), 1.0);
  const double saved = share.budget ? std::min(share.budget->tokens(), burst) : burst;
  share.entries = entries;
  share.budget = std::make_unique<retry_budget>(retry_budget_settings{
      .ratio = bounds.repeat_ratio * kRepeatShare, .burst = burst, .initial = saved});
  return *share.budget;
}

service_line& gateway_shared::LineOf(const std::string& service) {
  return lines.try_emplace(service, settings.most_waiting).first->second;
}

void gateway_shared::OnRoom(std::string_view service) {
  const auto found = lines.find(service);
  if (found != lines.end() && !found->second.line.empty())
    found->second.changed.NotifyAll();
}

gateway_service::gateway_service(const gateway_settings& settings,
                                 const exchange_codec& exchanges,
                                 event_log& log,
                                 std::uint64_t seed)
    : settings_(settings),
      log_(log),
      shared_(settings, exchanges, log, seed),
      incarnation_(seed),
      control_("control"),
      traffic_("traffic") {
  control_http_ = std::make_unique<http_client>(control_, settings.clients.address);
  traffic_http_ = std::make_unique<http_client>(traffic_, settings.clients.address);
  rpc_client_ = std::make_unique<rpc_client>(*control_http_);
  shared_.http = traffic_http_.get();
}

gateway_service::~gateway_service() {
  if (rebalancer_) {
    rebalancer_->Stop();
    rebalancer_->Join();
  }
  clients_.reset();
  loads_.reset();
  if (sync_)
    sync_->Stop();
  servers_.clear();
}

result<void> gateway_service::Listen(const endpoint& address, const http_handler& handler) {
  if (address.port == 0)
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  BOOST_OUTCOME_TRY(auto server, http_server::Listen({&traffic_}, address, handler));
  servers_.push_back(std::move(server));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> gateway_service::Start(const platform_handlers& handlers,
                                    const record_codec& records,
                                    std::unique_ptr<shared_store> store,
                                    std::unique_ptr<engine_port> engines) {
  store_ = std::move(store);
  sync_ = std::make_unique<fleet_sync>(settings_, shared_.rules, records, *store_, *rpc_client_,
                                       log_, shared_.snapshots, incarnation_);
  sync_->AddMethods(rpc_);
  engines_ = std::make_unique<agent_engine_port>(*rpc_client_, settings_.agent_port,
                                                 std::move(engines), log_);
  rebalancer_ = std::make_unique<expert_rebalancer>(*sync_, *engines_, log_, shared_.snapshots);
  loads_ =
      std::make_unique<load_watch>(shared_.snapshots, settings_.agent_port, log_,
                                   [this](const std::string& service) { shared_.OnRoom(service); });
  BOOST_OUTCOME_TRY(loads_->Start(traffic_, settings_.peers));
  shared_.loads = loads_.get();
  BOOST_OUTCOME_TRY(clients_,
                    http_server::Listen(
                        {&traffic_}, settings_.clients,
                        [this](http_exchange& exchange) { forward_flow(shared_, exchange).Run(); },
                        http_limits_source([this] { return LimitsOfClients(); })));
  BOOST_OUTCOME_TRY(Listen(settings_.readiness, handlers.readiness));
  BOOST_OUTCOME_TRY(Listen(settings_.directory, handlers.directory));
  BOOST_OUTCOME_TRY(Listen(settings_.metrics, [this](http_exchange& e) { ServeMetrics(e); }));
  // Peers read the mirror, which lives on the control thread.
  BOOST_OUTCOME_TRY(auto peers, http_server::Listen({&control_}, settings_.peers,
                                                    [this](http_exchange& e) { rpc_.Serve(e); }));
  servers_.push_back(std::move(peers));
  BOOST_OUTCOME_TRY(sync_->Start(control_));
  rebalancer_->Start(control_);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

http_limits gateway_service::LimitsOfClients() const {
  const auto catalog = shared_.snapshots.Get()->catalog;
  const client_limits configured = catalog ? catalog->limits() : client_limits{};
  http_limits limits;
  limits.header_bytes = configured.header_bytes;
  limits.body_bytes = configured.body_bytes;
  limits.header_timeout = configured.header_timeout;
  limits.idle_timeout = configured.idle_timeout;
  return limits;
}

bool gateway_service::Ready() const {
  return !leaving_ && shared_.snapshots.Get()->catalog;
}

milliseconds gateway_service::lookup_ttl() const noexcept {
  return std::min(kLookupTtl, shared_.rules.Get().most_lookup_ttl);
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
       OrderEntries(listed, failure_domain, shared_.random.Next(), kMostListed))
    addresses.push_back({entry.address, entry.port});
  return addresses;
}

void gateway_service::ServeMetrics(http_exchange& exchange) {
  const auto snapshot = shared_.snapshots.Get();
  shared_.metrics.config_version.Set(
      snapshot->catalog ? static_cast<std::int64_t>(snapshot->catalog->version()) : 0);
  exchange.Respond({200,
                    {{"Content-Type", "text/plain; version=0.0.4"}},
                    ToPrometheusText(shared_.metrics.registry.Snapshot())});
}

void gateway_service::Reload(const gateway_settings& changed) {
  const bool rules_changed = changed.rules != shared_.rules.Get();
  const bool moved = changed.clients != settings_.clients || changed.peers != settings_.peers ||
                     changed.readiness != settings_.readiness ||
                     changed.directory != settings_.directory || changed.store != settings_.store;
  shared_.rules.Set(changed.rules);
  log_.Write(event_line("settings.reloaded")
                 .Add("rules_changed", rules_changed)
                 .Add("needs_restart", moved));
}

void gateway_service::Shutdown() {
  const time_point started = Now();
  const time_point last = started + shared_.rules.Get().stop_grace - kStopMargin;
  leaving_ = true;
  log_.Write(event_line("process.leaving").Add("running", clients_->running()));
  clients_->AnnounceClose();
  rebalancer_->Stop();
  control_.Spawn([this] { sync_->Deregister(); });
  // Clients that hold the address still come until their look-ups have lapsed.
  std::this_thread::sleep_until(
      std::min(started + lookup_ttl() * kStaleLookups + kStopMargin, last));
  clients_->Close();
  while (!clients_->Drained() && Now() < last)
    std::this_thread::sleep_for(kStopPoll);
  log_.Write(event_line("process.stopped").Add("running", clients_->running()));
}

}  // namespace quincebank
