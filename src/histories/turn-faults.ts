/** Kinds of faults of turn histories. */
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

export type TurnFault = (typeof TURN_FAULTS)[number];
