/** Steps about the collection of buffers, on a modelled heap. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { BufferCollector } from '../../src/runtime/buffer-collector.js';
import type { BufferHeap } from '../../src/runtime/buffer-collector.js';

const MEGABYTE = 1024 * 1024;
const READ_BYTES = 64 * 1024;
/** Young collections after which a buffer in use isn't young any more. */
const YOUNG_COLLECTIONS = 2;

interface ModelledBuffer {
  isUsed: boolean;
  /** Young collections that it has outlived. */
  age: number;
}

/** Buffers of the size of a read. What a collection finds is free when the heap is next asked for its bytes. */
class ModelledHeap implements BufferHeap {
  youngCollections = 0;
  fullCollections = 0;
  /** Most bytes that were unused and not free. */
  mostWaitingBytes = 0;
  private buffers: ModelledBuffer[] = [];
  private used: ModelledBuffer[] = [];

  add(mostUsedBytes: number): void {
    const buffer = { isUsed: true, age: 0 };
    this.buffers.push(buffer);
    this.used.push(buffer);
    while (this.used.length * READ_BYTES > mostUsedBytes) {
      this.used.shift()!.isUsed = false;
    }
    const waitingBytes = (this.buffers.length - this.used.length) * READ_BYTES;
    this.mostWaitingBytes = Math.max(this.mostWaitingBytes, waitingBytes);
  }

  bufferBytes(): number {
    return this.buffers.length * READ_BYTES;
  }

  usedBytes(): number {
    return this.bufferBytes();
  }

  collectYoung(): void {
    this.youngCollections += 1;
    this.buffers = this.buffers.filter(({ isUsed, age }) => isUsed || age >= YOUNG_COLLECTIONS);
    this.buffers.forEach((buffer) => (buffer.age += 1));
  }

  collectAll(): void {
    this.fullCollections += 1;
    this.buffers = this.buffers.filter(({ isUsed }) => isUsed);
  }
}

interface World {
  heap: ModelledHeap;
  collector: BufferCollector;
  /** Collections of all buffers before the last step. */
  fullCollectionsBefore: number;
}

function receive(world: World, megabytes: number, mostUsedMegabytes: number): void {
  world.fullCollectionsBefore = world.heap.fullCollections;
  for (let received = 0; received < megabytes * MEGABYTE; received += READ_BYTES) {
    world.heap.add(mostUsedMegabytes * MEGABYTE);
    world.collector.noteBuffers(READ_BYTES);
  }
}

Given(
  'a process whose heap collects no buffers by itself, with an allowance of {int} MB for them',
  function (this: World, megabytes: number) {
    this.heap = new ModelledHeap();
    this.collector = new BufferCollector(this.heap, megabytes * MEGABYTE);
  },
);

When(
  '{int} MB are received, and each read is dropped at once',
  function (this: World, megabytes: number) {
    receive(this, megabytes, 0);
  },
);

When(
  '{int} MB are received, and {int} MB of them are always in use',
  function (this: World, megabytes: number, usedMegabytes: number) {
    receive(this, megabytes, usedMegabytes);
  },
);

When(
  '{int} MB are received, and all of them stay in use',
  function (this: World, megabytes: number) {
    receive(this, megabytes, Infinity);
  },
);

Then('at most {int} MB of buffers wait', function (this: World, megabytes: number) {
  assert.ok(this.heap.mostWaitingBytes <= megabytes * MEGABYTE, `${this.heap.mostWaitingBytes}`);
});

Then('only young ones were collected', function (this: World) {
  assert.ok(this.heap.youngCollections > 0);
  assert.equal(this.heap.fullCollections, 0);
});

Then(
  'all buffers were collected at most {int} times for that',
  function (this: World, most: number) {
    const count = this.heap.fullCollections - this.fullCollectionsBefore;
    assert.ok(count <= most, `${count} times`);
  },
);
