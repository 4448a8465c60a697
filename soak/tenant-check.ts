/**
 * Checks from outside what tenants are promised: nothing runs under a key that was taken away longer
 * ago than the bound, or that nobody holds, and no more of a tenant's requests run in any window than
 * its limit allows.
 */
import { request as httpRequest } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import type { RelayRunner } from '../src/emulator/relay-runner.js';
import type { RandomSource } from '../src/runtime/random.js';
import { SOAK_BOUNDS, SOAK_PORTS } from './platform-process.js';
import { SOAK_HOST } from './soak-client.js';

/** Name and key of the tenant whose limit is checked, and its limit. */
export const LIMITED_TENANT = 'limited';
export const LIMITED_KEY = 'key-of-limited';
export const LIMITED_RATE = 20;
const LIMITED_SENT_PER_SECOND = 60;
const LIMITED_BURST = LIMITED_RATE;
const QUOTA_WINDOW_MILLISECONDS = 5_000;
const MILLISECONDS_IN_SECOND = 1_000;

const OLD_KEY_PAUSE_MILLISECONDS = 60;
const UNKNOWN_KEY = 'key-of-nobody';
const UNKNOWN_SHARE = 0.1;
/** Keys that were taken away and are still tried, the newest ones. */
const TRIED_KEYS = 4;
const ANSWER_MILLISECONDS = 3_000;
const OK = 200;

/** A key that the store's configuration no longer has. */
interface RemovedKey {
  readonly key: string;
  /** Local time of the acknowledgement, in milliseconds. */
  readonly removedAt: number;
}

/** What the check is made with. */
export interface TenantCheckOptions {
  readonly random: RandomSource;
  readonly gatewayHosts: readonly string[];
  /** All runners there ever were. */
  readonly runners: readonly RelayRunner[];
  readonly violate: (promise: string, detail: string) => void;
}

/** See the head of this file. */
export class TenantCheck {
  /** Requests sent under keys that were taken away. */
  oldKeyRequests = 0;
  /** Requests of the limited tenant that were answered. */
  limitedAnswers = 0;
  private requestCount = 0;
  private readonly removed: RemovedKey[] = [];
  /** Times of sending and of the answer. */
  private readonly limited: { readonly sentAt: number; readonly answeredAt: number }[] = [];

  constructor(private readonly options: TenantCheckOptions) {}

  /** Notes that a configuration without a key was acknowledged at a local time, in milliseconds. */
  removeKey(key: string, removedAt = performance.now()): void {
    this.removed.push({ key, removedAt });
  }

  /** Sends until told to stop, then looks at all windows. */
  async run(isOver: () => boolean): Promise<void> {
    await Promise.all([this.tryOldKeys(isOver), this.sendLimited(isOver)]);
    this.checkWindows();
  }

  private async tryOldKeys(isOver: () => boolean): Promise<void> {
    const { random } = this.options;
    while (!isOver()) {
      await new Promise((resolve) => setTimeout(resolve, OLD_KEY_PAUSE_MILLISECONDS));
      const old = this.removed.slice(-TRIED_KEYS);
      if (old.length > 0) {
        const isUnknown = random.uniform() < UNKNOWN_SHARE;
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
        this.options.violate('key taken away', `${id} ran ${Math.round(age)} ms after its removal`);
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

  /** Counts what was both sent and answered within each window that begins with a request. */
  private checkWindows(): void {
    const sum = (LIMITED_RATE * QUOTA_WINDOW_MILLISECONDS) / MILLISECONDS_IN_SECOND + LIMITED_BURST;
    const most = sum * (1 + SOAK_BOUNDS.quotaOvershoot) + SOAK_BOUNDS.quotaSlack;
    for (const { sentAt } of this.limited) {
      const end = sentAt + QUOTA_WINDOW_MILLISECONDS;
      const inside = this.limited.filter((each) => each.sentAt >= sentAt && each.answeredAt <= end);
      if (inside.length > most) {
        this.options.violate('limit', `${inside.length} requests ran in 5 s, ${most} may`);
        return;
      }
    }
  }

  /** Sends one request; returns its id. */
  private send(key: string, done: (status: number) => void): string {
    this.requestCount += 1;
    const id = `tenant-check-${this.requestCount}`;
    const headers = {
      host: SOAK_HOST,
      [NAMES.requestId]: id,
      [NAMES.timeout]: String(ANSWER_MILLISECONDS),
      [NAMES.key]: `Token ${key}`,
    };
    const host = this.options.random.pick(this.options.gatewayHosts);
    const target = { host, port: SOAK_PORTS.front, path: '/single/work', method: 'GET' };
    const client = httpRequest({ ...target, headers, agent: false }, (response) => {
      response.resume();
      response.on('close', () => done(response.complete ? (response.statusCode ?? 0) : 0));
    });
    const timer = setTimeout(() => client.destroy(), ANSWER_MILLISECONDS);
    client.on('close', () => clearTimeout(timer));
    // The gateway is down or cut off: whether the request ran is looked up all the same.
    client.on('error', () => done(0));
    client.end();
    return id;
  }
}
