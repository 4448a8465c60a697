/** Summary statistics of measured values. */
import { build } from 'hdr-histogram-js';

/** Count, mean, percentiles and maximum, in the unit of the values. */
export interface Summary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Factor from values to histogram counts, which are integers. */
const SCALE = 1_000;
const SIGNIFICANT_DIGITS = 3;

/** Summarizes non-negative values to a precision of three digits. */
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
