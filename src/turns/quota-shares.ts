/**
 * Which share of a tenant's quota this member may grant. Each member owns an equal share. It lends that of each tenant to
 * the tenant's home, the first present member in the tenant's order, under a lease that each pull renews, so that the
 * home can hold whole programs of small limits.
 *
 * A share has one holder at any time: the borrower counts the lease from before it asked, the owner from when it
 * replied, and the owner grants again, or lends to another member, only once the lease has ended. Which members the
 * owner takes for present is its own decision, sent with the lease. A share is not lent while the tenant's home in an
 * earlier view may still hold a lease.
 */
import { homeAmong } from './quota-home.js';
import type { MemberRecord } from './membership.js';

/** The members that an owner takes for present, by their ids. */
export type PresenceView = readonly string[];

/** The share of a quota that a member holds. */
export interface HeldShare {
  /** Fraction of the quota, 0 to 1. */
  readonly share: number;
  /** Fraction that this member itself owns. */
  readonly ownShare: number;
  /** Local time since which `ownShare` has been held without interruption, in milliseconds. */
  readonly ownSince: number;
  /** Local time since which the whole of `share` has been held without interruption, in milliseconds. */
  readonly since: number;
  /** Time until this member holds its own share again, in milliseconds; 0 if it does. */
  readonly waitMilliseconds: number;
  /** Home of the tenant as this member sees it. */
  readonly home: string;
}

/** A view with the members that may hold a lease that was given under it. */
export interface LentView {
  readonly members: PresenceView;
  /** Empty for the current view. */
  readonly borrowers: readonly string[];
}

/** What one member lends to another. */
export interface LentShares {
  /** Duration of the lease, in milliseconds; 0 if nothing is lent. */
  readonly milliseconds: number;
  /**
   * The current view, then earlier ones. The borrower gets the shares of the tenants whose home it is in the current
   * view, except those whose home in an earlier view is another of its borrowers.
   */
  readonly views: readonly LentView[];
  /** Tenants whose shares are not lent. */
  readonly keptTenants: readonly string[];
}

/** Duration of a lease; two pulls fall into it, so that one that is late does not end it. */
export const LEASE_MILLISECONDS = 700;
/** Silence after which a member does not count as present, in milliseconds. */
const PRESENCE_MILLISECONDS = 900;
/** Time for which a member keeps its share of a tenant after gateways could not reach the tenant's home. */
const KEPT_MILLISECONDS = 2_000;
/** Maximum number of tenants whose shares are kept; a lease beyond it lends nothing. */
const MAXIMUM_KEPT_TENANTS = 500;
/** Maximum number of earlier views to remember. */
const MAXIMUM_VIEWS = 8;
/** Time after its last lease for which an earlier view is remembered; buckets are full by then. Milliseconds. */
const REMEMBERED_MILLISECONDS = 60_000;

interface Loan {
  /** Fraction of each quota that the lender owns. */
  readonly share: number;
  /** Local time since which the lease has been renewed without a change, in milliseconds. */
  readonly since: number;
  readonly until: number;
  readonly lent: LentShares;
}

interface KeptTenant {
  /** End of the last lease that includes the tenant, in milliseconds. */
  readonly lentUntil: number;
  until: number;
}

/** A lease that was refused. */
export const NOTHING_LENT: LentShares = { milliseconds: 0, views: [], keptTenants: [] };

/** A view that is no longer current. */
interface EarlierView {
  readonly view: PresenceView;
  /** End of the last lease that was given to each member under it, in milliseconds. */
  readonly lentUntil: ReadonlyMap<string, number>;
}

/** The share of the only member, to which nobody lends and which lends to nobody. */
const SOLE_MEMBER_SHARE: HeldShare = {
  share: 1,
  ownShare: 1,
  ownSince: -Infinity,
  since: -Infinity,
  waitMilliseconds: 0,
  home: '',
};

