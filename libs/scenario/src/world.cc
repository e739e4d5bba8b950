#include "quincebank/scenario/world.h"

#include <algorithm>
#include <array>

#include "quincebank/scenario/fake_agent.h"
#include "quincebank/scenario/fake_entry.h"

namespace quincebank::scenario {
namespace {

using BOOST_OUTCOME_V2_NAMESPACE::success;

// Longer than all deadlines and timeouts of the fakes together.
constexpr seconds kSettleLimit{120};

std::string Seconds(time_point at) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count()) +
         " ms";
}

}  // namespace

world::world(std::uint64_t seed, order_policy& policy) : bed_(seed, policy) {}
world::~world() = default;

const world::verb_entry* world::FindVerb(std::string_view verb) {
  static constexpr std::array<verb_entry, 23> kVerbs{{
      {"entry", &world::Entry},
      {"agent", &world::Agent},
      {"kill", &world::Kill},
      {"start", &world::Start},
      {"pause", &world::Pause},
      {"cut", &world::Cut},
      {"heal", &world::Heal},
      {"drain", &world::Drain},
      {"undrain", &world::Undrain},
      {"refuse", &world::Refuse},
      {"crash-upstream", &world::CrashUpstream},
      {"evict", &world::Evict},
      {"kv", &world::Store},
      {"late", &world::Late},
      {"retries", &world::Switch},
      {"forwarding", &world::Switch},
      {"retention", &world::Retention},
      {"sweep", &world::Sweep},
      {"order", &world::Order},
      {"retry", &world::Retry},
      {"run", &world::Run},
      {"settle", &world::Settle},
      {"expect", &world::Expect},
  }};
  for (const verb_entry& entry : kVerbs) {
    if (entry.verb == verb)
      return &entry;
  }
  return nullptr;
}

result<void> world::Execute(const script_command& command) {
  const verb_entry* const entry = FindVerb(command.verb.text);
  if (entry == nullptr)
    return ScriptError(command, command.verb, "unknown command '" + command.verb.text + "'");
  return (this->*entry->run)(command);
}

result<std::string> world::Node(const script_command& command, std::size_t word) const {
  const script_word& name = command.words[word];
  if (!is_agent_.contains(name.text) && name.text != fake_store::kNode)
    return ScriptError(command, name, "unknown process '" + name.text + "'");
  return name.text;
}

result<fake_agent*> world::LiveAgent(const script_command& command) {
  const auto found = bed_.agents.find(command.words[0].text);
  if (found == bed_.agents.end())
    return ScriptError(command, command.words[0],
                       "'" + command.words[0].text + "' is no agent that has been started");
  return found->second.get();
}

void world::Announce(const std::string& agent) {
  const incarnation life = bed_.agents.at(agent)->life();
  for (const auto& [name, entry] : bed_.entries) {
    bed_.links.Send({agent, name, bed_.loop.Life(name)},
                    [target = entry.get(), agent, life] { target->Learn(agent, life); });
  }
}

void world::StartNode(const std::string& name, bool agent) {
  is_agent_[name] = agent;
  bed_.loop.Start(name);
  if (agent) {
    bed_.agents[name] = std::make_unique<fake_agent>(bed_, name);
    Announce(name);
    return;
  }
  bed_.entries[name] = std::make_unique<fake_entry>(bed_, name);
  for (const auto& [other, process] : bed_.agents) {
    if (bed_.loop.Alive(other))
      Announce(other);
  }
}

result<void> world::Entry(const script_command& command) {
  for (const script_word& word : command.words) {
    if (is_agent_.contains(word.text))
      return ScriptError(command, word, "'" + word.text + "' exists already");
    StartNode(word.text, false);
  }
  return success();
}

result<void> world::Agent(const script_command& command) {
  for (const script_word& word : command.words) {
    if (is_agent_.contains(word.text))
      return ScriptError(command, word, "'" + word.text + "' exists already");
    StartNode(word.text, true);
  }
  return success();
}

