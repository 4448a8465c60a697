/** Metrics of a node in the Prometheus text format, computed from the node's state on each scrape. */
import { collectDefaultMetrics, Gauge, Registry } from 'prom-client';
import type { IvyloomNode } from '../node/node.js';

/** Body and content type of an answer to a scrape. */
export interface RenderedMetrics {
  readonly contentType: string;
  readonly text: string;
}

interface NodeGauges {
  readonly registry: Registry;
  readonly calls: Gauge<'group' | 'class' | 'state'>;
  readonly shardsLed: Gauge;
  readonly revision: Gauge;
  readonly engineRunning: Gauge<'engine' | 'service'>;
  readonly engineHeld: Gauge<'engine' | 'service'>;
  readonly waiting: Gauge;
}

const gaugesByNode = new WeakMap<IvyloomNode, NodeGauges>();

function createGauges(): NodeGauges {
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({ register: registry });
  return {
    registry,
    calls: new Gauge({
      name: 'ivyloom_calls',
      help: 'Calls under way that this node owns.',
      labelNames: ['group', 'class', 'state'],
      registers,
    }),
    shardsLed: new Gauge({
      name: 'ivyloom_shards_led',
      help: 'Shards this node leads.',
      registers,
    }),
    revision: new Gauge({
      name: 'ivyloom_configuration_revision',
      help: 'Revision of the configuration in force on this node.',
      registers,
    }),
    engineRunning: new Gauge({
      name: 'ivyloom_engine_running_calls',
      help: 'Calls given to a back end that this node schedules.',
      labelNames: ['engine', 'service'],
      registers,
    }),
    engineHeld: new Gauge({
      name: 'ivyloom_engine_held_tokens',
      help: 'Prompt memory held for pausing programs, in tokens.',
      labelNames: ['engine', 'service'],
      registers,
    }),
    waiting: new Gauge({
      name: 'ivyloom_pool_waiting_calls',
      help: 'Calls waiting in the pools that this node schedules.',
      registers,
    }),
  };
}

function gaugesOf(node: IvyloomNode): NodeGauges {
  let gauges = gaugesByNode.get(node);
  if (gauges === undefined) {
    gauges = createGauges();
    gaugesByNode.set(node, gauges);
  }
  return gauges;
}

function update(node: IvyloomNode, gauges: NodeGauges): void {
  const led = node.listShards().filter((roles) => roles.host.canServe());
  const schedulers = led.flatMap((roles) => roles.listSchedulers());
  gauges.calls.reset();
  gauges.engineRunning.reset();
  gauges.engineHeld.reset();
  gauges.shardsLed.set(led.length);
  gauges.revision.set(node.configuration.current.revision);
  gauges.waiting.set(schedulers.reduce((sum, scheduler) => sum + scheduler.waitingCount, 0));
  for (const roles of led) {
    for (const call of roles.owner.listLiveCalls()) {
      const { group, callClass } = call.request;
      gauges.calls.inc({ group, class: callClass, state: call.phase });
    }
  }
  for (const row of schedulers.flatMap((scheduler) => scheduler.listEngines())) {
    const { engine, service } = row;
    gauges.engineRunning.set({ engine, service }, row.running);
    gauges.engineHeld.set({ engine, service }, row.heldTokens);
  }
}

export async function renderMetrics(node: IvyloomNode): Promise<RenderedMetrics> {
  const gauges = gaugesOf(node);
  update(node, gauges);
  return { contentType: gauges.registry.contentType, text: await gauges.registry.metrics() };
}
