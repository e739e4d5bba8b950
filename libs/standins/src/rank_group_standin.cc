#include <algorithm>
#include <atomic>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json/array.hpp>
#include <charconv>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http_reply.h"
#include "quincebank/net/net.h"
#include "quincebank/standins/standin.h"
#include "rank_load.h"
#include "rank_model.h"

namespace quincebank {
namespace {

namespace json = boost::json;

constexpr std::string_view kRanksPrefix = "/ranks/";
constexpr int_range kAny{};
constexpr int_range kCount{0, 1'000'000};
constexpr int_range kPermille{1, 10'000};
constexpr int_range kRankOrNone{-1, 1'000'000};
constexpr std::int64_t kBaseTokens = 100;  // Of each rank, step and expert.
constexpr std::int64_t kNormalPermille = 1'000;

/// All ranks of one group in lock-step. A step begins at a rank once all ranks have ended the one
/// before, so that ranks differ by at most one started step.
class rank_group_standin final : public standin {
 public:
  explicit rank_group_standin(const standin_settings& settings)
      : settings_(settings),
        ranks_(static_cast<std::size_t>(settings.ranks)),
        tokens_(static_cast<std::size_t>(settings.layers),
                std::vector<std::int64_t>(static_cast<std::size_t>(settings.experts))),
        slow_rank_(settings.slow_rank),
        slow_permille_(settings.slow_permille) {
    StartLoads();
    for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
      first_shares_.push_back(
          FirstShares(rank, ranks_.size(), tokens_.size(), tokens_.front().size()));
    }
  }

  ~rank_group_standin() override {
    stop_.Set();
    while (fibers_ > 0)
      std::this_thread::sleep_for(milliseconds(1));
  }
  rank_group_standin(const rank_group_standin&) = delete;
  rank_group_standin& operator=(const rank_group_standin&) = delete;

  void Handle(http_exchange& exchange) override {
    if (!running_) {
      running_ = true;
      // Steps run from the first call on, in a fiber of the thread that serves the calls.
      Spawn([this] { RunSteps(); });
    }
    const http_request& request = exchange.request();
    if (request.target == "/control") {
      Control(exchange);
    } else if (request.target == "/health") {
      ReplyJson(exchange, 200, json::object{{"boot", Boot()}, {"running", 0}, {"waiting", 0}});
    } else if (request.target.starts_with(kRanksPrefix)) {
      HandleRank(exchange, std::string_view(request.target).substr(kRanksPrefix.size()));
    } else {
      ReplyError(exchange, 404, "not found");
    }
  }

 private:
  [[nodiscard]] std::uint64_t Boot() const noexcept { return settings_.seed + 1 + reboots_; }

  void StartLoads() {
    loads_.clear();
    for (std::size_t rank = 0; rank < ranks_.size(); ++rank)
      loads_.emplace_back(tokens_.size(), tokens_.front().size(), settings_.seed + rank);
  }

  /// All engines start again with their initial map. Orders under way are executed later.
  void Reboot() {
    ++reboots_;
    steps_ = 0;
    ranks_.assign(ranks_.size(), rank_model());
    StartLoads();
  }

  template <typename Task>
  void Spawn(Task task) {
    ++fibers_;
    boost::fibers::fiber([this, task = std::move(task)] {
      task();
      --fibers_;
    }).detach();
  }

  void RunSteps() {
    while (!stop_.WaitFor(settings_.step_time)) {
      const std::uint64_t step = steps_;
      for (rank_model& rank : ranks_) {
        if (rank.next_step() == step && rank.MayStart(step))
          rank.StartStep();
      }
      const bool all = std::all_of(ranks_.begin(), ranks_.end(), [step](const rank_model& rank) {
        return rank.next_step() > step;
      });
      if (!all) {
        ++stalled_ticks_;
        stalls_ += stalled_ ? 0 : 1;
        stalled_ = true;
        continue;
      }
      EndStep();
    }
  }

  void EndStep() {
    stalled_ = false;
    ++steps_;
    const rank_model& first = ranks_.front();
    const bool mixed = std::any_of(ranks_.begin(), ranks_.end(), [&](const rank_model& rank) {
      return rank.active() != first.active() || rank.active_map() != first.active_map();
    });
    mixed_ += mixed ? 1 : 0;
    const auto ranks = static_cast<std::int64_t>(ranks_.size());
    for (std::vector<std::int64_t>& layer : tokens_) {
      std::fill(layer.begin(), layer.end(), kBaseTokens * ranks);
      if (hot_tokens_ > 0)
        layer[static_cast<std::size_t>(hot_expert_) % layer.size()] += hot_tokens_ * ranks;
    }
    for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
      const rank_shares* const shares = ranks_[rank].active_shares();
      const bool slow = static_cast<std::int64_t>(rank) == slow_rank_;
      loads_[rank].AddStep(shares == nullptr ? first_shares_[rank] : *shares, tokens_,
                           slow ? slow_permille_ : kNormalPermille);
      if (slow && stall_ns_ > 0)
        loads_[rank].Stall(std::exchange(stall_ns_, 0));
    }
  }

