/** Tables that `show` can query, with their columns, units and meaning. The reference page lists them. */

/** A column of a table. */
export interface Column {
  readonly name: string;
  /** Unit of the values; empty for those without one. */
  readonly unit: string;
  readonly meaning: string;
}

/** A table that `show` can query. */
export interface Table {
  readonly name: string;
  readonly meaning: string;
  readonly columns: readonly Column[];
}

function column(name: string, unit: string, meaning: string): Column {
  return { name, unit, meaning };
}

export const TABLES: readonly Table[] = [
  {
    name: 'calls',
    meaning: 'calls under way',
    columns: [
      column('call', '', 'name of the call'),
      column('program', '', 'program it belongs to'),
      column('group', '', 'group that pays'),
      column('service', '', 'service that answers'),
      column('class', '', 'urgent, interactive or batch'),
      column('sequence', '', 'place in the program'),
      column('state', '', 'behind, waiting, intending, running, recovering or ending'),
      column('engine', '', 'back end it runs on'),
      column('attempts', '', 'times it was sent'),
      column('age', 's', 'time since its owner took it'),
      column('node', '', 'node that owns it'),
    ],
  },
  {
    name: 'programs',
    meaning: 'programs that are open or were not long ago',
    columns: [
      column('program', '', 'name of the program'),
      column('group', '', 'group that pays'),
      column('state', '', 'open, finished, stopped or expired'),
      column('turns', '', 'calls so far'),
      column('tokens', 'tokens', 'length of the history'),
      column('attained', 'tokens', 'service so far'),
      column('age', 's', 'time since its first call'),
      column('idle', 's', 'time since anything happened'),
      column('node', '', 'node that owns it'),
    ],
  },
  {
    name: 'engines',
    meaning: 'back ends, as their schedulers see them',
    columns: [
      column('engine', '', 'name of the back end'),
      column('service', '', 'service it belongs to'),
      column('zone', '', 'zone it stands in'),
      column('state', '', 'up, draining or ejected'),
      column('running', 'calls', 'calls given to it'),
      column('limit', 'calls', 'most calls at a time'),
      column('heldPrograms', '', 'programs whose memory it holds'),
      column('heldTokens', 'tokens', 'memory held for them'),
      column('node', '', 'node that schedules it'),
    ],
  },
  {
    name: 'nodes',
    meaning: "the system's own nodes",
    columns: [
      column('node', '', 'name of the node'),
      column('zone', '', 'zone it stands in'),
      column('state', '', 'starting, ready or leaving'),
      column('shards', '', 'shards replicated there'),
      column('leads', '', 'shards it leads'),
      column('calls', 'calls', 'calls under way there'),
      column('revision', '', 'configuration in force there'),
    ],
  },
  {
    name: 'groups',
    meaning: 'groups with what they may use and have used',
    columns: [
      column('group', '', 'name of the group'),
      column('share', '', 'weight when back ends are short'),
      column('budget', 'tokens', 'most it may use'),
      column('granted', 'tokens', 'part of the budget handed to shards'),
      column('reserved', 'tokens', 'set aside for calls under way'),
      column('spent', 'tokens', 'used by calls that have ended'),
      column('calls', 'calls', 'calls under way'),
    ],
  },
  {
    name: 'holds',
    meaning: 'prompt memory held for pausing programs',
    columns: [
      column('program', '', 'program it is held for'),
      column('engine', '', 'back end that holds it'),
      column('service', '', 'service of the back end'),
      column('tokens', 'tokens', 'memory held'),
      column('left', 's', 'time until it lapses'),
    ],
  },
  {
    name: 'services',
    meaning: 'services of the configuration',
    columns: [
      column('service', '', 'name of the service'),
      column('kind', '', 'model or tool'),
      column('engines', '', 'back ends it has'),
    ],
  },
  {
    name: 'keys',
    meaning: 'keys of callers and operators',
    columns: [
      column('key', '', 'name of the key'),
      column('group', '', 'group it speaks for'),
      column('role', '', 'caller, operator or viewer'),
    ],
  },
];

/** Finds a table by name; undefined when there is none. */
export function findTable(name: string): Table | undefined {
  return TABLES.find((table) => table.name === name);
}
