/**
 * Counts the bytes that a process exchanges with each region, by kind of message. Without several regions nothing is
 * counted.
 */
import type { Topology } from './topology.js';

/** Kinds of messages whose bytes are counted. */
export type TrafficKind = 'gossip' | 'proofs' | 'snapshots' | 'replicas' | 'runners';

/** Direction of a message, as this process sees it. */
export type TrafficDirection = 'sent' | 'received';

/** Region of a peer that is not known yet. */
const UNKNOWN_REGION = 'unknown';
const METRIC = 'ivyloom_region_bytes_total';

/** Sums of bytes by kind of message, direction and region. */
export class RegionTraffic {
  private readonly bytesByLabels = new Map<string, number>();
  private readonly isCounting: boolean;

  constructor(private readonly topology: Topology) {
    this.isCounting = topology.regions.size > 1;
  }

  /**
   * Adds the bytes of one message.
   * @param region region of the other side; undefined if it is not known
   */
  record(
    kind: TrafficKind,
    direction: TrafficDirection,
    region: string | undefined,
    bytes: number,
  ): void {
    if (this.isCounting) {
      const labels = `kind="${kind}",direction="${direction}",region="${region ?? UNKNOWN_REGION}"`;
      this.bytesByLabels.set(labels, (this.bytesByLabels.get(labels) ?? 0) + bytes);
    }
  }

  /** Adds the bytes of one message to or from a zone. */
  recordZone(kind: TrafficKind, direction: TrafficDirection, zone: string, bytes: number): void {
    if (this.isCounting) {
      this.record(kind, direction, this.topology.regionOf(zone), bytes);
    }
  }

  /** Renders the counters in the Prometheus text format; empty within one region. */
  render(): string {
    return [...this.bytesByLabels].map(([labels, sum]) => `${METRIC}{${labels}} ${sum}\n`).join('');
  }
}
