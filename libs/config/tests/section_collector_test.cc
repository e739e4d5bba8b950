#include "quincebank/config/section_collector.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fixtures.h"
#include "quincebank/base/digest.h"

namespace quincebank {
namespace {

using fixtures::Document;
using kind = collect_call::kind;

constexpr time_point kStart{seconds(100)};
constexpr collect_settings kAtOnce{.grace = 0};

/// Key-value service whose indexes never come back.
struct body_store {
  std::map<std::string, stored_value> items;
  std::uint64_t index = 0;

  [[nodiscard]] std::optional<stored_value> Read(const std::string& key) const {
    const auto found = items.find(key);
    return found == items.end() ? std::nullopt : std::optional(found->second);
  }
  bool Swap(const std::string& key, const std::string& value, std::uint64_t expected) {
    const auto found = items.find(key);
    if ((found == items.end() ? 0 : found->second.index) != expected)
      return false;
    items[key] = {value, ++index};
    return true;
  }
  bool Erase(const std::string& key, std::uint64_t expected) {
    const auto found = items.find(key);
    if (found == items.end() || found->second.index != expected)
      return false;
    items.erase(found);
    return true;
  }
  [[nodiscard]] config_root Root() const {
    return ParseRoot(items.at(std::string(kRootKey)).value).value();
  }
  /// Name of a section of the root in force whose body is missing; empty if there is none.
  [[nodiscard]] std::string Missing() const {
    for (const auto& [name, ref] : Root().sections) {
      if (!items.contains(SectionKey(ref.digest)))
        return name;
    }
    return {};
  }
  [[nodiscard]] std::size_t Bodies() const {
    std::size_t count = 0;
    for (const auto& [key, item] : items)
      count += key.starts_with("config/section/") ? 1 : 0;
    return count;
  }
};

/// What becomes of one call.
enum class fate : std::uint8_t { kNone, kRequestLost, kAnswerLost, kDelayed };

/// Rules of the system that a test can break, to show that its checks find it.
enum class broken : std::uint8_t { kNothing, kNoFence, kNoTouch, kErasesAnyIndex };

/// One call of a flow or a collector, in one form.
struct store_call {
  kind what = kind::kRead;
  std::string key;
  std::string value;
  std::uint64_t index = 0;
};

struct actor {
  std::optional<apply_flow> flow;
  std::optional<section_collector> collector;
  time_point now = kStart;
  std::string trace;

  std::optional<store_call> Next() {
    if (collector) {
      const auto call = collector->Next();
      return call ? std::optional(store_call{call->what, call->key, call->value, call->index})
                  : std::nullopt;
    }
    for (;;) {
      const apply_action action = flow->Next(now);
      switch (action.step) {
        case apply_step::kFinished:
          return std::nullopt;
        case apply_step::kWait:
          now = action.not_before;
          continue;
        case apply_step::kWriteSection:
        case apply_step::kTouchSection:
        case apply_step::kSwapRoot:
          return store_call{kind::kSwap, action.key, action.value, action.index};
        default:
          return store_call{kind::kRead, action.key, {}, 0};
      }
    }
  }
  void Lose() {
    trace += 'l';
    if (collector)
      collector->OnError();
    else
      flow->OnError(MakeError(error_code::kTimeout, "no answer", verdict::kMayHaveRun), now);
  }
  void Answer(const std::optional<stored_value>& value) {
    trace += "r" + std::to_string(value ? value->index : 0);
    if (collector)
      collector->OnRead(value);
    else
      flow->OnRead(value, now);
  }
  void Answer(bool applied) {
    trace += applied ? 'a' : 'n';
    if (collector)
      collector->OnWritten(applied);
    else
      flow->OnWritten(applied, now);
  }
};

apply_request Request(const std::string& text, const std::string& author) {
  apply_request request;
  request.document = ParseDocument(text).value();
  request.author = author;
  request.force = true;
  request.replace = true;
  request.id = "id-" + author;
  return request;
}

bool Perform(body_store& store, const store_call& call) {
  return call.what == kind::kErase ? store.Erase(call.key, call.index)
                                   : store.Swap(call.key, call.value, call.index);
}

void RunToEnd(body_store& store, actor& one) {
  while (const auto call = one.Next()) {
    if (call->what == kind::kRead)
      one.Answer(store.Read(call->key));
    else
      one.Answer(Perform(store, *call));
  }
}

/// Applies a document and returns the digests that it dropped.
std::vector<std::string> Apply(body_store& store, const std::string& text, const char* author) {
  actor one{.flow = apply_flow(Request(text, author), {}, kStart)};
  RunToEnd(store, one);
  EXPECT_TRUE(one.flow->outcome().accepted) << Describe(one.flow->outcome().reason);
  return one.flow->outcome().dropped;
}

std::size_t Collect(body_store& store, std::vector<std::string> dropped, collect_settings rules) {
  actor one{.collector = section_collector(std::move(dropped), rules)};
  RunToEnd(store, one);
  return one.collector->erased();
}

struct world {
  body_store store;
  std::vector<actor> actors;
  std::vector<store_call> pending;
  int faults = 1;
};

/// Walks all interleavings of all calls of its actors, with faults up to a budget.
class collect_explorer {
 public:
  explicit collect_explorer(broken rule) : rule_(rule) {}