  void HandleRank(http_exchange& exchange, std::string_view rest) {
    std::size_t index = 0;
    const char* const end = rest.data() + rest.size();
    const auto [next, ec] = std::from_chars(rest.data(), end, index);
    if (ec != std::errc() || index >= ranks_.size()) {
      ReplyError(exchange, 404, "no such rank");
      return;
    }
    const std::string_view what(next, static_cast<std::size_t>(end - next));
    const std::string& method = exchange.request().method;
    if (what == "/view" && method == "GET") {
      ReplyJson(exchange, 200, View(ranks_[index]));
    } else if (what == "/tokens" && method == "GET") {
      ReplyJson(exchange, 200, Tokens(index));
    } else if (what == "/orders" && method == "POST") {
      Order(exchange, index);
    } else {
      ReplyError(exchange, 404, "not found");
    }
  }

  [[nodiscard]] json::object View(const rank_model& rank) const {
    json::array epochs;
    for (const auto& [epoch, state] : rank.epochs()) {
      json::object entry{{"epoch", epoch}, {"staged", state.staged}};
      if (state.hold)
        entry["hold"] = *state.hold;
      epochs.push_back(std::move(entry));
    }
    return {{"boot", Boot()},
            {"next_step", rank.next_step()},
            {"map", rank.active()},
            {"pending", rank.pending()},
            {"epochs", std::move(epochs)}};
  }

  /// Tokens that the rank's experts have handled since the start, and the time that it took.
  [[nodiscard]] json::object Tokens(std::size_t rank) const {
    json::array layers;
    for (const std::vector<std::int64_t>& layer : loads_[rank].Tokens())
      layers.push_back(json::array(layer.begin(), layer.end()));
    json::object object{{"steps", steps_}, {"layers", std::move(layers)}};
    if (static_cast<std::int64_t>(rank) != untimed_rank_)
      object["busy_ns"] = loads_[rank].busy_ns();
    return object;
  }

  /// Reads the map of a stage order, if it has one that fits.
  [[nodiscard]] std::shared_ptr<const rank_shares> ReadPlacement(const json::value& body,
                                                                 std::size_t rank) const {
    const json::object* const object = body.if_object();
    const json::value* const map = object ? object->if_contains("placement") : nullptr;
    if (map == nullptr)
      return nullptr;
    auto shares = ReadShares(*map, rank, ranks_.size(), tokens_.size(), tokens_.front().size());
    return shares ? std::make_shared<const rank_shares>(std::move(*shares)) : nullptr;
  }

  void Order(http_exchange& exchange, std::size_t index) {
    const auto parsed = ParseJson(exchange.request().body);
    if (!parsed) {
      ReplyError(exchange, 400, Describe(parsed.error()));
      return;
    }
    std::vector<error> errors;
    json_reader reader(parsed.value(), "", errors);
    rank_order order;
    order.kind = reader.String("kind");
    order.epoch = static_cast<std::uint64_t>(reader.Int("epoch", kAny));
    order.step = static_cast<std::uint64_t>(reader.Int("step", kAny));
    order.fence = static_cast<std::uint64_t>(reader.Int("fence", kAny));
    order.map = reader.String("map", "");
    order.shares = ReadPlacement(parsed.value(), index);
    if (!errors.empty()) {
      ReplyError(exchange, 400, Describe(JoinErrors(errors)));
      return;
    }
    ++orders_;
    if (Take(late_orders_))
      boost::this_fiber::sleep_for(late_);
    const bool taken = ranks_[index].Execute(order, settings_.checks_fencing);
    const bool late_answer = Take(late_answers_);
    const bool lost_answer = Take(lose_answers_);
    if (Take(repeat_orders_)) {
      Spawn([this, order, index] {
        if (!stop_.WaitFor(late_))
          (void)ranks_[index].Execute(order, settings_.checks_fencing);
      });
    }
    if (late_answer)
      boost::this_fiber::sleep_for(late_);
    if (!lost_answer)
      ReplyJson(exchange, taken ? 200 : 409, json::object{{"taken", taken}});
  }

