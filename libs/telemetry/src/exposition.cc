#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <string>
#include <string_view>

#include "quincebank/telemetry/metrics.h"

namespace quincebank {
namespace {

constexpr double kMillisPerSecond = 1000.0;

std::string Escape(std::string_view text, bool quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\') {
      escaped += "\\\\";
    } else if (c == '\n') {
      escaped += "\\n";
    } else if (c == '"' && quotes) {
      escaped += "\\\"";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string Number(double value) {
  std::array<char, 32> text{};
  const auto [end, ec] = std::to_chars(text.data(), text.data() + text.size(), value);
  return ec == std::errc() ? std::string(text.data(), end) : "NaN";
}

std::string Labels(const std::vector<metric_label>& labels, std::string_view bound = {}) {
  std::string text;
  for (const metric_label& label : labels)
    text += (text.empty() ? "" : ",") + label.name + "=\"" + Escape(label.value, true) + "\"";
  if (!bound.empty())
    text += (text.empty() ? "" : ",") + ("le=\"" + std::string(bound) + "\"");
  return text.empty() ? text : "{" + text + "}";
}

void WriteHistogram(const histogram_value& value, std::string& text) {
  const std::string& name = value.id.name;
  const latency_axis edges = MakeLatencyAxis();
  // One bucket per doubling: the full resolution is in the JSON form.
  for (int bin = kBinsPerOctave - 1; bin < kLatencyBins; bin += kBinsPerOctave) {
    const std::string bound = Number(edges.bin(bin).upper() / kMillisPerSecond);
    text += name + "_bucket" + Labels(value.id.labels, bound) + " " +
            std::to_string(value.counts.UpTo(bin)) + "\n";
  }
  const std::string total = std::to_string(value.counts.total());
  text += name + "_bucket" + Labels(value.id.labels, "+Inf") + " " + total + "\n";
  text += name + "_sum" + Labels(value.id.labels) + " " +
          Number(value.counts.sum_ms() / kMillisPerSecond) + "\n";
  text += name + "_count" + Labels(value.id.labels) + " " + total + "\n";
}

/// Writes all metrics of one kind. The format wants the lines of one name together under one
/// header, whatever order the metrics were registered in.
template <typename Value, typename Write>
void WriteFamily(const std::vector<Value>& values,
                 std::string_view type,
                 std::string& text,
                 const Write& write) {
  std::set<std::string_view> written;
  for (const Value& first : values) {
    if (!written.insert(first.id.name).second)
      continue;
    text += "# HELP " + first.id.name + " " + Escape(first.id.help, false) + "\n";
    text += "# TYPE " + first.id.name + " " + std::string(type) + "\n";
    for (const Value& value : values) {
      if (value.id.name == first.id.name)
        write(value);
    }
  }
}

}  // namespace

std::string ToPrometheusText(const metrics_snapshot& snapshot) {
  std::string text;
  WriteFamily(snapshot.counters, "counter", text, [&](const counter_value& value) {
    text += value.id.name + Labels(value.id.labels) + " " + std::to_string(value.value) + "\n";
  });
  WriteFamily(snapshot.gauges, "gauge", text, [&](const gauge_value& value) {
    text += value.id.name + Labels(value.id.labels) + " " + std::to_string(value.value) + "\n";
  });
  WriteFamily(snapshot.histograms, "histogram", text,
              [&](const histogram_value& value) { WriteHistogram(value, text); });
  return text;
}

}  // namespace quincebank
