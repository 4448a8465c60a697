/** Kinds of faults of the histories of kept turns. */

/** Kinds of faults. */
export const TURN_FAULTS = [
  'kill',
  'wipe',
  'pause',
  'cutGateway',
  'cutPeers',
  'cutStore',
  'storeDown',
  'killAll',
  'wipeOneKillOthers',
  'add',
  'retire',
  'replace',
] as const;

/** One kind of fault. */
export type TurnFault = (typeof TURN_FAULTS)[number];
