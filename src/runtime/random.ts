/** Seeded pseudo-random numbers. The core draws all its random numbers from here. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { hashToNumber } from './hashing.js';

/** A source of random numbers for jitter, sampling and workloads. */
export interface RandomSource {
  /** Uniform in [0, 1). */
  uniform(): number;
  /** Uniform integer in [low, high]. */
  integer(low: number, high: number): number;
  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number;
  /** Log-normally distributed with the given median and standard deviation of the logarithm. */
  logNormal(median: number, sigma: number): number;
  /** A uniformly chosen element of a non-empty list. */
  pick<Item>(items: readonly Item[]): Item;
}

/** Creates a source whose sequence depends only on the seed and the label. */
export function createRandom(seed: number, label = ''): RandomSource {
  const generator = xoroshiro128plus((seed ^ hashToNumber(label)) | 0);
  const uniform = (): number => uniformFloat64(generator);
  return {
    uniform,
    integer: (low, high) => low + Math.floor(uniform() * (high - low + 1)),
    exponential: (mean) => -mean * Math.log(1 - uniform()),
    logNormal: (median, sigma) => {
      const radius = Math.sqrt(-2 * Math.log(1 - uniform()));
      const normal = radius * Math.cos(2 * Math.PI * uniform());
      return median * Math.exp(sigma * normal);
    },
    pick: (items) => items[Math.floor(uniform() * items.length)]!,
  };
}
