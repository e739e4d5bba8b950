#include "quincebank/base/event_log.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>

#include <array>
#include <string>

namespace quincebank {
namespace {

TEST(event_line, IsOneLineOfJson) {
  event_line line("request.end");
  line.Add("request", "a\"b\n\xff").Add("ms", std::chrono::milliseconds(7)).Add("ok", true);
  const std::string text = std::move(line).Finish();
  EXPECT_EQ(text.find('\n'), text.size() - 1);
  EXPECT_NE(text.find(R"("event":"request.end")"), std::string::npos);
  EXPECT_NE(text.find(R"("request":"a\"b\u000a\u00ff")"), std::string::npos);
  EXPECT_NE(text.find(R"("ms":7)"), std::string::npos);
}

// Guards against requests that wait for a collector which does not read.
TEST(event_log, DropsLinesInsteadOfWaiting) {
  std::array<int, 2> ends{};
  ASSERT_EQ(pipe(ends.data()), 0);
  constexpr int kLines = 20'000;  // More than a pipe holds.
  std::uint64_t dropped = 0;
  {
    event_log log(10, ends[1]);
    for (int i = 0; i < kLines; ++i)
      log.Write(event_line("test").Add("text", std::string(100, 'x')));
    dropped = log.dropped();
    // The writer is stuck in the full pipe; a closed reader ends that.
    signal(SIGPIPE, SIG_IGN);
    close(ends[0]);
  }
  close(ends[1]);
  EXPECT_GT(dropped, 0U);
}

}  // namespace
}  // namespace quincebank
