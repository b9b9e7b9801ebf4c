# Ratios of the latency through daemons to that directly to the database.
def ratios($direct; $through; $latency):
  {p50: ($through[$latency].p50_ms / $direct[$latency].p50_ms),
   p99: ($through[$latency].p99_ms / $direct[$latency].p99_ms),
   throughput: ($through.done_per_s / $direct.done_per_s)};
{
  results: {
    read: {one_hop_to_direct: ratios($direct_read; $one_read; "read_latency"),
           two_hops_to_direct: ratios($direct_read; $two_read; "read_latency")},
    write: {one_hop_to_direct: ratios($direct_write; $one_write; "write_latency"),
            two_hops_to_direct: ratios($direct_write; $two_write; "write_latency")}
  },
  figures: {sessions: $sessions, instructions_per_request: null,
    read: {direct: $direct_read, one_hop: $one_read, two_hops: $two_read},
    write: {direct: $direct_write, one_hop: $one_write, two_hops: $two_write}}
}
