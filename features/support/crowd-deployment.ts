/** A small deployment on loopback addresses for crowds: the store, a runner, a gateway and its replicas as processes under limits. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { PLATFORM_HEADER_NAMES as NAMES } from '../../platform/header-names.js';
import { StandInStore } from '../../platform/stand-in/store-server.js';
import { CONFIGURATION_KEY, RUNNER_PREFIX } from '../../platform/store-keys.js';
import { SOAK_PORTS } from '../../soak/platform-process.js';
import type { PlatformRole } from '../../soak/platform-process.js';
import { CrowdProcess } from './crowd-process.js';
import type { ProcessLimits } from './crowd-process.js';
import { CrowdRunner, answerTo, digestOf } from './crowd-runner.js';
import { until } from './starting-process.js';

/** Host name that all routes match, and the limits on requests, as the configuration has them. */
export const CROWD_HOST = 'crowd.example';
/** API key of each tenant. */
export const CROWD_KEYS: readonly string[] = Array.from(
  { length: 8 },
  (_, index) => `key-${index}`,
);
export const MAXIMUM_BODY_BYTES = 4_194_304;
export const MAXIMUM_HEAD_BYTES = 16_384;

const SERVICE = 'workers';
const RUNNER_ID = 'runner-1';
const REPLICA_COUNT = 3;
const STORE_PORT = 18_142;
const RUNNER_PORT = 18_080;
/** Second octets of the loopback addresses, one of which a test run uses. */
const FIRST_BLOCK = 130;
const BLOCKS = 100;
const ROUTE_TIMEOUT_MILLISECONDS = 30_000;

/** Limits of the processes, far below those of deployments, so that small crowds come to them. */
const LIMITS: Readonly<Record<PlatformRole, ProcessLimits>> = {
  gateway: { memoryMegabytes: 140, descriptors: 400, heapMegabytes: 40, openFiles: 8_000 },
  replica: { memoryMegabytes: 160, descriptors: 400, heapMegabytes: 64, openFiles: 8_000 },
};

/** Time within which an ordinary client is answered, tries and waits counted, in milliseconds: only ends the wait for nothing. */
const ALLOWANCE_MILLISECONDS = 40_000;
/** Time after which it gives one try up, in milliseconds. */
const TRY_MILLISECONDS = 10_000;
/** Time that it waits after a try without a `Retry-After`, in milliseconds. */
const PAUSE_MILLISECONDS = 200;

function route(name: string, kind: string, more: object = {}): Record<string, unknown> {
  return {
    Name: name,
    Host: CROWD_HOST,
    PathPrefix: `/${name}/`,
    Kind: kind,
    TimeoutMs: ROUTE_TIMEOUT_MILLISECONDS,
    TargetLatencyMs: 500,
    Priority: 1,
    Service: SERVICE,
    MaxAttempts: 2,
    ...more,
  };
}

const CONFIGURATION = {
  Version: 1,
  Routes: [
    route('plain', 'idempotent'),
    route('once', 'non_idempotent'),
    route('streamed', 'streaming'),
    route('resumable', 'streaming', { Resumable: true }),
    route('kept', 'streaming', { Retain: true, RetentionS: 600 }),
  ],
  Services: [{ Name: SERVICE, MaxConnections: 60 }],
  Tenants: CROWD_KEYS.map((key, index) => ({
    Name: `tenant-${index}`,
    ApiKeys: [key],
    Priority: 1,
  })),
  Limits: {
    MaxHeaderBytes: MAXIMUM_HEAD_BYTES,
    MaxBodyBytes: MAXIMUM_BODY_BYTES,
    HeaderTimeoutMs: 3_000,
    IdleTimeoutMs: 15_000,
  },
};

/** A request of a client that stays inside the limits. */
export interface OrdinaryRequest {
  readonly body?: Buffer;
  /** Bytes of each chunk of the body. @default one chunk */
  readonly chunkBytes?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

interface TryResult {
  readonly status: number;
  readonly body: string;
  readonly pauseMilliseconds: number;
}

function pauseOf({ headers }: IncomingMessage): number {
  const seconds = Number(headers['retry-after']);
  return seconds > 0 ? seconds * 1_000 : PAUSE_MILLISECONDS;
}

/** Starts and stops the parts. */
export class CrowdDeployment {
  readonly gateway: CrowdProcess;
  readonly processes: readonly CrowdProcess[];
  private readonly folder = mkdtempSync(join(tmpdir(), 'ivyloom-crowd-'));
  private readonly block = FIRST_BLOCK + (process.pid % BLOCKS);
  private readonly store = new StandInStore();
  private readonly runner = new CrowdRunner(RUNNER_ID);
  private requestCount = 0;

  /** @param gatewayLimits replace limits of the gateway */
  constructor(gatewayLimits: Partial<ProcessLimits> = {}) {
    const create = (role: PlatformRole, number: number): CrowdProcess => {
      const name = `${role}-${number}`;
      const limits = role === 'gateway' ? { ...LIMITS.gateway, ...gatewayLimits } : LIMITS[role];
      return new CrowdProcess(name, role, limits, join(this.folder, name));
    };
    this.gateway = create('gateway', 1);
    const replicas = Array.from({ length: REPLICA_COUNT }, (_, index) =>
      create('replica', index + 1),
    );
    this.processes = [this.gateway, ...replicas];
  }

  /** Address of the gateway. */
  get gatewayHost(): string {
    return this.hostOf('gateway-1');
  }

