/** Steps for the search for free ports. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import { findFreePorts } from '../../src/bench/free-ports.js';

const HOST = '127.0.0.1';
const SYSTEM_RANGE = '/proc/sys/net/ipv4/ip_local_port_range';

interface World {
  heldPort: number;
  foundPorts: number[];
}

Given('a server that holds the next free port', async function (this: World) {
  const [port] = (await findFreePorts(HOST, 1)) as [number];
  this.heldPort = port + 1;
  const server = createServer().unref();
  await new Promise<void>((resolve) => server.listen(this.heldPort, HOST, resolve));
});

When('{int} free ports are looked for, three times', async function (this: World, count: number) {
  this.foundPorts = [];
  for (let round = 0; round < 3; round += 1) {
    this.foundPorts.push(...(await findFreePorts(HOST, count)));
  }
});

Then(
  'all are distinct, and none is held or in the range from which the system chooses ports',
  function (this: World) {
    assert.equal(new Set(this.foundPorts).size, this.foundPorts.length);
    assert.ok(!this.foundPorts.includes(this.heldPort));
    const [first] = readFileSync(SYSTEM_RANGE, 'utf8').split('\t').map(Number) as [number];
    assert.deepEqual(
      this.foundPorts.filter((port) => port >= first),
      [],
    );
  },
);
