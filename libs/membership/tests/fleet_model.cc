#include "fleet_model.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "quincebank/base/digest.h"

namespace quincebank {
namespace {

constexpr milliseconds kTick{50};
/// Headers and JSON-RPC envelope that HTTP adds to a request and to an answer.
constexpr std::size_t kRequestOverhead = 230;
constexpr std::size_t kAnswerOverhead = 190;
constexpr milliseconds kRegionLatency{1};
constexpr milliseconds kRemoteLatency{15};
constexpr std::uint64_t kJitterMs = 4;
constexpr milliseconds kServiceLatency{4};
constexpr milliseconds kServiceTimeout{1'000};

std::string DocumentText(const fleet_options& options, std::uint64_t version, bool drained) {
  std::string text =
      R"({"domains": {"owner": "ops", "kind": "failure_domains", "failure_domains": [)";
  for (std::size_t i = 0; i < 2 * options.regions; ++i) {
    text += R"({"name": "domain-)" + std::to_string(i) + R"(", "region": "region-)" +
            std::to_string(i / 2) + R"(", "state": ")" + (drained && i == 0 ? "out" : "in") +
            "\"},";
  }
  text += "]}";
  for (std::size_t i = 0; i < std::max<std::size_t>(options.workspaces, 1); ++i) {
    if (i % options.per_section == 0) {
      text += (i > 0 ? "]}" : "");
      text += ", \"workspaces-" + std::to_string(i / options.per_section) +
              R"(": {"owner": "ops", "kind": "workspaces", "workspaces": [)";
    }
    // One section differs in each version, as after a change by one team.
    const std::size_t sections = options.workspaces / options.per_section + 1;
    const bool changes = i == version % sections * options.per_section;
    text += "{\"name\": \"workspace-" + std::to_string(i) +
            "\", \"weight\": " + std::to_string(changes ? 1 + version : 1) + "},";
  }
  return text + "]}}";
}

}  // namespace

struct fleet_model::node {
  node(const config_peer& self, time_point start)
      : holder({}, start), exchange(self, {}, holder, start) {}

