/**
 * For how long members have not been heard: as this process saw itself, and, for one that is no member, on
 * the word of those that are. Members have asked one another all along; a newcomer would have to wait as
 * long again to find out by itself.
 */
import type { Runtime } from '../runtime/runtime.js';

/** What one process can say of how long a member has been silent. */
export interface SilenceWord {
  readonly member: string;
  /** Time since its last reply; when there was none, time for which it has been asked. */
  readonly milliseconds: number;
  /** Whether it ever replied to who says this. */
  readonly wasHeard: boolean;
}

/** Time for which a word counts, in milliseconds: several looks at the members. */
const WORD_MILLISECONDS = 1_500;

interface ToldWords {
  readonly at: number;
  readonly words: ReadonlyMap<string, SilenceWord>;
}

/** See the head of this file. */
export class MemberSilence {
  /** Local time since which a member has been asked without a break, in milliseconds. */
  private readonly askedSince = new Map<string, number>();
  /** Local time of a member's last reply, in milliseconds. */
  private readonly repliedAt = new Map<string, number>();
  /** What members said last, by who said it. */
  private readonly told = new Map<string, ToldWords>();

  constructor(private readonly runtime: Runtime) {}

  /** Notes that a member is asked. */
  noteAsked(member: string): void {
    if (!this.askedSince.has(member)) {
      this.askedSince.set(member, this.runtime.now());
    }
  }

  /** Notes that a member is asked no longer. */
  noteUnasked(member: string): void {
    this.askedSince.delete(member);
  }

  /** Notes a reply. */
  noteHeard(member: string): void {
    this.repliedAt.set(member, this.runtime.now());
  }

  /** Notes that this process stood still: what it did not hear meanwhile tells nothing. */
  noteStall(): void {
    this.askedSince.clear();
    this.told.clear();
  }

  /** Notes what a member says of others. */
  noteTold(by: string, words: readonly SilenceWord[]): void {
    const byMember = new Map(words.map((word) => [word.member, word]));
    this.told.set(by, { at: this.runtime.now(), words: byMember });
  }

  /** What this process itself can say. */
  ownWord(member: string): SilenceWord {
    const now = this.runtime.now();
    const askedSince = this.askedSince.get(member) ?? now;
    const repliedAt = this.repliedAt.get(member);
    const milliseconds = now - Math.max(askedSince, repliedAt ?? -Infinity);
    return { member, milliseconds, wasHeard: repliedAt !== undefined };
  }

  /**
   * Time in milliseconds since a member was last heard: by whoever heard it last; when nobody heard it, for as
   * long as anybody has asked.
   */
  of(member: string): number {
    const words = [this.ownWord(member), ...this.wordsOf(member)];
    const heard = words.filter(({ wasHeard }) => wasHeard);
    return heard.length > 0
      ? Math.min(...heard.map(({ milliseconds }) => milliseconds))
      : Math.max(...words.map(({ milliseconds }) => milliseconds));
  }

  private wordsOf(member: string): SilenceWord[] {
    const since = this.runtime.now() - WORD_MILLISECONDS;
    return [...this.told.values()]
      .filter(({ at }) => at >= since)
      .flatMap(({ words }) => words.get(member) ?? []);
  }
}