result<void> world::Kill(const script_command& command) {
  BOOST_OUTCOME_TRY(const std::string name, Node(command, 0));
  bed_.loop.Kill(name);
  if (bed_.entries.contains(name))
    bed_.book.EntryDied(name);
  return success();
}

result<void> world::Start(const script_command& command) {
  BOOST_OUTCOME_TRY(const std::string name, Node(command, 0));
  if (name == fake_store::kNode || bed_.loop.Alive(name))
    return ScriptError(command, command.words[0], "'" + name + "' is running");
  StartNode(name, is_agent_.at(name));
  return success();
}

result<void> world::Pause(const script_command& command) {
  BOOST_OUTCOME_TRY(const std::string name, Node(command, 0));
  BOOST_OUTCOME_TRY(const milliseconds span, ParseDuration(command, command.words[1]));
  bed_.loop.Pause(name, span);
  return success();
}

result<void> world::Cut(const script_command& command) {
  BOOST_OUTCOME_TRY(const std::string a, Node(command, 0));
  BOOST_OUTCOME_TRY(const std::string b, Node(command, 1));
  bed_.links.Cut(a, b);
  return success();
}

result<void> world::Heal(const script_command& command) {
  BOOST_OUTCOME_TRY(const std::string a, Node(command, 0));
  BOOST_OUTCOME_TRY(const std::string b, Node(command, 1));
  bed_.links.Heal(a, b);
  return success();
}

result<void> world::Drain(const script_command& command) {
  BOOST_OUTCOME_TRY(fake_agent* const agent, LiveAgent(command));
  agent->SetDrained(true);
  return success();
}

result<void> world::Undrain(const script_command& command) {
  BOOST_OUTCOME_TRY(fake_agent* const agent, LiveAgent(command));
  agent->SetDrained(false);
  return success();
}

result<void> world::Refuse(const script_command& command) {
  BOOST_OUTCOME_TRY(fake_agent* const agent, LiveAgent(command));
  if (command.words[1].text != "next")
    return ScriptError(command, command.words[1], "'next' expected");
  std::size_t count = 1;
  if (command.words.size() > 2) {
    BOOST_OUTCOME_TRY(count, ParseCount(command, command.words[2]));
  }
  agent->Refuse(count);
  return success();
}

result<void> world::CrashUpstream(const script_command& command) {
  BOOST_OUTCOME_TRY(fake_agent* const agent, LiveAgent(command));
  if (bed_.loop.Alive(command.words[0].text))
    agent->CrashUpstream();
  return success();
}

result<void> world::Evict(const script_command& command) {
  BOOST_OUTCOME_TRY(fake_agent* const agent, LiveAgent(command));
  agent->Evict();
  return success();
}

result<void> world::Store(const script_command& command) {
  const script_word& what = command.words[0];
  const std::size_t words = command.words.size();
  if (words == 1 && (what.text == "down" || what.text == "up")) {
    bed_.store.SetDown(what.text == "down");
    return success();
  }
  if (words == 1 && what.text == "fast") {
    bed_.store.SetSlow(milliseconds(0));
    return success();
  }
  if (words == 2 && what.text == "slow") {
    BOOST_OUTCOME_TRY(const milliseconds delay, ParseDuration(command, command.words[1]));
    bed_.store.SetSlow(delay);
    return success();
  }
  const bool next = words >= 2 && command.words[1].text == "next";
  if (next && what.text == "lose-answer" && words <= 3) {
    std::size_t count = 1;
    if (words == 3) {
      BOOST_OUTCOME_TRY(count, ParseCount(command, command.words[2]));
    }
    bed_.store.LoseAnswers(count);
    return success();
  }
  if (next && what.text == "delay-write" && words >= 3) {
    BOOST_OUTCOME_TRY(const milliseconds delay, ParseDuration(command, command.words[2]));
    std::size_t count = 1;
    if (words == 4) {
      BOOST_OUTCOME_TRY(count, ParseCount(command, command.words[3]));
    }
    bed_.store.DelayWrites(count, delay);
    return success();
  }
  return ScriptError(command, what,
                     "expected 'down', 'up', 'fast', 'slow DURATION', 'lose-answer next [COUNT]' "
                     "or 'delay-write next DURATION [COUNT]'");
}

