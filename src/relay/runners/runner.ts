/** A runner of a service as its entry in the list of runners describes it. */
import { hashToNumber } from '../../runtime/hashing.js';

/**
 * Identifies one incarnation of a runner: the runner's id and, if known, its start time. All state about a runner is
 * kept per incarnation, since a runner that restarts under its id has lost its cache and its requests.
 */
export type RunnerIncarnation = string & { readonly brand: 'RunnerIncarnation' };

/** One incarnation of a runner. */
export interface Runner {
  /** Name of the runner, which it keeps across restarts. */
  readonly id: string;
  /** Unix time of the start in milliseconds by the runner's own clock; undefined if not reported. */
  readonly startedAt?: number | undefined;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Version of the runner's software; empty or absent if its entry names none. */
  readonly softwareVersion?: string;
  /** Number of requests the runner processes at the same time. */
  readonly slots: number;
  /** False once the runner is shutting down and accepts no new requests. */
  readonly ready: boolean;
  /** Time for which the runner stays cold after its entry was written, in milliseconds; 0 or absent if it is warm. */
  readonly coldMilliseconds?: number;
}

/** Returns the `host:port` of a runner, by which connections are kept. */
export function addressOf(runner: Runner): string {
  return `${runner.host}:${runner.port}`;
}

/** Returns the identifier of a runner's incarnation: `id@startedAt`, or the id alone. */
export function incarnationOf({ id, startedAt }: Runner): RunnerIncarnation {
  return (startedAt === undefined ? id : `${id}@${startedAt}`) as RunnerIncarnation;
}

/** Returns the version of a runner's software; empty if its entry names none. */
export function softwareVersionOf({ softwareVersion = '' }: Runner): string {
  return softwareVersion;
}

/** Returns the 32-bit hash of an incarnation, which gateways use for runners in messages to each other. */
export function incarnationHash(runner: Runner): number {
  return hashToNumber(incarnationOf(runner));
}

/** Returns whether `a` is known to be an earlier incarnation than `b`; false if a start time is missing. */
export function isEarlierIncarnation(a: Runner, b: Runner): boolean {
  return a.startedAt !== undefined && b.startedAt !== undefined && a.startedAt < b.startedAt;
}
