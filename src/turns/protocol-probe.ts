/**
 * Asks a replica of a build that tells nothing of itself for the newest kind of that time, on a connection of its
 * own: builds that don't know a kind end the connection it came on, and this one carries nothing else.
 */
import { connect } from 'node:net';
import type { Runtime } from '../runtime/runtime.js';
import { encodeFrame } from '../wire/framing.js';
import type { Member } from './membership.js';
import { encodeReplicaMessage } from './messages.js';
import { BASELINE_KIND_COUNT, UNANNOUNCED_KIND_COUNT } from './protocol-negotiation.js';

/** Longest wait for either end, in milliseconds: below the silence after which a replica counts as out of reach. */
const PROBE_TIMEOUT_MILLISECONDS = 200;
/** The turn never exists: the question changes nothing. */
const PROBE_REQUEST = { type: 'chainUnder', call: 1, epoch: 0, turn: '' } as const;

/** Calls back with the number of kinds that are read; undefined when it can't be told now. */
export function probeKindCount(
  member: Member,
  runtime: Runtime,
  done: (kinds: number | undefined) => void,
): void {
  const socket = connect({ host: member.host, port: member.port, noDelay: true });
  let kinds: number | undefined;
  const cancelTimer = runtime.setTimer(PROBE_TIMEOUT_MILLISECONDS, () => socket.destroy());
  const handleEnd = (): void => {
    kinds ??= socket.bytesWritten > 0 ? BASELINE_KIND_COUNT : undefined;
  };
  socket.on('error', handleEnd);
  socket.on('end', handleEnd);
  socket.on('connect', () => socket.write(encodeFrame(encodeReplicaMessage(PROBE_REQUEST))));
  socket.once('data', () => {
    kinds = UNANNOUNCED_KIND_COUNT;
    socket.destroy();
  });
  socket.on('close', () => {
    cancelTimer();
    const fields = { event: 'replica.forms', member: member.id, kinds: kinds ?? 0 };
    const found = kinds === undefined ? 'could not be tried' : 'was tried';
    runtime.log('info', `a replica tells nothing of its build, which ${found}`, fields);
    done(kinds);
  });
}