result<void> world::Late(const script_command& command) {
  BOOST_OUTCOME_TRY(const std::size_t share, ParseCount(command, command.words[0]));
  BOOST_OUTCOME_TRY(const milliseconds delay, ParseDuration(command, command.words[1]));
  bed_.links.SetLate(share, delay);
  return success();
}

result<void> world::Switch(const script_command& command) {
  const script_word& word = command.words[0];
  if (word.text != "on" && word.text != "off")
    return ScriptError(command, word, "'on' or 'off' expected");
  (command.verb.text == "retries" ? bed_.retries : bed_.forwarding) = word.text == "on";
  return success();
}

result<void> world::Retention(const script_command& command) {
  BOOST_OUTCOME_TRY(const milliseconds span, ParseDuration(command, command.words[0]));
  if (span < kMinKeyRetention || span > kMaxKeyRetention)
    return ScriptError(command, command.words[0], "expected 3600s to 604800s");
  for (std::size_t i = 1; i < command.words.size(); ++i) {
    BOOST_OUTCOME_TRY(const std::string name, Node(command, i));
    bed_.retention[name] = std::chrono::duration_cast<seconds>(span);
    const auto agent = bed_.agents.find(name);
    if (agent != bed_.agents.end() && bed_.loop.Alive(name))
      agent->second->AdoptRetention();
  }
  return success();
}

result<void> world::Sweep(const script_command& command) {
  const script_word& name = command.words[0];
  const auto entry = bed_.entries.find(name.text);
  if (entry == bed_.entries.end())
    return ScriptError(command, name, "unknown entry '" + name.text + "'");
  if (bed_.loop.Alive(name.text))
    entry->second->Sweep();
  return success();
}

result<void> world::Order(const script_command& command) {
  static const std::map<std::string, request_kind, std::less<>> kKinds{
      {"keyed", request_kind::kKeyed},
      {"plain", request_kind::kPlain},
      {"repeatable", request_kind::kRepeatable}};
  if (command.words[0].text != "via")
    return ScriptError(command, command.words[0], "'via' expected");
  if (!command.Has("key"))
    return ScriptError(command, command.verb, "option 'key=' is missing");
  const script_word& via = command.words[1];
  if (!bed_.entries.contains(via.text))
    return ScriptError(command, via, "unknown entry '" + via.text + "'");
  entry_call call;
  call.order = call.key = command.options.at("key").text;
  if (command.Has("as")) {
    const script_word& as = command.options.at("as");
    const auto kind = kKinds.find(as.text);
    if (kind == kKinds.end())
      return ScriptError(command, as, "expected 'keyed', 'plain' or 'repeatable'");
    call.kind = kind->second;
  }
  if (command.Has("deadline")) {
    BOOST_OUTCOME_TRY(call.deadline, ParseDuration(command, command.options.at("deadline")));
  }
  const std::string entry = via.text;
  call.first_send = bed_.book.LastCall(call.order) == nullptr;
  call.id = bed_.book.Open(call.order, entry, call.kind);
  bed_.links.Send(
      {"caller", entry}, [this, entry, call] { bed_.entries.at(entry)->OnCall(call); },
      [this, entry] { bed_.book.EntryDied(entry); });
  return success();
}

result<void> world::Retry(const script_command& command) {
  if (command.Has("key") && bed_.book.Answered(command.options.at("key").text))
    return success();
  return Order(command);
}

