#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/scenario/script.h"
#include "quincebank/scenario/testbed.h"

namespace quincebank::scenario {

/// \brief Outcome of one run of a script.
struct scenario_report {
  std::vector<std::string> violations;  ///< Broken invariants and failed expectations.
  std::size_t calls = 0;
  std::size_t answered = 0;
  std::size_t not_run = 0;
  std::size_t may_have_run = 0;
  std::size_t without_verdict = 0;  ///< The entry died.
  std::size_t events = 0;
  nanoseconds duration{0};  ///< Virtual.
};

/// \brief Runs the commands of one script.
class world {
 public:
  world(std::uint64_t seed, order_policy& policy);
  ~world();

  /// \returns An error with the path `line:column` if the command can't be carried out.
  [[nodiscard]] result<void> Execute(const script_command& command);
  [[nodiscard]] scenario_report Finish();

 private:
  using handler = result<void> (world::*)(const script_command&);
  struct verb_entry {
    std::string_view verb;
    handler run;
  };
  [[nodiscard]] static const verb_entry* FindVerb(std::string_view verb);

  result<void> Entry(const script_command& command);
  result<void> Agent(const script_command& command);
  result<void> Kill(const script_command& command);
  result<void> Start(const script_command& command);
  result<void> Pause(const script_command& command);
  result<void> Cut(const script_command& command);
  result<void> Heal(const script_command& command);
  result<void> Drain(const script_command& command);
  result<void> Undrain(const script_command& command);
  result<void> Refuse(const script_command& command);
  result<void> CrashUpstream(const script_command& command);
  result<void> Evict(const script_command& command);
  result<void> Store(const script_command& command);
  result<void> Late(const script_command& command);
  result<void> Switch(const script_command& command);
  result<void> Retention(const script_command& command);
  result<void> Sweep(const script_command& command);
  result<void> Order(const script_command& command);
  result<void> Retry(const script_command& command);
  result<void> Run(const script_command& command);
  result<void> Settle(const script_command& command);
  result<void> Expect(const script_command& command);
  result<void> ExpectRuns(const script_command& command);
  result<void> ExpectLast(const script_command& command);

  [[nodiscard]] result<std::string> Node(const script_command& command, std::size_t word) const;
  [[nodiscard]] result<fake_agent*> LiveAgent(const script_command& command);
  void StartNode(const std::string& name, bool agent);
  void Announce(const std::string& agent);
  void RunUntil(time_point limit);

  testbed bed_;
  std::map<std::string, bool> is_agent_;
  std::size_t events_ = 0;
  std::vector<std::string> failures_;
};

/// \brief Parses and runs a script to its end.
///
/// \returns The report, or the syntax error or wrong command with its `line:column`.
[[nodiscard]] result<scenario_report> RunScript(std::string_view text,
                                                std::uint64_t seed,
                                                order_policy& policy);

}  // namespace quincebank::scenario