  /** Address of one of the replicas. */
  get replicaHost(): string {
    return this.hostOf('replica-1');
  }

  /** Starts everything; resolves once the gateway answers. */
  async start(): Promise<void> {
    const storeHost = this.hostOf('store');
    const runnerHost = this.hostOf('runner');
    await this.store.listen(storeHost, STORE_PORT);
    await this.runner.listen(runnerHost, RUNNER_PORT);
    this.store.put(CONFIGURATION_KEY, CONFIGURATION);
    this.store.put(RUNNER_PREFIX + RUNNER_ID, {
      Service: SERVICE,
      Address: `${runnerHost}:${RUNNER_PORT}`,
      Zone: 'z1',
      Slots: 8,
      State: 'ready',
    });
    this.processes.forEach((each) => each.start(this.settingsOf(each)));
    await until(() => this.processes.every(({ isPlanned, end }) => isPlanned || end !== undefined));
    await this.assertAnswered();
  }

  /** Fails unless an ordinary client is answered in the end, and by the runner. */
  async assertAnswered(request: OrdinaryRequest = {}): Promise<void> {
    const endsAt = performance.now() + ALLOWANCE_MILLISECONDS;
    const tries: string[] = [];
    while (performance.now() < endsAt && this.gateway.end === undefined) {
      this.requestCount += 1;
      const id = requestIdOf(this.requestCount);
      const { status, body, pauseMilliseconds } = await this.send(id, request);
      if (status === 200) {
        assert.equal(body, answerTo(id, digestOf(request.body ?? Buffer.alloc(0))));
        return;
      }
      tries.push(`${status} ${body}`);
      await sleep(pauseMilliseconds);
    }
    assert.fail(`no answer in ${tries.length} tries, the last: ${tries.at(-1)}`);
  }

  /** Ends everything. */
  async close(): Promise<void> {
    await Promise.all(this.processes.map((each) => each.close()));
    this.runner.close();
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private hostOf(name: string): string {
    const names = ['store', 'runner', ...this.processes.map((each) => each.name)];
    return `127.${this.block}.${names.indexOf(name) + 1}.1`;
  }

  private settingsOf({ name, role, limits, dataFolder }: CrowdProcess): Record<string, unknown> {
    const host = this.hostOf(name);
    const { front, ready, control, peer, metrics } = SOAK_PORTS;
    const isGateway = role === 'gateway';
    const listen = {
      Front: `${host}:${front}`,
      Ready: `${host}:${ready}`,
      Control: `${host}:${control}`,
    };
    return {
      NodeName: name,
      Ip: host,
      Zone: 'z1',
      Zones: { z1: 'r' },
      Listen: isGateway ? listen : {},
      InternalPorts: [peer, metrics],
      Seeds: [`${this.gatewayHost}:${control}`],
      Bootstrap: true,
      DataDir: isGateway ? null : dataFolder,
      Bounds: { GraceS: 8, ConfigApplyMs: 2_000, StrictRevoke: true, RevokeMs: 4_000 },
      FaultTolerance: { Machines: 1 },
      Limits: { MemoryMb: limits.memoryMegabytes, MaxFds: limits.descriptors },
      Platform: { Address: `${this.hostOf('store')}:${STORE_PORT}` },
    };
  }

  private send(id: string, { body, chunkBytes, headers }: OrdinaryRequest): Promise<TryResult> {
    return new Promise((resolve) => {
      const failed = (error: Error): void =>
        resolve({ status: 0, body: error.message, pauseMilliseconds: PAUSE_MILLISECONDS });
      const client = httpRequest(
        {
          host: this.gatewayHost,
          port: SOAK_PORTS.front,
          agent: false,
          method: 'POST',
          path: '/plain/work',
          signal: AbortSignal.timeout(TRY_MILLISECONDS),
          headers: { ...ordinaryHeaders(id), ...headers },
        },
        (answer) => {
          const parts: Buffer[] = [];
          answer.on('data', (part: Buffer) => parts.push(part));
          answer.on('error', failed);
          answer.on('end', () =>
            resolve({
              status: answer.statusCode ?? 0,
              body: Buffer.concat(parts).toString('utf8'),
              pauseMilliseconds: pauseOf(answer),
            }),
          );
        },
      );
      client.on('error', failed);
      for (let at = 0; body !== undefined && at < body.length; at += chunkBytes ?? body.length) {
        client.write(body.subarray(at, at + (chunkBytes ?? body.length)));
      }
      client.end();
    });
  }
}

/** Returns the id of the ordinary request with this number; all have one length. */
function requestIdOf(number: number): string {
  return `ordinary-${String(number).padStart(4, '0')}`;
}

function ordinaryHeaders(id: string): Record<string, string> {
  return {
    host: CROWD_HOST,
    connection: 'close',
    [NAMES.requestId]: id,
    [NAMES.timeout]: String(TRY_MILLISECONDS),
    [NAMES.key]: `Token ${CROWD_KEYS[0]}`,
  };
}

/** Returns the headers of an ordinary request whose head has exactly the largest size. */
export function longestHead(): Record<string, string> {
  const padding = 'x-padding';
  // As the gateway counts: names and values, and four bytes of separators for each.
  const sent = { ...ordinaryHeaders(requestIdOf(1)), 'content-length': '0' };
  const bytes = Object.entries(sent).reduce(
    (sum, [name, value]) => sum + name.length + value.length + 4,
    0,
  );
  return { [padding]: 'x'.repeat(MAXIMUM_HEAD_BYTES - bytes - padding.length - 4) };
}
