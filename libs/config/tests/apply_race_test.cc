#include <gtest/gtest.h>

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fixtures.h"
#include "quincebank/base/digest.h"
#include "quincebank/config/apply_flow.h"

namespace quincebank {
namespace {

using fixtures::Document;
using fixtures::Replace;

constexpr time_point kStart{seconds(100)};

/// What happens to one root call of a flow.
enum class call_fault : std::uint8_t {
  kNone,
  kRequestLost,  ///< Never arrives; the flow only sees no answer.
  kAnswerLost,   ///< Takes effect; the flow sees no answer.
  kDelayed,      ///< The flow sees no answer; takes effect at any later point, or at the end.
  kCutOff,       ///< This call and all later ones of the flow never arrive.
};

struct pending_swap {
  std::string value;
  std::uint64_t index = 0;
};

/// Key-value service with one root, and all roots that were ever in force.
struct store {
  std::map<std::string, std::string> sections;
  std::optional<stored_value> root;
  std::uint64_t next_index = 1;
  std::vector<config_root> roots;

  bool Swap(const std::string& value, std::uint64_t index) {
    if (index != (root ? root->index : 0))
      return false;
    root = stored_value{value, next_index++};
    roots.push_back(ParseRoot(value).value());
    return true;
  }
};

struct operator_state {
  apply_flow flow;
  time_point now = kStart;  ///< Each flow has its own clock, so waits order nothing.
  bool cut_off = false;
  std::string trace;  ///< Answers so far; a flow is a function of them.
};

struct world {
  store kv;
  std::vector<operator_state> operators;
  std::vector<pending_swap> pending;
  std::size_t faults_left = 0;
};

struct race_case {
  const char* name;
  std::vector<std::string> documents;  ///< One for each operator, `ops` with force.
  std::vector<std::string> sections;   ///< Section that each of them changes.
  std::size_t faults = 0;
  std::size_t min_accepted = 0;  ///< Without cut-off operators.
  std::size_t max_accepted = 0;
};

/// Walks all interleavings of the root calls of the operators with all faults up to a budget.
/// Section calls commute with all other calls, since keys are digests, so they run at once.
class race_explorer {
 public:
  explicit race_explorer(const race_case& scenario) : scenario_(scenario) {}

  void Run() {
    world initial;
    apply_flow first(Request(Document(), "first"), {}, kStart);
    operator_state setup{first, kStart, false, ""};
    while (!Finished(setup, initial.kv))
      RunRootCall(setup, initial, call_fault::kNone);
    ASSERT_TRUE(setup.flow.outcome().accepted);
    base_ = initial.kv.roots.back();
    for (std::size_t i = 0; i < scenario_.documents.size(); ++i) {
      const std::string author = "operator-" + std::to_string(i);
      initial.operators.push_back(
          {apply_flow(EditOfFirst(scenario_.documents[i], author), {}, kStart), kStart, false, ""});
    }
    initial.faults_left = scenario_.faults;
    Explore(initial);
  }

  std::size_t ends = 0;
  std::size_t steps = 0;
  std::set<std::string> failures;

 private:
  static apply_request Request(const std::string& text, const std::string& author) {
    apply_request request;
    request.document = ParsePartialDocument(text).value();
    request.author = author;
    request.force = true;
    request.id = "id-" + author;
    return request;
  }

  [[nodiscard]] apply_request EditOfFirst(const std::string& text,
                                          const std::string& author) const {
    apply_request request = Request(text, author);
    request.document.base = BaseOf(base_);
    return request;
  }

  /// Runs section calls and waits up to the next root call; true if the flow has ended.
  static bool Finished(operator_state& state, store& kv) {
    for (;;) {
      const apply_action action = state.flow.Next(state.now);
      switch (action.step) {
        case apply_step::kFinished:
          return true;
        case apply_step::kWait:
          state.now = action.not_before;
          break;
        case apply_step::kReadSection:
        case apply_step::kWriteSection:
        case apply_step::kReadBody:
        case apply_step::kTouchSection:
          if (state.cut_off) {
            state.flow.OnError(MakeError(error_code::kTimeout, "cut off", verdict::kMayHaveRun),
                               state.now);
          } else if (action.step == apply_step::kWriteSection) {
            state.flow.OnWritten(kv.sections.emplace(action.key, action.value).second, state.now);
          } else if (action.step == apply_step::kTouchSection) {
            state.flow.OnWritten(true, state.now);
          } else {
            const auto found = kv.sections.find(action.key);
            state.flow.OnRead(found == kv.sections.end()
                                  ? std::nullopt
                                  : std::optional<stored_value>({found->second, 1}),
                              state.now);
          }
          break;
        default:
          return false;
      }
    }
  }

