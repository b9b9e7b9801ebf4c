# The demo's summary from the loads' figures and the check's verdict.
($mixed[0]) as $mixed | ($writers[0]) as $writers | ($check[0]) as $check
| def outcomes($name): $mixed.by_outcome[$name] + $writers.by_outcome[$name];
  "  requests: \($mixed.requests + $writers.requests) (done \(outcomes("done")), refused \(outcomes("refused")), failed \(outcomes("failed")), unknown \(outcomes("unknown") + outcomes("lost")), not sent \(outcomes("not_sent")))",
  "  acknowledged writes: \($check.acknowledged_writes); lost \($check.violations.lost_write), doubled \($check.violations.doubled_write)",
  "  reads served by replicas: \($mixed.reads.replica_share * 1000 | round / 10)% of \($check.reads)",
  "  write gap: \($writers.write_gaps.longest_ms | round) ms",
  "  write gaps over \($writers.write_gaps.threshold_ms) ms: \($writers.write_gaps.over_threshold | map("\(.length_ms | round) ms at \(.start_ms / 100 | round / 10) s") | join(", "))"