/** Tracks which shares this member lends and borrows. */
export class QuotaShares {
  private record: MemberRecord | undefined;
  private view: PresenceView = [];
  private earlierViews: EarlierView[] = [];
  /** End of the last lease under forgotten views, and under those of an earlier process, in milliseconds. */
  private forgottenLentUntil: number;
  /** End of the last lease given to each member under the current view, in milliseconds. */
  private lentUntil = new Map<string, number>();
  private readonly heardAt = new Map<string, number>();
  private readonly keptTenants = new Map<string, KeptTenant>();
  private readonly loans = new Map<string, Loan>();

  constructor(
    private readonly ownId: string,
    startedAt: number,
  ) {
    this.forgottenLentUntil = startedAt + LEASE_MILLISECONDS;
  }

  /** Records that another member is present; members of older builds are, but never borrow. */
  noteHeard(member: string, now: number): void {
    this.heardAt.set(member, now);
  }

  /** Gives or renews the lease of another member. */
  lend(to: string, record: MemberRecord, now: number): LentShares {
    this.noteHeard(to, now);
    this.update(record, now);
    const isClear = now >= this.forgottenLentUntil && this.keptTenants.size <= MAXIMUM_KEPT_TENANTS;
    if (!isClear || !this.view.includes(to)) {
      return NOTHING_LENT;
    }
    const until = now + LEASE_MILLISECONDS;
    this.lentUntil.set(to, until);
    const views = [{ members: this.view, borrowers: [] }, ...this.leasedEarlierViews(now)];
    return { milliseconds: LEASE_MILLISECONDS, views, keptTenants: [...this.keptTenants.keys()] };
  }

  /**
   * Records a lease from another member.
   * @param epoch epoch under which the lease was given
   * @param askedAt local time before the lease was given, in milliseconds
   */
  borrow(
    from: string,
    lent: LentShares,
    epoch: number,
    record: MemberRecord,
    askedAt: number,
    now: number,
  ): void {
    this.update(record, now);
    if (epoch !== record.epoch || lent.milliseconds <= 0) {
      return;
    }
    const loan = this.loans.get(from);
    const isContinued = loan !== undefined && loan.until >= now && isSameLending(loan.lent, lent);
    const since = isContinued ? loan.since : now;
    const share = 1 / record.members.length;
    this.loans.set(from, { share, since, until: askedAt + lent.milliseconds, lent });
  }

  /** Stops lending a tenant's share for a while, since neither a gateway nor this member could reach its home. */
  keep(tenant: string, record: MemberRecord, now: number): void {
    this.update(record, now);
    const home = homeAmong(this.view, tenant);
    if (home === undefined || home === this.ownId) {
      return;
    }
    const lentUntil = this.lentUntil.get(home) ?? -Infinity;
    const kept = this.keptTenants.get(tenant) ?? { lentUntil, until: 0 };
    kept.until = now + KEPT_MILLISECONDS;
    this.keptTenants.set(tenant, kept);
  }

  /** Returns the share of a tenant's quota that this member may grant. */
  shareOf(tenant: string, record: MemberRecord, now: number): HeldShare {
    this.update(record, now);
    if (record.members.length === 1) {
      return SOLE_MEMBER_SHARE;
    }
    const ownShare = 1 / record.members.length;
    const home = homeAmong(this.view, tenant) ?? this.ownId;
    const lentUntil = Math.max(this.lentEarlierUntil(tenant), this.lentUntilOf(tenant, home));
    const held = { home, ownShare, ownSince: lentUntil, waitMilliseconds: 0 };
    if (now < lentUntil) {
      const waitMilliseconds = lentUntil - now;
      return { ...held, share: 0, ownShare: 0, since: lentUntil, waitMilliseconds };
    }
    const loans = this.loansOf(tenant, now);
    const since = Math.max(lentUntil, ...loans.map((loan) => loan.since));
    const share = loans.reduce((sum, loan) => sum + loan.share, ownShare);
    return { ...held, share: Math.min(1, share), since };
  }

  /** Returns the leases in force; those given under an earlier record remain until they end. */
  private loansOf(tenant: string, now: number): Loan[] {
    return [...this.loans.values()].filter(
      ({ until, lent }) => until > now && this.isLent(lent, tenant),
    );
  }

