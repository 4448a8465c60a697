/** A runner of a service as the list of runners tells it. */
import { hashToNumber } from '../../runtime/hashing.js';

/**
 * Names one life of a runner: its id and, where that is told, when it started. Whatever is believed of a runner is
 * believed of a life: one that starts again under its id holds and knows nothing of before.
 */
export type RunnerIncarnation = string & { readonly brand: 'RunnerLife' };

/** One life of a runner. */
export interface Runner {
  /** Name of the runner; it may start again under it. */
  readonly id: string;
  /** Unix time of its start in milliseconds by its own clock; undefined where that is not told. */
  readonly startedAt?: number | undefined;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Requests it works on at the same time. */
  readonly slots: number;
  /** False once it is leaving: it gets no new requests. */
  readonly ready: boolean;
}

/** `host:port` of a runner, the key of its connections. */
export function addressOf(runner: Runner): string {
  return `${runner.host}:${runner.port}`;
}

/** The life of a runner. */
export function incarnationOf({ id, startedAt }: Runner): RunnerIncarnation {
  return (startedAt === undefined ? id : `${id}@${startedAt}`) as RunnerIncarnation;
}

/** Short name of a life, 32 bits: what gateways tell one another of runners stands under it. */
export function incarnationHash(runner: Runner): number {
  return hashToNumber(incarnationOf(runner));
}

/** Whether an entry is of an earlier life than another one; where one doesn't tell its start, it isn't known to be. */
export function isEarlierIncarnation(a: Runner, b: Runner): boolean {
  return a.startedAt !== undefined && b.startedAt !== undefined && a.startedAt < b.startedAt;
}
