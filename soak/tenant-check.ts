/**
 * Checks the tenant guarantees from outside: no request runs with an unknown key or with a key that was revoked
 * longer ago than the bound, and no more of a tenant's requests run in any window than its rate limit allows.
 */
import { request as httpRequest } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import type { RelayRunner } from '../src/emulator/relay-runner.js';
import type { RandomSource } from '../src/runtime/random.js';
import { SOAK_BOUNDS, SOAK_PORTS } from './platform-process.js';
import { SOAK_HOST } from './soak-client.js';

/** Name, key and rate limit (requests per second) of the tenant whose limit is checked. */
export const LIMITED_TENANT = 'limited';
export const LIMITED_KEY = 'key-of-limited';
export const LIMITED_RATE = 20;
const LIMITED_SENT_PER_SECOND = 60;
const LIMITED_BURST = LIMITED_RATE;
const QUOTA_WINDOW_MILLISECONDS = 5_000;
const MILLISECONDS_IN_SECOND = 1_000;

const OLD_KEY_PAUSE_MILLISECONDS = 60;
const UNKNOWN_KEY = 'key-of-nobody';
const UNKNOWN_KEY_FRACTION = 0.1;
/** Number of the most recently revoked keys that are still tried. */
const TRIED_KEY_COUNT = 4;
const RESPONSE_TIMEOUT_MILLISECONDS = 3_000;
const OK = 200;

/** A key that the configuration in the store no longer contains. */
interface RemovedKey {
  readonly key: string;
  /** Local time at which the store acknowledged the removal, in milliseconds. */
  readonly removedAt: number;
}

/** Dependencies of the tenant check. */
export interface TenantCheckOptions {
  readonly random: RandomSource;
  readonly gatewayHosts: readonly string[];
  /** Every runner started so far, including crashed ones. */
  readonly runners: readonly RelayRunner[];
  readonly violate: (promise: string, detail: string) => void;
}

/** Sends requests with revoked keys and above a rate limit, and reports those that should not have run. */
export class TenantCheck {
  /** Requests sent with revoked or unknown keys. */
  oldKeyRequests = 0;
  /** Requests of the rate-limited tenant that were answered with 200. */
  limitedAnswers = 0;
  private requestCount = 0;
  private readonly removed: RemovedKey[] = [];
  /** Local times of each answered request of the rate-limited tenant, in milliseconds. */
  private readonly limited: { readonly sentAt: number; readonly answeredAt: number }[] = [];

  constructor(private readonly options: TenantCheckOptions) {}

  /** Records that the store acknowledged a configuration without a key at a local time, in milliseconds. */
  removeKey(key: string, removedAt = performance.now()): void {
    this.removed.push({ key, removedAt });
  }

  /** Sends requests until `isOver` returns true, then checks the rate limit in all windows. */
  async run(isOver: () => boolean): Promise<void> {
    await Promise.all([this.tryOldKeys(isOver), this.sendLimited(isOver)]);
    this.checkWindows();
  }

  private async tryOldKeys(isOver: () => boolean): Promise<void> {
    const { random } = this.options;
    while (!isOver()) {
      await new Promise((resolve) => setTimeout(resolve, OLD_KEY_PAUSE_MILLISECONDS));
      const old = this.removed.slice(-TRIED_KEY_COUNT);
      if (old.length > 0) {
        const isUnknown = random.uniform() < UNKNOWN_KEY_FRACTION;
        const tried = isUnknown ? { key: UNKNOWN_KEY, removedAt: -Infinity } : random.pick(old);
        this.oldKeyRequests += 1;
        this.tryKey(tried);
      }
    }
  }

  private tryKey({ key, removedAt }: RemovedKey): void {
    const sentAt = performance.now();
    const age = sentAt - removedAt;
    const id = this.send(key, () => {
      const ran = this.options.runners.some((runner) =>
        runner.runs.some((run) => run.requestId === id),
      );
      if (ran && age > SOAK_BOUNDS.revokeMilliseconds) {
        this.options.violate(
          'key taken away',
          `request ${id} ran; it was sent ${Math.round(age)} ms after its key was revoked`,
        );
      }
    });
  }

  private async sendLimited(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      const pause = this.options.random.exponential(
        MILLISECONDS_IN_SECOND / LIMITED_SENT_PER_SECOND,
      );
      await new Promise((resolve) => setTimeout(resolve, pause));
      const sentAt = performance.now();
      this.send(LIMITED_KEY, (status) => {
        if (status === OK) {
          this.limitedAnswers += 1;
          this.limited.push({ sentAt, answeredAt: performance.now() });
        }
      });
    }
  }

  /** Counts the requests both sent and answered within each window that starts with a request. */
  private checkWindows(): void {
    const sum = (LIMITED_RATE * QUOTA_WINDOW_MILLISECONDS) / MILLISECONDS_IN_SECOND + LIMITED_BURST;
    const most = sum * (1 + SOAK_BOUNDS.quotaOvershoot) + SOAK_BOUNDS.quotaSlack;
    for (const { sentAt } of this.limited) {
      const end = sentAt + QUOTA_WINDOW_MILLISECONDS;
      const inside = this.limited.filter((each) => each.sentAt >= sentAt && each.answeredAt <= end);
      if (inside.length > most) {
        this.options.violate(
          'limit',
          `${inside.length} requests of the limited tenant ran in 5 s, at most ${most} are allowed`,
        );
        return;
      }
    }
  }

  /** Sends one request and returns its id; `done` gets the response status, or 0 without a complete response. */
  private send(key: string, done: (status: number) => void): string {
    this.requestCount += 1;
    const id = `tenant-check-${this.requestCount}`;
    const headers = {
      host: SOAK_HOST,
      [NAMES.requestId]: id,
      [NAMES.timeout]: String(RESPONSE_TIMEOUT_MILLISECONDS),
      [NAMES.key]: `Token ${key}`,
    };
    const host = this.options.random.pick(this.options.gatewayHosts);
    const target = { host, port: SOAK_PORTS.front, path: '/single/work', method: 'GET' };
    const client = httpRequest({ ...target, headers, agent: false }, (response) => {
      response.resume();
      response.on('close', () => done(response.complete ? (response.statusCode ?? 0) : 0));
    });
    const timer = setTimeout(() => client.destroy(), RESPONSE_TIMEOUT_MILLISECONDS);
    client.on('close', () => clearTimeout(timer));
    // The request may have reached a runner even if the gateway is down or unreachable, so `done` is called.
    client.on('error', () => done(0));
    client.end();
    return id;
  }
}