  config_holder holder;
  config_exchange exchange;
};

fleet_model::fleet_model(fleet_options options) : options_(options), random_(options.seed) {
  for (std::size_t i = 0; i < options.nodes; ++i) {
    // Two of five processes are entries, as in a fleet of 400 entries and 620 agents.
    config_peer peer{"node-" + std::to_string(i), "region-" + std::to_string(i % options.regions),
                     i / options.regions % 5 < 2 ? peer_role::kEntry : peer_role::kAgent, "", 0};
    index_of_.emplace(peer.name, i);
    peers_.push_back(std::move(peer));
  }
  nodes_.resize(options.nodes);
  lives_.resize(options.nodes);
  highest_.resize(options.nodes);
  in_part_.resize(options.nodes);
  node_bytes_.resize(options.nodes);
  for (std::size_t i = 0; i < options.nodes; ++i)
    Start(i);
}

fleet_model::~fleet_model() = default;

void fleet_model::After(milliseconds delay, std::function<void()> run) {
  events_.push_back({now_ + delay, order_++, std::move(run)});
  std::push_heap(events_.begin(), events_.end());
}

void fleet_model::Start(std::size_t index) {
  nodes_[index] = std::make_unique<node>(peers_[index], At(now_));
  nodes_[index]->exchange.OnPeers(peers_, At(now_));
  const std::uint64_t life = ++lives_[index];
  After(milliseconds(random_.Below(kTick.count())), [this, index, life] { Tick(index, life); });
}

void fleet_model::Stop(std::size_t index) {
  nodes_[index].reset();
  ++lives_[index];
}

void fleet_model::Tick(std::size_t index, std::uint64_t life) {
  if (lives_[index] != life)
    return;
  for (const exchange_action& action : nodes_[index]->exchange.Due(At(now_)))
    Run(index, action);
  Observe(index);
  After(kTick, [this, index, life] { Tick(index, life); });
}

void fleet_model::Observe(std::size_t index) {
  const std::uint64_t version = nodes_[index]->holder.version();
  if (version == 0 || version == highest_[index])
    return;
  if (version < highest_[index]) {
    ++reverts_;
    return;
  }
  highest_[index] = version;
  last_adoption_ = now_;
}

milliseconds fleet_model::Latency(std::size_t from, std::size_t to) {
  const milliseconds base =
      peers_[from].region == peers_[to].region ? kRegionLatency : kRemoteLatency;
  return base + milliseconds(random_.Below(kJitterMs));
}

bool fleet_model::Reaches(std::size_t from, std::size_t to) const {
  return in_part_[from] == in_part_[to];
}

void fleet_model::Count(std::size_t from, std::size_t to, std::size_t bytes) {
  ++counts_.messages;
  counts_.bytes += bytes;
  node_bytes_[from] += bytes;
  node_bytes_[to] += bytes;
}

void fleet_model::Call(std::size_t from,
                       std::size_t to,
                       milliseconds timeout,
                       std::function<std::optional<std::string>(node&)> serve,
                       const std::function<void(node&, const std::string*)>& reply) {
  const std::uint64_t life = lives_[from];
  const auto fail = [this, from, life, reply] {
    if (lives_[from] == life)
      reply(*nodes_[from], nullptr);
  };
  Count(from, to, kRequestOverhead);
  if (!Reaches(from, to) || Lost()) {
    After(timeout, fail);
    return;
  }
  const milliseconds there = Latency(from, to);
  After(there, [this, from, to, life, there, timeout, fail, serve = std::move(serve), reply] {
    const std::optional<std::string> answer =
        nodes_[to] ? serve(*nodes_[to]) : std::optional<std::string>();
    if (nodes_[to])
      Observe(to);
    if (!answer || !Reaches(from, to) || Lost()) {
      After(timeout - there, fail);
      return;
    }
    Count(to, from, kAnswerOverhead + answer->size());
    After(Latency(to, from), [this, from, life, answer, reply] {
      if (lives_[from] != life)
        return;
      reply(*nodes_[from], &*answer);
      Observe(from);
    });
  });
}

void fleet_model::Run(std::size_t index, const exchange_action& action) {
  if (action.step != exchange_step::kAskPeer && action.step != exchange_step::kFetchFromPeer) {
    CallService(index, action);
    return;
  }
  const std::size_t to = index_of_.find(action.peer.name)->second;
  const milliseconds asked_at = now_;
  if (action.step == exchange_step::kAskPeer) {
    Call(
        index, to, action.wait,
        [this, have = action.have](node& server) -> std::optional<std::string> {
          return boost::json::serialize(ToJson(server.holder.Answer(have, At(now_))));
        },
        [this, asked_at, name = action.peer.name](node& self, const std::string* answer) {
          if (answer == nullptr) {
            self.exchange.OnPeerFailed(name, At(now_));
            return;
          }
          self.exchange.OnPeerRoot(name, RootAnswerFromJson(boost::json::parse(*answer)).value(),
                                   At(asked_at), At(now_));
        });
    return;
  }
  Call(
      index, to, action.wait,
      [digest = action.digest](node& server) -> std::optional<std::string> {
        const std::string* const body = server.holder.Body(digest);
        return body == nullptr ? std::string() : *body;
      },
      [this, digest = action.digest](node& self, const std::string* answer) {
        if (answer == nullptr || answer->empty()) {
          self.exchange.OnFetchFailed(digest, At(now_));
        } else {
          self.exchange.OnBody(digest, *answer, At(now_));
        }
      });
}

void fleet_model::CallService(std::size_t index, const exchange_action& action) {
  const std::uint64_t life = lives_[index];
  const milliseconds asked_at = now_;
  const bool is_body = action.step == exchange_step::kFetchFromService;
  const auto fail = [this, index, life, is_body, digest = action.digest] {
    if (lives_[index] != life)
      return;
    if (is_body) {
      nodes_[index]->exchange.OnFetchFailed(digest, At(now_));
    } else {
      nodes_[index]->exchange.OnServiceFailed(At(now_));
    }
  };
  const auto answer = [this, index, life, asked_at, is_body, fail, digest = action.digest] {
    if (!service_up_ || in_part_[index]) {
      After(kServiceTimeout, fail);
      return;
    }
    if (lives_[index] != life)
      return;
    if (!is_body) {
      nodes_[index]->exchange.OnServiceRoot(root_, At(asked_at), At(now_));
    } else if (const auto body = bodies_.find(digest); body != bodies_.end()) {
      nodes_[index]->exchange.OnBody(digest, body->second, At(now_));
    } else {
      fail();
    }
    Observe(index);
  };
  const bool is_watch = action.step == exchange_step::kWatchRoot;
  (is_watch ? counts_.watches : counts_.reads) += 1;
  if (!is_watch || !root_ || root_->index != action.index) {
    After(kServiceLatency, answer);
    return;
  }
  const auto done = std::make_shared<bool>(false);
  const auto once = [done, answer] {
    if (!std::exchange(*done, true))
      answer();
  };
  watches_.emplace_back(once);
  After(action.wait, once);
}

std::uint64_t fleet_model::Write(bool drained) {
  apply_request request;
  request.document =
      ParseDocument(DocumentText(options_, written_.root.version + 1, drained)).value();
  request.author = "ops";
  request.id = std::to_string(written_.root.version);
  const auto plan = PlanApply(BaseOf(written_.root), written_, request);
  written_ = {plan.value().root, std::move(request.document)};
  offer_ = {Serialize(written_.root)};
  for (const config_section& section : plan.value().changed) {
    bodies_[section.digest] = section.body;
    offer_.push_back(section.body);
    ++counts_.writes;
  }
  ++counts_.writes;
  root_ = stored_value{offer_.front(), written_.root.version};
  written_at_ = now_;
  for (const auto& watch : std::exchange(watches_, {}))
    After(kServiceLatency, watch);
  return written_.root.version;
}

void fleet_model::Offer(std::size_t targets) {
  std::size_t bytes = 0;
  for (const std::string& body : offer_)
    bytes += body.size();
  const offer_settings settings;
  const auto plan = PlanOffers(peers_, Digest(written_.root), bytes, settings);
  std::size_t sent = 0;
  for (const offer_target& target : plan) {
    if (sent == targets)
      return;
    // The tool keeps a number of offers open; each takes about two latencies.
    After(2 * kRemoteLatency * (sent++ / settings.parallel),
          [this, target, settings] { OfferTo(target.peer, settings.tries); });
  }
}

void fleet_model::OfferTo(std::size_t index, std::size_t tries) {
  std::size_t bytes = kRequestOverhead;
  for (const std::string& body : offer_)
    bytes += body.size();
  ++counts_.messages;
  counts_.bytes += bytes;
  node_bytes_[index] += bytes;
  if (Lost() || in_part_[index] || !nodes_[index]) {
    if (tries > 1) {
      After(offer_settings().call_timeout, [this, index, tries] { OfferTo(index, tries - 1); });
    }
    return;
  }
  After(kRemoteLatency,
        [this, index, offer = offer_, version = written_.root.version, at = written_at_] {
          if (!nodes_[index])
            return;
          nodes_[index]->exchange.OnOffer({version, Sha256Hex(offer.front()), now_ - at}, offer,
                                          At(now_));
          Observe(index);
        });
}

void fleet_model::Cut(const std::function<bool(const config_peer&)>& in_part) {
  for (std::size_t i = 0; i < peers_.size(); ++i)
    in_part_[i] = in_part(peers_[i]);
}

void fleet_model::Heal() {
  in_part_.assign(peers_.size(), false);
}

void fleet_model::RunUntil(milliseconds end) {
  while (!events_.empty() && events_.front().at <= end) {
    std::pop_heap(events_.begin(), events_.end());
    const event next = std::move(events_.back());
    events_.pop_back();
    now_ = next.at;
    next.run();
  }
  now_ = end;
}

bool fleet_model::RunUntilHeld(std::uint64_t version, milliseconds end) {
  const auto held = [&] {
    return std::all_of(nodes_.begin(), nodes_.end(), [version](const auto& entry) {
      return !entry || entry->holder.version() >= version;
    });
  };
  while (!held()) {
    if (now_ >= end)
      return false;
    RunUntil(std::min(end, now_ + milliseconds(10)));
  }
  return true;
}

const config_holder& fleet_model::holder(std::size_t index) const {
  return nodes_[index]->holder;
}

bool fleet_model::IsWatcher(std::size_t index) const {
  return nodes_[index]->exchange.IsWatcher(At(now_));
}

holder_status fleet_model::Status(std::size_t index) const {
  return nodes_[index]->holder.Status(At(now_));
}

}  // namespace quincebank
