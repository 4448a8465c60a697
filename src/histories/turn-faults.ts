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

/** Kinds of faults that occur only where replicas are in zones of which one may be lost. */
export const ZONE_FAULTS = ['killZone', 'wipeZone', 'cutZone', 'wipeZoneKillOthers'] as const;

export type TurnFault = (typeof TURN_FAULTS)[number] | (typeof ZONE_FAULTS)[number];
