/** A runner of a service as the list of runners tells it. */

/** One incarnation of a runner. */
export interface Runner {
  /** Name of this incarnation; a restart gives a new one. */
  readonly id: string;
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
