/**
 * Probes a replica that does not announce its message kind count by sending a `chainUnder` request. The probe uses its
 * own connection, because builds that do not know a kind close the connection on which it arrives.
 */
import { connect } from 'node:net';
import type { Runtime } from '../runtime/runtime.js';
import type { Member } from './membership.js';
import { encodeReplicaFrame } from './messages.js';
import { BASELINE_KIND_COUNT, UNANNOUNCED_KIND_COUNT } from './protocol-negotiation.js';

/** Timeout of the probe, in milliseconds; shorter than the silence after which a replica counts as unreachable. */
const PROBE_TIMEOUT_MILLISECONDS = 200;
/** The turn never exists, so the request has no side effects. */
const PROBE_REQUEST = { type: 'chainUnder', call: 1, epoch: 0, turn: '' } as const;

/** Calls back with the number of message kinds that the replica can decode; undefined when the connection failed. */
export function probeKindCount(
  member: Member,
  runtime: Runtime,
  done: (kinds: number | undefined) => void,
): void {
  const socket = connect({ host: member.host, port: member.port, noDelay: true });
  let kinds: number | undefined;
  const cancelTimer = runtime.setTimer(PROBE_TIMEOUT_MILLISECONDS, () => socket.destroy());
  // A build that does not know the kind ends the connection in order; a failed connection shows nothing.
  socket.on('error', () => undefined);
  socket.on('end', () => {
    kinds ??= socket.bytesWritten > 0 ? BASELINE_KIND_COUNT : undefined;
  });
  socket.on('connect', () => socket.write(encodeReplicaFrame(PROBE_REQUEST)));
  socket.once('data', () => {
    kinds = UNANNOUNCED_KIND_COUNT;
    socket.destroy();
  });
  socket.on('close', () => {
    cancelTimer();
    const fields = { event: 'replica.forms', member: member.id, kinds: kinds ?? 0 };
    const found = kinds === undefined ? 'failed' : 'completed';
    runtime.log('info', `replica does not announce its message kinds, probe ${found}`, fields);
    done(kinds);
  });
}
