/** `explain call`: shows the state of a call, with the reason why it waits or the engine it runs on. */
import * as E from 'fp-ts/lib/Either.js';
import { notRun } from '../model/verdict.js';
import type { IvyloomNode } from '../node/node.js';
import type { Row } from '../node/row-collector.js';
import type { StatementListener } from './run-statement.js';

function explainState(call: Row, engines: readonly Row[], calls: readonly Row[]): string {
  const engineRows = engines.filter((engine) => engine['service'] === call['service']);
  const usable = engineRows.filter((engine) => engine['state'] === 'up');
  const full = usable.filter((engine) => Number(engine['running']) >= Number(engine['limit']));
  const ahead = calls.filter(
    (other) => other['service'] === call['service'] && other['state'] === 'waiting',
  );
  switch (call['state']) {
    case 'behind':
      return 'An earlier call of its program is under way; calls of a program run in order.';
    case 'waiting':
      if (usable.length === 0) {
        return `No back end of ${String(call['service'])} is up: ${engineRows.length} are configured.`;
      }
      return `${full.length} of ${usable.length} back ends are full; ${ahead.length} calls wait.`;
    case 'intending':
      return `It is about to be sent to ${String(call['engine'])}; the intent is being committed.`;
    case 'running':
      return `It runs on ${String(call['engine'])}, try ${String(call['attempts'])}.`;
    case 'recovering':
      return `Its owner has changed; ${String(call['engine'])} is being asked for its answer.`;
    default:
      return 'Its result is being committed.';
  }
}

/** Explains a call in progress, by its id. */
export function explainCall(node: IvyloomNode, name: string, listener: StatementListener): void {
  node.rows.collect('calls', (calls) => {
    const call = calls.rows.find((row) => row['call'] === name);
    if (call === undefined) {
      const missing = calls.unreachable.length;
      const hint = missing > 0 ? ` ${missing} nodes did not answer.` : '';
      const detail = `No call ${name} is under way.${hint} An ended one is at /v1/calls/${name}.`;
      listener(E.left(notRun('NotFound', detail)));
      return;
    }
    node.rows.collect('engines', (engines) => {
      const reason = explainState(call, engines.rows, calls.rows);
      const rows = [
        ...Object.entries(call).map(([property, value]) => ({ property, value })),
        { property: 'reason', value: reason },
      ];
      const unreachable = [...new Set([...calls.unreachable, ...engines.unreachable])];
      listener(E.right({ columns: ['property', 'value'], rows, unreachable }));
    });
  });
}
