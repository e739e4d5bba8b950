#include "quincebank/rank_agent/rank_agent.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>
#include <vector>

#include "quincebank/base/clock.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/base/random.h"
#include "quincebank/expert_control/load_messages.h"
#include "quincebank/expert_control/rank_messages.h"

namespace quincebank {
namespace {

namespace json = boost::json;

// Interval between checks for subscribers that are due; half of the shortest period that entries
// request.
constexpr milliseconds kPushPollInterval{100};
// Entries renew subscriptions every second, so that two renewals may be lost.
constexpr milliseconds kSubscriptionTimeout{3'500};
constexpr milliseconds kStopPollInterval{2};
// Queries per engine that wait for one report; further ones are dropped.
constexpr std::size_t kMaxPendingQueries = 64;
// More than twice the entries of the largest fleet; further senders get no loads.
constexpr std::size_t kMaxSubscribers = 1'024;
// Least interval between two announcements of changed observations: a flood of observations must
// not make the agent send more than a few times its usual loads.
constexpr milliseconds kAnnouncePeriod{100};
// Longest interval between two loads with observations: entries follow them for a second, and the
// loads of a large fleet are less frequent.
constexpr milliseconds kObservedPeriod{400};
// For this time the last load is repeated while the engine cannot be read: entries without a load
// would take a hung engine as idle and send to it.
constexpr milliseconds kMaxRepeatedLoadAge{30'000};
constexpr milliseconds kReceptionLogPeriod{10'000};
// Positions in `receptions_` after those of `observation_reception`.
constexpr std::size_t kNotSubscribed = kObservationReceptions;
constexpr std::size_t kUnreadable = kObservationReceptions + 1;

/// Returns a random number to start the marks of this process with. Its low bits leave room for all
/// reads of one process, and the marks fit into the integers of a JSON message.
std::uint64_t FirstMark() {
  constexpr unsigned kMarkBits = 30;
  return (random_source::FromSystem().Next() >> (64U - kMarkBits)) << kMarkBits;
}

// Calls of the coordinator are short. A parsed message takes many times its size.
constexpr std::uint64_t kMaxCallBytes = std::uint64_t{64} * 1024;

http_limits HttpLimits(const process_limits& host) {
  http_limits limits = OnlyServerLimits(host, /*body_copies=*/1);
  limits.body_bytes = kMaxCallBytes;
  return limits;
}

endpoint ReadEndpoint(json_reader& reader, std::string_view key) {
  const auto parsed = ParseEndpoint(reader.String(key));
  if (parsed)
    return parsed.value();
  reader.Fail(key, parsed.error().message);
  return {};
}

}  // namespace

result<parsed_settings<rank_agent_settings>> ParseRankAgentSettings(std::string_view text) {
  constexpr duration_range kTimeouts{milliseconds(1), seconds(600)};
  constexpr int_range kLines{10, 1'000'000};
  parsed_settings<rank_agent_settings> parsed;
  std::vector<error>& errors = parsed.unusable;
  BOOST_OUTCOME_TRY(const json::value document, ParseJson(ReplaceInvalidValues(text, errors)));
  rank_agent_settings& settings = parsed.settings;
  json_reader reader(document, "", errors);
  settings.name = reader.String("name");
  settings.address = ReadEndpoint(reader, "address");
  settings.engine = ReadEndpoint(reader, "engine");
  settings.engine_timeout =
      reader.Duration("engine_timeout_ms", milliseconds(1), kTimeouts, settings.engine_timeout);
  settings.log_lines = static_cast<std::size_t>(
      reader.RoundedInt("log_lines", kLines, static_cast<std::int64_t>(settings.log_lines)));
  settings.limits = ReadProcessLimits(reader);
  reader.Finish();
  if (settings.name.empty() || settings.address.port == 0 || settings.engine.port == 0)
    return JoinErrors(errors);
  return parsed;
}

rank_agent::rank_agent(const rank_agent_settings& settings, event_log* log)
    : settings_(settings), thread_("agent"), counts_(FirstMark()), log_(log) {
  http_ = std::make_unique<http_client>(thread_);
}

rank_agent::~rank_agent() {
  stop_.Set();
  if (socket_)
    socket_->Close();
  while (running_loops_ > 0)
    std::this_thread::sleep_for(kStopPollInterval);
  server_.reset();
}

void rank_agent::AddMethod(const named_handler& named) {
  rpc_.Add(named.name, [this, run = named.run](const json::object& params) -> result<json::value> {
    std::vector<error> errors;
    const json::value document(params);
    json_reader reader(document, "", errors);
    rank_request request;
    request.rank.id = reader.String("upstream");
    request.rank.address = settings_.engine;
    request.counts.since = static_cast<std::uint64_t>(reader.Int("since", {}, 0));
    request.counts.least = static_cast<std::uint64_t>(reader.Int("least", {}, 0));
    if (!errors.empty())
      return JoinErrors(errors);
    return (this->*run)(request);
  });
}

result<void> rank_agent::Start(std::unique_ptr<engine_port> engine) {
  engine_ = std::move(engine);
  constexpr std::array<named_handler, 3> kMethods{{{"rank.report", &rank_agent::Report},
                                                   {"rank.counts", &rank_agent::Counts},
                                                   {"rank.held", &rank_agent::Held}}};
  for (const named_handler& named : kMethods)
    AddMethod(named);
  BOOST_OUTCOME_TRY(server_,
                    http_server::Listen(
                        {&thread_}, settings_.address, [this](http_exchange& e) { rpc_.Serve(e); },
                        HttpLimits(settings_.limits)));
  BOOST_OUTCOME_TRY(socket_, datagram_socket::Bind(thread_, server_->address()));
  constexpr std::array<void (rank_agent::*)(), 4> kLoops{
      &rank_agent::ReceiveLoop, &rank_agent::PushLoop, &rank_agent::ReplyLoop,
      &rank_agent::AnnounceLoop};
  for (const auto loop : kLoops) {
    ++running_loops_;
    thread_.SpawnLoop(
        "agent", [this, loop] { (this->*loop)(); }, stop_, [this] { --running_loops_; });
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void rank_agent::ReceiveLoop() {
  while (!stop_.IsSet()) {
    const auto received = socket_->Receive();
    if (!received)
      return;
    const time_point now = Now();
    const auto subscription = DecodeSubscription(received.value().payload);
    if (!subscription) {
      // The socket is open to any sender, and entries repeat lost messages.
      const auto observed = DecodeObservation(received.value().payload);
      if (observed)
        Observe(received.value().sender, observed.value(), now);
      else
        CountReception(kUnreadable);
      continue;
    }
    if (subscription.value().period.count() == 0) {
      std::vector<endpoint>& senders = pending_queries_[subscription.value().upstream];
      if (senders.size() < kMaxPendingQueries)
        senders.push_back(received.value().sender);
      query_event_.Set();
      continue;
    }
    if (subscribers_.size() >= kMaxSubscribers && !subscribers_.contains(received.value().sender))
      continue;
    subscriber& entry = subscribers_[received.value().sender];
    entry.upstream = subscription.value().upstream;
    entry.period = subscription.value().period;
    entry.expires_at = now + kSubscriptionTimeout;
  }
}

void rank_agent::PushLoop() {
  while (!stop_.WaitFor(kPushPollInterval)) {
    const time_point now = Now();
    std::erase_if(subscribers_, [&](const auto& named) { return named.second.expires_at < now; });
    std::map<std::string, std::vector<endpoint>> due;
    const bool observed = last_load_ && observations_.Summary(last_load_->upstream, now);
    for (auto& [address, entry] : subscribers_) {
      const milliseconds period = observed ? std::min(entry.period, kObservedPeriod) : entry.period;
      // The period becomes shorter as soon as something is observed.
      if (std::min(entry.next_push_at, entry.pushed_at + period - kPushPollInterval / 2) > now)
        continue;
      entry.pushed_at = now;
      entry.next_push_at = now + std::max(period - kPushPollInterval / 2, kPushPollInterval / 2);
      due[entry.upstream].push_back(address);
    }
    for (const auto& [upstream, receivers] : due)
      Push(upstream, receivers);
    LogReceptions();
  }
}

void rank_agent::ReplyLoop() {
  while (!stop_.IsSet()) {
    if (!query_event_.WaitFor(kPushPollInterval))
      continue;
    const auto queries = std::exchange(pending_queries_, {});
    for (const auto& [upstream, senders] : queries)
      Reply(upstream, senders);
  }
}

void rank_agent::Reply(const std::string& upstream, const std::vector<endpoint>& senders) {
  auto load = ReadLoad(upstream);
  if (!load)
    return;  // The entries stop waiting after a timeout.
  const int waiting = load->waiting;
  for (const endpoint& sender : senders) {
    const time_point now = Now();
    load->waiting = waiting + expected_.ExpectedCount(now);
    expected_.OnLoadReply(now);
    (void)socket_->Send(sender, Encode(*load));
  }
}

std::optional<engine_load> rank_agent::ReadLoad(const std::string& upstream) {
  upstream_record rank;
  rank.id = upstream;
  rank.address = settings_.engine;
  const std::array<const upstream_record*, 1> ranks{&rank};
  const auto report = std::move(engine_->Reports(ranks).front());
  if (!report)
    return std::nullopt;
  const time_point now = Now();
  const rank_report& read = report.value();
  observations_.OnEngine(upstream, read.incarnation);
  last_load_ = engine_load{.upstream = upstream,
                           .running = read.running,
                           .waiting = read.waiting,
                           .step = read.step,
                           .kv_used = read.kv_used,
                           .pace = read.pace,
                           .incarnation = read.incarnation};
  read_at_ = now;
  auto load = last_load_;
  load->observations = observations_.Summary(upstream, now);
  return load;
}

void rank_agent::Push(const std::string& upstream, const std::vector<endpoint>& receivers) {
  auto load = ReadLoad(upstream);
  if (!load)
    load = RepeatedLoad(upstream);
  if (!load)
    return;  // Entries discard outdated loads.
  const std::string payload = Encode(*load);
  for (const endpoint& receiver : receivers)
    (void)socket_->Send(receiver, payload);
}

std::optional<engine_load> rank_agent::RepeatedLoad(const std::string& upstream) {
  const time_point now = Now();
  if (!last_load_ || last_load_->upstream != upstream || now - read_at_ > kMaxRepeatedLoadAge)
    return std::nullopt;
  auto load = last_load_;
  load->observations = observations_.Summary(upstream, now);
  return load;
}

void rank_agent::CountReception(std::size_t reception) {
  ++receptions_.at(reception);
  receptions_changed_ = true;
}

void rank_agent::Observe(const endpoint& sender,
                         const upstream_observation& observed,
                         time_point now) {
  // Entries that may not send to the engine have nothing to report, and a forged datagram has to
  // name the address of an entry that may.
  const auto known = subscribers_.find(sender);
  if (known == subscribers_.end() || known->second.upstream != observed.upstream) {
    CountReception(kNotSubscribed);
    return;
  }
  const auto before = observations_.Summary(observed.upstream, now);
  const auto reception = observations_.OnObservation(sender, observed, now);
  CountReception(static_cast<std::size_t>(reception));
  const auto after = observations_.Summary(observed.upstream, now);
  if (reception == observation_reception::kAccepted &&
      (before.has_value() != after.has_value() || (before && before->entries != after->entries)))
    announce_event_.Set();
}

void rank_agent::AnnounceLoop() {
  while (!stop_.IsSet()) {
    if (!announce_event_.WaitFor(kAnnouncePeriod))
      continue;
    auto load = last_load_;
    if (!load)
      continue;
    load->observations = observations_.Summary(load->upstream, Now());
    const std::string payload = Encode(*load);
    for (const auto& [receiver, entry] : subscribers_) {
      if (entry.upstream == load->upstream)
        (void)socket_->Send(receiver, payload);
    }
    (void)stop_.WaitFor(kAnnouncePeriod);
  }
}

void rank_agent::LogReceptions() {
  const time_point now = Now();
  if (log_ == nullptr || !receptions_changed_ || now - receptions_logged_at_ < kReceptionLogPeriod)
    return;
  receptions_changed_ = false;
  receptions_logged_at_ = now;
  event_line line("observations.received");
  for (std::size_t i = 0; i < kObservationReceptions; ++i)
    line.Add(ToString(static_cast<observation_reception>(i)), receptions_[i]);
  line.Add("not_subscribed", receptions_[kNotSubscribed])
      .Add("unreadable", receptions_[kUnreadable])
      .Add("entries", static_cast<std::uint64_t>(observations_.size()));
  log_->Write(std::move(line));
}

result<json::value> rank_agent::Report(const rank_request& request) {
  const std::array<const upstream_record*, 1> ranks{&request.rank};
  BOOST_OUTCOME_TRY(const rank_report report, engine_->Reports(ranks).front());
  return json::value(ToJson(report));
}

result<json::value> rank_agent::Counts(const rank_request& request) {
  const std::array<const upstream_record*, 1> ranks{&request.rank};
  BOOST_OUTCOME_TRY(pick_counts counts, engine_->Counts(ranks).front());
  return json::value(ToJson(counts_.Take(std::move(counts), request.counts)));
}

result<json::value> rank_agent::Held(const rank_request& request) {
  const std::array<const upstream_record*, 1> ranks{&request.rank};
  BOOST_OUTCOME_TRY(const held_experts held, std::move(engine_->Held(ranks).front()));
  return json::value(ToJson(held));
}

}  // namespace quincebank
