/** Reports when the members tolerate fewer losses than the settings ask for, longer than a replacement takes. */
import type { Runtime } from '../runtime/runtime.js';
import { spreadOf } from './member-spread.js';
import type { SpreadPolicy } from './member-spread.js';
import type { Member } from './membership.js';

/** Tracks the shortfall of the members and logs when it lasts and when it ends. */
export class SpreadMonitor {
  /** Members that a tolerated loss may take beyond those without which a majority remains. */
  shortfall = 0;
  /** Local time since which the shortfall has been above 0, in milliseconds; undefined while it is 0. */
  private shortSince: number | undefined;
  private isReported = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly policy: SpreadPolicy,
    /** Time after which a shortfall is logged, in milliseconds. */
    private readonly delayMilliseconds: number,
  ) {}

  /** Updates the shortfall from the members that are present and not about to be retired. */
  update(epoch: number, members: readonly Member[]): void {
    const { shortfall, membersByZone } = spreadOf(this.policy, members);
    const now = this.runtime.now();
    this.shortfall = shortfall;
    this.shortSince = shortfall > 0 ? (this.shortSince ?? now) : undefined;
    const isLasting =
      this.shortSince !== undefined && now - this.shortSince >= this.delayMilliseconds;
    if (this.isReported === isLasting) {
      return;
    }
    this.isReported = isLasting;
    const zones = [...membersByZone].map(([zone, count]) => `${zone}=${count}`).join(' ');
    const fields = { epoch, shortfall, zones };
    if (isLasting) {
      const message = 'members tolerate fewer losses than the settings require';
      this.runtime.log('warn', message, { event: 'members.intolerant', ...fields });
    } else {
      const message = 'members tolerate the losses that the settings require again';
      this.runtime.log('info', message, { event: 'members.tolerant', ...fields });
    }
  }
}