  void Explore(const world& current) {
    if (!current.store.Missing().empty()) {
      failures.insert("body of '" + current.store.Missing() + "' is missing");
      return;
    }
    if (!seen_.insert(KeyOf(current)).second)
      return;
    ++states;
    bool any = false;
    for (std::size_t i = 0; i < current.actors.size(); ++i) {
      actor probe = current.actors[i];
      const auto call = probe.Next();
      if (!call)
        continue;
      any = true;
      for (const fate what : {fate::kNone, fate::kRequestLost, fate::kAnswerLost, fate::kDelayed}) {
        const bool read = call->what == kind::kRead;
        if (what != fate::kNone && (current.faults == 0 || (read && what != fate::kRequestLost)))
          continue;
        world next = current;
        next.faults -= what == fate::kNone ? 0 : 1;
        (void)next.actors[i].Next();  // Passes its waits, as the probe did.
        Step(next, next.actors[i], *call, what);
        Explore(next);
      }
    }
    for (std::size_t i = 0; i < current.pending.size(); ++i) {
      world next = current;
      next.pending.erase(next.pending.begin() + static_cast<std::ptrdiff_t>(i));
      (void)Perform(next.store, current.pending[i]);
      Explore(next);
    }
    if (any || !current.pending.empty())
      return;
    ++ends;
    for (const actor& one : current.actors)
      accepted += one.flow && one.flow->outcome().accepted ? 1 : 0;
  }

  std::size_t states = 0;
  std::size_t ends = 0;
  std::size_t accepted = 0;
  std::set<std::string> failures;

 private:
  void Step(world& next, actor& one, const store_call& call, fate what) const {
    if (what == fate::kRequestLost)
      return one.Lose();
    if (call.what == kind::kRead)
      return one.Answer(next.store.Read(call.key));
    if (rule_ == broken::kNoFence && one.collector && call.key == kRootKey)
      return one.Answer(true);
    const bool section = call.key.starts_with("config/section/");
    if (rule_ == broken::kNoTouch && section && call.what == kind::kSwap &&
        next.store.items.contains(call.key))
      return one.Answer(true);
    store_call run = call;
    if (rule_ == broken::kErasesAnyIndex && run.what == kind::kErase)
      run.index = next.store.items.contains(run.key) ? next.store.items.at(run.key).index : 0;
    if (what == fate::kDelayed) {
      next.pending.push_back(run);
      return one.Lose();
    }
    const bool applied = Perform(next.store, run);
    if (what == fate::kAnswerLost)
      return one.Lose();
    one.Answer(applied);
  }

  /// Two worlds with one key have the same future, so only the first one is followed.
  static std::string KeyOf(const world& state) {
    std::string key = std::to_string(state.faults);
    for (const actor& one : state.actors)
      key += "|" + one.trace;
    for (const auto& [name, item] : state.store.items)
      key += "/" + name.substr(0, 24) + std::to_string(item.index);
    for (const store_call& call : state.pending)
      key += "+" + call.key + std::to_string(call.index);
    return key;
  }

