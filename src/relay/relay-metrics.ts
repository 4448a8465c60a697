/** Counters and histograms of a gateway, rendered in the Prometheus text format. */

/** Upper bounds of the latency buckets, in milliseconds. */
const BUCKETS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000] as const;

interface Histogram {
  readonly counts: number[];
  sum: number;
  count: number;
}

/** Registry of the metrics of a gateway. */
export class RelayMetrics {
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<string, Histogram>();

  /** Adds to a counter; `labels` is a list such as `kind="stream",outcome="answered"`. */
  count(name: string, labels = '', amount = 1): void {
    const key = labels === '' ? name : `${name}{${labels}}`;
    this.counters.set(key, (this.counters.get(key) ?? 0) + amount);
  }

  /** Adds a duration in milliseconds to a histogram. */
  observe(name: string, milliseconds: number): void {
    let histogram = this.histograms.get(name);
    if (histogram === undefined) {
      histogram = { counts: BUCKETS.map(() => 0), sum: 0, count: 0 };
      this.histograms.set(name, histogram);
    }
    histogram.sum += milliseconds;
    histogram.count += 1;
    const bucket = BUCKETS.findIndex((bound) => milliseconds <= bound);
    if (bucket >= 0) {
      histogram.counts[bucket]! += 1;
    }
  }

  /** Renders all metrics as text. */
  render(): string {
    const lines = [...this.counters].map(([key, value]) => `${key} ${value}`);
    for (const [name, histogram] of this.histograms) {
      let below = 0;
      BUCKETS.forEach((bound, index) => {
        below += histogram.counts[index]!;
        lines.push(`${name}_bucket{le="${bound}"} ${below}`);
      });
      lines.push(`${name}_bucket{le="+Inf"} ${histogram.count}`);
      lines.push(`${name}_sum ${histogram.sum}`, `${name}_count ${histogram.count}`);
    }
    return `${lines.join('\n')}\n`;
  }
}