void world::RunUntil(time_point limit) {
  std::size_t known = bed_.book.violations().size();
  while (bed_.loop.Step(limit)) {
    ++events_;
    for (; known < bed_.book.violations().size(); ++known)
      failures_.push_back("at " + Seconds(bed_.loop.now()) + ": " + bed_.book.violations()[known]);
    if (bed_.loop.empty())
      return;
  }
}

result<void> world::Run(const script_command& command) {
  BOOST_OUTCOME_TRY(const milliseconds span, ParseDuration(command, command.words[0]));
  const time_point limit = bed_.loop.now() + span;
  RunUntil(limit);
  // The queue may have run empty before the time is over.
  while (bed_.loop.Step(limit))
    ++events_;
  return success();
}

result<void> world::Settle(const script_command& /*command*/) {
  RunUntil(bed_.loop.now() + kSettleLimit);
  return success();
}

result<void> world::Expect(const script_command& command) {
  if (command.words[0].text == "runs")
    return ExpectRuns(command);
  if (command.words[0].text == "last")
    return ExpectLast(command);
  return ScriptError(command, command.words[0], "'runs' or 'last' expected");
}

result<void> world::ExpectRuns(const script_command& command) {
  if (command.words.size() != 4)
    return ScriptError(command, command.verb, "expected 'expect runs KEY OPERATOR COUNT'");
  BOOST_OUTCOME_TRY(const std::size_t wanted, ParseCount(command, command.words[3]));
  const std::string& op = command.words[2].text;
  const std::size_t runs = bed_.book.Runs(command.words[1].text);
  if (op != "<=" && op != "==" && op != ">=")
    return ScriptError(command, command.words[2], "'<=', '==' or '>=' expected");
  const bool holds = op == "<=" ? runs <= wanted : op == "==" ? runs == wanted : runs >= wanted;
  if (!holds)
    failures_.push_back("line " + std::to_string(command.line) + ": order " +
                        command.words[1].text + " ran " + std::to_string(runs) + " times");
  return success();
}

result<void> world::ExpectLast(const script_command& command) {
  const script_word& key = command.words[1];
  const order_call* const call = bed_.book.LastCall(key.text);
  if (call == nullptr)
    return ScriptError(command, key, "no call for '" + key.text + "'");
  const std::string seen = call->open       ? "open"
                           : call->answered ? "answered"
                           : call->outcome  ? std::string(ToString(*call->outcome))
                                            : "no-verdict";
  for (std::size_t i = 2; i < command.words.size(); ++i) {
    if (command.words[i].text == seen)
      return success();
  }
  failures_.push_back("line " + std::to_string(command.line) + ": the last call for " + key.text +
                      " ended with '" + seen + "' (" + call->message + ")");
  return success();
}

scenario_report world::Finish() {
  RunUntil(bed_.loop.now() + kSettleLimit);
  const std::size_t before = bed_.book.violations().size();
  bed_.book.CheckNoneOpen();
  scenario_report report;
  report.violations = failures_;
  const auto& found = bed_.book.violations();
  report.violations.insert(report.violations.end(),
                           found.begin() + static_cast<std::ptrdiff_t>(before), found.end());
  for (const order_call& call : bed_.book.calls()) {
    ++report.calls;
    if (call.answered)
      ++report.answered;
    else if (!call.outcome)
      ++report.without_verdict;
    else if (*call.outcome == verdict::kNotRun)
      ++report.not_run;
    else
      ++report.may_have_run;
  }
  report.events = events_;
  report.duration = bed_.loop.now().time_since_epoch();
  return report;
}

result<scenario_report> RunScript(std::string_view text, std::uint64_t seed, order_policy& policy) {
  BOOST_OUTCOME_TRY(const auto commands, ParseScript(text));
  world run(seed, policy);
  for (const script_command& command : commands) {
    BOOST_OUTCOME_TRYV(run.Execute(command));
  }
  return run.Finish();
}

}  // namespace quincebank::scenario
