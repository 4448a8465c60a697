/** Summaries of measured values, by `hdr-histogram-js`. */
import { build } from 'hdr-histogram-js';

/** Mean and percentiles, in the unit of the values. */
export interface Summary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** The histogram counts whole numbers, so values are recorded in thousandths. */
const SCALE = 1_000;
const SIGNIFICANT_DIGITS = 3;

/** Summarizes values. */
export function summarize(values: readonly number[]): Summary {
  const histogram = build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
  values.forEach((value) => histogram.recordValue(Math.round(value * SCALE)));
  const percentile = (part: number): number => histogram.getValueAtPercentile(part) / SCALE;
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  return {
    count: values.length,
    mean: Math.round(mean * SCALE) / SCALE,
    p50: percentile(50),
    p95: percentile(95),
    p99: percentile(99),
    max: histogram.maxValue / SCALE,
  };
}
