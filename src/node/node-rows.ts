/** Rows that a node contributes to the operators' tables: its own state and that of the shards it leads. */
import type { ShardRoles } from './shard-roles.js';
import type { IvyloomNode } from './node.js';
import type { Row } from './row-collector.js';

/** Tables that are collected from nodes. */
export const COLLECTED_TABLES = [
  'calls',
  'programs',
  'engines',
  'nodes',
  'groups',
  'holds',
] as const;

function listLedShards(node: IvyloomNode): ShardRoles[] {
  return node.listShards().filter((roles) => roles.host.canServe());
}

function listCalls(node: IvyloomNode): Row[] {
  const now = node.options.runtime.now();
  return listLedShards(node).flatMap((roles) =>
    roles.owner.listLiveCalls().map((call) => ({
      call: call.request.call,
      program: call.request.program,
      group: call.request.group,
      service: call.request.service,
      class: call.request.callClass,
      sequence: call.sequence,
      state: call.phase,
      engine: call.engine,
      attempts: call.attempts,
      age: Math.round((now - call.addedAt) / 100) / 10,
      node: node.options.self,
    })),
  );
}

function listPrograms(node: IvyloomNode): Row[] {
  const now = node.options.runtime.wallTime();
  return listLedShards(node).flatMap((roles) =>
    [...roles.host.state.programs.values()].map((program) => ({
      program: program.program,
      group: program.group,
      state: program.end ?? 'open',
      turns: program.nextSequence - 1,
      tokens: program.historyTokens,
      attained: program.attainedService,
      age: Math.round((now - program.openedAt) / 1_000),
      idle: Math.round((now - program.lastActivityAt) / 1_000),
      node: node.options.self,
    })),
  );
}

function listEngines(node: IvyloomNode): Row[] {
  return listLedShards(node).flatMap((roles) =>
    roles.listSchedulers().flatMap((scheduler) =>
      scheduler.listEngines().map((row) => ({
        engine: row.engine,
        service: row.service,
        zone: row.zone,
        state: row.state,
        running: row.running,
        limit: row.limit,
        heldPrograms: row.heldPrograms,
        heldTokens: row.heldTokens,
        node: node.options.self,
      })),
    ),
  );
}

function listNodes(node: IvyloomNode): Row[] {
  const roles = node.listShards();
  return [
    {
      node: node.options.self,
      zone: node.options.zone,
      state: node.isLeaving ? 'leaving' : node.isReady ? 'ready' : 'starting',
      shards: roles.length,
      leads: roles.filter((shard) => shard.host.canServe()).length,
      calls: roles.reduce((sum, shard) => sum + shard.owner.liveCallCount, 0),
      revision: node.configuration.current.revision,
    },
  ];
}

/** Each group's account on the shards that this node leads; the query adds up the rows of all nodes. */
function listGroups(node: IvyloomNode): Row[] {
  const rows: Row[] = [];
  for (const group of node.configuration.current.groups.values()) {
    let spent = 0;
    let reserved = 0;
    let granted = 0;
    let running = 0;
    for (const roles of listLedShards(node)) {
      const slice = roles.host.state.slices.get(group.name);
      spent += slice?.spent ?? 0;
      reserved += slice?.reserved ?? 0;
      granted += roles.host.state.ledgers.get(group.name)?.outstanding ?? 0;
      running += roles.owner
        .listLiveCalls()
        .filter((call) => call.request.group === group.name).length;
    }
    const { name, share, budget } = group;
    rows.push({ group: name, share, budget, granted, reserved, spent, calls: running });
  }
  return rows;
}

function listHolds(node: IvyloomNode): Row[] {
  return listLedShards(node).flatMap((roles) =>
    roles.listSchedulers().flatMap((scheduler) => scheduler.listHolds()),
  );
}

/** Rows of one table; none for a table that is not collected from nodes. */
export function listRows(node: IvyloomNode, table: string): Row[] {
  switch (table) {
    case 'calls':
      return listCalls(node);
    case 'programs':
      return listPrograms(node);
    case 'engines':
      return listEngines(node);
    case 'nodes':
      return listNodes(node);
    case 'groups':
      return listGroups(node);
    case 'holds':
      return listHolds(node);
    default:
      return [];
  }
}
