/** Steps about the membership record: majorities, and the decisions of a replica about it. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { decideMembership } from '../../src/turns/decide-membership.js';
import type { MembershipAction } from '../../src/turns/decide-membership.js';
import {
  MINIMUM_MEMBERS,
  majorityOf,
  membersToTolerate,
  withMember,
} from '../../src/turns/membership.js';
import type { Member, MemberRecord } from '../../src/turns/membership.js';
import {
  DEFAULT_CATCH_UP_MILLISECONDS,
  membershipTimingsFor,
} from '../../src/turns/membership-timings.js';

const TIMINGS = membershipTimingsFor(DEFAULT_CATCH_UP_MILLISECONDS);

interface World {
  members?: string[];
  self?: string;
  ready?: boolean;
  action?: MembershipAction;
}

function member(name: string): Member {
  return { id: name, node: name, host: name, port: 1, zone: name };
}

function splitNames(text: string): string[] {
  return text.split(' ').filter((word) => word !== '');
}

Then(
  'any majority of a record overlaps any majority of the record with one member more',
  function () {
    const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 5 }), fc.infiniteStream(fc.nat()), (size, draws) => {
        const record: MemberRecord = { epoch: 1, members: ids.slice(0, size).map(member) };
        const larger = withMember(record, member(ids[size]!));
        const draw = (from: MemberRecord): string[] => {
          const left = from.members.map(({ id }) => id);
          const drawn: string[] = [];
          while (drawn.length < majorityOf(from)) {
            drawn.push(...left.splice((draws.next().value as number) % left.length, 1));
          }
          return drawn;
        };
        const other = new Set(draw(larger));
        assert.ok(draw(record).some((id) => other.has(id)));
      }),
    );
  },
);

function recordOf(count: number): MemberRecord {
  const members = Array.from({ length: count }, (_, place) => member(`m${place}`));
  return { epoch: 1, members };
}

Then(
  'with the members that a number of losses requires, a majority survives these losses',
  function () {
    for (let losses = 0; losses <= 20; losses += 1) {
      const count = membersToTolerate(losses);
      const majority = majorityOf(recordOf(count));
      assert.ok(majority > losses, 'all members that hold a write may be lost');
      assert.ok(count - losses >= majority, 'no majority remains');
    }
  },
);

Then(
  'with one member fewer no majority would survive, or the minimum would not be met',
  function () {
    for (let losses = 0; losses <= 20; losses += 1) {
      const fewer = membersToTolerate(losses) - 1;
      const isTooFew = fewer < MINIMUM_MEMBERS;
      assert.ok(isTooFew || fewer - losses < majorityOf(recordOf(fewer)));
    }
  },
);

Given(
  'replicas {string} and this one is {string}',
  function (this: World, members: string, self: string) {
    this.members = splitNames(members);
    this.self = self;
  },
);

Given('its state is complete', function (this: World) {
  this.ready = true;
});

Given('its state is incomplete', function (this: World) {
  this.ready = false;
});

When(
  'members {string} are silent, it is caught up with {string} and machines {string} are being retired',
  function (this: World, silent: string, caughtUp: string, retiring: string) {
    const silentIds = new Set(splitNames(silent));
    const caughtUpIds = new Set(splitNames(caughtUp));
    const members = this.members!.map(member);
    this.action = decideMembership({
      self: member(this.self!),
      record: members.length === 0 ? undefined : { epoch: 1, members },
      ready: this.ready!,
      isCaughtUpWith: (id) => caughtUpIds.has(id),
      hasRead: (id) => caughtUpIds.has(id),
      isComplete: () => true,
      silentMilliseconds: (id) => (silentIds.has(id) ? TIMINGS.removalMilliseconds : 0),
      retiringNodes: new Set(splitNames(retiring)),
      wantedMembers: Infinity,
      presentMembers: members.length - silentIds.size,
      vacantMilliseconds: 0,
      timings: TIMINGS,
    });
  },
);

When(
  '{int} members are wanted and the record has named {string} with zones {string} for {int} milliseconds',
  function (this: World, wanted: number, names: string, zones: string, milliseconds: number) {
    const zoneNames = splitNames(zones);
    const members = splitNames(names).map((name, place) => ({
      ...member(name),
      zone: zoneNames[place]!,
    }));
    this.action = decideMembership({
      self: { ...member(this.self!), zone: 'z1' },
      record: { epoch: 1, members },
      ready: false,
      isCaughtUpWith: () => true,
      hasRead: () => true,
      isComplete: () => true,
      silentMilliseconds: () => 0,
      retiringNodes: new Set(),
      wantedMembers: wanted,
      presentMembers: members.length,
      vacantMilliseconds: milliseconds,
      timings: TIMINGS,
    });
  },
);

Then(
  /^it decides to (Create|Join|Wait|Remove)(?: (\w+))?$/,
  function (this: World, tag: string, id?: string) {
    assert.equal(this.action!.tag, tag);
    if (this.action!.tag === 'Remove') {
      assert.equal(this.action!.member.id, id);
    }
  },
);