  static void RunRootCall(operator_state& state, world& all, call_fault fault) {
    const apply_action action = state.flow.Next(state.now);
    const error lost = MakeError(error_code::kTimeout, "no answer", verdict::kMayHaveRun);
    state.cut_off = state.cut_off || fault == call_fault::kCutOff;
    if (state.cut_off || fault == call_fault::kRequestLost) {
      state.trace += state.cut_off ? 'c' : 'l';
      state.flow.OnError(lost, state.now);
      return;
    }
    if (action.step != apply_step::kSwapRoot) {
      if (fault == call_fault::kNone) {
        state.trace += "r" + std::to_string(all.kv.root ? all.kv.root->index : 0);
        state.flow.OnRead(all.kv.root, state.now);
      } else {
        state.flow.OnError(lost, state.now);
      }
      return;
    }
    state.trace += fault == call_fault::kNone ? "" : "l";
    if (fault == call_fault::kDelayed) {
      all.pending.push_back({action.value, action.index});
      state.flow.OnError(lost, state.now);
      return;
    }
    const bool applied = all.kv.Swap(action.value, action.index);
    if (fault == call_fault::kAnswerLost) {
      state.flow.OnError(lost, state.now);
    } else {
      state.trace += applied ? 'a' : 'n';
      state.flow.OnWritten(applied, state.now);
    }
  }

  /// Two worlds with one key have the same future, so only the first one is followed.
  static std::string KeyOf(const world& state) {
    std::string key = std::to_string(state.faults_left);
    for (const operator_state& entry : state.operators)
      key += "|" + entry.trace;
    for (const config_root& root : state.kv.roots)
      key += "/" + Digest(root);
    std::multiset<std::string> pending;
    for (const pending_swap& swap : state.pending)
      pending.insert(swap.value);
    for (const std::string& value : pending)
      key += "+" + Sha256Hex(value);
    return key;
  }

  void Explore(world& current) {
    // A flow that is cut off affects nobody any more, so its end is not interleaved with others.
    for (operator_state& entry : current.operators) {
      while (entry.cut_off && !Finished(entry, current.kv))
        RunRootCall(entry, current, call_fault::kNone);
    }
    if (!seen_.insert(KeyOf(current)).second)
      return;
    ++steps;
    bool any = false;
    for (std::size_t i = 0; i < current.operators.size(); ++i) {
      if (Finished(current.operators[i], current.kv))
        continue;
      any = true;
      const bool is_swap =
          current.operators[i].flow.Next(current.operators[i].now).step == apply_step::kSwapRoot;
      for (const call_fault fault :
           {call_fault::kNone, call_fault::kRequestLost, call_fault::kAnswerLost,
            call_fault::kDelayed, call_fault::kCutOff}) {
        const bool only_swaps = fault == call_fault::kAnswerLost || fault == call_fault::kDelayed;
        if (only_swaps && !is_swap)
          continue;
        if (fault != call_fault::kNone && current.faults_left == 0)
          continue;
        world next = Copy(current);
        next.faults_left -= fault == call_fault::kNone ? 0 : 1;
        RunRootCall(next.operators[i], next, fault);
        Explore(next);
      }
    }
    for (std::size_t i = 0; i < current.pending.size(); ++i) {
      world next = Copy(current);
      next.pending.erase(next.pending.begin() + static_cast<std::ptrdiff_t>(i));
      next.kv.Swap(current.pending[i].value, current.pending[i].index);
      Explore(next);
    }
    if (!any && current.pending.empty())
      CheckEnd(current);
  }

  static world Copy(const world& from) { return from; }

  void Fail(const std::string& what) { failures.insert(what); }

  void CheckRoots(const store& kv) {
    std::string previous = Digest(base_);
    for (std::size_t i = 1; i < kv.roots.size(); ++i) {
      const config_root& root = kv.roots[i];
      if (root.version != i + 1 || root.previous.front() != previous)
        Fail("a root does not follow the one before it");
      previous = Digest(root);
      config_document document;
      for (const auto& [name, ref] : root.sections) {
        const auto body = kv.sections.find(SectionKey(ref.digest));
        if (body == kv.sections.end()) {
          Fail("half in force: body of " + name + " is missing");
          continue;
        }
        document.sections.push_back(ParseSection(name, body->second).value());
      }
      if (auto checked = CheckDocument(document); !checked)
        Fail("a faulty document is in force: " + Describe(checked.error()));
    }
  }

