/** Formats the results of experiments for the terminal. */
import Table from 'cli-table3';
import type { ExperimentResult } from './experiment.js';

function round(value: number, digits = 2): string {
  return value.toFixed(digits);
}

/** Formats an experiment's figures as a table with one row per policy. */
export function formatExperiment(result: ExperimentResult): string {
  const table = new Table({
    head: [
      'policy',
      'mean s',
      'p50 s',
      'p95 s',
      'p99 s',
      'wasted cache',
      'prefill tokens',
      'programs/s',
      'fairness',
      'urgent p99 s',
      'refusals',
    ],
    style: { head: [], border: [], compact: true },
  });
  for (const [name, figures] of Object.entries(result.policies)) {
    const { mean, p50, p95, p99 } = figures.programLatencySeconds;
    table.push([
      name,
      round(mean),
      round(p50),
      round(p95),
      round(p99),
      round(figures.wastedCacheRatio, 3),
      String(figures.prefillTokens),
      round(figures.throughput),
      round(figures.fairness, 3),
      round(figures.urgentWaitSeconds.p99),
      String(figures.refusals),
    ]);
  }
  const { experiment, seed, load, programs } = result;
  const head = `${experiment}: seed ${seed}, load ${load}, ${programs} programs`;
  return `${head}\n${table.toString()}`;
}
