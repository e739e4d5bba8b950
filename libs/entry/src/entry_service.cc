#include "quincebank/entry/entry_service.h"

#include <boost/json/array.hpp>
#include <charconv>
#include <utility>

#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/messages/messages.h"
#include "quincebank/net/json_reply.h"
#include "quincebank/net/run_on.h"
#include "quincebank/routing/entries.h"
#include "refusal.h"
#include "request_flow.h"
#include "stream_resume.h"

namespace quincebank {
namespace {

constexpr logger kLog{"entry"};
constexpr std::size_t kRecordsPerPage = 1'000;
constexpr milliseconds kTellTimeout{500};
constexpr milliseconds kShutdownTick{20};

// Each traffic thread has clients of its own; a handler runs on the thread that accepted.
thread_local traffic_context* current_context = nullptr;

boost::json::object CountUsable(const entry_snapshot& snapshot) {
  boost::json::object services;
  for (const service_view& view : snapshot.services) {
    if (!view.table)
      continue;
    std::size_t usable = 0;
    std::size_t unheard = 0;  // No agent's report yet.
    std::size_t index = 0;
    for (const upstream& known : view.table->upstreams()) {
      // The agent's own word may be newer than the snapshot.
      const upstream_slot& slot = *view.slots[index++];
      const bool open = !slot.draining() && !slot.leaving();
      unheard += slot.heard_at() == time_point() ? 1 : 0;
      usable += open && known.state == upstream_state::kUsable ? 1 : 0;
    }
    services[view.table->service()] = boost::json::object{
        {"upstreams", view.table->size()}, {"usable", usable}, {"unheard", unheard}};
  }
  return services;
}

}  // namespace

result<entry_settings> ParseEntrySettings(std::string_view text) {
  constexpr int_range kThreads{1, 64};
  constexpr int_range kTtlMs{1, 600'000};
  BOOST_OUTCOME_TRY(const boost::json::value parsed, ParseJson(text));
  std::vector<error> errors;
  json_reader reader(parsed, "", errors);
  entry_settings settings;
  settings.node = ReadNodeSettings(reader);
  settings.traffic_threads = static_cast<std::size_t>(
      reader.Int("traffic_threads", kThreads, static_cast<std::int64_t>(settings.traffic_threads)));
  settings.lookup_ttl = reader.Millis("lookup_ttl_ms", kTtlMs, settings.lookup_ttl);
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return settings;
}

entry_service::entry_service(const entry_settings& settings,
                             fiber_thread& control,
                             std::uint64_t seed)
    : settings_(settings),
      control_(control),
      records_(settings.node.record_keep,
               settings.node.record_stdout ? WriteRecordLine
                                           : std::function<void(const decision_record&)>()),
      shared_(settings_),
      node_(control, settings.node, peer_role::kEntry),
      directory_(node_, settings.node, shared_.snapshots),
      claims_(node_, shared_.snapshots, settings.node.host, seed) {
  shared_.directory = &directory_;
  shared_.claims = &claims_;
  shared_.records = &records_;
  shared_.seed = seed;
}

entry_service::~entry_service() {
  server_.reset();
  node_.Stop();
}

result<void> entry_service::Start() {
  node_.AddMethods(rpc_);
  claims_.AddMethods(rpc_);
  rpc_.Add("entry.leaving", [this](const boost::json::object& params) {
    return RunOn(control_, [&]() -> result<boost::json::value> {
      const boost::json::value* const host = params.if_contains("host");
      if (host == nullptr || !host->is_string())
        return MakeError(error_code::kInvalidArgument, "missing host");
      directory_.OnEntryLeaving(std::string_view(host->get_string()));
      return boost::json::value{{"ok", true}};
    });
  });
  std::vector<fiber_thread*> threads;
  for (std::size_t i = 0; i < settings_.traffic_threads; ++i) {
    threads_.push_back(std::make_unique<fiber_thread>("traffic"));
    contexts_.push_back(std::make_unique<traffic_context>(*threads_.back(), settings_.node.source));
    threads_.back()->RunAndWait([&] { current_context = contexts_.back().get(); });
    threads.push_back(threads_.back().get());
  }
  BOOST_OUTCOME_TRY(server_, http_server::Listen(
                                 threads, settings_.node.listen,
                                 [this](http_exchange& exchange) { Handle(exchange); },
                                 OnlyServerLimits(settings_.node.limits,
                                                  /*body_copies=*/1)));
  node_control::observers observers;
  observers.on_config = [this](const auto& config) { directory_.OnConfig(config); };
  observers.on_hosts = [this](const auto& hosts) { directory_.OnHosts(hosts); };
  node_.Start(std::move(observers));
  directory_.Start();
  claims_.Start();
  kLog.Info("listens on ", ToString(server_->address()));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void entry_service::Handle(http_exchange& exchange) {
  const http_request& request = exchange.request();
  const auto service = ParseServiceTarget(request.target);
  if (service) {
    const auto resume = request.headers.Find(kLastEventIdField);
    const auto locator = resume ? ParseStreamLocator(*resume) : std::nullopt;
    if (resume && !locator) {
      error failure = MakeError(error_code::kInvalidArgument, "malformed locator");
      failure.path = std::string(kLastEventIdField);
      Refuse(exchange, failure, "");
    } else if (locator) {
      ResumeStream(shared_, *current_context, exchange, *locator);
    } else {
      request_flow(shared_, *current_context, exchange).Run(*service);
    }
    return;
  }
  const auto target = ParseTarget(request.target);
  if (!target) {
    Refuse(exchange, MakeError(error_code::kInvalidArgument, "malformed request target"), "");
  } else if (target->path == "/rpc" && request.method == "POST") {
    rpc_.Serve(exchange);
  } else if (target->path == "/lookup") {
    Lookup(exchange, *target);
  } else if (target->path == "/records") {
    Records(exchange, *target);
  } else if (target->path == "/healthz") {
    ReplyJson(exchange, 200, boost::json::object{{"ok", true}});
  } else if (target->path == "/readyz") {
    Ready(exchange);
  } else if (target->path == "/metrics") {
    Metrics(exchange);
  } else if (target->path == "/burn") {
    Burn(exchange);
  } else {
    Refuse(exchange, MakeError(error_code::kNotFound, "no such path: " + target->path), "");
  }
}

void entry_service::Lookup(http_exchange& exchange, const parsed_target& target) {
  const auto snapshot = shared_.snapshots.Get();
  const std::string service(target.Query("service").value_or(""));
  if (!snapshot) {
    Refuse(exchange, MakeError(error_code::kUnavailable, "no configuration is in force yet"), "");
    return;
  }
  if (!snapshot->config->FindService(service)) {
    Refuse(exchange, MakeError(error_code::kNotFound, "unknown service '" + service + "'"), "");
    return;
  }
  const std::string_view domain =
      target.Query("failure_domain").value_or(settings_.node.failure_domain);
  boost::json::array addresses;
  for (const entry_address& entry :
       OrderEntries(snapshot->entries, domain, Mix64(shared_.seed + ++shared_.requests))) {
    addresses.push_back(boost::json::object{{"address", entry.address},
                                            {"port", entry.port},
                                            {"host", entry.host},
                                            {"failure_domain", entry.failure_domain}});
  }
  ReplyJson(
      exchange, 200,
      boost::json::object{{"addresses", addresses}, {"ttl_ms", settings_.lookup_ttl.count()}});
}

void entry_service::Records(http_exchange& exchange, const parsed_target& target) {
  std::vector<decision_record> found;
  const auto request = target.Query("request");
  if (request) {
    found = records_.ForRequest(*request);
  } else {
    const std::string_view digits = target.Query("since").value_or("0");
    std::uint64_t since = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), since);
    if (ec != std::errc()) {
      Refuse(exchange, MakeError(error_code::kInvalidArgument, "since: expected a number"), "");
      return;
    }
    found = records_.Since(since, kRecordsPerPage);
  }
  boost::json::array records;
  for (const decision_record& record : found)
    records.push_back(ToJson(record));
  ReplyJson(exchange, 200, boost::json::object{{"records", records}});
}

void entry_service::Ready(http_exchange& exchange) {
  const auto status = RunOn(control_, [&] { return node_.StatusHere(); });
  const auto snapshot = shared_.snapshots.Get();
  const bool ready = snapshot != nullptr && !leaving_;
  ReplyJson(
      exchange, ready ? 200 : 503,
      boost::json::object{{"ready", ready},
                          {"leaving", leaving_.load()},
                          {"config_state", ToString(status.state)},
                          {"config_version", status.version},
                          {"services", snapshot ? CountUsable(*snapshot) : boost::json::object()}});
}

void entry_service::Metrics(http_exchange& exchange) {
  const auto snapshot = shared_.snapshots.Get();
  exchange.Respond(
      {200,
       {{"Content-Type", "text/plain; version=0.0.4"}},
       shared_.metrics.Text(snapshot ? snapshot->config->version() : 0, node_.bytes())});
}

void entry_service::Burn(http_exchange& exchange) {
  const auto snapshot = shared_.snapshots.Get();
  if (!snapshot) {
    Refuse(exchange, MakeError(error_code::kUnavailable, "no configuration is in force yet"), "");
    return;
  }
  ReplyJson(
      exchange, 200,
      ToJson(snapshot->objectives->Counts(settings_.node.host, std::chrono::steady_clock::now())));
}

void entry_service::TellOtherEntries() {
  const auto snapshot = shared_.snapshots.Get();
  if (!snapshot)
    return;
  for (const entry_address& entry : snapshot->entries) {
    if (entry.host == settings_.node.host)
      continue;
    node_.SpawnTracked([this, peer = endpoint{entry.address, entry.port}] {
      // An entry that does not answer learns it from the host list.
      (void)rpc_client(node_.http())
          .Call(peer, "entry.leaving", {{"host", settings_.node.host}}, kTellTimeout);
    });
  }
}

void entry_service::Shutdown() {
  leaving_ = true;
  control_.RunAndWait([this] {
    directory_.SetLeaving();
    TellOtherEntries();
  });
  kLog.Info("leaves; serves kept addresses for ", settings_.lookup_ttl.count(), " ms");
  std::this_thread::sleep_for(settings_.lookup_ttl);
  server_->AnnounceClose();
  server_->Close();
  while (!server_->Drained())
    std::this_thread::sleep_for(kShutdownTick);
  kLog.Info("all requests have ended");
}

}  // namespace quincebank