  static bool Take(std::int64_t& left) {
    if (left == 0)
      return false;
    --left;
    return true;
  }

  void Control(http_exchange& exchange) {
    if (exchange.request().method == "GET") {
      json::array maps;
      json::array since;
      json::array handled;
      json::array busy;
      for (const rank_model& rank : ranks_) {
        maps.push_back(rank.active());
        since.push_back(rank.active_since());
      }
      for (const rank_load& load : loads_) {
        handled.push_back(load.handled());
        busy.push_back(load.busy_ns());
      }
      ReplyJson(exchange, 200,
                json::object{{"steps", steps_},
                             {"mixed_steps", mixed_},
                             {"stalls", stalls_},
                             {"stalled_ticks", stalled_ticks_},
                             {"orders", orders_},
                             {"maps", std::move(maps)},
                             {"since", std::move(since)},
                             {"handled", std::move(handled)},
                             {"busy_ns", std::move(busy)}});
      return;
    }
    ReadControl(exchange, [&](json_reader& reader) {
      late_orders_ = reader.Int("late_orders", kCount, late_orders_);
      late_answers_ = reader.Int("late_answers", kCount, late_answers_);
      lose_answers_ = reader.Int("lose_answers", kCount, lose_answers_);
      repeat_orders_ = reader.Int("repeat_orders", kCount, repeat_orders_);
      late_ = reader.Millis("late_ms", {0, 60'000}, late_);
      hot_expert_ = reader.Int("hot_expert", kCount, hot_expert_);
      hot_tokens_ = reader.Int("hot_tokens", kCount, hot_tokens_);
      slow_rank_ = reader.Int("slow_rank", kCount, slow_rank_);
      slow_permille_ = reader.Int("slow_permille", kPermille, slow_permille_);
      untimed_rank_ = reader.Int("untimed_rank", kRankOrNone, untimed_rank_);
      stall_ns_ = std::chrono::nanoseconds(reader.Millis("stall_ms", {0, 60'000}, {})).count();
      if (reader.Bool("reboot", false))
        Reboot();
    });
  }

  const standin_settings settings_;
  std::vector<rank_model> ranks_;
  std::vector<std::vector<std::int64_t>> tokens_;  // Of one step, for each layer and expert.
  std::vector<rank_load> loads_;
  std::vector<rank_shares> first_shares_;
  stop_signal stop_;
  std::atomic<int> fibers_{0};
  bool running_ = false;
  bool stalled_ = false;
  std::uint64_t reboots_ = 0;
  std::uint64_t steps_ = 0;
  std::uint64_t mixed_ = 0;
  std::uint64_t stalls_ = 0;
  std::uint64_t stalled_ticks_ = 0;
  std::uint64_t orders_ = 0;
  std::int64_t late_orders_ = 0;
  std::int64_t late_answers_ = 0;
  std::int64_t lose_answers_ = 0;
  std::int64_t repeat_orders_ = 0;
  milliseconds late_{0};
  std::int64_t hot_expert_ = 0;
  std::int64_t hot_tokens_ = 0;
  std::int64_t slow_rank_;
  std::int64_t slow_permille_;
  std::int64_t untimed_rank_ = -1;  // Reports no times, like an engine that can't measure them.
  std::int64_t stall_ns_ = 0;       // Added to the next step of the slow rank.
};

}  // namespace

std::unique_ptr<standin> MakeRankGroupStandin(const standin_settings& settings) {
  return std::make_unique<rank_group_standin>(settings);
}

}  // namespace quincebank