  void CheckEnd(const world& end) {
    ++ends;
    CheckRoots(end.kv);
    std::size_t accepted = 0;
    bool cut_off = false;
    for (std::size_t i = 0; i < end.operators.size(); ++i) {
      const operator_state& state = end.operators[i];
      const apply_outcome& outcome = state.flow.outcome();
      cut_off = cut_off || state.cut_off;
      std::size_t in_force = 0;
      for (const config_root& root : end.kv.roots)
        in_force += root.author == "operator-" + std::to_string(i) ? 1 : 0;
      if (in_force > 1)
        Fail("a change is in force twice");
      if (outcome.accepted) {
        ++accepted;
        CheckAccepted(end, i, in_force);
      } else if (outcome.reason.outcome == verdict::kNotRun && in_force > 0) {
        Fail("rejected as not in force, but it is: " + outcome.reason.message);
      } else if (outcome.reason.outcome == verdict::kMayHaveRun && !state.cut_off) {
        Fail("unresolved although the service answers: " + outcome.reason.message);
      }
    }
    if (accepted > scenario_.max_accepted)
      Fail("more changes accepted than can be in force together");
    if (!cut_off && accepted < scenario_.min_accepted)
      Fail("a change that had no conflict was rejected");
  }

  void CheckAccepted(const world& end, std::size_t i, std::size_t in_force) {
    if (in_force != 1) {
      Fail("accepted, but not in force");
      return;
    }
    const std::string& section = scenario_.sections[i];
    const config_document mine = ParsePartialDocument(scenario_.documents[i]).value();
    const config_section* const wanted = mine.Find(section);
    const config_root& last = end.kv.roots.back();
    const auto found = last.sections.find(section);
    const std::string digest = found == last.sections.end() ? "" : found->second.digest;
    if (digest != (wanted == nullptr ? "" : wanted->digest))
      Fail("an accepted change of " + section + " was lost");
  }

  const race_case& scenario_;
  std::set<std::string> seen_;
  config_root base_;
};

class apply_race_test : public testing::TestWithParam<race_case> {};

// Guards against an accepted change that is lost or in force in part, and against a wrong verdict
// on a change whose swap was lost, delayed or repeated.
TEST_P(apply_race_test, EveryInterleavingEndsWithATrueVerdict) {
  race_explorer explorer(GetParam());
  explorer.Run();
  EXPECT_GT(explorer.ends, 1U);
  for (const std::string& failure : explorer.failures)
    ADD_FAILURE() << failure;
  RecordProperty("states", std::to_string(explorer.steps));
  RecordProperty("ends", std::to_string(explorer.ends));
}

const std::string kWeight5 = Replace(Document(), "\"weight\": 4", "\"weight\": 5");
const std::string kWeight6 = Replace(Document(), "\"weight\": 4", "\"weight\": 6");
const std::string kThreshold = Replace(Document(), "1200", "1300");
const std::string kOut = Document("out");
INSTANTIATE_TEST_SUITE_P(
    Operators,
    apply_race_test,
    testing::Values(race_case{"two_on_different_sections",
                              {kWeight5, kOut},
                              {"workspaces-a", "domains"},
                              2,
                              2,
                              2},
                    race_case{"two_on_one_section",
                              {kWeight5, kWeight6},
                              {"workspaces-a", "workspaces-a"},
                              2,
                              1,
                              1},
                    race_case{"two_that_break_each_other",
                              {Replace(Document(),
                                       "{\"service\": \"bahi\", \"workspace\": \"stalls\"}",
                                       "{\"service\": \"bahi\", \"workspace\": \"halls\"}"),
                               Replace(Document(), ", {\"name\": \"halls\"}", "")},
                              {"objectives", "workspaces-a"},
                              2,
                              1,
                              1},
                    race_case{"three_on_different_sections",
                              {kWeight5, kOut, kThreshold},
                              {"workspaces-a", "domains", "objectives"},
                              1,
                              3,
                              3},
                    race_case{"three_on_two_sections",
                              {kWeight5, kOut, kWeight6},
                              {"workspaces-a", "domains", "workspaces-a"},
                              1,
                              2,
                              2}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
