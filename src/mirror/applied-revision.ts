/** Tracks which revision of the configuration's item is in force, since the newest one may have been impossible to apply. */

/** The revision in force in this process. */
export class AppliedRevision {
  private appliedRevision = 0;
  private refusedRevision = 0;

  /** Newest revision that was applied; 0 before the first. */
  get revision(): number {
    return this.appliedRevision;
  }

  /** Whether a newer revision than the one in force could not be applied. */
  get isRefused(): boolean {
    return this.refusedRevision > this.appliedRevision;
  }

  /** Records that a revision is in force. */
  noteApplied(revision: number): void {
    this.appliedRevision = Math.max(this.appliedRevision, revision);
  }

  /** Records that a revision could not be applied. */
  noteRefused(revision: number): void {
    this.refusedRevision = Math.max(this.refusedRevision, revision);
  }

  /** Renders the metrics in the Prometheus text format. */
  render(): string {
    return [
      `ivyloom_configuration_applied_revision ${this.appliedRevision}`,
      `ivyloom_configuration_refused ${this.isRefused ? 1 : 0}`,
      '',
    ].join('\n');
  }
}