  const broken rule_;
  std::set<std::string> seen_;
};

/// Version 2 has dropped a body of version 1, and applies bring version 1's content back while
/// collectors run.
world Race(std::size_t applies, std::size_t collectors) {
  world start;
  (void)Apply(start.store, Document("in"), "first");
  Collect(start.store, Apply(start.store, Document("out"), "second"), {});
  for (std::size_t i = 0; i < applies; ++i) {
    const std::string author = "back-" + std::to_string(i);
    start.actors.push_back({.flow = apply_flow(Request(Document("in"), author), {}, kStart)});
  }
  for (std::size_t i = 0; i < collectors; ++i)
    start.actors.push_back({.collector = section_collector({}, kAtOnce)});
  return start;
}

struct race_case {
  const char* name;
  std::size_t applies;
  std::size_t collectors;
  int faults;
};

class collect_race_test : public testing::TestWithParam<race_case> {};

// Guards against erasing a body that an apply, paused between its calls, is about to name.
TEST_P(collect_race_test, NeverErasesABodyThatARootNames) {
  world start = Race(GetParam().applies, GetParam().collectors);
  start.faults = GetParam().faults;
  collect_explorer explorer(broken::kNothing);
  explorer.Explore(start);
  EXPECT_EQ(explorer.failures, std::set<std::string>());
  EXPECT_EQ(explorer.accepted, explorer.ends * GetParam().applies)
      << "an apply was rejected because of a collector";
  std::cout << GetParam().name << ": " << explorer.states << " states, " << explorer.ends
            << " ends\n";
}

INSTANTIATE_TEST_SUITE_P(Races,
                         collect_race_test,
                         testing::Values(race_case{"one_collector", 1, 1, 1},
                                         race_case{"two_collectors", 1, 2, 0},
                                         race_case{"two_applies", 2, 1, 0}),
                         [](const auto& info) { return info.param.name; });

class broken_collect_test : public testing::TestWithParam<broken> {};

// Guards against checks that accept a collector without one of its rules.
TEST_P(broken_collect_test, IsCaught) {
  world start = Race(1, 1);
  collect_explorer explorer(GetParam());
  explorer.Explore(start);
  EXPECT_FALSE(explorer.failures.empty());
}

INSTANTIATE_TEST_SUITE_P(Rules,
                         broken_collect_test,
                         testing::Values(broken::kNoFence,
                                         broken::kNoTouch,
                                         broken::kErasesAnyIndex));

// Guards against bodies that pile up, against work without bound in one run, and against erasing a
// body that a node may still fetch.
TEST(section_collector_test, KeepsTheBodiesOfTheLastVersionsOnly) {
  body_store store;
  const collect_settings rules{.max_bodies = 2, .grace = 3};
  for (int i = 0; i < 40; ++i) {
    const std::string text =
        fixtures::Replace(Document(), "\"weight\": 4", "\"weight\": " + std::to_string(10 + i));
    const std::size_t erased = Collect(store, Apply(store, text, "ops"), rules);
    EXPECT_LE(erased, rules.max_bodies);
    EXPECT_EQ(store.Missing(), "");
    EXPECT_LE(store.Bodies(), 6 + rules.grace);
  }
  EXPECT_EQ(store.Bodies(), 6 + rules.grace);
}

// Guards against losing what another tool has listed, and against a run without end.
TEST(section_collector_test, AddsToAListThatChangesMeanwhile) {
  body_store store;
  (void)Apply(store, Document("in"), "first");
  section_collector collector({"mine"}, {});
  int calls = 0;
  while (const auto call = collector.Next()) {
    ASSERT_LT(++calls, 30);
    if (call->what == kind::kRead) {
      collector.OnRead(store.Read(call->key));
      continue;
    }
    if (calls < 4)
      Collect(store, {"other"}, {});
    collector.OnWritten(store.Swap(call->key, call->value, call->index));
  }
  const std::string list = store.Read(std::string(kGarbageKey))->value;
  EXPECT_NE(list.find("mine"), std::string::npos) << list;
  EXPECT_NE(list.find("other"), std::string::npos) << list;
}

// Guards against overwriting a list that this program can't read.
TEST(section_collector_test, LeavesAMalformedListAlone) {
  body_store store;
  (void)Apply(store, Document("in"), "first");
  EXPECT_TRUE(store.Swap(std::string(kGarbageKey), R"({"dropped": [{"digest": 1}]})", 0));
  const std::string before = store.Read(std::string(kGarbageKey))->value;
  EXPECT_EQ(Collect(store, {"mine"}, kAtOnce), 0U);
  EXPECT_EQ(store.Read(std::string(kGarbageKey))->value, before);
}

// Guards against bodies that a rejected apply leaves behind for good.
TEST(section_collector_test, ARejectedApplyListsWhatItWrote) {
  body_store store;
  (void)Apply(store, Document("in"), "first");
  actor late{.flow = apply_flow(Request(Document("out"), "late"), {}, kStart)};
  while (const auto call = late.Next()) {
    if (call->key == kRootKey && call->what == kind::kSwap)
      late.Lose();
    else if (call->what == kind::kRead)
      late.Answer(store.Read(call->key));
    else
      late.Answer(Perform(store, *call));
  }
  EXPECT_FALSE(late.flow->outcome().accepted);
  EXPECT_EQ(store.Bodies(), 7U);
  Collect(store, late.flow->outcome().dropped, kAtOnce);
  EXPECT_EQ(Collect(store, {}, kAtOnce), 1U);
  EXPECT_EQ(store.Bodies(), 6U);
  EXPECT_EQ(store.Missing(), "");
}

}  // namespace
}  // namespace quincebank