  private isLent({ views, keptTenants }: LentShares, tenant: string): boolean {
    const [current, ...earlierViews] = views;
    const isHome = current !== undefined && homeAmong(current.members, tenant) === this.ownId;
    const isLentElsewhere = earlierViews.some(({ members, borrowers }) => {
      const home = homeAmong(members, tenant);
      return home !== undefined && home !== this.ownId && borrowers.includes(home);
    });
    return isHome && !isLentElsewhere && !keptTenants.includes(tenant);
  }

  /** Returns the earlier views with the members whose leases may be in force. */
  private leasedEarlierViews(now: number): LentView[] {
    return this.earlierViews
      .map(({ view, lentUntil }) => {
        const borrowers = [...lentUntil].filter(([, until]) => until > now).map(([id]) => id);
        return { members: view, borrowers };
      })
      .filter(({ borrowers }) => borrowers.length > 0);
  }

  private lentUntilOf(tenant: string, home: string): number {
    return home === this.ownId
      ? -Infinity
      : (this.keptTenants.get(tenant)?.lentUntil ?? this.lentUntil.get(home) ?? -Infinity);
  }

  /** Returns until when the tenant's share was lent under earlier views. */
  private lentEarlierUntil(tenant: string): number {
    return this.earlierViews.reduce(
      (until, { view, lentUntil }) =>
        Math.max(until, lentUntil.get(homeAmong(view, tenant) ?? '') ?? -Infinity),
      this.forgottenLentUntil,
    );
  }

  /** Adopts the record and the members that are present now as the current view. */
  private update(record: MemberRecord, now: number): void {
    for (const [tenant, { until }] of this.keptTenants) {
      if (until <= now) {
        this.keptTenants.delete(tenant);
      }
    }
    this.forgetEarlierViews(now);
    const isNewRecord = this.record?.epoch !== record.epoch;
    if (isNewRecord) {
      // Members of a new record count as present until they had time to pull.
      record.members.forEach(({ id }) => this.heardAt.set(id, now));
      this.dropEndedLoans(now);
    }
    const since = now - PRESENCE_MILLISECONDS;
    const isPresent = (id: string): boolean =>
      id === this.ownId || (this.heardAt.get(id) ?? -Infinity) >= since;
    const view = record.members.map(({ id }) => id).filter(isPresent);
    if (this.record !== undefined && !sameTexts(view, this.view)) {
      this.earlierViews.push({ view: this.view, lentUntil: this.lentUntil });
      this.lentUntil = new Map();
      this.keptTenants.clear();
    }
    this.record = record;
    this.view = view;
  }

  private dropEndedLoans(now: number): void {
    for (const [lender, { until }] of this.loans) {
      if (until <= now) {
        this.loans.delete(lender);
      }
    }
  }

  private forgetEarlierViews(now: number): void {
    while (this.earlierViews.length > MAXIMUM_VIEWS || this.isOutdated(this.earlierViews[0], now)) {
      const lentUntil = latestEnd(this.earlierViews.shift()!);
      this.forgottenLentUntil = Math.max(this.forgottenLentUntil, lentUntil);
    }
  }

  private isOutdated(view: EarlierView | undefined, now: number): boolean {
    return view !== undefined && latestEnd(view) < now - REMEMBERED_MILLISECONDS;
  }
}

function latestEnd({ lentUntil }: EarlierView): number {
  return Math.max(-Infinity, ...lentUntil.values());
}

function isSameView(left: LentView, right: LentView): boolean {
  return sameTexts(left.members, right.members) && sameTexts(left.borrowers, right.borrowers);
}

function sameTexts(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((text, index) => text === right[index]);
}

function isSameLending(left: LentShares, right: LentShares): boolean {
  return (
    sameTexts(left.keptTenants, right.keptTenants) &&
    left.views.length === right.views.length &&
    left.views.every((view, index) => isSameView(view, right.views[index]!))
  );
}
