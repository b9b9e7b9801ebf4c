# Ratios of an overload curve: goodput to its peak, and p99 of done requests to that at half the capacity.
(map(.done_per_s) | max) as $peak
| .[0][$latency].p99_ms as $half
| def at(value): map({key: "at_\(.offered_factor)", value: value}) | from_entries;
{
  results: {
    goodput_to_peak: at(.done_per_s / $peak),
    p99_to_half_load: at(.[$latency].p99_ms / $half)
  },
  figures: {closed_loop_done_per_s: $capacity, recovery_s: $recovery, points: .}
}
